//! Trials of the second review. `trial NAME FOLDER` plays the trial and writes `record.txt` in its folder. With TROUBLE=0 in
//! the environment it plays the same without the disruption. The exit code is 1 if the rule was broken, 0 if it held, and 2
//! if the trial could not run.

mod cancel;
mod fleet;
mod http;
mod json;
mod record;
mod store;
mod worker;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

/// What a trial says of the rule: the ways in which it was broken.
pub type Verdict = Result<Vec<String>, String>;

fn main() -> ExitCode {
    let arguments = std::env::args().collect::<Vec<_>>();
    let [_, name, folder] = &arguments[..] else {
        eprintln!("usage: trial NAME FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(Record::new(&Path::new(folder).join("record.txt")));
    let verdict = match name.as_str() {
        "cancel-frozen" => cancel::frozen(&record, has_trouble),
        "cancel-repeated" => cancel::repeated(&record, has_trouble),
        "cancel-added" => cancel::added(&record, has_trouble),
        _ => Err(format!("no trial {name}")),
    };
    match verdict {
        Ok(broken) if broken.is_empty() => {
            record.line("the rule held");
            ExitCode::SUCCESS
        }
        Ok(broken) => {
            for line in broken {
                record.line(&format!("BROKEN: {line}"));
                println!("{line}");
            }
            ExitCode::from(1)
        }
        Err(reason) => {
            record.line(&format!("the trial could not run: {reason}"));
            eprintln!("{reason}");
            ExitCode::from(2)
        }
    }
}
