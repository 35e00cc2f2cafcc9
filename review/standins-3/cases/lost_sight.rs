//! A VM freezes while a client waits there. The client cancels its job at another VM, is told that no such job exists, and
//! the job goes on when the VM wakes.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use super::Verdict;
use crate::fleet::{Fleet, Outcome, job};
use crate::record::Record;
use crate::worker::{KIND_A, KIND_B};

/// `cancel_ms` of the small sites.
const CANCEL: Duration = Duration::from_millis(3000);

/// `stableWindowMs` of the small sites.
const STABLE_WINDOW: Duration = Duration::from_millis(3000);

/// The length of the freeze: that of `node_freeze` in the site file.
const FREEZE: Duration = Duration::from_millis(4000);

/// When the client cancels, after the freeze has begun.
const CANCEL_AFTER: Duration = Duration::from_millis(1600);

/// The pause between two requests to cancel: the `Retry-After` of a 503.
const RETRY_AFTER: Duration = Duration::from_millis(1000);

/// How long the client waits for its job.
const DEADLINE_MS: u64 = 10_000;

const ID: &str = "7b1d90e2c4a5f638";

/// The VM that freezes, and the one at which the client cancels.
const FROZEN: usize = 3;
const OTHER: usize = 0;

pub fn run(program: &Path, record: &Record, has_trouble: bool) -> Verdict {
    let fleet = Fleet::start(program, record, &["a", "b"], 2, &[KIND_A, KIND_A, KIND_B])
        .map_err(|error| error.to_string())?;
    let fleet = Arc::new(fleet);
    let body = job(&[(1, 500); 8], 6800);
    let posted = fleet.post_in_background(FROZEN, ID, &body, DEADLINE_MS);
    thread::sleep(Duration::from_millis(300));
    if fleet.events(ID).is_empty() {
        return Err("the job has not begun".to_owned());
    }
    let frozen_at = Instant::now();
    let waker = has_trouble.then(|| {
        fleet.vms[FROZEN].signal("STOP");
        record.line(&format!("{} freezes", fleet.vms[FROZEN].name));
        let (fleet, record) = (Arc::clone(&fleet), record.clone());
        thread::spawn(move || {
            thread::sleep(FREEZE.saturating_sub(frozen_at.elapsed()));
            fleet.vms[FROZEN].signal("CONT");
            record.line(&format!("{} wakes", fleet.vms[FROZEN].name));
        })
    });
    thread::sleep(CANCEL_AFTER.saturating_sub(frozen_at.elapsed()));
    let mut cancelled = fleet.delete(OTHER, ID, 1500);
    while !is_acknowledged(&cancelled) {
        if frozen_at.elapsed() > Duration::from_secs(10) {
            return Err(format!("the cancelling was not acknowledged: {cancelled:?}"));
        }
        thread::sleep(RETRY_AFTER);
        cancelled = fleet.delete(OTHER, ID, 1500);
    }
    let acknowledged_at = Instant::now();
    drop(posted.join());
    if let Some(waker) = waker {
        drop(waker.join());
    }
    // All machines are in touch from then on: the frozen one since the stable window after it woke.
    let in_touch_at = if has_trouble { frozen_at + FREEZE + STABLE_WINDOW } else { frozen_at };
    let limit = (acknowledged_at + CANCEL).max(in_touch_at);
    let late =
        fleet.events(ID).into_iter().filter(|event| event.what == "start" && event.at > limit);
    let late = late.collect::<Vec<_>>();
    Ok(late.first().map(|first| {
        format!(
            "UNASKED: {} starts of the cancelled job later than cancel_ms (3,000) after the acknowledgement, with all \
             machines in touch; the first, of {} on {}, {} ms after it and {} ms after the machine woke.",
            late.len(),
            first.task,
            first.worker,
            (first.at - acknowledged_at).as_millis(),
            first.at.saturating_duration_since(frozen_at + FREEZE).as_millis()
        )
    }))
}

fn is_acknowledged(outcome: &Outcome) -> bool {
    outcome.as_ref().is_ok_and(|answer| (200..300).contains(&answer.status) || answer.status == 410)
}
