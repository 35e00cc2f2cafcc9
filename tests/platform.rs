//! The program on the users' platform: real processes among stand-ins for its store and workers.

#[path = "platform/mod.rs"]
mod platform;

use std::process::Command;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use gypsumkeel::clock::Millis;
use platform::{Env, LIMIT, Reply, wait_until};
use rustix::process::Signal;
use serde_json::{Value, json};

/// The answer of a job that is done.
fn done() -> Reply {
    Reply { status: 200, state: "done".to_owned(), retry_after: false }
}

fn are_done(replies: &[Option<Reply>]) -> bool {
    replies.iter().all(|reply| reply.as_ref() == Some(&done()))
}

/// How many replies are answers of jobs that are done.
fn served(replies: &[Option<Reply>]) -> usize {
    replies.iter().filter(|reply| reply.as_ref() == Some(&done())).count()
}

/// The VM of domain a that owns its workers.
fn owner(env: &Env) -> usize {
    let owns = |vm: &usize| env.vms[*vm].said(&["event=target-owned", "target=w-a-0"]);
    wait_until("a VM says that it owns the workers", || (0..2).any(|vm| owns(&vm)));
    (0..2).find(owns).unwrap()
}

fn after(limit: Duration) -> impl Fn() -> bool + Sync {
    let start = Instant::now();
    move || start.elapsed() > limit
}

#[test]
fn jobs_are_served_by_any_vm() {
    let env = Env::start(2, 2);
    for vm in 0..4 {
        assert_eq!(env.submit(vm, vm as u64, 5, 50), Some(done()));
    }
    assert_eq!(env.ledger.done.lock().unwrap().len(), 20);
    assert_eq!(env.get(0, "/holds/"), Some((200, r#"{"pending":0}"#.to_owned())));
    assert_eq!(env.get(0, "/holds/00000000000000ff").map(|(status, _)| status), Some(410));
    assert_eq!(env.get(0, "/elsewhere/").map(|(status, _)| status), Some(404));
    assert_eq!(env.metric(0, "batches.done"), 1);
    // Each reading empties the counts of times, and an answer may be ahead of its count.
    let mut waits = 0;
    wait_until("one wait a batch, on whichever VM owns its targets", || {
        waits += (0..4).map(|vm| env.metric(vm, "batches.wait.count")).sum::<u64>();
        waits == 4
    });
    let job = format!("job={:016x}", 0);
    wait_until("the end is logged", || env.vms[0].said(&["event=batch-end", &job, "outcome=done"]));
    env.check();
}

#[test]
fn what_is_not_built_or_makes_no_sense_is_told_at_once() {
    let env = Env::start(1, 1);
    let kept = json!({ "spec": "1000 10", "steps": [{ "count": 1, "cpu": 1000, "memMb": 1, "estMs": 10 }] });
    let reply = env.post(0, 1, &kept, Millis(2000)).unwrap();
    assert_eq!((reply.status, reply.retry_after), (503, true));
    let empty = json!({ "spec": "1000 10", "bestEffort": true, "steps": [] });
    assert_eq!(env.post(0, 2, &empty, Millis(2000)).unwrap().status, 400);
    let broken = json!({ "spec": 7 });
    assert_eq!(env.post(0, 3, &broken, Millis(2000)).unwrap().status, 400);
    let huge = json!({ "spec": "1000 10", "bestEffort": true,
        "steps": [{ "count": 1, "cpu": 99_000, "memMb": 1, "estMs": 10 }] });
    let reply = env.post(0, 4, &huge, Millis(2000)).unwrap();
    assert_eq!((reply.status, reply.retry_after), (503, true));
    assert_eq!(*env.ledger.starts.lock().unwrap(), 0);
}

#[test]
fn a_killed_vm_loses_its_targets_to_another_and_nothing_runs_twice() {
    let env = Env::start(2, 2);
    let start = Instant::now();
    let owner = owner(&env);
    let other = 1 - owner;
    let replies = env.load(&[other, 2, 3], 6, || start.elapsed() > Duration::from_secs(1));
    assert!(are_done(&replies), "{replies:?}");
    env.vms[owner].kill();
    let replies = env.load(&[other, 2, 3], 6, after(Duration::from_secs(4)));
    assert!(replies.iter().all(Option::is_some), "{replies:?}");
    wait_until("the other VM has its targets", || {
        ["w-a-0", "w-a-1"]
            .iter()
            .all(|target| env.vms[other].said(&["event=target-owned", &format!("target={target}")]))
    });
    assert_eq!(env.submit(other, 1 << 40, 4, 50), Some(done()));
    env.check();
}

#[test]
fn a_frozen_vm_yields_to_the_one_that_took_over() {
    let env = Env::start(2, 2);
    let owner = owner(&env);
    env.vms[owner].signal(Signal::STOP);
    let others = [1 - owner, 2, 3];
    let replies = env.load(&others, 6, after(Duration::from_secs(4)));
    assert!(replies.iter().all(Option::is_some), "{replies:?}");
    env.vms[owner].signal(Signal::CONT);
    wait_until("it yields", || env.vms[owner].said(&["event=target-left", "reason=fenced"]));
    let replies = env.load(&[0, 1, 2, 3], 6, after(Duration::from_secs(2)));
    let served = served(&replies);
    assert!(served * 10 > replies.len() * 9, "{replies:?}");
    env.check();
}

/// Whoever calls a VM just after it woke is served by those that took over meanwhile.
#[test]
fn a_vm_that_wakes_knows_the_owners_at_once() {
    let env = Env::start(2, 2);
    let owner = owner(&env);
    env.vms[owner].signal(Signal::STOP);
    thread::sleep(Duration::from_secs(4));
    env.vms[owner].signal(Signal::CONT);
    thread::sleep(Duration::from_millis(100));
    let replies = (0..10).map(|id| env.submit(owner, 1 << 40 | id, 2, 20)).collect::<Vec<_>>();
    assert!(are_done(&replies), "{replies:?}");
    env.check();
}

#[test]
fn a_stop_cuts_no_request() {
    let env = Env::start(2, 2);
    let vms = [0, 1, 2, 3];
    let start = Instant::now();
    let replies = std::thread::scope(|scope| {
        scope.spawn(|| {
            std::thread::sleep(Duration::from_millis(500));
            env.vms[0].signal(Signal::TERM);
        });
        // Callers are sent to a stopping VM for two more seconds.
        env.load(&vms, 6, || start.elapsed() > Duration::from_secs(2))
    });
    assert!(replies.iter().all(Option::is_some), "a request was cut: {replies:?}");
    let served = served(&replies);
    assert!(served * 20 > replies.len() * 19, "{replies:?}");
    wait_until("the process ends", || env.vms[0].exit_status().is_some());
    assert!(env.vms[0].exit_status().unwrap().success());
    wait_until("its registration is gone", || env.store.keys("gypsumkeel/vms/").len() == 3);
    env.check();
}

#[test]
fn settings_are_read_again_and_a_bad_file_changes_nothing() {
    let env = Env::start(1, 1);
    env.vms[0].signal(Signal::HUP);
    wait_until("it has read them", || env.vms[0].said(&["event=reloaded"]));
    assert_eq!(env.submit(0, 1, 1, 20), Some(done()));
    assert!(env.vms[0].exit_status().is_none());
}

#[test]
fn an_outage_of_the_store_stops_no_job() {
    let env = Env::start(2, 1);
    env.store.set_down(true);
    let replies = env.load(&[0, 1, 2, 3], 4, after(Duration::from_secs(3)));
    assert!(are_done(&replies), "{replies:?}");
    assert!(env.metric(0, "store.unanswered") + env.metric(0, "store.refused") > 0);
    assert!(env.metric(0, "routes.age") > 3000);
    // A VM that starts meanwhile learns the routes from another.
    env.vms[3].kill();
    let again = env.launch(3);
    wait_until("it has the routes", || env.is_ready(3));
    env.store.set_down(false);
    env.configure(2, "/other/");
    for vm in 0..4 {
        wait_until("the change is in force", || {
            env.get(vm, "/other/").is_some_and(|(status, _)| status == 200)
        });
    }
    again.kill();
    env.check();
}

#[test]
fn lost_answers_and_a_lost_history_of_the_store_do_no_harm() {
    let env = Env::start(1, 1);
    env.store.lose(1);
    let late = env.launch(0);
    late.kill();
    env.store.compact();
    env.configure(5, "/other/");
    for vm in 0..2 {
        wait_until("the change is in force", || {
            env.get(vm, "/other/").is_some_and(|(status, _)| status == 200)
        });
    }
}

#[test]
fn the_tasks_of_a_caller_that_hangs_up_are_stopped() {
    let env = Env::start(1, 2);
    let body = json!({ "spec": "7000 10000", "bestEffort": true,
        "steps": [{ "count": 3, "cpu": 7000, "memMb": 64, "estMs": 10_000 }] });
    assert_eq!(env.post(0, 1, &body, Millis(400)), None);
    let start = Instant::now();
    wait_until("nothing runs", || env.workers.iter().all(|worker| worker.running() == 0));
    assert!(start.elapsed() < Duration::from_millis(700), "{:?}", start.elapsed());
    assert_eq!(env.ledger.done.lock().unwrap().len(), 0);
}

/// Its copy may be at another VM already. The requests before the last one are read first.
#[test]
fn a_job_whose_caller_has_gone_before_it_is_read_starts_nothing() {
    let env = Env::start(1, 1);
    let starts = || *env.ledger.starts.lock().unwrap();
    let before = starts();
    env.vms[0].signal(Signal::STOP);
    for id in 0..5 {
        env.post_and_reset(0, id);
    }
    env.vms[0].signal(Signal::CONT);
    assert_eq!(env.submit(0, 100, 1, 50), Some(done()));
    assert_eq!(starts(), before + 1);
    env.check();
}

#[test]
fn a_worker_that_crashes_or_goes_silent_costs_a_delay_only() {
    let env = Env::start(1, 2);
    let start = Instant::now();
    let replies = std::thread::scope(|scope| {
        scope.spawn(|| {
            std::thread::sleep(Duration::from_millis(500));
            env.workers[0].crash();
            env.store
                .put(&format!("servers/{}", env.workers[0].id), &env.workers[0].entry("ready"));
            std::thread::sleep(Duration::from_secs(1));
            env.workers[1].set_silent(true);
            std::thread::sleep(Duration::from_millis(1500));
            env.workers[1].set_silent(false);
        });
        env.load(&[0, 1], 4, || start.elapsed() > Duration::from_secs(5))
    });
    assert!(are_done(&replies), "{replies:?}");
    env.check();
}

/// The store lists a worker for seconds after another one has taken its address. Two owners that met such workers told
/// each other of each try, and tried again at once.
#[test]
fn workers_whose_addresses_others_have_are_asked_now_and_then() {
    let env = Env::start(1, 2);
    let replaced = [&env.workers[0], &env.workers[2]];
    let calls = || replaced.iter().map(|worker| worker.calls()).sum::<u64>();
    for worker in replaced {
        worker.set_replaced(true);
    }
    wait_until("the owners have noticed", || (0..2).all(|vm| env.metric(vm, "targets.owned") < 2));
    let before = calls();
    let start = Instant::now();
    let replies = env.load(&[0, 1], 3, || start.elapsed() > Duration::from_secs(2));
    let calls = calls() - before;
    assert!(calls < 20, "{calls} calls in two seconds");
    assert!(are_done(&replies), "{replies:?}");
    for worker in replaced {
        worker.set_replaced(false);
    }
    wait_until("they are used again", || (0..2).all(|vm| env.metric(vm, "targets.owned") == 2));
    env.check();
}

#[test]
fn a_worker_that_drains_gets_nothing_more() {
    let env = Env::start(1, 2);
    env.store.put(&format!("servers/{}", env.workers[0].id), &env.workers[0].entry("draining"));
    let replies = env.load(&[0, 1], 3, after(Duration::from_secs(2)));
    assert!(are_done(&replies), "{replies:?}");
    let start = Instant::now();
    wait_until("it is idle", || env.workers[0].running() == 0);
    assert!(start.elapsed() < LIMIT);
    env.store.remove(&format!("servers/{}", env.workers[0].id));
    assert_eq!(env.submit(0, 1 << 40, 2, 50), Some(done()));
    env.check();
}

#[test]
fn a_log_that_nobody_reads_slows_no_request() {
    let env = Env::start(1, 2);
    env.vms[0].is_unread.store(true, Ordering::Relaxed);
    // Far more lines than a pipe and the queue before it hold.
    let start = Instant::now();
    let mut slowest = Duration::ZERO;
    let mut refused = 0;
    while start.elapsed() < Duration::from_secs(10) {
        let begun = Instant::now();
        for id in 0..20 {
            let kept = json!({ "spec": "1 1", "steps": [{ "count": 1, "cpu": 1 }] });
            refused += u64::from(env.post(0, id, &kept, Millis(2000)).unwrap().status == 503);
        }
        assert_eq!(env.submit(0, 1 << 40 | refused, 1, 10), Some(done()));
        slowest = slowest.max(begun.elapsed());
    }
    assert!(refused > 1000, "{refused} lines are too few to fill the pipe");
    assert!(slowest < Duration::from_secs(1), "{slowest:?}");
    env.vms[0].is_unread.store(false, Ordering::Relaxed);
    wait_until("omissions are told", || {
        drop(env.submit(0, 1 << 41, 1, 1));
        env.vms[0].said(&["event=lines-omitted of=refused count="])
    });
    assert!(env.metric(0, "logs.omitted") > 0);
}

/// At the level debug each decision about a batch has its line, with what it rests on.
#[test]
fn a_debug_log_tells_the_way_of_a_batch() {
    let env = Env::start_with(1, 1, &["--log-level", "debug"]);
    assert_eq!(env.submit(0, 7, 2, 10), Some(done()));
    let job = format!("job={:016x}", 7);
    let said =
        |words: &[&str]| env.vms.iter().any(|vm| vm.said(&[&[job.as_str()], words].concat()));
    for words in [
        &["event=batch-routed", "vm=edge-", "free_cpu=", "backlog_ms=", "age_ms="][..],
        &["event=task-start", ".0.0.1", "run=1", "target=w-", "round=", "outcome=ok", "ms="],
        &["event=batch-run", "outcome=done", "waited_ms=", "starts=2"],
        &["event=batch-end", "outcome=done", "routes=1"],
    ] {
        wait_until(&format!("a line with {words:?}"), || said(words));
    }
}

/// The targets that have an owner by a VM's status, and those that it and the others say that they own.
fn owners(status: &Value) -> (usize, u64) {
    let targets = status["targets"].as_array().unwrap();
    let owned = targets.iter().filter(|target| target["owner"].is_string()).count();
    let own = targets.iter().filter(|target| target["owner"] == status["vm"]).count() as u64;
    let peers = status["peers"].as_array().unwrap().iter();
    (owned, own + peers.map(|peer| peer["targets"].as_u64().unwrap()).sum::<u64>())
}

/// Operators see who owns what without reading the log.
#[test]
fn status_shows_owners_load_and_ages() {
    let env = Env::start(2, 3);
    // VMs that start at the same moment may take targets from each other first.
    wait_until("each target has one owner, in one and the same view", || {
        let (owned, claimed) = owners(&env.status(0));
        (owned, claimed) == (6, 6)
    });
    let status = env.status(0);
    let peers = status["peers"].as_array().unwrap();
    assert_eq!(peers.len(), 3, "{status}");
    assert!(
        peers.iter().all(|peer| peer["linked"] == true && peer["said"]["age"].is_u64()),
        "{status}"
    );
    assert_eq!(status["routes"]["version"], 1, "{status}");
    let output = Command::new(env!("CARGO_BIN_EXE_gypsumkeel"))
        .args(["status", "--entry", &format!("http://{}:9100", env.vms[0].ip)])
        .output()
        .expect("the program starts");
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(
        output.status.success() && text.contains("owner=") && text.contains("said.age="),
        "{text}"
    );
}

/// The list of targets is read again and again, also while nothing on it changes.
#[test]
fn the_age_of_the_list_of_targets_is_that_of_the_last_reading() {
    let env = Env::start(1, 1);
    let mut oldest = 0;
    wait_until("the list is read again", || {
        let age = env.metric(0, "targets.age");
        let is_younger = age < oldest;
        oldest = oldest.max(age);
        is_younger
    });
}

/// A batch whose caller's time ran out while it waited was not run, and its caller is told so.
#[test]
fn a_batch_that_never_started_is_refused_not_expired() {
    let env = Env::start(1, 1);
    thread::scope(|scope| {
        for vm in 0..2 {
            scope.spawn({
                let env = &env;
                move || env.submit(vm, 1 + vm as u64, 2, 1500)
            });
        }
        wait_until("all room is taken", || {
            (0..2).all(|vm| env.status(vm)["load"]["free_cpu"].as_u64() < Some(7000))
        });
        let body = json!({ "spec": "7000 1", "bestEffort": true,
            "steps": [{ "count": 1, "cpu": 7000, "memMb": 64, "estMs": 1 }] });
        let reply = env.post_with_deadline(0, 9, &body, Millis(3000), Millis(60));
        let reply = reply.expect("an answer");
        assert_eq!((reply.status, reply.retry_after), (503, true), "{reply:?}");
    });
}
