//! Errors of the command line, each with its remedy.

use std::fmt;

use super::Topic;

/// Why a command line is invalid.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// No command is given.
    NoCommand,
    /// The command does not exist.
    UnknownCommand(String),
    /// The action of `config` is missing or does not exist.
    Action(Option<String>),
    /// The command does not take this argument.
    Unexpected {
        /// The argument as given.
        word: String,
        /// The command.
        topic: Topic,
    },
    /// A required option or argument is missing.
    Missing {
        /// The name of the option, or of the argument in capital letters.
        name: &'static str,
        /// The command.
        topic: Topic,
    },
    /// The named option is given twice.
    Duplicate(&'static str),
    /// The value of an option is invalid.
    Value {
        /// The option's name.
        option: &'static str,
        /// The value as given.
        value: String,
        /// What the option takes, as a remedy.
        expected: &'static str,
    },
    /// Any other error, with the message of the parser.
    Parser(String),
}

impl From<lexopt::Error> for Error {
    fn from(error: lexopt::Error) -> Self {
        Self::Parser(error.to_string())
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoCommand => write!(f, "no command; use one of {}, or --help", Topic::names()),
            Self::UnknownCommand(word) => {
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
            Self::Duplicate(option) => write!(f, "--{option} is given twice; give it once"),
            Self::Value { option, value, expected } => {
                write!(f, "--{option} can't be {value:?}; give {expected}")
            }
            Self::Parser(text) => write!(f, "{text}; see gypsumkeel --help"),
        }
    }
}

impl std::error::Error for Error {}
