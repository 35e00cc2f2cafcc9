//! A worker starts again under its id, as another kind, while a small task runs on it. Its connections close, and a job
//! that needs the label of the former kind arrives just afterwards.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use super::Verdict;
use crate::fleet::{Fleet, job_with_label};
use crate::record::Record;
use crate::worker::{KIND_A, KIND_B};

/// How often the worker starts again.
const ROUNDS: u64 = 4;

/// How long the new process takes until it answers.
const DOWN: Duration = Duration::from_millis(50);

/// When the job arrives, after the end of the old process.
const JOB_AFTER: Duration = Duration::from_millis(20);

pub fn run(program: &Path, record: &Record, has_trouble: bool) -> Verdict {
    let fleet = Fleet::start(program, record, &["a", "b"], 2, &[KIND_B, KIND_A, KIND_A, KIND_A])
        .map_err(|error| error.to_string())?;
    let fleet = Arc::new(fleet);
    let mut broken = Vec::new();
    for round in 0..ROUNDS {
        let worker = fleet.workers[0].clone();
        thread::sleep(Duration::from_millis(500));
        // A hold has begun to wait, and the start of a small task is answered after that.
        let begun = Instant::now();
        while worker.since_hold().is_none_or(|since| since > Duration::from_millis(40)) {
            if begun.elapsed() > Duration::from_secs(5) {
                return Err("no hold arrives at the worker".to_owned());
            }
            thread::sleep(Duration::from_millis(2));
        }
        let small_id = format!("{:016x}", 0x51_0000 + round);
        let small = fleet.post_in_background(
            0,
            &small_id,
            &job_with_label(1, 600, 1000, KIND_B.label),
            1500,
        );
        thread::sleep(Duration::from_millis(60));
        let restarted_at = Instant::now();
        if has_trouble {
            worker.restart(KIND_A, DOWN);
        }
        thread::sleep(JOB_AFTER);
        let id = format!("{:016x}", 0x52_0000 + round);
        drop(fleet.post(0, &id, &job_with_label(3, 60, 6800, KIND_B.label), 1500));
        drop(small.join());
        let starts = fleet.events(&id).into_iter().filter(|event| event.what == "start");
        let wrong = starts.filter(|event| event.kind != KIND_B);
        broken.extend(wrong.map(|event| (round, event.at - restarted_at, event)));
        if has_trouble {
            // The next round begins with the former kind, of which all VMs know by then.
            worker.restart(KIND_B, DOWN);
            thread::sleep(Duration::from_secs(4));
        }
    }
    let over = broken.iter().filter(|(_, _, event)| event.taken > event.kind.cpu).count();
    Ok(broken.first().map(|(round, after, event)| {
        format!(
            "ROUTE: {} starts in {ROUNDS} rounds on a worker without the required label; the first, of {} on {} in round \
             {round}, {} ms after its connections closed. {over} of them also brought the worker over its room (LIMIT).",
            broken.len(),
            event.task,
            event.worker,
            after.as_millis()
        )
    }))
}
