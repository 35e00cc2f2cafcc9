//! Settings files that change while VMs work, with and without a signal: real processes with a fake store and fake
//! workers.

#[path = "platform/mod.rs"]
mod platform;

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use platform::{Env, wait_until};
use rustix::process::Signal;
use serde_json::json;

/// The number of times that the settings of all VMs change.
const ROUNDS: u64 = 6;

/// A grace period for which the longest drain is shorter than the time for which callers are still routed here.
const SHORT_GRACE_S: u64 = 2;

/// Texts that are no settings, in turn: broken off, of another type, without the node's name, out of range.
fn bad_settings(env: &Env, vm: usize, round: u64) -> String {
    let mut settings = env.settings(vm);
    match round % 4 {
        0 => return settings.to_string().split_at(200).0.to_owned(),
        1 => settings["bounds"] = json!("none"),
        2 => settings["node"] = json!(""),
        _ => settings["listen"]["front"] = json!("127.0.0.1:70000"),
    }
    settings.to_string()
}

/// Changes the settings of a VM, signals it, and waits until it has read them.
fn reload(env: &Env, vm: usize, text: &str, event: &str) {
    let before = env.vms[vm].count_logged(&[event]);
    env.write_settings(vm, text);
    env.vms[vm].signal(Signal::HUP);
    wait_until("the settings are read", || env.vms[vm].count_logged(&[event]) > before);
}

#[test]
fn settings_that_change_on_all_vms_in_a_row_cost_no_job() {
    let env = Env::start(2, 2);
    let is_over = AtomicBool::new(false);
    let replies = thread::scope(|scope| {
        let load = scope.spawn(|| env.load(&[0, 1, 2, 3], 6, || is_over.load(Ordering::Relaxed)));
        for round in 0..ROUNDS {
            env.configure(2 + round, "/holds/");
            for vm in 0..4 {
                let mut settings = env.settings(vm);
                settings["bounds"]["farX"] = json!(2 + round % 2);
                settings["bounds"]["holdMaxMs"] = json!(1000 - 50 * (round % 3));
                settings["seeds"] = json!([]);
                settings["unknown"] = json!({ "round": round });
                reload(&env, vm, &settings.to_string(), "event=reloaded");
                reload(&env, vm, &bad_settings(&env, vm, round), "event=reload-refused");
            }
        }
        is_over.store(true, Ordering::Relaxed);
        load.join().unwrap()
    });
    let unserved = replies.iter().flatten().filter(|reply| reply.status != 200).count();
    assert!(replies.iter().all(Option::is_some), "an answer was cut");
    assert_eq!(unserved, 0, "of {} jobs", replies.len());
    wait_until("the newest configuration is in force", || {
        (0..4).all(|vm| env.metric(vm, "routes.version") == 1 + ROUNDS)
    });
    for vm in &env.vms {
        assert_eq!(vm.exit_status(), None, "a VM has ended");
        let applied = vm.log.lock().unwrap().clone();
        let applied = applied.iter().filter_map(|line| {
            line.split_once("event=routes-applied version=")?
                .1
                .split(' ')
                .next()?
                .parse::<u64>()
                .ok()
        });
        assert!(applied.is_sorted(), "a configuration went back");
    }
    env.check();
}

#[test]
fn a_stop_keeps_to_the_grace_period_of_the_last_settings() {
    let env = Env::start(1, 1);
    let mut settings = env.settings(0);
    settings["bounds"]["graceS"] = json!(SHORT_GRACE_S);
    env.write_settings(0, &settings.to_string());
    let start = Instant::now();
    env.vms[0].signal(Signal::TERM);
    wait_until("the VM stops", || env.vms[0].exit_status().is_some());
    assert!(start.elapsed() < Duration::from_secs(SHORT_GRACE_S), "{:?}", start.elapsed());
    assert!(env.vms[0].exit_status().is_some_and(|status| status.success()));
}
