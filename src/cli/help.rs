//! The commands, the arguments that each takes, and their help texts.

use std::ffi::OsStr;

use super::Error;

/// A command, or the program as a whole, as the subject of a help text.
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

/// The options and arguments that a command takes.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// The names of options with a value.
    pub options: &'static [&'static str],
    /// The names of options without a value.
    pub flags: &'static [&'static str],
    /// The maximum number of positional arguments.
    pub positional_max: usize,
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

    /// Returns the command named `word`.
    pub fn from_word(word: &OsStr) -> Result<Self, Error> {
        let found = Self::COMMANDS.into_iter().find(|topic| word == topic.name());
        found.ok_or_else(|| Error::UnknownCommand(word.to_string_lossy().into_owned()))
    }

    /// The command's name on the command line, or the program's name.
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

    /// The names of all commands, separated by commas.
    pub fn names() -> String {
        Self::COMMANDS.map(Self::name).join(", ")
    }

    /// The options and arguments that the command takes.
    pub const fn shape(self) -> Shape {
        let (options, flags, positional_max): (&[_], &[_], _) = match self {
            Self::Main => (&[], &[], 0),
            Self::Platform => (&["log-level", "log-lines"], &[], 0),
            Self::Serve => (&["settings"], &[], 0),
            Self::Dev => (&["targets"], &[], 0),
            Self::Submit => (&["entry", "key", "timeout"], &["repeatable"], 1),
            Self::Check => (&["against"], &["json"], 1),
            Self::Config => (&["store", "prefix", "section", "base", "who", "why"], &[], 2),
            Self::Status => (&["entry"], &["json"], 0),
        };
        Shape { options, flags, positional_max }
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
  status    Show the status of an entry VM

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
Run an entry VM until SIGTERM or SIGINT. It finishes jobs in flight before it exits.

Usage: gypsumkeel serve --settings FILE

Options:
  --settings FILE  The settings of this VM, in YAML

Prints a line `event=listening … callers=IP:PORT peers=IP:PORT` to standard output when it is ready.
";

const PLATFORM: &str = "\
Run an entry VM on the users' platform until SIGTERM or SIGINT. It finishes jobs in flight before it exits.

Usage: gypsumkeel platform [--log-level LEVEL] [--log-lines N]

Options:
  --log-level LEVEL  The least severe level to log: off, error, warn, info, debug or trace [default: info]
  --log-lines N      The maximum number of lines a second, counted separately for warnings and errors and
                     for all other lines [default: 200]

Reads the settings file that the platform names in the environment, and logs to standard output.
";

const DEV: &str = "\
Run an entry VM with a store in memory and built-in targets that echo each task's payload, all in one process.

Usage: gypsumkeel dev [--targets N]

Options:
  --targets N  The number of targets, 1 to 64 [default: 4]
";

const SUBMIT: &str = "\
Submit one job and wait for its answer. Retries with the same key while that is safe.

Usage: gypsumkeel submit --entry URL[,URL…] [OPTIONS] FILE|-

Options:
  --entry URL[,URL…]  The entry VMs to try in turn, each http://IP:PORT
  --key KEY           The idempotency key [default: a new one]
  --repeatable        Allow tasks to be started again if their outcome is lost
  --timeout TIME      How long to retry and wait, such as 5s [default: 30s]

FILE holds the job as JSON; - reads it from standard input. The answer goes to standard output.
Exits with 3 if the job was refused and nothing was executed, and with 4 if
it is not known whether anything was executed.
";

const CHECK: &str = "\
Check a settings or configuration file, and print every error with its path and remedy.

Usage: gypsumkeel check [--against FILE] [--json] FILE|-

Options:
  --against FILE  Print what differs from this configuration of the platform, and what that does
  --json          Print the result for a configuration of the platform as JSON

The kind of the file is recognized by its fields.
";

const CONFIG: &str = "\
Read or change the configuration in the platform's store.

Usage: gypsumkeel config get     --store URL [--prefix P] [--section S]
       gypsumkeel config apply   --store URL [--prefix P] --section S --base VERSION --who NAME
                                 --why TEXT FILE|-
       gypsumkeel config history --store URL [--prefix P] [--section S]

Options:
  --store URL     The platform's store, http://IP:PORT
  --prefix P      The prefix of the installation's keys, as in the settings [default: gypsumkeel]
  --section S     targets, services, limits or teams, or a part of one such as targets/a
  --base VERSION  The version of the section that the change is based on; 0 for a new section
  --who NAME      The name of whoever makes the change, for the audit trail
  --why TEXT      The reason for the change, for the audit trail

get prints the text to standard output, and the versions to standard error. apply exits with 3 if the
section was changed since the base version, and with 4 if it is not known whether the change was applied.
";

const STATUS: &str = "\
Show the status of an entry VM.

Usage: gypsumkeel status --entry URL [--json]

Options:
  --entry URL  The entry VM, http://IP:PORT
  --json       Print the VM's response unchanged, as JSON
";
