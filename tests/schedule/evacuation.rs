//! Evacuated failure domains, and targets that are cold.

use std::collections::BTreeSet;
use std::sync::Arc;

use gypsumkeel::batch::Outcome;
use gypsumkeel::clock::Millis;
use gypsumkeel::schedule::{Event, Listing};

use super::SEED;
use super::model::{Model, listing, spec};

fn evacuated(domains: &[&str]) -> Event {
    Event::Evacuated(domains.iter().map(|&domain| Arc::from(domain)).collect::<BTreeSet<_>>())
}

fn listing_in(domain: &str, id: &str) -> Listing {
    Listing { domain: Arc::from(domain), ..listing(id, 16, "r0") }
}

/// One engine that owns `count` targets in each of the domains `a` and `b`, those of `a` first.
fn two_domains(count: usize) -> Model {
    let ids = (0..2 * count).map(|index| (if index < count { "a" } else { "b" }, index));
    let listings = ids.map(|(domain, index)| listing_in(domain, &format!("t{index}")));
    Model::new(1, listings.collect(), SEED)
}

/// Guards against starts in an evacuated domain, also on a target that is listed later.
#[test]
fn nothing_starts_in_an_evacuated_domain() {
    let mut model = two_domains(1);
    model.submit(100, 0, 1, spec("j1", 2, 12, 300), 300, 5000);
    model.event(200, 0, evacuated(&["a"]));
    model.run(210);
    let before = model.targets[0].starts;
    for job in 2..=10 {
        model.submit(400 + job * 70, 0, job, spec(&format!("j{job}"), 1, 7, 60), 60, 5000);
    }
    model.run(250);
    model.targets[0].listing = listing_in("a", "t0");
    model.list(0);
    model.run(3000);
    assert_eq!(before, 1, "the batch that ran before goes on");
    assert!((1..=10).all(|job| model.outcome(job) == Some(&Outcome::Done)));
    assert_eq!(model.targets[0].starts, before);
}

/// Guards against batches that wait at an owner without a target until their callers give up.
#[test]
fn batches_that_need_an_evacuated_domain_move_to_another_vm() {
    let mut model = two_domains(1);
    model.submit(100, 0, 1, spec("j1", 3, 12, 300), 300, 5000);
    model.submit(110, 0, 2, spec("j2", 1, 12, 300), 300, 5000);
    model.run(150);
    assert!(model.engines[0].has_started(1));
    model.event(150, 0, evacuated(&["a", "b"]));
    model.run(160);
    assert_eq!(model.outcome(2), Some(&Outcome::Moved));
    model.submit(170, 0, 3, spec("j3", 1, 7, 60), 60, 5000);
    model.run(300);
    assert_eq!(model.outcome(3), Some(&Outcome::Moved));
    assert_eq!(model.outcome(1), Some(&Outcome::Interrupted), "its third task can't start");
    assert_eq!(model.running(), 0, "an interrupted batch still runs");
    assert_eq!(model.engines[0].load(Millis(300)).total_cpu, 0);
}

/// Guards against a burst of tasks on targets that may have become cold while they were evacuated, and against taking
/// their first, slow tasks for a fault.
#[test]
fn targets_return_with_one_task_until_it_succeeds() {
    let mut model = two_domains(2);
    model.event(100, 0, evacuated(&["a"]));
    model.run(200);
    for target in 0..2 {
        model.targets[target].slowness = 6.0;
    }
    model.event(300, 0, evacuated(&[]));
    for job in 1..=8 {
        model.submit(310, 0, job, spec(&format!("j{job}"), 1, 5, 200), 200, 8000);
    }
    model.run(330);
    assert_eq!([model.targets[0].starts, model.targets[1].starts], [1, 1]);
    model.run(8000);
    assert!((1..=8).all(|job| model.outcome(job) == Some(&Outcome::Done)), "{:?}", model.ends);
    assert!(model.unhealthy.is_empty(), "{:?}", model.unhealthy);
}

/// Guards against learning from cold targets: once they are warm they must be used like the others.
#[test]
fn durations_on_cold_targets_are_learnt_apart() {
    let mut model = two_domains(1);
    model.targets[0].slowness = 4.0;
    model.targets[0].listing.cold_left = Millis(3000);
    model.list(0);
    for job in 1..=9 {
        model.submit(100 + job * 300, 0, job, spec(&format!("j{job}"), 2, 12, 60), 60, 5000);
    }
    model.run(3200);
    let while_cold = model.targets[0].starts;
    model.targets[0].slowness = 1.0;
    model.targets[0].listing.cold_left = Millis::ZERO;
    model.list(0);
    for job in 41..=80 {
        model.submit(job * 80, 0, job, spec(&format!("j{job}"), 2, 12, 60), 60, 5000);
    }
    model.run(8000);
    let while_warm = model.targets[0].starts - while_cold;
    assert!(model.unhealthy.is_empty(), "{:?}", model.unhealthy);
    assert!(while_cold > 0 && while_warm == 40, "{while_cold} and {while_warm} starts");
}
