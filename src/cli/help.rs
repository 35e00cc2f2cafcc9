//! The commands, the words that each takes, and their help texts.

use std::ffi::OsStr;

use super::Error;

/// A command, as a topic of help.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Topic {
    /// The program as a whole.
    Main,
    /// `serve`
    Serve,
    /// `platform`
    Platform,
    /// `dev`
    Dev,
    /// `submit`
    Submit,
    /// `check`
    Check,
    /// `config`
    Config,
    /// `status`
    Status,
}

/// What a command takes.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Options with a value.
    pub options: &'static [&'static str],
    /// Options without one.
    pub flags: &'static [&'static str],
    /// The most words besides.
    pub words_max: usize,
}

impl Topic {
    /// All commands, in the order in which help lists them.
    const COMMANDS: [Self; 7] = [
        Self::Serve,
        Self::Platform,
        Self::Dev,
        Self::Submit,
        Self::Check,
        Self::Config,
        Self::Status,
    ];

    /// The command that `word` names.
    pub fn of_word(word: &OsStr) -> Result<Self, Error> {
        let found = Self::COMMANDS.into_iter().find(|topic| word == topic.name());
        found.ok_or_else(|| Error::Command(word.to_string_lossy().into_owned()))
    }

    /// The word on the command line.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Main => "gypsumkeel",
            Self::Serve => "serve",
            Self::Platform => "platform",
            Self::Dev => "dev",
            Self::Submit => "submit",
            Self::Check => "check",
            Self::Config => "config",
            Self::Status => "status",
        }
    }

    /// All commands in one line.
    pub fn names() -> String {
        Self::COMMANDS.map(Self::name).join(", ")
    }

    /// What the command takes.
    pub const fn shape(self) -> Shape {
        let (options, flags, words_max): (&[_], &[_], _) = match self {
            Self::Main => (&[], &[], 0),
            Self::Platform => (&["log-level", "log-lines"], &[], 0),
            Self::Serve => (&["settings"], &[], 0),
            Self::Dev => (&["targets"], &[], 0),
            Self::Submit => (&["entry", "key", "timeout"], &["repeatable"], 1),
            Self::Check => (&[], &[], 1),
            Self::Config => (&["store", "prefix", "section", "base", "who", "why"], &[], 2),
            Self::Status => (&["entry"], &["json"], 0),
        };
        Shape { options, flags, words_max }
    }

    /// The help text.
    pub const fn text(self) -> &'static str {
        match self {
            Self::Main => MAIN,
            Self::Serve => SERVE,
            Self::Platform => PLATFORM,
            Self::Dev => DEV,
            Self::Submit => SUBMIT,
            Self::Check => CHECK,
            Self::Config => CONFIG,
            Self::Status => STATUS,
        }
    }
}

const MAIN: &str = "\
A dispatcher for jobs of sub-second tasks.

Usage: gypsumkeel COMMAND [OPTIONS]

Commands:
  serve     Run an entry VM
  platform  Run an entry VM on the users' platform
  dev       Run everything in one process, to try it out
  submit    Submit one job and wait for its answer
  check     Check a settings or configuration file
  config    Read or change the configuration
  status    Ask an entry VM how it is

Options:
  -h, --help     Print help; after a command, help on it
  -V, --version  Print the version

Exit codes:
  0  done
  1  failed
  2  the command line or an input is invalid
  3  refused, and nothing was executed
  4  it is not known whether anything was executed
";

const SERVE: &str = "\
Run an entry VM until SIGTERM or SIGINT, which stop it without cutting a job in flight.

Usage: gypsumkeel serve --settings FILE

Options:
  --settings FILE  The settings of this VM, in YAML

Prints a line `event=listening … callers=IP:PORT peers=IP:PORT` to standard output when it is ready.
";

const PLATFORM: &str = "\
Run an entry VM on the users' platform until SIGTERM or SIGINT, which stop it without cutting a job in flight.

Usage: gypsumkeel platform [--log-level LEVEL] [--log-lines N]

Options:
  --log-level LEVEL  The least severe lines to log: off, error, warn, info, debug or trace [default: info]
  --log-lines N      The most lines a second, of warnings and errors and of the rest each [default: 200]

The platform writes the settings, names their file in the environment, and reads the logs from standard output.
";

const DEV: &str = "\
Run an entry VM with a store in memory and built-in targets that echo, all in one process.

Usage: gypsumkeel dev [--targets N]

Options:
  --targets N  How many targets to run, 1 to 64 [default: 4]
";

const SUBMIT: &str = "\
Submit one job and wait for its answer. Tries again with the same key while that is safe.

Usage: gypsumkeel submit --entry URL[,URL…] [OPTIONS] FILE|-

Options:
  --entry URL[,URL…]  The entry VMs to try in turn, each http://IP:PORT
  --key KEY           The idempotency key; a fresh one by default
  --repeatable        Allow the tasks to be started again after a lost outcome
  --timeout TIME      How long to try, such as 5s [default: 30s]

FILE holds the job as JSON; - reads it from standard input. The answer goes to standard output.
Exits with 3 if the job was refused and nothing of it was executed, and with 4 if that is unknown.
";

const CHECK: &str = "\
Check a settings or configuration file, and print every error with its path and remedy.

Usage: gypsumkeel check FILE|-

The fields of the file tell which of the two it is.
";

const CONFIG: &str = "\
Read or change the configuration in the platform's store.

Usage: gypsumkeel config get     --store URL [--prefix P] [--section S]
       gypsumkeel config apply   --store URL [--prefix P] --section S --base VERSION --who NAME
                                 --why TEXT FILE|-
       gypsumkeel config history --store URL [--prefix P] [--section S]

Options:
  --store URL     The platform's store, http://IP:PORT
  --prefix P      What the installation's keys start with, as in the settings [default: gypsumkeel]
  --section S     targets, services, limits or teams, or a part of one such as targets/a
  --base VERSION  The version of the section that was edited; 0 for the first
  --who NAME      Who makes the change, for the audit trail
  --why TEXT      Why, for the audit trail

get prints the text to standard output, and the versions to standard error. apply exits with 3 if somebody
else has changed the section since the base, and with 4 if the outcome can't be learnt.
";

const STATUS: &str = "\
Ask an entry VM how it is.

Usage: gypsumkeel status --entry URL [--json]

Options:
  --entry URL  The entry VM, http://IP:PORT
  --json       Print the answer as it came
";
