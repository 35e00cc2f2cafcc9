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

use std::panic::{self, AssertUnwindSafe};
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use record::Record;

/// What a trial says of the rule: the ways in which it was broken.
pub type Verdict = Result<Vec<String>, String>;

/// The time after which a trial is given up.
const LIMIT: Duration = Duration::from_secs(115);

fn main() -> ExitCode {
    let arguments = std::env::args().collect::<Vec<_>>();
    let [_, name, folder] = &arguments[..] else {
        eprintln!("usage: trial NAME FOLDER");
        return ExitCode::from(2);
    };
    let record = match Record::new(&Path::new(folder).join("record.txt")) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("{folder}/record.txt: {error}");
            return ExitCode::from(2);
        }
    };
    let watched = Arc::clone(&record);
    thread::spawn(move || {
        thread::sleep(LIMIT);
        watched.line("the trial could not run: it took too long");
        // The VMs end with this process.
        std::process::exit(2);
    });
    let verdict = panic::catch_unwind(AssertUnwindSafe(|| play(name, &record)));
    conclude(&record, verdict.unwrap_or_else(|_| Err("the trial has failed".to_owned())))
}

/// Plays a trial.
fn play(name: &str, record: &Arc<Record>) -> Verdict {
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    match name {
        "cancel-frozen" => cancel::frozen(record, has_trouble),
        "cancel-repeated" => cancel::repeated(record, has_trouble),
        "cancel-added" => cancel::added(record, has_trouble),
        _ => Err(format!("no trial {name}")),
    }
}

/// Writes the verdict and returns the exit code.
fn conclude(record: &Record, verdict: Verdict) -> ExitCode {
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
