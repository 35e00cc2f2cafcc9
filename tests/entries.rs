//! Odd entries that another writer has left in the store: each costs that entry only. Real processes with a fake
//! store and fake workers.

#[path = "platform/mod.rs"]
mod platform;

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Instant;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use platform::worker::Worker;
use platform::{Env, LIMIT, Reply, wait_until};
use serde_json::{Value, json};

/// More items than one page of the store's list holds.
const ITEMS_PER_PAGE: usize = 500;

/// The depth of an array that no parser on the call stack can follow.
const DEPTH: usize = 100_000;

/// The text of a worker's entry with another value for one field.
fn entry_with(worker: &Worker, field: &str, value: &Value) -> String {
    let mut entry = worker.entry("ready");
    entry[field] = value.clone();
    entry.to_string()
}

/// The text of a worker's entry in which `field` has the JSON text `value`.
fn entry_with_text(worker: &Worker, field: &str, value: &str) -> String {
    let mark = "\"MARK\"";
    entry_with(worker, field, &json!("MARK")).replace(mark, value)
}

/// Entries that name no usable worker, by what is odd about them.
fn odd_entries(worker: &Worker) -> Vec<(&'static str, Vec<u8>)> {
    let address = |text: &str| entry_with(worker, "addr", &json!(text)).into_bytes();
    let with_text = |field, text: &str| entry_with_text(worker, field, text).into_bytes();
    let room = |text: &str| with_text("room", &format!(r#"{{"cpu":{text},"memMb":1}}"#));
    let nested = "[".repeat(DEPTH) + &"]".repeat(DEPTH);
    vec![
        ("not JSON", b"\xff\xfe\x00".to_vec()),
        ("empty", Vec::new()),
        ("nested", nested.clone().into_bytes()),
        ("nested and cut off", "{\"a\":".repeat(DEPTH).into_bytes()),
        ("nested labels", with_text("labels", &nested)),
        ("nested room", with_text("room", &nested)),
        ("no room", with_text("room", "null")),
        ("number beyond a float", room("1e999")),
        ("number beyond 64 bits", room("18446744073709551616")),
        ("largest 64-bit number", room("18446744073709551615")),
        ("negative number", room("-1")),
        ("fraction", room("1.5")),
        ("start time beyond 64 bits", with_text("born", "1e30")),
        ("largest start time", with_text("born", "18446744073709551615")),
        ("unknown state", with_text("state", "\"asleep\"")),
        ("service of another type", with_text("service", "7")),
        ("port out of range", address("127.0.0.1:70000")),
        ("negative port", address("127.0.0.1:-1")),
        ("no port", address("127.0.0.1")),
        ("port 0", address("127.0.0.1:0")),
        ("address of another type", with_text("addr", "{\"port\":99999}")),
    ]
}

/// Keys that name no usable worker.
const ODD_KEYS: [&str; 9] = [
    "servers/",
    "servers/wörker",
    "servers/a b",
    "servers/a\r\nFence: 1",
    "servers/a&prefix=op",
    "servers/a#b%zz?c",
    "servers/elsewhere/w-a-0",
    "servers//",
    "servers/\u{0}",
];

fn done() -> Reply {
    Reply { status: 200, state: "done".to_owned(), retry_after: false }
}

/// Checks that no VM has ended, that all VMs see a worker that is added now, and that jobs are served.
#[track_caller]
fn check_following(env: &mut Env, id: &str) {
    for domain in ["a", "b"] {
        let worker = Worker::start(&format!("{id}-{domain}"), domain, &env.ledger);
        env.store.put(&format!("servers/{}", worker.id), &worker.entry("ready"));
        env.workers.push(worker);
    }
    wait_until("the new workers are owned", || {
        for vm in &env.vms {
            assert_eq!(vm.exit_status(), None, "a VM has ended");
        }
        let new = env.workers.iter().rev().take(2);
        new.into_iter().all(|worker| {
            env.vms
                .iter()
                .any(|vm| vm.logged(&["event=target-owned", &format!("target={}", worker.id)]))
        })
    });
    for vm in 0..env.vms.len() {
        assert_eq!(env.submit(vm, fastrand::u64(..), 2, 50), Some(done()));
    }
    env.check();
}

/// Checks that a worker gets tasks.
#[track_caller]
fn check_used(env: &Env, worker: usize) {
    let start = Instant::now();
    let is_used = AtomicBool::new(false);
    let is_over = || is_used.load(Ordering::Relaxed) || start.elapsed() > LIMIT;
    thread::scope(|scope| {
        scope.spawn(|| env.load(&[0, 1], 6, is_over));
        while !is_over() {
            is_used.fetch_or(env.workers[worker].running() > 0, Ordering::Relaxed);
            thread::yield_now();
        }
    });
    assert!(is_used.into_inner(), "the worker got no task within {LIMIT:?}");
    env.check();
}

/// Restarts all VMs, so that they read the whole store again.
fn restart(env: &mut Env) {
    for index in 0..env.vms.len() {
        env.vms[index].kill();
        env.vms[index] = env.launch(index);
    }
    for index in 0..env.vms.len() {
        wait_until("a VM is ready", || env.is_ready(index));
    }
}

#[test]
fn odd_values_cost_only_their_entries() {
    let mut env = Env::start(1, 1);
    for (index, (_, text)) in odd_entries(&env.workers[0]).iter().enumerate() {
        env.store.put_encoded(&format!("servers/odd-{index}"), &STANDARD.encode(text));
    }
    check_following(&mut env, "while-running");
    restart(&mut env);
    check_following(&mut env, "after-restart");
    let odd = odd_entries(&env.workers[0]);
    for (index, (what, _)) in odd.iter().enumerate() {
        let key = format!("key=servers/odd-{index} ");
        assert_eq!(env.vms[0].count_logged(&["event=target-unreadable", &key]), 1, "{what}");
    }
}

#[test]
fn a_value_that_is_not_base64_costs_only_its_entry() {
    let mut env = Env::start(1, 1);
    env.store.put_encoded("servers/odd", "***");
    env.store.put_encoded("gypsumkeel/vms/odd", "***");
    check_following(&mut env, "while-running");
    restart(&mut env);
    check_following(&mut env, "after-restart");
    assert!(env.vms[0].logged(&["event=item-unreadable", "key=servers/odd"]));
}

#[test]
fn a_worker_whose_value_is_no_longer_readable_is_not_used() {
    let env = Env::start(1, 2);
    env.store.put_encoded("servers/w-a-0", "***");
    wait_until("the entry is read", || {
        env.vms.iter().all(|vm| vm.logged(&["event=item-unreadable", "key=servers/w-a-0"]))
    });
    wait_until("the other workers take all jobs", || {
        let before = env.workers[0].calls();
        assert_eq!(env.submit(0, fastrand::u64(..), 2, 50), Some(done()));
        env.workers[0].calls() == before
    });
    env.store.put("servers/w-a-0", &env.workers[0].entry("ready"));
    check_used(&env, 0);
}

#[test]
fn odd_keys_cost_only_their_entries() {
    let mut env = Env::start(1, 1);
    let worker = Worker::start("odd", "a", &env.ledger);
    for key in ODD_KEYS {
        env.store.put(key, &worker.entry("ready"));
    }
    check_following(&mut env, "while-running");
    restart(&mut env);
    check_following(&mut env, "after-restart");
    assert_eq!(worker.calls(), 0, "a worker without a usable id was called");
}

#[test]
fn an_odd_key_at_the_end_of_a_page_hides_no_worker() {
    let mut env = Env::start(1, 1);
    // Pages are in the order of keys, so the odd one is the last of the first page.
    for index in 0..ITEMS_PER_PAGE - 1 {
        env.store.put_encoded(&format!("servers/!{index:04}"), "");
    }
    env.store.put_encoded("servers/\"&after=servers/#", "");
    restart(&mut env);
    check_following(&mut env, "after-restart");
}

#[test]
fn odd_registrations_of_vms_cost_only_themselves() {
    let mut env = Env::start(1, 1);
    let nested = "[".repeat(DEPTH) + &"]".repeat(DEPTH);
    let registrations = [
        nested,
        r#"{"vm":"x","peers":"127.0.0.1:70000"}"#.to_owned(),
        r#"{"vm":"x","incarnation":1e99}"#.to_owned(),
        String::new(),
    ];
    for (index, text) in registrations.iter().enumerate() {
        env.store.put_encoded(&format!("gypsumkeel/vms/odd-{index}"), &STANDARD.encode(text));
    }
    check_following(&mut env, "while-running");
    restart(&mut env);
    let added = env.add("a");
    check_following(&mut env, "after-restart");
    assert!(env.vms[added].exit_status().is_none());
    let unreadable = ["event=registration-unreadable", "key=gypsumkeel/vms/odd-0"];
    assert_eq!(env.vms[0].count_logged(&unreadable), 1, "logged once for each revision");
}

/// The other writer takes the worker's own key. The worker's next heartbeat puts its entry right.
#[test]
fn a_start_time_far_ahead_neither_ends_a_worker_nor_its_tasks() {
    let env = Env::start(1, 1);
    let far_ahead = entry_with(&env.workers[0], "born", &json!(1_u64 << 52));
    let starts = || *env.ledger.starts.lock().unwrap();
    thread::scope(|scope| {
        let job = scope.spawn(|| env.submit(0, 1, 2, 1500));
        wait_until("the job runs", || starts() == 2);
        env.store.put_encoded("servers/w-a-0", &STANDARD.encode(far_ahead));
        // Changes are read in their order, so whoever has read the mark has read the odd entry.
        env.store.put_encoded("servers/mark", "");
        wait_until("the odd entry is read", || {
            env.vms.iter().all(|vm| vm.logged(&["event=target-unreadable", "key=servers/mark"]))
        });
        env.store.put("servers/w-a-0", &env.workers[0].entry("ready"));
        assert_eq!(job.join().unwrap(), Some(done()));
    });
    assert_eq!(starts(), 2, "a task was started again");
    check_used(&env, 0);
}
