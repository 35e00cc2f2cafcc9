//! Logs: one line of key=value pairs for each event, written to standard error, to a file, or rate-limited to
//! standard output.

mod budget;
mod output;

use std::fmt::{self, Write as _};
use std::fs::OpenOptions;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::SystemTime;

use log::{LevelFilter, Record};

pub use self::budget::{Budget, Kind};
pub use self::output::{LINES_PER_SECOND, omitted, start_on_stdout};
use crate::settings::{Level, Log};

/// Logs one event: a level, the event's name, and its key=value pairs. A level that is only known at run time
/// is given after `at`.
///
/// ```
/// gypsumkeel::event!(info, "config-applied", version = 3, who = "ana");
/// ```
#[macro_export]
macro_rules! event {
    (at $level:expr, $name:expr $(, $key:ident = $value:expr)* $(,)?) => {
        log::log!(
            $level,
            "event={}{}",
            $name,
            $crate::logs::Pairs(&[$((stringify!($key), &$value as &dyn ::std::fmt::Display)),*])
        )
    };
    ($level:ident, $name:expr $(, $key:ident = $value:expr)* $(,)?) => {
        log::$level!(
            "event={}{}",
            $name,
            $crate::logs::Pairs(&[$((stringify!($key), &$value as &dyn ::std::fmt::Display)),*])
        )
    };
}

/// Key=value pairs of a log line, each with a space before it. Values are quoted where necessary.
#[derive(Clone, Copy)]
pub struct Pairs<'a>(pub &'a [(&'a str, &'a dyn fmt::Display)]);

impl fmt::Display for Pairs<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|(key, value)| write!(f, " {key}={}", Value(value)))
    }
}

impl fmt::Debug for Pairs<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// A value, quoted if it is empty or has characters other than graphic ASCII, or any of `"`, `=` and `\`.
struct Value<'a>(&'a dyn fmt::Display);

impl fmt::Display for Value<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = self.0.to_string();
        let is_plain = |c: char| c.is_ascii_graphic() && !matches!(c, '"' | '=' | '\\');
        if !text.is_empty() && text.chars().all(is_plain) {
            f.write_str(&text)
        } else {
            write!(f, "{text:?}")
        }
    }
}

/// Why logging can't be started.
#[derive(Debug)]
pub enum Error {
    /// The log file at this path can't be opened.
    Open(PathBuf, io::Error),
    /// The thread that writes the logs can't be started.
    Thread(io::Error),
    /// Logging was started before in this process.
    AlreadyStarted,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Open(path, error) => {
                write!(f, "{}: {error}; give a writable path in log.file", path.display())
            }
            Self::Thread(error) => {
                write!(f, "can't start the log thread: {error}; raise the limit on threads")
            }
            Self::AlreadyStarted => {
                write!(f, "logging is already started; start it once in a process")
            }
        }
    }
}

impl std::error::Error for Error {}

/// Starts logging of the process to the file or stream that the settings name.
pub fn start(log: &Log) -> Result<(), Error> {
    let sink = match &log.file {
        Some(path) => open(path)?,
        None => Box::new(io::stderr()),
    };
    let sink = Box::new(Lossy(sink)) as Box<dyn Write + Send>;
    fern::Dispatch::new()
        .level(log.level.into())
        .format(|out, message, record| out.finish(format_args!("{}", line(message, record))))
        .chain(sink)
        .apply()
        .map_err(|_| Error::AlreadyStarted)
}

impl From<Level> for LevelFilter {
    fn from(level: Level) -> Self {
        match level {
            Level::Off => Self::Off,
            Level::Error => Self::Error,
            Level::Warn => Self::Warn,
            Level::Info => Self::Info,
            Level::Debug => Self::Debug,
            Level::Trace => Self::Trace,
        }
    }
}

fn open(path: &Path) -> Result<Box<dyn Write + Send>, Error> {
    let file = OpenOptions::new().append(true).create(true).open(path);
    file.map(|file| Box::new(file) as Box<dyn Write + Send>)
        .map_err(|error| Error::Open(path.to_owned(), error))
}

/// Formats a record as one line. A record that isn't an event, such as one of a dependency, becomes
/// `event=message`.
fn line(message: &fmt::Arguments<'_>, record: &Record<'_>) -> String {
    let time = humantime::format_rfc3339_millis(SystemTime::now());
    let level = record.level().as_str().to_ascii_lowercase();
    let mut line = format!("time={time} level={level} ");
    let text = message.to_string();
    let result = if text.starts_with("event=") && !text.contains('\n') {
        line.write_str(&text)
    } else {
        let pairs: [(&str, &dyn fmt::Display); 2] =
            [("module", &record.target()), ("message", &text)];
        write!(line, "event=message{}", Pairs(&pairs))
    };
    debug_assert_eq!(result, Ok(()));
    line
}

/// A writer that ignores errors. Otherwise fern reports them to standard error, and panics if that fails too.
struct Lossy(Box<dyn Write + Send>);

impl Write for Lossy {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        drop(self.0.write_all(bytes));
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        drop(self.0.flush());
        Ok(())
    }
}
