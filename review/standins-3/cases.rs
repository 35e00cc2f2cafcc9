//! The cases.

mod former_life;
mod pipelined;
mod renamed;
mod swallowed;
mod two_submissions;

use std::path::Path;

use crate::record::Record;

/// What broke the rule; `None` if it held. The error says why the case could not run.
pub type Verdict = Result<Option<String>, String>;

pub fn run(case: &str, program: &Path, record: &Record, has_trouble: bool) -> Verdict {
    match case {
        "former-life" => former_life::run(program, record, has_trouble),
        "pipelined" => pipelined::run(program, record, has_trouble),
        "renamed" => renamed::run(program, record, has_trouble),
        "swallowed" => swallowed::run(program, record, has_trouble),
        "two-submissions" => two_submissions::run(program, record, has_trouble),
        _ => Err(format!("there is no case {case}")),
    }
}
