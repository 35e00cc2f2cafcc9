//! Rate-limited logs on standard output that never block on its reader.

use std::io::{self, Write as _};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, Receiver};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Instant;

use log::Record;

use super::budget::{Budget, Kind};
use super::{Error, line};
use crate::settings::Level;

/// The default limit of log lines a second, for each [`Kind`]: about three times what a VM writes under the
/// heaviest load of the users' days.
pub const LINES_PER_SECOND: u64 = 200;

/// The number of lines that the process has omitted.
static OMITTED: AtomicU64 = AtomicU64::new(0);

/// The capacity of the queue of lines for standard output.
const QUEUE_LINES_MAX: usize = 2048;

/// Starts logging of the process to standard output. A line that exceeds the limit of its second, or that finds
/// the queue full, is omitted; `lines-omitted` events report the number of such lines later.
pub fn start_on_stdout(level: Level, lines_per_second: u64) -> Result<(), Error> {
    let (sender, lines) = mpsc::sync_channel::<String>(QUEUE_LINES_MAX);
    let budget = Arc::new(Mutex::new(Budget::new(lines_per_second)));
    let shared = Arc::clone(&budget);
    let started_at = Instant::now();
    let send = move |record: &Record<'_>| {
        let kind = kind(record);
        let admitted = lock(&shared).admits(started_at.elapsed().as_secs(), kind);
        if !admitted || sender.try_send(line(record.args(), record)).is_err() {
            OMITTED.fetch_add(1, Ordering::Relaxed);
            lock(&shared).omit(&event_name(record));
        }
    };
    let write = move || {
        // An error means that standard output is closed, so there is nowhere to report it.
        drop(write_all(&lines, &budget));
    };
    thread::Builder::new().name("logs".to_owned()).spawn(write).map_err(Error::Thread)?;
    fern::Dispatch::new()
        .level(level.into())
        .chain(fern::Output::call(send))
        .apply()
        .map_err(|_| Error::AlreadyStarted)
}

/// Returns the number of lines that the process has omitted since its start.
pub fn omitted() -> u64 {
    OMITTED.load(Ordering::Relaxed)
}

/// Writes queued lines to standard output, and after each the counts of omitted lines.
fn write_all(lines: &Receiver<String>, budget: &Mutex<Budget>) -> io::Result<()> {
    let mut output = io::stdout();
    for line in lines {
        writeln!(output, "{line}")?;
        let omitted = lock(budget).take_omitted();
        for (event, count) in omitted {
            writeln!(output, "event=lines-omitted of={event} count={count}")?;
        }
    }
    Ok(())
}

fn lock(budget: &Mutex<Budget>) -> MutexGuard<'_, Budget> {
    budget.lock().unwrap_or_else(PoisonError::into_inner)
}

fn kind(record: &Record<'_>) -> Kind {
    if record.level() <= log::Level::Warn { Kind::Severe } else { Kind::Usual }
}

/// Returns the name of a record's event.
fn event_name(record: &Record<'_>) -> String {
    let text = record.args().to_string();
    let name = text.strip_prefix("event=").and_then(|rest| rest.split(' ').next());
    name.unwrap_or("message").to_owned()
}
