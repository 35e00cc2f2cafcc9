//! Plays the cases of this review that are scripts: `standins CASE PROGRAM RECORD`. With `TROUBLE=0` in the environment the
//! disruption is left out. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod base64;
mod cases;
mod fleet;
mod http;
mod json;
mod proxy;
mod record;
mod store;
mod worker;

use std::env;
use std::path::Path;
use std::process;
use std::thread;
use std::time::Duration;

use record::Record;

/// The longest time that a case may take.
const TIME_MAX: Duration = Duration::from_secs(110);

fn main() {
    let arguments = env::args().collect::<Vec<_>>();
    let [_, case, program, record] = &arguments[..] else {
        eprintln!("usage: standins CASE PROGRAM RECORD");
        process::exit(2);
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(Path::new(record)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("no record: {error}");
            process::exit(2);
        }
    };
    thread::spawn(|| {
        thread::sleep(TIME_MAX);
        fleet::end_all();
        eprintln!("the case took too long");
        process::exit(2);
    });
    let verdict = cases::run(case, Path::new(program), &record, has_trouble);
    fleet::end_all();
    let (code, text) = match verdict {
        Ok(None) => (0, "the rule held".to_owned()),
        Ok(Some(broken)) => (1, format!("BROKEN: {broken}")),
        Err(reason) => (2, format!("the case could not run: {reason}")),
    };
    record.line(&text);
    println!("{text}");
    process::exit(code);
}
