//! Parses the command line into one [`Command`]. Nothing is run here.

mod arguments;
mod error;
mod help;
mod input;

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;

use lexopt::{Arg, Parser};
use serde::Deserialize as _;
use serde::de::IntoDeserializer as _;
use serde::de::value::{Error as ValueError, StrDeserializer};

use self::arguments::Arguments;
pub use self::error::Error;
pub use self::help::Topic;
pub use self::input::{Input, InputError};
use crate::clock::Millis;
use crate::config::Name;
use crate::logs::LINES_PER_SECOND;
use crate::settings::Level;

/// The default number of targets of `dev`.
const DEV_TARGETS: usize = 4;

/// The maximum number of targets of `dev`.
const DEV_TARGETS_MAX: usize = 64;

/// How long `submit` retries and waits by default.
const SUBMIT_TIMEOUT: Millis = Millis::from_secs(30);

/// The default prefix of an installation's keys, as in the settings.
const STORE_PREFIX: &str = "gypsumkeel";

/// The valid levels, for an error message.
const LEVEL_EXPECTED: &str = "off, error, warn, info, debug or trace";

/// The valid names of sections, for an error message.
const SECTION_EXPECTED: &str = "targets, services, limits or teams, or a part such as targets/a";

/// A parsed command line.
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
    /// Run an entry VM, a store and built-in targets in one process.
    Dev {
        /// The number of built-in targets.
        targets: usize,
    },
    /// Submit one job.
    Submit(Submit),
    /// Check a settings or configuration file.
    Check {
        /// The file.
        file: Input,
        /// The configuration of the platform to compare with.
        against: Option<Input>,
        /// Whether to print JSON.
        json: bool,
    },
    /// Read or change the configuration.
    Config(Config),
    /// Show the status of an entry VM.
    Status(Status),
}

/// The arguments of `platform`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Platform {
    /// The least severe level that is logged.
    pub log_level: Level,
    /// The maximum number of lines a second, for severe and for all other lines each.
    pub log_lines: u64,
}

/// The arguments of `submit`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Submit {
    /// The entry VMs, in the order to try them.
    pub entries: Vec<SocketAddr>,
    /// The idempotency key; a new one is made if none is given.
    pub key: Option<String>,
    /// Whether to mark the job as repeatable.
    pub repeatable: bool,
    /// How long to retry and wait for the response.
    pub timeout: Millis,
    /// The input that holds the job.
    pub file: Input,
}

/// The arguments of `config`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Config {
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// The prefix of the installation's keys.
    pub prefix: String,
    /// The action on the configuration.
    pub action: Action,
}

/// An action of `config`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Print the whole configuration or one section.
    Get {
        /// The section; all sections if none is given.
        section: Option<Name>,
    },
    /// Replace one section.
    Apply(Apply),
    /// Print the audit trail.
    History {
        /// The section; all sections if none is given.
        section: Option<Name>,
    },
}

/// The arguments of `config apply`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Apply {
    /// The section to replace.
    pub section: Name,
    /// The version of the section that the change is based on; 0 for a new section.
    pub base: u64,
    /// Who makes the change, for the audit trail.
    pub who: String,
    /// The reason for the change, for the audit trail.
    pub why: String,
    /// The input that holds the section's new text.
    pub file: Input,
}

/// The arguments of `status`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Status {
    /// The entry VM.
    pub entry: SocketAddr,
    /// Whether to print the VM's response unchanged, as JSON.
    pub json: bool,
}

/// Parses the arguments after the program's name.
pub fn parse(args: impl IntoIterator<Item = OsString>) -> Result<Command, Error> {
    let mut parser = Parser::from_args(args);
    let topic = match parser.next()? {
        None => return Err(Error::NoCommand),
        Some(Arg::Long("help") | Arg::Short('h')) => return Ok(Command::Help(Topic::Main)),
        Some(Arg::Long("version") | Arg::Short('V')) => return Ok(Command::Version),
        Some(Arg::Value(word)) => Topic::from_word(&word)?,
        Some(arg) => return Err(arg.unexpected().into()),
    };
    let arguments = Arguments::parse(parser, topic)?;
    if arguments.is_set("help") {
        return Ok(Command::Help(topic));
    }
    match topic {
        Topic::Main => Ok(Command::Help(topic)),
        Topic::Platform => platform(&arguments),
        Topic::Serve => Ok(Command::Serve { settings: arguments.required("settings")?.into() }),
        Topic::Dev => dev(&arguments),
        Topic::Submit => submit(&arguments),
        Topic::Check => Ok(Command::Check {
            file: arguments.file("FILE")?,
            against: arguments.text("against")?.map(|path| Input::File(path.into())),
            json: arguments.is_set("json"),
        }),
        Topic::Config => config(&arguments),
        Topic::Status => status(&arguments),
    }
}

fn platform(arguments: &Arguments) -> Result<Command, Error> {
    let level = |text: &str| {
        let word: StrDeserializer<'_, ValueError> = text.into_deserializer();
        Level::deserialize(word).ok()
    };
    let log_level = arguments.optional("log-level", LEVEL_EXPECTED, level)?;
    let log_lines =
        arguments.optional("log-lines", "a number of lines", |text| text.parse().ok())?;
    Ok(Command::Platform(Platform {
        log_level: log_level.unwrap_or_default(),
        log_lines: log_lines.unwrap_or(LINES_PER_SECOND),
    }))
}

fn dev(arguments: &Arguments) -> Result<Command, Error> {
    let expected = "a number of targets from 1 to 64";
    let parse =
        |text: &str| text.parse().ok().filter(|count| (1..=DEV_TARGETS_MAX).contains(count));
    let targets = arguments.optional("targets", expected, parse)?;
    Ok(Command::Dev { targets: targets.unwrap_or(DEV_TARGETS) })
}

fn submit(arguments: &Arguments) -> Result<Command, Error> {
    let timeout = arguments.time("timeout")?;
    Ok(Command::Submit(Submit {
        entries: arguments.addresses("entry")?,
        key: arguments.text("key")?,
        repeatable: arguments.is_set("repeatable"),
        timeout: timeout.unwrap_or(SUBMIT_TIMEOUT),
        file: arguments.file("FILE")?,
    }))
}

fn status(arguments: &Arguments) -> Result<Command, Error> {
    let entry = arguments.address("entry")?;
    Ok(Command::Status(Status { entry, json: arguments.is_set("json") }))
}

fn config(arguments: &Arguments) -> Result<Command, Error> {
    let section = arguments.optional("section", SECTION_EXPECTED, |text| text.parse().ok())?;
    let action = match arguments.positional(0) {
        Some("get") => Action::Get { section },
        Some("history") => Action::History { section },
        Some("apply") => Action::Apply(Apply {
            section: section.ok_or_else(|| arguments.missing("section"))?,
            base: arguments
                .optional("base", "the version that config get printed", |text| text.parse().ok())?
                .ok_or_else(|| arguments.missing("base"))?,
            who: arguments.text("who")?.ok_or_else(|| arguments.missing("who"))?,
            why: arguments.text("why")?.ok_or_else(|| arguments.missing("why"))?,
            file: arguments.file("FILE")?,
        }),
        _ => return Err(Error::Action(arguments.positional(0).map(str::to_owned))),
    };
    if !matches!(action, Action::Apply(_))
        && let Some(word) = arguments.positional(1)
    {
        return Err(Error::Unexpected { word: word.to_owned(), topic: Topic::Config });
    }
    let prefix = arguments.text("prefix")?.unwrap_or_else(|| STORE_PREFIX.to_owned());
    Ok(Command::Config(Config { store: arguments.address("store")?, prefix, action }))
}
