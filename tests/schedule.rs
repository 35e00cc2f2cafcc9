//! Tests of the scheduler of leased targets in virtual time: what it starts where and when. The model's targets check
//! that no fault makes a task run twice, without free resources, before the steps it depends on or after a drain.

#[path = "schedule/evacuation.rs"]
mod evacuation;
#[path = "schedule/load/mod.rs"]
mod load;
#[path = "schedule/model.rs"]
mod model;
#[path = "schedule/shares.rs"]
mod shares;
#[path = "schedule/tails.rs"]
mod tails;

use std::sync::Arc;

use fastrand::Rng;
use gypsumkeel::batch::{Name, Outcome, Refusal, Resources};
use gypsumkeel::clock::Millis;
use gypsumkeel::schedule::{Capacity, Event, Leases, Listing, Loss, Trouble};
use model::{Fault, LEASE, Model, RULES, STOP_MAX, listing, spec};

const SEED: u64 = 11;

/// How long after a lost response a caller submits its job again, in milliseconds.
const RESUBMIT_DELAY: u64 = 1300;

/// A model with one engine that owns `count` targets of 16 cores.
fn world(count: usize) -> Model {
    let listings = (0..count).map(|index| listing(&format!("t{index}"), 16, "r0"));
    Model::new(1, listings.collect(), SEED)
}

#[test]
fn a_batch_is_done_when_all_its_tasks_are() {
    let mut model = world(2);
    model.submit(100, 0, 1, spec("j1", 6, 7, 60), 60, 5000);
    model.run(1000);
    assert_eq!(model.outcome(1), Some(&Outcome::Done));
    assert_eq!(model.done.len(), 6);
    assert!(model.ends[&(0, 1)].at < 260, "two rounds of 60 ms: {:?}", model.ends);
}

#[test]
fn a_step_waits_for_the_steps_it_depends_on() {
    let mut model = world(2);
    let mut batch = spec("j1", 3, 7, 50);
    let mut second = batch.steps[0].clone();
    second.after = vec![0];
    batch.steps.push(second);
    model.submit(100, 0, 1, batch, 50, 5000);
    model.run(1000);
    assert_eq!(model.outcome(1), Some(&Outcome::Done));
}

#[test]
fn required_labels_and_per_target_limits_are_kept() {
    let mut model = Model::new(1, vec![listing("t0", 16, "r0"), listing("t1", 64, "r1")], SEED);
    let mut labelled = spec("j1", 4, 2, 50);
    labelled.steps[0].required_label = Some("r1".to_owned());
    model.submit(100, 0, 1, labelled, 50, 5000);
    let mut shared = spec("j2", 6, 2, 50);
    shared.steps[0].per_target_max = Some(1);
    model.submit(100, 0, 2, shared, 50, 5000);
    model.run(2000);
    assert_eq!(model.outcome(1), Some(&Outcome::Done));
    assert_eq!(model.outcome(2), Some(&Outcome::Done));
}

#[test]
fn a_batch_that_fits_no_target_moves_to_another_vm() {
    let mut model = world(2);
    model.submit(100, 0, 1, spec("j1", 1, 20, 50), 50, 5000);
    model.run(200);
    assert_eq!(model.outcome(1), Some(&Outcome::Moved));
}

#[test]
fn a_task_that_always_fails_uses_up_its_attempts() {
    let mut model = world(4);
    for target in 0..4 {
        model.fault(50, target, Fault { fails: true, ..Fault::default() });
    }
    model.submit(100, 0, 1, spec("j1", 1, 7, 50), 50, 20_000);
    model.run(20_000);
    assert_eq!(model.outcome(1), Some(&Outcome::Failed));
    assert_eq!(model.failed.values().copied().collect::<Vec<_>>(), [3]);
}

#[test]
fn a_target_that_fails_every_task_gets_few_tasks() {
    let mut model = world(4);
    model.fault(50, 0, Fault { fails: true, ..Fault::default() });
    for job in 1..=200 {
        model.submit(job * 40, 0, job, spec(&format!("j{job}"), 2, 7, 60), 60, 5000);
    }
    model.run(15_000);
    assert!((1..=200).all(|job| model.outcome(job) == Some(&Outcome::Done)));
    assert!(model.targets[0].starts < 12, "{} starts", model.targets[0].starts);
    let is_expected =
        |(id, trouble): &(Arc<str>, Trouble)| &**id == "t0" && *trouble == Trouble::Failed;
    assert!(
        model.unhealthy.iter().all(is_expected) && !model.unhealthy.is_empty(),
        "{:?}",
        model.unhealthy
    );
}

#[test]
fn stalled_tasks_soon_run_elsewhere() {
    let mut model = world(4);
    model.fault(50, 0, Fault { stalls: true, ..Fault::default() });
    for job in 1..=20 {
        model.submit(job * 50, 0, job, spec(&format!("j{job}"), 2, 7, 100), 100, 10_000);
    }
    model.run(10_000);
    let slowest = model.ends.values().map(|end| end.at).max();
    assert!((1..=20).all(|job| model.outcome(job) == Some(&Outcome::Done)));
    assert!(slowest < Some(2500), "{:?}", model.ends);
    let is_expected =
        |(id, trouble): &(Arc<str>, Trouble)| &**id == "t0" && *trouble == Trouble::Stalled;
    assert!(
        model.unhealthy.iter().all(is_expected) && !model.unhealthy.is_empty(),
        "{:?}",
        model.unhealthy
    );
}

/// A start that is lost, or arrives seconds late, must be replaced by an attempt elsewhere long before its call times
/// out.
#[test]
fn a_lost_start_is_soon_sent_elsewhere() {
    for late_targets in [1, 2] {
        let mut model = world(2);
        model.submit(100, 0, 1, spec("j1", 1, 8, 60), 60, 5000);
        model.run(500);
        for target in 0..late_targets {
            model.fault(900, target, Fault { late: 100, ..Fault::default() });
            model.fault(1020, target, Fault::default());
        }
        model.submit(1000, 0, 2, spec("j2", 4, 8, 60), 60, 5000);
        model.run(8000);
        assert_eq!(model.outcome(2), Some(&Outcome::Done));
        let duration = model.ends[&(0, 2)].at - 1000;
        assert!(duration < 180, "{duration} ms with {late_targets} of 2 targets late");
    }
}

/// A target that responds to polls but loses every start must not get the same tasks again and again.
#[test]
fn a_target_that_loses_every_start_delays_no_batch() {
    let mut model = world(2);
    model.submit(100, 0, 1, spec("j1", 1, 8, 60), 60, 5000);
    model.run(500);
    model.fault(900, 0, Fault { late: 100, ..Fault::default() });
    for job in 2..=21 {
        model.submit(1000 + job * 100, 0, job, spec(&format!("j{job}"), 2, 7, 60), 60, 5000);
    }
    model.run(12_000);
    for job in 2..=21 {
        assert_eq!(model.outcome(job), Some(&Outcome::Done));
        let duration = model.ends[&(0, job)].at - (1000 + job * 100);
        assert!(duration < 180, "{duration} ms for batch {job}");
    }
}

/// Responses that waited for a frozen VM must count little in the mean response time: while that is high, overdue
/// starts are not looked into.
#[test]
fn lost_starts_are_found_soon_after_a_freeze() {
    let mut model = world(4);
    model.submit(999, 0, 1, spec("j1", 8, 8, 60), 60, 9000);
    model.run(1000);
    model.frozen[0] = true;
    model.run(4000);
    model.thaw(0);
    for job in 2..=4 {
        model.submit(4000 + job * 200, 0, job, spec(&format!("j{job}"), 8, 8, 60), 60, 5000);
    }
    model.fault(5900, 0, Fault { late: 100, ..Fault::default() });
    model.fault(6020, 0, Fault::default());
    model.submit(6000, 0, 5, spec("j5", 8, 8, 60), 60, 5000);
    model.run(9000);
    let duration = model.ends[&(0, 5)].at - 6000;
    assert!(duration < 180, "{duration} ms");
}

/// If only the response to a start is lost, a short poll shows that the start arrived. The target must stay in use
/// meanwhile, under the same token.
#[test]
fn a_lost_response_takes_no_target_out_of_use() {
    let mut model = world(1);
    model.submit(100, 0, 1, spec("j1", 1, 4, 60), 60, 5000);
    model.run(500);
    model.fault(900, 0, Fault { response_lost: 100, ..Fault::default() });
    model.fault(1020, 0, Fault::default());
    model.submit(1000, 0, 2, spec("j2", 1, 4, 1000), 1000, 5000);
    model.run(1100);
    let token = model.targets[0].fence();
    model.submit(1302, 0, 3, spec("j3", 1, 4, 100), 100, 5000);
    model.run(6000);
    assert_eq!(model.ends[&(0, 3)].at, 1302 + 100 + 2);
    assert_eq!(model.targets[0].fence(), token, "the token was raised");
}

/// Guards against a target that is ejected as one start finds no connection in time, though it responds to other calls:
/// callers would lose its capacity.
#[test]
fn an_unsent_start_takes_no_target_out_of_use_that_responds() {
    let mut model = world(1);
    model.submit(100, 0, 1, spec("j1", 1, 4, 60), 60, 5000);
    model.run(500);
    model.fault(900, 0, Fault { unsent: 100, ..Fault::default() });
    model.fault(1020, 0, Fault::default());
    model.submit(1000, 0, 2, spec("j2", 1, 4, 1000), 1000, 5000);
    // The target responds to this start before the first one counts as not sent.
    model.submit(1100, 0, 3, spec("j3", 1, 4, 100), 100, 5000);
    model.submit(1130, 0, 4, spec("j4", 1, 4, 100), 100, 5000);
    model.run(6000);
    assert_eq!(model.outcome(2), Some(&Outcome::Done));
    assert_eq!(model.ends[&(0, 4)].at, 1130 + 100 + 2);
}

/// A fifth of all calls gets no response, and a fifth of the starts arrives seconds late, at half of the targets'
/// capacity.
#[test]
fn lost_calls_cost_little_capacity() {
    let mut model = world(6);
    for target in 0..6 {
        model.fault(500, target, Fault { lost: 20, late: 20, ..Fault::default() });
    }
    let objective = 1.6 * 100.0 + 60.0;
    let jobs = 1..=120;
    for job in jobs.clone() {
        model.submit(1000 + job * 50, 0, job, spec(&format!("j{job}"), 3, 7, 100), 100, 5000);
    }
    model.run(20_000);
    let duration = |job| model.ends[&(0, job)].at - (1000 + job * 50);
    let in_time = jobs.clone().filter(|&job| {
        model.outcome(job) == Some(&Outcome::Done) && duration(job) as f64 <= objective
    });
    let share = in_time.count() as f64 / jobs.count() as f64;
    assert!(share > 0.9, "{share} in time");
}

#[test]
fn a_long_task_is_not_taken_for_a_stalled_one() {
    let mut model = world(4);
    model.submit(100, 0, 1, spec("j1", 4, 7, 700), 1500, 10_000);
    model.run(10_000);
    assert_eq!(model.outcome(1), Some(&Outcome::Done));
    assert_eq!(model.targets.iter().map(|target| target.starts).sum::<u64>(), 4);
}

#[test]
fn a_started_batch_goes_on_past_its_deadline() {
    let mut model = world(1);
    // The target has room for two of the five tasks at once. They are declared at 100 ms, which puts the deadline at
    // 660 ms, three times the objective, but last 290 ms.
    model.submit(100, 0, 1, spec("j1", 5, 7, 100), 290, 10_000);
    model.run(10_000);
    assert_eq!(model.outcome(1), Some(&Outcome::Done));
}

#[test]
fn a_batch_that_can_not_end_in_time_is_refused_at_once() {
    let mut model = world(1);
    for job in 1..=60 {
        model.submit(100, 0, job, spec(&format!("j{job}"), 2, 7, 200), 200, 10_000);
    }
    model.run(130);
    let refused = model
        .ends
        .values()
        .filter(|end| matches!(end.outcome, Outcome::Refused { reason: Refusal::Overload, .. }));
    assert!(refused.count() > 50, "{:?}", model.ends);
    model.run(10_000);
    assert_eq!(model.ends.len(), 60);
    let started = model.targets[0].starts;
    let done = model.ends.values().filter(|end| end.outcome == Outcome::Done).count() as u64;
    assert_eq!(started, done * 2, "a refused batch was started");
}

/// Work arrives at twice the rate that the target can handle.
#[test]
fn under_sustained_overload_late_batches_are_refused_soon() {
    let mut model = world(1);
    for job in 1..=200 {
        model.submit(job * 25, 0, job, spec(&format!("j{job}"), 1, 7, 100), 100, 10_000);
    }
    model.run(20_000);
    let objective = 100 * 8 / 5 + 60;
    let ends = (1..=200).map(|job| (&model.ends[&(0, job)], job * 25));
    let waits = ends.filter(|(end, _)| end.outcome != Outcome::Done);
    let waits = waits.map(|(end, sent)| end.at - sent).collect::<Vec<_>>();
    assert!(waits.len() > 50, "{} refused", waits.len());
    assert!(waits.iter().all(|&wait| wait <= objective), "{waits:?}");
}

/// After a short burst, batches that can't meet their objective any longer soon have idle targets, so they must not be
/// refused.
#[test]
fn late_batches_are_served_after_a_burst() {
    let mut model = world(4);
    for job in 1..=16 {
        model.submit(100, 0, job, spec(&format!("j{job}"), 1, 7, 100), 100, 10_000);
    }
    model.run(5000);
    assert!((1..=16).all(|job| model.outcome(job) == Some(&Outcome::Done)), "{:?}", model.ends);
}

#[test]
fn the_attempts_of_an_abandoned_batch_are_stopped() {
    let mut model = world(2);
    model.submit(100, 0, 1, spec("j1", 4, 7, 2000), 2000, 10_000);
    model.event(300, 0, Event::Abandon { batch: 1 });
    model.run(300 + STOP_MAX);
    assert_eq!(model.running(), 0);
    assert_eq!(model.outcome(1), None);
}

/// Guards against an attempt whose stops get lost and whose lease is renewed with those of the others on its target, while
/// the caller has submitted the job at another VM. The model fails when a task runs twice.
#[test]
fn an_attempt_that_can_not_be_stopped_lapses_before_its_job_comes_again() {
    for stage in (0..700).step_by(50) {
        let listings = vec![listing("t0", 16, "r0"), listing("t1", 16, "r0")];
        let mut model =
            Model::with_owners(2, listings, RULES, SEED, |target| usize::from(&*target.id == "t1"));
        model.submit(100, 0, 1, spec("j1", 1, 7, 4000), 4000, 10_000);
        // Another batch on the target keeps the polls going.
        model.submit(100 + stage, 0, 2, spec("j2", 1, 7, 4000), 4000, 10_000);
        model.fault(900, 0, Fault { stops_lost: 100, ..Fault::default() });
        model.event(1000, 0, Event::Abandon { batch: 1 });
        model.submit(1000 + RESUBMIT_DELAY, 1, 1, spec("j1", 1, 7, 4000), 4000, 10_000);
        model.run(8000);
        assert_eq!(model.ends[&(1, 1)].outcome, Outcome::Done);
    }
}

#[test]
fn a_resubmitted_batch_waits_for_abandoned_attempts() {
    let mut model = world(2);
    model.submit(100, 0, 1, spec("j1", 4, 7, 300), 300, 10_000);
    model.fault(200, 0, Fault { unreachable: true, ..Fault::default() });
    model.event(210, 0, Event::Abandon { batch: 1 });
    model.submit(220, 0, 2, spec("j1", 4, 7, 300), 300, 10_000);
    model.run(10_000);
    assert_eq!(model.outcome(2), Some(&Outcome::Done));
}

#[test]
fn a_resubmitted_batch_waits_for_a_running_duplicate() {
    let mut model = world(2);
    model.submit(100, 0, 1, spec("j1", 2, 7, 300), 300, 10_000);
    model.submit(200, 0, 2, spec("j1", 2, 7, 300), 300, 10_000);
    model.run(10_000);
    assert_eq!(model.outcome(1), Some(&Outcome::Done));
    assert_eq!(model.outcome(2), Some(&Outcome::Done));
}

#[test]
fn a_repeated_batch_starts_without_stale_attempt_numbers() {
    let mut model = world(1);
    for job in 1..=40 {
        model.submit(job * 200, 0, job, spec("j1", 1, 7, 50), 50, 5000);
    }
    model.run(10_000);
    assert!((1..=40).all(|job| model.outcome(job) == Some(&Outcome::Done)), "{:?}", model.ends);
    assert_eq!(model.targets[0].stale_starts, 0);
}

#[test]
fn an_attempt_number_above_those_of_another_vm_is_found() {
    for highest in [1, 1000, u32::MAX - 1] {
        let mut model = world(1);
        let name = Name { job: Arc::from("j1"), occurrence: 0, step: 0, index: 0 };
        model.targets[0].record_finished(name, highest);
        model.submit(100, 0, 1, spec("j1", 1, 7, 50), 50, 5000);
        model.run(5000);
        assert_eq!(model.outcome(1), Some(&Outcome::Done), "above {highest}");
        assert!(model.targets[0].stale_starts <= 32, "{}", model.targets[0].stale_starts);
    }
}

#[test]
fn a_task_fails_if_no_attempt_number_is_left() {
    let mut model = world(1);
    let name = Name { job: Arc::from("j1"), occurrence: 0, step: 0, index: 0 };
    model.targets[0].record_finished(name, u32::MAX);
    model.submit(100, 0, 1, spec("j1", 1, 7, 50), 50, 5000);
    model.run(5000);
    assert_eq!(model.outcome(1), Some(&Outcome::Failed));
}

#[test]
fn a_higher_token_takes_a_target_over_and_stops_its_attempts() {
    let listings = (0..2).map(|index| listing(&format!("t{index}"), 16, "r0"));
    let mut model = Model::new(2, listings.collect(), SEED);
    model.submit(100, 0, 1, spec("j1", 4, 7, 5000), 5000, 20_000);
    model.run(200);
    model.frozen[0] = true;
    for target in ["t0", "t1"] {
        model.event(300, 1, Event::Acquire { target: Arc::from(target), round: 0 });
    }
    model.submit(400, 1, 1, spec("j2", 4, 7, 100), 100, 5000);
    model.run(800);
    assert_eq!(model.ends[&(1, 1)].outcome, Outcome::Done);
    model.run(3000);
    model.thaw(0);
    model.run(6000);
    let fenced =
        model.lost.iter().filter(|(engine, _, loss)| (*engine, *loss) == (0, Loss::Fenced));
    assert_eq!(fenced.count(), 2);
    assert_eq!(model.ends[&(0, 1)].outcome, Outcome::Interrupted);
}

#[test]
fn a_round_that_is_nearly_known_is_exceeded_by_little() {
    let mut model = Model::new(2, vec![listing("t0", 16, "r0")], SEED);
    model.event(100, 0, Event::CancelAcquire { target: Arc::from("t0") });
    model.event(200, 1, Event::Acquire { target: Arc::from("t0"), round: 1000 });
    model.run(1000);
    model.event(1100, 0, Event::Acquire { target: Arc::from("t0"), round: 997 });
    model.run(2000);
    let round = model.targets[0].fence() >> 31;
    assert!((1001..=1005).contains(&round), "{round}");
}

#[test]
fn the_largest_round_that_a_peer_can_announce_ends_no_vm() {
    let mut model = Model::new(2, vec![listing("t0", 16, "r0")], SEED);
    model.event(200, 1, Event::Acquire { target: Arc::from("t0"), round: u64::MAX });
    model.submit(300, 1, 1, spec("j1", 1, 7, 50), 50, 5000);
    model.run(2000);
    assert_eq!(model.ends[&(1, 1)].outcome, Outcome::Done);
}

#[test]
fn an_unreachable_target_is_not_taken_over_on_first_contact() {
    let mut model = Model::new(2, vec![listing("t0", 16, "r0")], SEED);
    model.partition(1, 0, true);
    model.event(100, 1, Event::Acquire { target: Arc::from("t0"), round: 3 });
    model.submit(200, 0, 1, spec("j1", 2, 7, 3000), 3000, 20_000);
    model.run(2000);
    model.partition(1, 0, false);
    // Soon after the partition heals, the other VM learns that the owner is alive.
    model.event(3000, 1, Event::CancelAcquire { target: Arc::from("t0") });
    model.run(6000);
    assert_eq!(model.outcome(1), Some(&Outcome::Done));
    assert!(model.lost.iter().all(|(engine, ..)| *engine == 1), "{:?}", model.lost);
}

#[test]
fn a_restarted_target_is_used_again_and_its_tasks_run_again() {
    let mut model = world(2);
    model.submit(100, 0, 1, spec("j1", 4, 7, 300), 300, 10_000);
    model.crash(200, 0);
    model.run(250);
    model.list(0);
    model.run(5000);
    assert_eq!(model.outcome(1), Some(&Outcome::Done));
    assert!(model.targets[0].starts > 2, "the restarted target was not used again");
}

/// Guards against an owner that learns late of a target's restart, takes what it has started since for gone with the
/// former process, and starts it elsewhere too. The model fails when a task runs twice.
#[test]
fn tasks_that_started_since_a_restart_run_on() {
    // All jobs fit on one target, which the owner goes on using.
    let listings = (0..2).map(|index| listing(&format!("t{index}"), 32, "r0"));
    let mut model = Model::new(1, listings.collect(), SEED);
    for job in 1..=400 {
        model.submit(job * 15, 0, job, spec(&format!("j{job}"), 1, 1, 400), 400, 10_000);
    }
    restart_every_second(&mut model, 8000);
    assert!((1..=400).all(|job| model.outcome(job) == Some(&Outcome::Done)), "{:?}", model.ends);
}

/// Guards against an owner that acknowledges the completions of a target's former process to the new one, which then
/// forgets its own, so that tasks that were done run again.
#[test]
fn completions_since_a_restart_are_not_lost() {
    let mut model = world(4);
    for job in 1..=2000 {
        model.submit(job * 3, 0, job, spec(&format!("j{job}"), 1, 2, 20), 20, 10_000);
    }
    restart_every_second(&mut model, 8000);
    assert!((1..=2000).all(|job| model.outcome(job) == Some(&Outcome::Done)), "{:?}", model.ends);
    assert_eq!(model.repeated, 0, "tasks were started again after their success was acknowledged");
}

/// Guards against a restart that goes unnoticed as the target's time of day was set back: the target was not used again.
#[test]
fn a_restart_with_an_earlier_start_time_is_noticed() {
    let mut model = world(1);
    for job in 1..=100 {
        model.submit(job * 50, 0, job, spec(&format!("j{job}"), 1, 2, 40), 40, 10_000);
    }
    model.crash(2000, 0);
    model.run(2000);
    model.targets[0].listing.incarnation = 0;
    model.run(2100);
    model.list(0);
    model.run(8000);
    assert!((1..=100).all(|job| model.outcome(job) == Some(&Outcome::Done)), "{:?}", model.ends);
    assert_eq!(model.repeated, 0, "tasks were started again after their success was acknowledged");
}

/// Runs a model until `until` and restarts one of its targets after another, one each second. The list shows a restart
/// after 100 ms.
fn restart_every_second(model: &mut Model, until: u64) {
    for (index, at) in (1000..until).step_by(1000).enumerate() {
        model.crash(at, index % model.targets.len());
        model.run(at + 100);
        model.list(0);
    }
    model.run(until);
}

/// The entry is that of another writer, as the target has not been restarted.
#[test]
fn a_start_time_that_the_target_does_not_confirm_ends_no_attempt() {
    let mut model = world(1);
    model.submit(100, 0, 1, spec("j1", 2, 7, 800), 800, 10_000);
    model.run(200);
    let odd = Listing { incarnation: 1 << 40, ..listing("t0", 16, "r0") };
    model.event(200, 0, Event::Targets(vec![odd]));
    model.event(300, 0, Event::Targets(vec![listing("t0", 16, "r0")]));
    model.run(2000);
    assert_eq!(model.outcome(1), Some(&Outcome::Done));
    assert_eq!(model.targets[0].starts, 2);
    model.submit(2000, 0, 2, spec("j2", 2, 7, 50), 50, 5000);
    model.run(3000);
    assert_eq!(model.outcome(2), Some(&Outcome::Done), "the target is used again");
}

/// Capacities and estimates at the limit of their type must neither overflow nor cost other batches their turn.
#[test]
fn the_largest_numbers_do_no_harm() {
    let mut huge = listing("t0", 16, "r0");
    huge.capacity = Resources { cpu: u64::MAX, memory: u64::MAX, gpu: u64::MAX };
    let mut other = huge.clone();
    other.id = Arc::from("t1");
    let mut model = Model::new(1, vec![huge, other], SEED);
    model.submit(100, 0, 1, spec("j1", 2, 7, u64::MAX), 50, u64::MAX);
    model.submit(110, 0, 2, spec("j2", 4, 7, 50), 50, 5000);
    model.run(1000);
    assert_eq!(model.outcome(1), Some(&Outcome::Done));
    assert_eq!(model.outcome(2), Some(&Outcome::Done));
    let mut endless = spec("j3", 10_000, 1, u64::MAX);
    endless.steps[0].need.cpu = u64::MAX;
    for batch in 3..6 {
        model.submit(1000, 0, batch, endless.clone(), 50, u64::MAX);
    }
    model.submit(1200, 0, 6, spec("j6", 1, 7, 50), 50, 300);
    model.run(2000);
    match model.outcome(6) {
        Some(Outcome::Refused { reason: Refusal::Overload, retry_after }) => {
            assert!(*retry_after <= Millis::from_secs(60), "{retry_after}");
        }
        other => panic!("all cores are taken: {other:?}"),
    }
}

#[test]
fn a_draining_target_gets_no_new_tasks() {
    let mut model = world(2);
    model.drain_target(500, 0);
    for job in 1..=100 {
        model.submit(job * 50, 0, job, spec(&format!("j{job}"), 1, 7, 60), 60, 5000);
    }
    model.run(8000);
    assert!((1..=100).all(|job| model.outcome(job) == Some(&Outcome::Done)));
}

#[test]
fn a_draining_vm_moves_waiting_batches_and_releases_idle_targets() {
    let mut model = world(1);
    model.submit(100, 0, 1, spec("j1", 2, 7, 500), 500, 10_000);
    model.submit(110, 0, 2, spec("j2", 2, 7, 500), 500, 10_000);
    model.event(200, 0, Event::Drain);
    model.run(300);
    assert_eq!(model.outcome(2), Some(&Outcome::Moved));
    model.run(3000);
    assert_eq!(model.outcome(1), Some(&Outcome::Done));
    assert_eq!(model.lost.len(), 1);
    assert_eq!(model.lost[0].2, Loss::Released);
}

/// Guards against a VM that wakes from a freeze and starts waiting batches before it sees that their callers have left.
#[test]
fn after_a_standstill_nothing_starts_until_callers_that_left_are_noticed() {
    let mut model = world(1);
    model.submit(100, 0, 1, spec("j1", 2, 7, 500), 500, 10_000);
    model.submit(110, 0, 2, spec("j2", 2, 7, 500), 500, 10_000);
    model.submit(120, 0, 3, spec("j3", 2, 7, 500), 500, 1000);
    model.run(200);
    model.frozen[0] = true;
    model.run(1500);
    let starts = model.targets[0].starts;
    model.event(1500, 0, Event::Resume);
    model.thaw(0);
    model.run(1520);
    assert!(matches!(model.outcome(3), Some(Outcome::Refused { .. })), "{:?}", model.ends);
    model.event(1540, 0, Event::Abandon { batch: 2 });
    model.submit(1560, 0, 4, spec("j4", 2, 7, 500), 500, 10_000);
    model.run(1590);
    assert_eq!(model.targets[0].starts, starts, "a task started too early");
    model.run(4000);
    assert_eq!(model.outcome(2), None);
    assert_eq!(model.outcome(4), Some(&Outcome::Done));
}

#[test]
fn tasks_run_on_the_rack_of_their_data() {
    let listings = vec![listing("t0", 16, "r0"), listing("t1", 16, "r1")];
    let mut model = Model::new(1, listings, SEED);
    for job in 1..=50 {
        let mut near = spec(&format!("j{job}"), 1, 7, 100);
        near.steps[0].near_rack = Some("r1".to_owned());
        model.submit(job * 150, 0, job, near, 100, 5000);
    }
    model.run(10_000);
    assert_eq!((model.targets[0].starts, model.targets[1].starts), (0, 50));
}

#[test]
fn no_lease_lapses_on_a_slow_clock_or_after_an_idle_time() {
    let mut model = world(2);
    model.targets.iter_mut().for_each(|target| target.clock_rate = 980);
    model.run(3 * LEASE);
    for job in 1..=20 {
        model.submit(4000 + job * 10, 0, job, spec(&format!("j{job}"), 1, 7, 3000), 3000, 60_000);
    }
    model.run(60_000);
    assert!((1..=20).any(|job| model.outcome(job) == Some(&Outcome::Done)));
    let starts = model.targets.iter().map(|target| target.starts).sum::<u64>();
    assert_eq!(starts, model.done.len() as u64, "a lease lapsed");
}

/// While the VM and its targets have no faults, no lease is renewed late and none lapses.
#[test]
fn leases_are_late_or_lapse_only_under_faults() {
    let mut model = world(2);
    model.submit(100, 0, 1, spec("j1", 2, 7, 6000), 6000, 20_000);
    model.run(3000);
    assert_eq!(model.engines[0].leases(), Leases::default());
    model.frozen[0] = true;
    model.run(3700);
    model.thaw(0);
    model.run(4500);
    let leases = model.engines[0].leases();
    assert!(leases.late > 0, "{leases:?}");
    model.submit(7000, 0, 2, spec("j2", 4, 7, 3000), 3000, 20_000);
    model.fault(7500, 0, Fault { unreachable: true, ..Fault::default() });
    model.run(10_000);
    assert!(model.engines[0].leases().lapsed > 0, "{:?}", model.engines[0].leases());
}

#[test]
fn each_core_counts_once_in_the_capacity() {
    let mut model = world(4);
    model.fault(50, 0, Fault { stalls: true, ..Fault::default() });
    model.fault(1100, 1, Fault { unreachable: true, ..Fault::default() });
    model.drain_target(1100, 2);
    for job in 1..=40 {
        model.submit(job * 50, 0, job, spec(&format!("j{job}"), 2, 7, 100), 100, 10_000);
    }
    let mut most = Capacity::default();
    for now in (100..4000).step_by(50) {
        model.run(now);
        let Capacity { free, used, ejected, unsynced, draining, evacuated: _ } =
            model.engines[0].capacity(Millis(now));
        assert_eq!(free + used + ejected + unsynced + draining, 4 * 16_000, "at {now} ms");
        most.free = most.free.max(free);
        most.used = most.used.max(used);
        most.ejected = most.ejected.max(ejected);
        most.unsynced = most.unsynced.max(unsynced);
        most.draining = most.draining.max(draining);
    }
    let Capacity { free, used, ejected, unsynced, draining, evacuated: _ } = most;
    assert!([free, used, ejected, unsynced, draining].iter().all(|&cpu| cpu > 0), "{most:?}");
}

/// Under random faults of all kinds, every batch must end exactly once, and the checks of the targets must hold.
#[test]
fn no_mix_of_faults_breaks_a_rule() {
    for seed in 1..=30 {
        check_random_faults(seed);
    }
}

fn check_random_faults(seed: u64) {
    eprintln!("seed {seed}");
    let mut random = Rng::with_seed(seed);
    let listings = (0..6).map(|index| {
        let cores = if index % 3 == 0 { 24 } else { 16 };
        listing(&format!("t{index}"), cores, &format!("r{}", index / 3))
    });
    let mut model = Model::new(2, listings.collect(), seed);
    for target in 0..6 {
        model.targets[target].slowness = 0.6 + random.f64();
        model.targets[target].clock_rate = 980 + random.u64(..21);
    }
    for _ in 0..8 {
        let (at, target) = (random.u64(500..12_000), random.usize(..6));
        let fault = match random.u32(..5) {
            0 => Fault { stalls: true, ..Fault::default() },
            1 => Fault { fails: true, ..Fault::default() },
            2 => Fault { unreachable: true, ..Fault::default() },
            3 => Fault { lost: 30, ..Fault::default() },
            _ => Fault { late: 30, ..Fault::default() },
        };
        model.fault(at, target, fault);
        model.fault(at + random.u64(500..4000), target, Fault::default());
    }
    model.crash(random.u64(2000..10_000), random.usize(..6));
    for job in 1..=200 {
        let (at, count) = (random.u64(100..14_000), random.u32(1..9));
        let (estimate, lasts) = (random.u64(30..400), random.u64(30..400));
        let mut batch = spec(&format!("j{job}"), count, random.u64(3..9), estimate);
        if random.bool() {
            batch.steps[0].near_rack = Some(format!("r{}", random.u32(..2)));
        }
        model.submit(at, 0, job, batch, lasts, 8000);
        if random.u32(..5) == 0 {
            model.event(at + random.u64(..500), 0, Event::Abandon { batch: job });
        }
    }
    // The second engine acquires some targets at a random time, as a VM does when it considers their owner gone.
    let takeover = random.u64(4000..9000);
    model.run(takeover);
    model.list(0);
    model.frozen[0] = random.bool();
    for target in 0..random.usize(1..4) {
        let target = Arc::from(format!("t{target}"));
        model.event(takeover, 1, Event::Acquire { target, round: random.u64(..4) });
    }
    model.run(takeover + 2000);
    model.thaw(0);
    model.run(60_000);
    assert_eq!(model.running(), 0, "a task still runs");
    assert_eq!(model.engines[0].unfinished(), 0, "a batch has not ended");
}
