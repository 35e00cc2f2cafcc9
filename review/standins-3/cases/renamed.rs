//! The operator gives a route another name while a job runs. The client cancels its job under the path that it has always
//! used, and is told that no such job exists.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use super::Verdict;
use crate::fleet::{Fleet, job};
use crate::record::Record;
use crate::worker::{KIND_A, KIND_B};

/// `cancel_ms` and `stopMs` of the small sites.
const CANCEL: Duration = Duration::from_millis(3000);
const STOP: Duration = Duration::from_millis(50);

/// `configApplyMs` of the small sites.
const CONFIG_APPLY: Duration = Duration::from_millis(2000);

/// How long the client waits for its job.
const DEADLINE_MS: u64 = 10_000;

const ID: &str = "e41c85d3b0976fa2";

pub fn run(program: &Path, record: &Record, has_trouble: bool) -> Verdict {
    let fleet = Fleet::start(program, record, &["a", "b"], 2, &[KIND_A, KIND_A, KIND_B]);
    let fleet = Arc::new(fleet.map_err(|error| error.to_string())?);
    let body = job(&[(1, 500); 14], 6800);
    let posted = fleet.post_in_background(0, ID, &body, DEADLINE_MS);
    thread::sleep(Duration::from_millis(300));
    if fleet.events(ID).is_empty() {
        return Err("the job has not begun".to_owned());
    }
    if has_trouble {
        fleet.configure(2, "r-holds-2");
        record.line("the operator's configuration 2 is acknowledged: the route has another name");
    }
    thread::sleep(CONFIG_APPLY + Duration::from_millis(100));
    let cancelled = fleet.delete(1, ID, 1500);
    let acknowledged_at = Instant::now();
    let is_acknowledged = cancelled
        .as_ref()
        .is_ok_and(|answer| (200..300).contains(&answer.status) || answer.status == 410);
    if !is_acknowledged {
        return Err(format!("the cancelling was not acknowledged: {cancelled:?}"));
    }
    drop(posted.join());
    let events = fleet.events(ID);
    let late = events.iter().filter(|event| event.what == "start");
    let late = late.filter(|event| event.at > acknowledged_at + CANCEL).collect::<Vec<_>>();
    let last = events.iter().filter(|event| event.what != "start").map(|event| event.at).max();
    let last = last.map_or(Duration::ZERO, |at| at.saturating_duration_since(acknowledged_at));
    Ok((!late.is_empty() || last > CANCEL + STOP).then(|| {
        format!(
            "UNASKED: {} starts of the cancelled job later than cancel_ms (3,000) after the acknowledgement, and its last task \
             ran until {} ms after it. There was no disruption but a change of the configuration.",
            late.len(),
            last.as_millis()
        )
    }))
}
