//! The `gypsumkeel` program: parses the command line, runs one command, and exits with its code.

use std::env;
use std::path::Path;

use gypsumkeel::cli::{self, Command, Input};
use gypsumkeel::client::{status, submit};
use gypsumkeel::exit::{self, Exit};
use gypsumkeel::settings::{Log, Settings};
use gypsumkeel::{check, configure, logs, platform, serve};

fn main() -> Exit {
    match cli::parse(env::args_os().skip(1)) {
        Ok(command) => run(command),
        Err(error) => Exit::Usage.because(error),
    }
}

fn run(command: Command) -> Exit {
    match command {
        Command::Help(topic) => exit::print(topic.text()),
        Command::Version => exit::print(concat!("gypsumkeel ", env!("CARGO_PKG_VERSION"), "\n")),
        Command::Serve { settings } => run_serve(&settings),
        Command::Platform(arguments) => run_platform(arguments),
        Command::Dev { targets } => run_vm(&Log::default(), || serve::dev(targets)),
        Command::Check { file, against, json } => check::run(&file, against.as_ref(), json),
        Command::Submit(arguments) => submit::run(&arguments),
        Command::Status(arguments) => status::run(&arguments),
        Command::Config(arguments) => configure::run(&arguments),
    }
}

fn run_serve(file: &Path) -> Exit {
    let text = match Input::from(file).text() {
        Ok(text) => text,
        Err(error) => return Exit::Usage.because(error),
    };
    match Settings::parse(&text) {
        Ok(settings) => run_vm(&settings.log.clone(), || serve::run(settings)),
        Err(faults) => {
            for fault in faults {
                exit::print_error(format_args!("{}: {fault}", file.display()));
            }
            Exit::Usage
        }
    }
}

fn run_platform(arguments: cli::Platform) -> Exit {
    if let Err(error) = logs::start_on_stdout(arguments.log_level, arguments.log_lines) {
        return Exit::Failed.because(error);
    }
    match platform::run() {
        Ok(()) => Exit::Done,
        Err(error @ platform::Error::Settings(_)) => Exit::Usage.because(error),
        Err(error) => Exit::Failed.because(error),
    }
}

/// Starts logging as `log` says and runs a VM until it stops.
fn run_vm(log: &Log, vm: impl FnOnce() -> Result<(), serve::Error>) -> Exit {
    if let Err(error) = logs::start(log) {
        return Exit::Failed.because(error);
    }
    match vm() {
        Ok(()) => Exit::Done,
        Err(error) => Exit::Failed.because(error),
    }
}
