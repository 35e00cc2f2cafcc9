//! What is wrong with a settings or configuration file, and how to put it right.

use std::fmt;

/// One error of a file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// Where it is, such as `store.timeout` or `targets[3].address`.
    pub path: String,
    /// What stands there, strings in quotes; `None` for a field that is missing.
    pub value: Option<String>,
    /// What to write instead.
    pub remedy: String,
}

impl Fault {
    /// The longest value that is repeated in a message, in characters.
    const VALUE_MAX_CHARS: usize = 120;

    /// A fault of the value at `path`.
    pub fn new(path: &str, value: impl fmt::Display, remedy: impl Into<String>) -> Self {
        let value = value.to_string();
        let short = value.chars().take(Self::VALUE_MAX_CHARS).collect();
        Self { path: path.to_owned(), value: Some(short), remedy: remedy.into() }
    }

    /// A field that has to be there and is not.
    pub fn missing(path: &str, remedy: impl Into<String>) -> Self {
        Self { path: path.to_owned(), value: None, remedy: remedy.into() }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.value {
            Some(value) => write!(f, "{}: {value}: {}", self.path, self.remedy),
            None => write!(f, "{}: missing: {}", self.path, self.remedy),
        }
    }
}

impl std::error::Error for Fault {}
