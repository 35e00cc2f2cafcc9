//! The exit codes of the program, and its output to the terminal.

use std::fmt;
use std::io::{self, Write as _};
use std::process::{ExitCode, Termination};

/// The exit code of the program.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// The command failed. For a job: it failed after some or all of it was executed.
    Failed = 1,
    /// The command line or an input file is invalid.
    Usage = 2,
    /// The request was refused, and nothing was executed.
    Refused = 3,
    /// It is not known whether anything was executed.
    Unknown = 4,
}

impl Exit {
    /// The exit code as a number.
    pub const fn code(self) -> u8 {
        self as u8
    }

    /// Prints `error` as the reason and returns the exit code.
    #[must_use]
    pub fn because(self, error: impl fmt::Display) -> Self {
        print_error(error);
        self
    }
}

impl Termination for Exit {
    fn report(self) -> ExitCode {
        ExitCode::from(self.code())
    }
}

/// Prints `error` to standard error. If that is closed, only the exit code reports the failure.
pub fn print_error(error: impl fmt::Display) {
    print_note(format_args!("[gypsumkeel error]: {error}"));
}

/// Prints a line that isn't part of the output to standard error. Errors of the write are ignored.
pub fn print_note(line: impl fmt::Display) {
    drop(writeln!(io::stderr(), "{line}"));
}

/// Prints `text` to standard output. It is no failure if the reader closes the pipe early.
pub fn print(text: &str) -> Exit {
    let mut out = io::stdout().lock();
    match out.write_all(text.as_bytes()).and_then(|()| out.flush()) {
        Ok(()) => Exit::Done,
        Err(error) if error.kind() == io::ErrorKind::BrokenPipe => Exit::Done,
        Err(error) => Exit::Failed.because(format_args!(
            "standard output: {error}; check that it is open and that the disk has free space"
        )),
    }
}
