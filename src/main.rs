//! The program.

use std::process::ExitCode;

use gypsumkeel::serve;
use gypsumkeel::settings::Settings;

fn main() -> ExitCode {
    let words = std::env::args().skip(1).collect::<Vec<_>>();
    let words = words.iter().map(String::as_str).collect::<Vec<_>>();
    let result = match words.as_slice() {
        ["serve", "--settings", file] => {
            let text = std::fs::read_to_string(file).unwrap_or_default();
            match Settings::parse(&text) {
                Ok(settings) => serve::run(settings),
                Err(faults) => {
                    for fault in faults {
                        eprintln!("[gypsumkeel error]: {fault}");
                    }
                    return ExitCode::from(2);
                }
            }
        }
        ["dev"] => serve::dev(4),
        _ => return ExitCode::from(2),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("[gypsumkeel error]: {error}");
            ExitCode::FAILURE
        }
    }
}
