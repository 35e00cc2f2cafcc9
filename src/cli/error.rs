//! What can be wrong with a command line, each with its remedy.

use std::fmt;

use super::Topic;

/// Why a command line was not understood.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// No command at all.
    NoCommand,
    /// A command that does not exist.
    Command(String),
    /// `config` without one of its actions.
    Action(Option<String>),
    /// A word or option that the command does not take.
    Unexpected {
        /// The word.
        word: String,
        /// The command.
        topic: Topic,
    },
    /// An option or word that the command needs.
    Missing {
        /// Its name.
        name: &'static str,
        /// The command.
        topic: Topic,
    },
    /// An option given twice.
    Twice(&'static str),
    /// A value that does not fit its option.
    Value {
        /// The option.
        option: &'static str,
        /// What was given.
        value: String,
        /// What fits.
        expected: &'static str,
    },
    /// Anything else, in the words of the parser.
    Words(String),
}

impl From<lexopt::Error> for Error {
    fn from(error: lexopt::Error) -> Self {
        Self::Words(error.to_string())
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoCommand => write!(f, "no command; use one of {}, or --help", Topic::names()),
            Self::Command(word) => {
                write!(f, "no such command {word:?}; use one of {}, or --help", Topic::names())
            }
            Self::Action(None) => {
                write!(f, "config does nothing by itself; add get, apply or history")
            }
            Self::Action(Some(word)) => {
                write!(f, "config has no action {word:?}; use get, apply or history")
            }
            Self::Unexpected { word, topic } => {
                let name = topic.name();
                write!(f, "{name} takes no {word:?}; see gypsumkeel {name} --help")
            }
            Self::Missing { name, topic } => {
                let dashes = if name.starts_with(char::is_lowercase) { "--" } else { "" };
                let command = topic.name();
                write!(f, "{command} needs {dashes}{name}; see gypsumkeel {command} --help")
            }
            Self::Twice(option) => write!(f, "--{option} is given twice; give it once"),
            Self::Value { option, value, expected } => {
                write!(f, "--{option} can't be {value:?}; give {expected}")
            }
            Self::Words(text) => write!(f, "{text}; see gypsumkeel --help"),
        }
    }
}

impl std::error::Error for Error {}
