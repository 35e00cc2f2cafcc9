//! A job is cancelled, which is acknowledged, and its request arrives once more seconds after its 2xx answer.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use super::Verdict;
use crate::fleet::{Fleet, job};
use crate::record::Record;
use crate::worker::{KIND_A, KIND_B};

/// `cancel_ms` of the small sites.
const CANCEL: Duration = Duration::from_millis(3000);

/// How long after the acknowledgement of the cancelling the late copy is sent.
const COPY_AFTER: Duration = Duration::from_millis(3500);

const ID: &str = "5c0e7a21d94b36f8";

pub fn run(program: &Path, record: &Record, has_trouble: bool) -> Verdict {
    let fleet = Fleet::start(program, record, &["a", "b"], 2, &[KIND_A, KIND_A, KIND_B])
        .map_err(|error| error.to_string())?;
    let fleet = Arc::new(fleet);
    let body = job(&[(2, 900)], 6800);
    let posted = fleet.post_in_background(0, ID, &body, 1500);
    thread::sleep(Duration::from_millis(300));
    if fleet.events(ID).is_empty() {
        return Err("the job has not begun".to_owned());
    }
    let cancelled = fleet.delete(1, ID, 1500);
    let acknowledged_at = Instant::now();
    if !cancelled.as_ref().is_ok_and(|answer| (200..300).contains(&answer.status)) {
        return Err(format!("the cancelling was not acknowledged: {cancelled:?}"));
    }
    let answered = posted.join().map_err(|_| "the client panicked".to_owned())?;
    if !answered.as_ref().is_ok_and(|answer| (200..300).contains(&answer.status)) {
        return Err(format!("the job's request got no 2xx: {answered:?}"));
    }
    thread::sleep(COPY_AFTER.saturating_sub(acknowledged_at.elapsed()));
    if has_trouble {
        record.line("the late copy of the job's request arrives");
        drop(fleet.post(2, ID, &body, 1500));
    }
    thread::sleep(Duration::from_millis(1500));
    let limit = acknowledged_at + CANCEL;
    let late =
        fleet.events(ID).into_iter().filter(|event| event.what == "start" && event.at > limit);
    let late = late.collect::<Vec<_>>();
    Ok(late.first().map(|first| {
        format!(
            "UNASKED: {} starts of the cancelled job later than cancel_ms (3,000) after the acknowledgement; \
             the first, of {} on {}, {} ms after it. No machine was disrupted.",
            late.len(),
            first.task,
            first.worker,
            (first.at - acknowledged_at).as_millis()
        )
    }))
}
