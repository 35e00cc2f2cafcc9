//! Tasks that last many times as long as others of their queue, and targets that are slow.

use std::sync::Arc;

use gypsumkeel::batch::Outcome;
use gypsumkeel::schedule::Trouble;

use super::model::{Model, spec};
use super::world;

/// Submits jobs of two tasks every 40 ms, of which each tenth has a task that lasts ten times as long as the others.
fn submit_with_tail(model: &mut Model, jobs: std::ops::RangeInclusive<u64>) {
    for job in jobs {
        let id = format!("j{job}");
        if job % 10 == 0 {
            model.set_duration(&id, 0, 1000);
        }
        model.submit(job * 40, 0, job, spec(&id, 2, 5, 100), 100, 10_000);
    }
}

/// Guards against stopping long tasks, which throws their work away, and ejecting their targets: after a few of them
/// the queue must be known for its long tasks.
#[test]
fn long_tasks_run_on_once_their_queue_is_known_for_them() {
    let mut model = world(6);
    submit_with_tail(&mut model, 1..=200);
    model.run(4000);
    let learning = model.unhealthy.len();
    model.run(12_000);
    assert!((1..=200).all(|job| model.outcome(job) == Some(&Outcome::Done)));
    assert!(learning <= 8, "{learning} long tasks were stopped at first");
    assert_eq!(model.unhealthy.len(), learning, "{:?}", model.unhealthy);
}

/// Guards against taking a slow target for one with long tasks.
#[test]
fn a_slow_target_is_ejected_although_its_queue_has_long_tasks() {
    let mut model = world(6);
    submit_with_tail(&mut model, 1..=100);
    model.run(4500);
    let learning = model.unhealthy.len();
    model.targets[0].slowness = 8.0;
    submit_with_tail(&mut model, 115..=400);
    model.run(20_000);
    let is_of_slow_target =
        |(id, trouble): &(Arc<str>, Trouble)| &**id == "t0" && *trouble == Trouble::Stalled;
    let later = &model.unhealthy[learning..];
    assert!(later.iter().any(is_of_slow_target), "{later:?}");
    assert!(later.iter().all(is_of_slow_target), "{later:?}");
}
