//! The exit codes of the program, and how it says why it failed.

use std::fmt;
use std::io::{self, Write as _};
use std::process::{ExitCode, Termination};

/// How a run of the program ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Exit {
    /// Done.
    Done = 0,
    /// Failed; for a job: it was executed, in part or whole, and failed.
    Failed = 1,
    /// The command line or an input file is invalid.
    Usage = 2,
    /// Refused, and nothing was executed.
    Refused = 3,
    /// It is not known whether anything was executed.
    Unknown = 4,
}

impl Exit {
    /// The number that the shell sees.
    pub const fn code(self) -> u8 {
        self as u8
    }

    /// Complains of `error` and gives the code back.
    #[must_use]
    pub fn because(self, error: impl fmt::Display) -> Self {
        complain(error);
        self
    }
}

impl Termination for Exit {
    fn report(self) -> ExitCode {
        ExitCode::from(self.code())
    }
}

/// Writes `error` to standard error. If that is closed, only the exit code is left to tell.
pub fn complain(error: impl fmt::Display) {
    note(format_args!("[gypsumkeel error]: {error}"));
}

/// Writes a line beside the output to standard error, if that is open.
pub fn note(line: impl fmt::Display) {
    drop(writeln!(io::stderr(), "{line}"));
}

/// Writes `text` to standard output. A reader that hangs up early is no failure.
pub fn print(text: &str) -> Exit {
    let mut out = io::stdout().lock();
    match out.write_all(text.as_bytes()).and_then(|()| out.flush()) {
        Ok(()) => Exit::Done,
        Err(error) if error.kind() == io::ErrorKind::BrokenPipe => Exit::Done,
        Err(error) => Exit::Failed.because(format_args!("standard output: {error}; free the disk")),
    }
}
