//! The command line: words in, one [`Command`] out. Nothing is run here.

mod error;
mod help;
mod input;
mod words;

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;

use lexopt::{Arg, Parser};
use serde::Deserialize as _;
use serde::de::IntoDeserializer as _;
use serde::de::value::{Error as ValueError, StrDeserializer};

pub use self::error::Error;
pub use self::help::Topic;
pub use self::input::{Input, InputError};
use self::words::Words;
use crate::clock::Millis;
use crate::config::Name;
use crate::logs::LINES_PER_SECOND;
use crate::settings::Level;

/// The targets that `dev` runs where no number is given.
const DEV_TARGETS: usize = 4;

/// The most targets that `dev` runs.
const DEV_TARGETS_MAX: usize = 64;

/// How long `submit` tries where no time is given.
const SUBMIT_TIMEOUT: Millis = Millis::from_secs(30);

/// The key prefix of an installation where none is given, as in the settings.
const STORE_PREFIX: &str = "gypsumkeel";

/// What fits as a level.
const LEVEL_EXPECTED: &str = "off, error, warn, info, debug or trace";

/// What fits as a section's name.
const SECTION_EXPECTED: &str = "targets, services, limits or teams, or a part such as targets/a";

/// What the program is asked to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Print a help text.
    Help(Topic),
    /// Print the version.
    Version,
    /// Run an entry VM.
    Serve {
        /// The settings file.
        settings: PathBuf,
    },
    /// Run an entry VM on the users' platform.
    Platform(Platform),
    /// Run the embedded default.
    Dev {
        /// How many built-in targets to run.
        targets: usize,
    },
    /// Submit one job.
    Submit(Submit),
    /// Check a settings or configuration file.
    Check {
        /// The file.
        file: Input,
    },
    /// Read or change the configuration.
    Config(Config),
    /// Ask a VM how it is.
    Status(Status),
}

/// The words of `platform`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Platform {
    /// The least severe level that is logged.
    pub log_level: Level,
    /// The most usual and the most severe lines a second.
    pub log_lines: u64,
}

/// The words of `submit`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Submit {
    /// The entry VMs, in the order to try them.
    pub entries: Vec<SocketAddr>,
    /// The idempotency key; a fresh one where none is given.
    pub key: Option<String>,
    /// Whether to mark the job as repeatable.
    pub repeatable: bool,
    /// How long to try.
    pub timeout: Millis,
    /// The job.
    pub file: Input,
}

/// The words of `config`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Config {
    /// The platform's store.
    pub store: SocketAddr,
    /// What all keys of the installation start with.
    pub prefix: String,
    /// What to do.
    pub action: Action,
}

/// What `config` is to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Print the document or one section.
    Get {
        /// The section; all where none is given.
        section: Option<Name>,
    },
    /// Replace one section.
    Apply(Apply),
    /// Print the audit trail.
    History {
        /// The section; all where none is given.
        section: Option<Name>,
    },
}

/// The words of `config apply`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Apply {
    /// The section to replace.
    pub section: Name,
    /// The version that was edited.
    pub base: u64,
    /// Who changes it.
    pub who: String,
    /// Why.
    pub why: String,
    /// The new section.
    pub file: Input,
}

/// The words of `status`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Status {
    /// The entry VM.
    pub entry: SocketAddr,
    /// Whether to print the answer as it came.
    pub json: bool,
}

/// Reads the words after the program's name.
pub fn parse(args: impl IntoIterator<Item = OsString>) -> Result<Command, Error> {
    let mut parser = Parser::from_args(args);
    let topic = match parser.next()? {
        None => return Err(Error::NoCommand),
        Some(Arg::Long("help") | Arg::Short('h')) => return Ok(Command::Help(Topic::Main)),
        Some(Arg::Long("version") | Arg::Short('V')) => return Ok(Command::Version),
        Some(Arg::Value(word)) => Topic::of_word(&word)?,
        Some(arg) => return Err(arg.unexpected().into()),
    };
    let words = Words::read(parser, topic)?;
    if words.is_set("help") {
        return Ok(Command::Help(topic));
    }
    match topic {
        Topic::Main => Ok(Command::Help(topic)),
        Topic::Platform => platform(&words),
        Topic::Serve => Ok(Command::Serve { settings: words.required("settings")?.into() }),
        Topic::Dev => dev(&words),
        Topic::Submit => submit(&words),
        Topic::Check => Ok(Command::Check { file: words.file("FILE")? }),
        Topic::Config => config(&words),
        Topic::Status => status(&words),
    }
}

fn platform(words: &Words) -> Result<Command, Error> {
    let level = |text: &str| {
        let word: StrDeserializer<'_, ValueError> = text.into_deserializer();
        Level::deserialize(word).ok()
    };
    let log_level = words.optional("log-level", LEVEL_EXPECTED, level)?;
    let log_lines = words.optional("log-lines", "a number of lines", |text| text.parse().ok())?;
    Ok(Command::Platform(Platform {
        log_level: log_level.unwrap_or_default(),
        log_lines: log_lines.unwrap_or(LINES_PER_SECOND),
    }))
}

fn dev(words: &Words) -> Result<Command, Error> {
    let expected = "a number of targets from 1 to 64";
    let fits = |text: &str| text.parse().ok().filter(|count| (1..=DEV_TARGETS_MAX).contains(count));
    let targets = words.optional("targets", expected, fits)?;
    Ok(Command::Dev { targets: targets.unwrap_or(DEV_TARGETS) })
}

fn submit(words: &Words) -> Result<Command, Error> {
    let timeout = words.time("timeout")?;
    Ok(Command::Submit(Submit {
        entries: words.addresses("entry")?,
        key: words.text("key")?,
        repeatable: words.is_set("repeatable"),
        timeout: timeout.unwrap_or(SUBMIT_TIMEOUT),
        file: words.file("FILE")?,
    }))
}

fn status(words: &Words) -> Result<Command, Error> {
    let entry = words.address("entry")?;
    Ok(Command::Status(Status { entry, json: words.is_set("json") }))
}

fn config(words: &Words) -> Result<Command, Error> {
    let section = words.optional("section", SECTION_EXPECTED, |text| text.parse().ok())?;
    let action = match words.word(0) {
        Some("get") => Action::Get { section },
        Some("history") => Action::History { section },
        Some("apply") => Action::Apply(Apply {
            section: section.ok_or_else(|| words.lacks("section"))?,
            base: words
                .optional("base", "the version that config get printed", |text| text.parse().ok())?
                .ok_or_else(|| words.lacks("base"))?,
            who: words.text("who")?.ok_or_else(|| words.lacks("who"))?,
            why: words.text("why")?.ok_or_else(|| words.lacks("why"))?,
            file: words.file("FILE")?,
        }),
        _ => return Err(Error::Action(words.word(0).map(str::to_owned))),
    };
    if !matches!(action, Action::Apply(_))
        && let Some(word) = words.word(1)
    {
        return Err(Error::Unexpected { word: word.to_owned(), topic: Topic::Config });
    }
    let prefix = words.text("prefix")?.unwrap_or_else(|| STORE_PREFIX.to_owned());
    Ok(Command::Config(Config { store: words.address("store")?, prefix, action }))
}
