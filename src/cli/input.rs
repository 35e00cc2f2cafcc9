//! Input text from a file or from standard input.

use std::fmt;
use std::fs;
use std::io::{self, Read as _};
use std::path::{Path, PathBuf};

/// The source of an input text.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Input {
    /// Standard input, written `-`.
    Stdin,
    /// The file at this path.
    File(PathBuf),
}

impl Input {
    /// Reads the whole text, which must be UTF-8.
    pub fn text(&self) -> Result<String, InputError> {
        let text = match self {
            Self::Stdin => {
                let mut text = String::new();
                io::stdin().read_to_string(&mut text).map(|_| text)
            }
            Self::File(path) => fs::read_to_string(path),
        };
        text.map_err(|error| InputError { input: self.clone(), error })
    }
}

impl From<&Path> for Input {
    fn from(path: &Path) -> Self {
        Self::File(path.to_owned())
    }
}

impl fmt::Display for Input {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Stdin => f.write_str("standard input"),
            Self::File(path) => write!(f, "{}", path.display()),
        }
    }
}

/// Why an input can't be read.
#[derive(Debug)]
pub struct InputError {
    input: Input,
    error: io::Error,
}

impl fmt::Display for InputError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; give a readable file in UTF-8", self.input, self.error)
    }
}

impl std::error::Error for InputError {}
