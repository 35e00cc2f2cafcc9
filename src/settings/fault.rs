//! An error in a settings or configuration file, with its remedy.

use std::fmt;

/// An error at one path of a settings or configuration file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// The path of the field, such as `store.timeout` or `targets[3].address`, or a line and column.
    pub path: String,
    /// The rejected value, with strings in quotes; `None` if the field is missing.
    pub value: Option<String>,
    /// How to correct the field.
    pub remedy: String,
}

impl Fault {
    /// Longer values are truncated in messages to this number of characters.
    const VALUE_MAX_CHARS: usize = 120;

    /// Creates a fault for the value at `path`.
    pub fn new(path: &str, value: impl fmt::Display, remedy: impl Into<String>) -> Self {
        let value = value.to_string();
        let truncated = value.chars().take(Self::VALUE_MAX_CHARS).collect();
        Self { path: path.to_owned(), value: Some(truncated), remedy: remedy.into() }
    }

    /// Creates a fault for a required field that is missing.
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
