//! A worker's process ends and starts again while a small task runs on it. A job that arrives just afterwards is started there;
//! the start waits in the socket's queue and is carried out when the new process is up, long after the VM has given it up.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use super::Verdict;
use crate::fleet::{Fleet, job};
use crate::record::Record;
use crate::worker::{KIND_A, overlaps};

/// How long the new process takes until it accepts connections. `srv_crash` of the site file: 4.5 s.
const DOWN: Duration = Duration::from_millis(1400);

/// When the job arrives, after the end of the old process.
const JOB_AFTER: Duration = Duration::from_millis(20);

/// How long the client waits for its job, and the work of the job.
const DEADLINE_MS: u64 = 4000;
const WORK_MS: u64 = 900;

const FULL: &str = "d2e95a08c7b4f15f";
const SMALL: &str = "d2e95a08c7b4f160";
const ID: &str = "d2e95a08c7b4f161";

pub fn run(program: &Path, record: &Record, has_trouble: bool) -> Verdict {
    let zones = ["a", "b", "c", "d"];
    let fleet = Fleet::start(program, record, &zones, 2, &[KIND_A, KIND_A]);
    let fleet = Arc::new(fleet.map_err(|error| error.to_string())?);
    // One of the zone's two workers is full for a second, so that the next jobs go to the other one.
    let full = fleet.post_in_background(0, FULL, &job(&[(1, 1000)], 15_500), DEADLINE_MS);
    thread::sleep(Duration::from_millis(20));
    let full_worker = worker_of(&fleet, FULL)?;
    let worker = fleet.workers.iter().take(2).find(|worker| worker.id != full_worker);
    let worker = worker.ok_or("the full worker is in another zone")?.clone();
    // A hold has begun to wait, and the start of a small task is answered after that.
    let begun = Instant::now();
    while worker.since_hold().is_none_or(|since| since > Duration::from_millis(40)) {
        if begun.elapsed() > Duration::from_secs(5) {
            return Err("no hold arrives at the worker".to_owned());
        }
        thread::sleep(Duration::from_millis(2));
    }
    let small = fleet.post_in_background(0, SMALL, &job(&[(1, 600)], 1000), 1500);
    thread::sleep(Duration::from_millis(60));
    if worker_of(&fleet, SMALL)? != worker.id {
        return Err("the small task began on another worker".to_owned());
    }
    if has_trouble {
        worker.restart(KIND_A, DOWN);
    }
    thread::sleep(JOB_AFTER);
    drop(fleet.post(0, ID, &job(&[(1, WORK_MS)], 15_000), DEADLINE_MS));
    drop(small.join());
    drop(full.join());
    thread::sleep(Duration::from_millis(500));
    let events = fleet.ledger.lock().unwrap().clone();
    Ok(overlaps(&events).first().map(|(task, first, second, together)| {
        format!(
            "TWICE: {task} ran on {first} and on {second} at the same time, for {} ms.",
            together.as_millis()
        )
    }))
}

/// The worker on which a job's first task has begun.
fn worker_of(fleet: &Fleet, id: &str) -> Result<String, String> {
    let events = fleet.events(id);
    let start = events.iter().find(|event| event.what == "start");
    start.map(|event| event.worker.clone()).ok_or(format!("job {id} has not begun"))
}
