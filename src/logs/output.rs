//! Logs on standard output that never wait for who reads them.

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

/// The usual and the severe lines that a VM writes a second at most, where nothing else is asked for: some three
/// times those of a VM under the heaviest load of the users' days.
pub const LINES_PER_SECOND: u64 = 200;

/// How many lines the process has left out.
static OMITTED: AtomicU64 = AtomicU64::new(0);

/// Lines that may wait for standard output to take them.
const LINES_MAX: usize = 2048;

/// Sends all log lines of the process to standard output, without ever waiting for who reads it: lines that
/// find no room, or no place in the budget of the second, are left out, and their numbers are told later.
pub fn start_on_output(level: Level, lines_per_second: u64) -> Result<(), Error> {
    let (sender, lines) = mpsc::sync_channel::<String>(LINES_MAX);
    let budget = Arc::new(Mutex::new(Budget::new(lines_per_second)));
    let shared = Arc::clone(&budget);
    let began = Instant::now();
    let send = move |record: &Record<'_>| {
        let kind = kind(record);
        let admitted = lock(&shared).admits(began.elapsed().as_secs(), kind);
        if !admitted || sender.try_send(line(record.args(), record)).is_err() {
            OMITTED.fetch_add(1, Ordering::Relaxed);
            lock(&shared).omit(&event_of(record));
        }
    };
    let write = move || {
        // Nobody reads any longer: nothing is left to tell it to.
        drop(write_all(&lines, &budget));
    };
    thread::Builder::new().name("logs".to_owned()).spawn(write).map_err(Error::Thread)?;
    fern::Dispatch::new()
        .level(level.into())
        .chain(fern::Output::call(send))
        .apply()
        .map_err(|_| Error::Twice)
}

/// How many lines the process has left out since its start.
pub fn omitted() -> u64 {
    OMITTED.load(Ordering::Relaxed)
}

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

/// The name of the event that a record tells of.
fn event_of(record: &Record<'_>) -> String {
    let text = record.args().to_string();
    let name = text.strip_prefix("event=").and_then(|rest| rest.split(' ').next());
    name.unwrap_or("message").to_owned()
}
