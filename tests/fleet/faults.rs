//! The faults of a run, drawn from its seed.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use fastrand::Rng;

use super::{Fleet, routes};
use crate::platform::Way;

/// The time within which starts in an evacuated domain end.
const EVACUATE: Duration = Duration::from_secs(5);

/// Disturbs the fleet until `end`.
pub fn run(fleet: &Arc<Fleet>, end: Instant) {
    let mut dice = Rng::with_seed(fleet.options.seed ^ 0x5eed);
    let kinds = fleet.options.faults.iter().map(String::as_str).collect::<Vec<_>>();
    if kinds.is_empty() {
        return;
    }
    thread::scope(|scope| {
        while Instant::now() < end {
            thread::sleep(Duration::from_secs_f64(dice.f64() * fleet.options.gap));
            let kind = kinds[dice.usize(..kinds.len())];
            let mut dice = dice.fork();
            eprintln!("FAULT {} {kind}", super::time());
            // Faults overlap.
            scope.spawn(move || inject(fleet, kind, &mut dice));
        }
    });
}

fn seconds(dice: &mut Rng, least: f64, most: f64) -> Duration {
    Duration::from_secs_f64((most - least).mul_add(dice.f64(), least))
}

fn inject(fleet: &Arc<Fleet>, kind: &str, dice: &mut Rng) {
    match kind {
        "freeze" => freeze(fleet, some(fleet, dice, 3), seconds(dice, 0.3, 4.0)),
        "domain" => {
            let mut vms = fleet.vms_of(dice.usize(..3));
            dice.shuffle(&mut vms);
            vms.truncate(vms.len().div_ceil(1 + dice.usize(..3)));
            freeze(fleet, vms, seconds(dice, 0.3, 4.0));
        }
        "kill" => restart(fleet, &some(fleet, dice, 4), seconds(dice, 0.2, 3.5)),
        "term" => roll(fleet, dice),
        "burst" => {
            fleet.callers.load.store(dice.u64(160..=180), Ordering::Relaxed);
            thread::sleep(Duration::from_secs(4));
            fleet.callers.load.store(100, Ordering::Relaxed);
        }
        "big" => routes::change(fleet, true),
        "storm" => {
            for _ in 0..dice.usize(3..10) {
                routes::change(fleet, false);
                thread::sleep(seconds(dice, 0.02, 0.6));
            }
        }
        "down" | "slow" | "lost" | "silent" => disturb_store(fleet, kind, dice),
        "crash" => crash(fleet, dice),
        "drain" => drain(fleet, dice),
        "evacuate" => evacuate(fleet, super::DOMAINS[dice.usize(..super::DOMAINS.len())]),
        "leave" => {
            fleet.callers.leaving.store(25, Ordering::Relaxed);
            thread::sleep(Duration::from_secs_f64(5.5));
            fleet.callers.leaving.store(0, Ordering::Relaxed);
        }
        "reset" => {
            fleet.vms.iter().for_each(super::Vm::disturb);
            fleet.callers.reset();
        }
        _ => unreachable!("the options are checked"),
    }
}

/// Up to `most` VMs.
fn some(fleet: &Fleet, dice: &mut Rng, most: usize) -> Vec<usize> {
    let mut vms = (0..fleet.vms.len()).collect::<Vec<_>>();
    dice.shuffle(&mut vms);
    vms.truncate(dice.usize(1..=most));
    vms
}

fn freeze(fleet: &Fleet, vms: Vec<usize>, length: Duration) {
    for &vm in &vms {
        fleet.vms[vm].freeze(true);
    }
    thread::sleep(length);
    for vm in vms {
        fleet.vms[vm].freeze(false);
    }
}

fn restart(fleet: &Fleet, vms: &[usize], pause: Duration) {
    for &vm in vms {
        fleet.vms[vm].kill();
    }
    thread::sleep(pause);
    for &vm in vms {
        fleet.vms[vm].start();
    }
}

/// Restarts nearly half of the VMs, two at a time.
fn roll(fleet: &Arc<Fleet>, dice: &mut Rng) {
    let mut vms = (0..fleet.vms.len()).collect::<Vec<_>>();
    dice.shuffle(&mut vms);
    vms.truncate(fleet.vms.len() * 45 / 100);
    for pair in vms.chunks(2) {
        thread::scope(|scope| {
            for &vm in pair {
                scope.spawn(move || fleet.vms[vm].terminate());
            }
        });
        thread::sleep(Duration::from_millis(300));
        for &vm in pair {
            fleet.vms[vm].start();
        }
        thread::sleep(Duration::from_millis(1300));
    }
}

fn disturb_store(fleet: &Arc<Fleet>, kind: &str, dice: &mut Rng) {
    let length = seconds(dice, 0.5, 5.0);
    if kind == "silent" {
        // All watches begin anew with it.
        routes::change(fleet, false);
        thread::sleep(seconds(dice, 0.02, 0.25));
    }
    fleet.disturb_store();
    match kind {
        "down" => {
            fleet.store.set_down(true);
            thread::sleep(length);
            fleet.store.set_down(false);
        }
        "slow" => {
            fleet.proxies.iter().for_each(|proxy| proxy.delay(Duration::from_millis(120)));
            thread::sleep(length);
            fleet.proxies.iter().for_each(|proxy| proxy.delay(Duration::ZERO));
        }
        "lost" => fleet.store.lose_responses(dice.u32(5..60)),
        _ => {
            for proxy in &fleet.proxies {
                proxy.freeze_open(Way::Up, true);
                proxy.freeze_open(Way::Down, true);
            }
            fleet.vms.iter().for_each(super::Vm::disturb);
        }
    }
    fleet.disturb_store();
    if kind == "silent" {
        // The bound on this version begins to hold shortly before it has passed.
        thread::sleep(seconds(dice, 0.0, 0.9));
        routes::change(fleet, false);
    }
}

/// Restarts some workers under the same ids.
fn crash(fleet: &Fleet, dice: &mut Rng) {
    for _ in 0..fleet.workers.len().div_ceil(dice.usize(7..20)) {
        let worker = &fleet.workers[dice.usize(..fleet.workers.len())];
        worker.crash();
        fleet.store.put(&format!("servers/{}", worker.id), &worker.entry("ready"));
    }
}

/// Evacuates a domain unless one is evacuated already, and takes it back later. From `EVACUATE` on after the store's answer no task may start there, unless
/// a VM or the store was disturbed shortly before.
fn evacuate(fleet: &Fleet, domain: &str) {
    if !fleet.store.keys("op/evacuate/").is_empty() {
        return;
    }
    let key = format!("op/evacuate/{domain}");
    fleet.store.put(&key, &serde_json::json!({}));
    thread::sleep(EVACUATE);
    let workers = fleet.workers.iter().filter(|worker| worker.domain == domain);
    let starts = || workers.clone().map(super::Worker::starts).sum::<u64>();
    let is_calm = || {
        let are_calm = fleet.vms.iter().all(|vm| vm.is_calm(EVACUATE));
        are_calm && fleet.store_is_calm(EVACUATE)
    };
    let (was_calm, before) = (is_calm(), starts());
    thread::sleep(Duration::from_secs(2));
    let after = starts();
    if was_calm && is_calm() && after > before {
        let line = format!("EVAC {} {} starts in {domain}", super::time(), after - before);
        eprintln!("{line}");
        fleet.ledger.violations.lock().unwrap().push(line);
    }
    fleet.store.remove(&key);
}

/// Lets some workers drain, and takes them back later.
fn drain(fleet: &Fleet, dice: &mut Rng) {
    let count = fleet.workers.len().div_ceil(15);
    let chosen = (0..count).map(|_| dice.usize(..fleet.workers.len())).collect::<Vec<_>>();
    fleet.draining.lock().unwrap().extend(&chosen);
    for &index in &chosen {
        fleet.announce(index);
    }
    thread::sleep(Duration::from_secs(8));
    fleet.draining.lock().unwrap().retain(|index| !chosen.contains(index));
}
