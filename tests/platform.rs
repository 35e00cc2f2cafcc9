//! The program on the users' platform: real processes with a fake store and fake workers.

#[path = "cases/mod.rs"]
mod cases;
#[path = "platform/mod.rs"]
mod platform;

use std::net::SocketAddr;
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use gypsumkeel::clock::Millis;
use platform::{Env, LIMIT, Reply, Vm, Way, metric_in, wait_until};
use rustix::process::Signal;
use serde_json::{Value, json};

/// The response to a successful job.
fn done() -> Reply {
    Reply { status: 200, state: "done".to_owned(), retry_after: false }
}

/// Whether all jobs succeeded.
fn are_done(replies: &[Option<Reply>]) -> bool {
    replies.iter().all(|reply| reply.as_ref() == Some(&done()))
}

/// The number of successful jobs.
fn count_done(replies: &[Option<Reply>]) -> usize {
    replies.iter().filter(|reply| reply.as_ref() == Some(&done())).count()
}

/// The VM of domain a that owns its workers.
fn owner(env: &Env) -> usize {
    let owns = |vm: &usize| env.vms[*vm].logged(&["event=target-owned", "target=w-a-0"]);
    wait_until("a VM owns the workers", || (0..2).any(|vm| owns(&vm)));
    (0..2).find(owns).unwrap()
}

/// The VM of domain a that owns a worker in its own view.
fn owner_of(env: &Env, worker: &str) -> usize {
    let owns = |vm: usize| {
        let status = env.status(vm);
        let targets = status["targets"].as_array().unwrap().iter();
        targets.clone().any(|target| target["id"] == worker && target["owner"] == status["vm"])
    };
    (0..2).find(|&vm| owns(vm)).expect("a VM owns the worker")
}

/// A condition that becomes true after `limit`.
fn after(limit: Duration) -> impl Fn() -> bool + Sync {
    let start = Instant::now();
    move || start.elapsed() > limit
}

/// Waits until the VMs have counted the wait of every run of a load, whose jobs are all done, and have no work left. A
/// job that was interrupted has several runs. A run whose VM lost the link to the caller's VM is neither logged nor
/// counted.
fn wait_until_counted(env: &Env, replies: &[Option<Reply>]) {
    let started_runs = |vm: &Vm| {
        let log = vm.log.lock().unwrap();
        let runs = log.iter().filter(|line| line.contains("event=batch-run"));
        runs.filter(|line| !line.contains("waited_ms=never")).count()
    };
    let logged = |words: &[&str]| env.vms.iter().map(|vm| vm.count_logged(words)).sum::<usize>();
    // The interrupted runs of a job are logged before the one that ends it.
    wait_until("a successful run of each job is logged", || {
        logged(&["event=batch-run", "outcome=done"]) >= replies.len()
    });
    let mut waits = 0;
    wait_until("the waits of all runs are counted", || {
        let all = 0..env.vms.len();
        waits += all.map(|vm| env.metric(vm, "batches.wait.count")).sum::<u64>();
        waits == env.vms.iter().map(started_runs).sum::<usize>() as u64
    });
    wait_until("nothing is pending", || {
        let is_idle = |vm| env.get(vm, "/holds/") == Some((200, r#"{"pending":0}"#.to_owned()));
        (0..env.vms.len()).all(is_idle) && env.workers.iter().all(|worker| worker.running() == 0)
    });
}

#[test]
fn jobs_are_served_by_any_vm() {
    let env = Env::start(2, 2);
    // A job that runs during a change of owners may be interrupted and run again, and each run counts a wait.
    let replies = env.wait_for_stable_ownership();
    assert!(are_done(&replies), "{replies:?}");
    wait_until_counted(&env, &replies);
    let pages = (0..4).map(|vm| env.metrics(vm)).collect::<Vec<_>>();
    assert!(pages.iter().all(|page| metric_in(page, "batches.wait.count") == 0));
    let done_before = metric_in(&pages[0], "batches.done");
    let tasks_before = env.ledger.done.lock().unwrap().len();
    // The load has used lower ids.
    let first = 1 << 40;
    for vm in 0..4 {
        assert_eq!(env.submit(vm, first | vm as u64, 5, 50), Some(done()));
    }
    assert_eq!(env.ledger.done.lock().unwrap().len() - tasks_before, 20);
    assert_eq!(env.get(0, "/holds/"), Some((200, r#"{"pending":0}"#.to_owned())));
    assert_eq!(env.get(0, "/holds/00000000000000ff").map(|(status, _)| status), Some(410));
    assert_eq!(env.get(0, "/elsewhere/").map(|(status, _)| status), Some(404));
    // Reading the page resets the timers, so both figures come from one page.
    let page = env.metrics(0);
    assert_eq!(metric_in(&page, "batches.done") - done_before, 1);
    // A response may precede the update of its timer.
    let mut waits = metric_in(&page, "batches.wait.count");
    wait_until("the owners of the targets have counted one wait per batch", || {
        waits += (0..4).map(|vm| env.metric(vm, "batches.wait.count")).sum::<u64>();
        waits == 4
    });
    let job = format!("job={first:016x}");
    wait_until("the end is logged", || {
        env.vms[0].logged(&["event=batch-end", &job, "outcome=done"])
    });
    env.check();
}

#[test]
fn unsupported_and_invalid_jobs_are_rejected_at_once() {
    let env = Env::start(1, 1);
    let unsupported = json!({ "spec": "1000 10", "steps": [{ "count": 1, "cpu": 1000, "memMb": 1, "estMs": 10 }] });
    let reply = env.post(0, 1, &unsupported, Millis(2000)).unwrap();
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
    wait_until("the other VM owns its targets", || {
        ["w-a-0", "w-a-1"].iter().all(|target| {
            env.vms[other].logged(&["event=target-owned", &format!("target={target}")])
        })
    });
    assert_eq!(env.submit(other, 1 << 40, 4, 50), Some(done()));
    env.check();
}

#[test]
fn a_resumed_vm_yields_its_targets_to_the_new_owners() {
    let env = Env::start(2, 2);
    let owner = owner(&env);
    env.vms[owner].signal(Signal::STOP);
    let others = [1 - owner, 2, 3];
    let replies = env.load(&others, 6, after(Duration::from_secs(4)));
    assert!(replies.iter().all(Option::is_some), "{replies:?}");
    env.vms[owner].signal(Signal::CONT);
    wait_until("the frozen VM has lost its targets", || {
        env.vms[owner].logged(&["event=target-left", "reason=fenced"])
    });
    let replies = env.load(&[0, 1, 2, 3], 6, after(Duration::from_secs(2)));
    let done = count_done(&replies);
    assert!(done * 10 > replies.len() * 9, "{replies:?}");
    env.check();
}

/// A VM that was frozen must forward jobs to the new owners of its targets as soon as it resumes.
#[test]
fn a_resumed_vm_knows_the_new_owners_at_once() {
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
fn a_graceful_stop_aborts_no_request() {
    let env = Env::start(2, 2);
    let vms = [0, 1, 2, 3];
    let start = Instant::now();
    let replies = std::thread::scope(|scope| {
        scope.spawn(|| {
            std::thread::sleep(Duration::from_millis(500));
            env.vms[0].signal(Signal::TERM);
        });
        // The platform sends callers to a stopping VM for two more seconds.
        env.load(&vms, 6, || start.elapsed() > Duration::from_secs(2))
    });
    assert!(replies.iter().all(Option::is_some), "a request got no response: {replies:?}");
    let done = count_done(&replies);
    assert!(done * 20 > replies.len() * 19, "{replies:?}");
    wait_until("the process ends", || env.vms[0].exit_status().is_some());
    assert!(env.vms[0].exit_status().unwrap().success());
    wait_until("its registration is gone", || env.store.keys("gypsumkeel/vms/").len() == 3);
    env.check();
}

#[test]
fn settings_are_read_again_and_a_bad_file_changes_nothing() {
    let env = Env::start(1, 1);
    env.vms[0].signal(Signal::HUP);
    wait_until("the settings have been read again", || env.vms[0].logged(&["event=reloaded"]));
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
    // A VM that starts during the outage gets the routes from another VM.
    env.vms[3].kill();
    let restarted = env.launch(3);
    wait_until("the restarted VM has the routes", || env.is_ready(3));
    env.store.set_down(false);
    env.configure(2, "/other/");
    for vm in 0..4 {
        wait_until("the new configuration is in force", || {
            env.get(vm, "/other/").is_some_and(|(status, _)| status == 200)
        });
    }
    restarted.kill();
    env.check();
}

#[test]
fn lost_responses_and_a_compacted_history_of_the_store_do_no_harm() {
    let env = Env::start(1, 1);
    env.store.lose_responses(1);
    let vm = env.launch(0);
    vm.kill();
    env.store.compact();
    env.configure(5, "/other/");
    for vm in 0..2 {
        wait_until("the new configuration is in force", || {
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
    wait_until("all tasks have been stopped", || {
        env.workers.iter().all(|worker| worker.running() == 0)
    });
    assert!(start.elapsed() < Duration::from_millis(700), "{:?}", start.elapsed());
    assert_eq!(env.ledger.done.lock().unwrap().len(), 0);
}

/// The caller of such a job may have sent it to another VM already, so running it here too would run it twice. The VM
/// reads the reset requests before the last one.
#[test]
fn a_job_whose_connection_was_reset_before_it_is_read_starts_no_task() {
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

/// Guards against a busy VM that reads a job whose caller has left already, and starts it before it notices that.
#[test]
fn a_job_whose_caller_left_before_it_is_read_starts_no_task() {
    let env = Env::start(1, 1);
    let body = json!({ "spec": "7000 50", "bestEffort": true,
        "steps": [{ "count": 1, "cpu": 7000, "memMb": 64, "estMs": 50 }] });
    let starts = || *env.ledger.starts.lock().unwrap();
    let before = starts();
    for id in 0..5 {
        env.vms[0].signal(Signal::STOP);
        assert_eq!(env.post(0, id, &body, Millis(20)), None);
        env.vms[0].signal(Signal::CONT);
    }
    assert_eq!(env.submit(0, 100, 1, 50), Some(done()));
    assert_eq!(starts(), before + 1);
    env.check();
}

/// The store lists a worker for seconds after another one has taken over its address. Two owners of such workers once
/// announced each failed takeover to each other and then retried at once, without a pause.
#[test]
fn workers_whose_addresses_were_taken_over_are_called_rarely() {
    let env = Env::start(1, 2);
    let replaced = [&env.workers[0], &env.workers[2]];
    let calls = || replaced.iter().map(|worker| worker.calls()).sum::<u64>();
    for worker in replaced {
        worker.set_replaced(true);
    }
    wait_until("the owners have released the replaced workers", || {
        (0..2).all(|vm| env.metric(vm, "targets.owned") < 2)
    });
    let before = calls();
    let start = Instant::now();
    let replies = env.load(&[0, 1], 3, || start.elapsed() > Duration::from_secs(2));
    let calls = calls() - before;
    assert!(calls < 20, "{calls} calls in two seconds");
    assert!(are_done(&replies), "{replies:?}");
    for worker in replaced {
        worker.set_replaced(false);
    }
    wait_until("the workers are used again", || {
        (0..2).all(|vm| env.metric(vm, "targets.owned") == 2)
    });
    env.check();
}

#[test]
fn a_draining_worker_gets_no_more_tasks() {
    let env = Env::start(1, 2);
    env.store.put(&format!("servers/{}", env.workers[0].id), &env.workers[0].entry("draining"));
    let replies = env.load(&[0, 1], 3, after(Duration::from_secs(2)));
    assert!(are_done(&replies), "{replies:?}");
    let start = Instant::now();
    wait_until("the draining worker is idle", || env.workers[0].running() == 0);
    assert!(start.elapsed() < LIMIT);
    env.store.remove(&format!("servers/{}", env.workers[0].id));
    assert_eq!(env.submit(0, 1 << 40, 2, 50), Some(done()));
    env.check();
}

#[test]
fn a_log_that_nobody_reads_slows_no_request() {
    let env = Env::start(1, 2);
    env.vms[0].is_unread.store(true, Ordering::Relaxed);
    // The log omits lines once its queue of 2,048 lines and the pipe of 64 KiB, some 550 lines more, are full, or above
    // 200 severe lines per second. The time that this takes depends on the machine, so the load goes on until the VM has
    // counted an omitted line.
    let refused = AtomicU64::new(0);
    let is_over = AtomicBool::new(false);
    let start = Instant::now();
    // Submits rounds of 20 unsupported jobs and a supported one. Returns the duration of the slowest round.
    let call = |caller: u64| {
        let mut slowest = Duration::ZERO;
        for round in 0.. {
            if is_over.load(Ordering::Relaxed) || start.elapsed() >= LIMIT {
                break;
            }
            let round_start = Instant::now();
            for id in 0..20 {
                let unsupported = json!({ "spec": "1 1", "steps": [{ "count": 1, "cpu": 1 }] });
                let reply = env.post(0, caller << 8 | id, &unsupported, Millis(2000)).unwrap();
                refused.fetch_add(u64::from(reply.status == 503), Ordering::Relaxed);
            }
            let id = 1 << 40 | caller << 32 | round;
            assert_eq!(env.submit(0, id, 1, 10), Some(done()));
            slowest = slowest.max(round_start.elapsed());
        }
        slowest
    };
    let (slowest, omitted) = thread::scope(|scope| {
        let call = &call;
        let callers = (0..4).map(|caller| scope.spawn(move || call(caller))).collect::<Vec<_>>();
        let mut omitted = 0;
        while start.elapsed() < LIMIT {
            thread::sleep(Duration::from_secs(1));
            omitted = env.metric(0, "logs.omitted");
            let is_long_enough = start.elapsed() >= Duration::from_secs(10);
            if is_long_enough && refused.load(Ordering::Relaxed) > 1000 && omitted > 0 {
                break;
            }
        }
        is_over.store(true, Ordering::Relaxed);
        let slowest = callers.into_iter().map(|caller| caller.join().unwrap()).max().unwrap();
        (slowest, omitted)
    });
    let (elapsed, refused) = (start.elapsed(), refused.into_inner());
    assert!(
        elapsed >= Duration::from_secs(10) && refused > 1000 && omitted > 0,
        "{refused} refusals and {omitted} omitted lines in {elapsed:?}"
    );
    assert!(slowest < Duration::from_secs(1), "{slowest:?}");
    env.vms[0].is_unread.store(false, Ordering::Relaxed);
    wait_until("the log reports omitted lines", || {
        drop(env.submit(0, 1 << 41, 1, 1));
        env.vms[0].logged(&["event=lines-omitted of=refused count="])
    });
    assert!(env.metric(0, "logs.omitted") > 0);
}

/// At level debug, the log has a line for each decision about a batch, with the facts that it is based on.
#[test]
fn a_debug_log_shows_the_path_of_a_batch() {
    let env = Env::start_with(1, 1, &["--log-level", "debug"]);
    assert_eq!(env.submit(0, 7, 2, 10), Some(done()));
    let job = format!("job={:016x}", 7);
    let logged =
        |words: &[&str]| env.vms.iter().any(|vm| vm.logged(&[&[job.as_str()], words].concat()));
    for words in [
        &["event=batch-routed", "vm=edge-", "free_cpu=", "backlog_ms=", "age_ms="][..],
        &["event=task-start", ".0.0.1", "run=1", "target=w-", "round=", "outcome=ok", "ms="],
        &["event=batch-run", "outcome=done", "waited_ms=", "starts=2"],
        &["event=batch-end", "outcome=done", "routes=1"],
    ] {
        wait_until(&format!("a line with {words:?}"), || logged(words));
    }
}

/// A job of one long task whose data is near the workers of a domain.
fn long_job_near(rack: &str) -> Value {
    json!({ "spec": "500 10000", "bestEffort": true,
        "steps": [{ "count": 1, "cpu": 500, "memMb": 64, "estMs": 10_000, "affinity": rack }] })
}

/// The value of a number in the only line of a VM's log that has all `words`.
fn number_logged(vm: &Vm, words: &[&str], key: &str) -> u64 {
    let log = vm.log.lock().unwrap();
    let line = log.iter().find(|line| words.iter().all(|word| line.contains(word)));
    let line = line.expect("the line is there");
    let value = line.split(' ').find_map(|pair| pair.strip_prefix(&format!("{key}=")));
    value.expect("the number is there").parse().expect("it is a number")
}

/// Routes that come late must show whether the store or its connection is at fault, or this VM.
#[test]
fn applied_routes_are_logged_with_their_source_and_the_age_of_the_last_read() {
    let env = Env::start(1, 1);
    let silent = Duration::from_millis(500);
    for way in [Way::Up, Way::Down] {
        env.store_proxies[1].freeze(way, true);
    }
    thread::sleep(silent);
    env.configure(2, "/other/");
    for (vm, source) in [(0, "source=store"), (1, "source=edge-a-0")] {
        let words = ["event=routes-applied", "version=2 was=1", source, "read_age_ms="];
        wait_until(&format!("a line with {words:?}"), || env.vms[vm].logged(&words));
    }
    let words = ["event=routes-applied", "version=2"];
    let age = Duration::from_millis(number_logged(&env.vms[1], &words, "read_age_ms"));
    assert!(age >= silent, "{age:?}");
    let page = env.metrics(1);
    let (fetches, bytes) =
        (metric_in(&page, "routes.fetches"), metric_in(&page, "routes.fetched_bytes"));
    assert!(fetches > 0 && bytes > 0, "{fetches} fetches, {bytes} bytes");
    wait_until("the metric shows the silence", || env.metric(1, "routes.read_age") > 1000);
}

/// A VM that is short of processor time acts late on all that it reads, which nothing else shows.
#[test]
fn a_vm_without_processor_time_shows_late_ticks() {
    let env = Env::start(1, 1);
    env.vms[0].signal(Signal::STOP);
    // A tick is due within 250 ms.
    thread::sleep(Duration::from_millis(700));
    env.vms[0].signal(Signal::CONT);
    let mut longest = 0;
    wait_until("the metric shows the lag", || {
        longest = longest.max(env.metric(0, "ticks.lag.max"));
        longest > 400
    });
    wait_until("the lag is logged", || env.vms[0].logged(&["event=tick-late ms="]));
}

/// Whether an owner was known to be gone when its target was acquired decides whether VMs' views differ.
#[test]
fn a_target_that_is_taken_is_logged_with_what_is_known_of_its_owner() {
    let env = Env::start(2, 1);
    env.wait_for_stable_ownership();
    let owner = owner_of(&env, "w-a-0");
    let other = 1 - owner;
    env.vms[owner].kill();
    let vm = format!("vm=edge-a-{owner}");
    let words = ["event=target-taken", "target=w-a-0", &vm, "linked=false refused=true"];
    wait_until(&format!("a line with {words:?}"), || env.vms[other].logged(&words));
    assert!(env.vms[other].logged(&["level=info", "event=target-taken"]));
}

/// An abandoned batch has no outcome, so nothing else shows that its tasks were stopped, why and when.
#[test]
fn an_abandoned_batch_is_logged_with_its_job_and_origin() {
    let env = Env::start(1, 2);
    let wait_for_line = |vm: usize, words: &[&str]| {
        wait_until(&format!("a line with {words:?}"), || env.vms[vm].logged(words));
    };
    assert_eq!(env.post(0, 1, &long_job_near("rack-a"), Millis(400)), None);
    let local = ["event=batch-abandoned", "job=0000000000000001 "];
    wait_for_line(0, &[&local[..], &["origin=caller from=caller", "started=true"]].concat());
    assert_eq!(env.post(0, 2, &long_job_near("rack-b"), Millis(400)), None);
    let forwarded = ["event=batch-abandoned", "job=0000000000000002 "];
    wait_for_line(0, &[&forwarded[..], &["origin=caller vm=edge-b-1"]].concat());
    wait_for_line(1, &[&forwarded[..], &["origin=vm from=edge-a-0", "started=true"]].concat());
    let running = || env.workers.iter().map(platform::worker::Worker::running).sum::<usize>();
    wait_until("the stopped tasks have ended", || running() == 0);
    thread::scope(|scope| {
        scope.spawn(|| env.post(0, 3, &long_job_near("rack-b"), Millis(10_000)));
        wait_until("the third job runs", || running() > 0);
        env.vms[0].kill();
    });
    let cut = ["event=batch-abandoned", "job=0000000000000003 "];
    wait_for_line(1, &[&cut[..], &["origin=link from=edge-a-0", "started=true"]].concat());
}

#[test]
fn the_end_of_a_batch_is_logged_with_the_vm_that_forwarded_it() {
    let env = Env::start(1, 2);
    for (rack, vm, from) in [("rack-a", 0, "from=caller"), ("rack-b", 1, "from=edge-a-0")] {
        let body = json!({ "spec": "500 10", "bestEffort": true,
            "steps": [{ "count": 1, "cpu": 500, "memMb": 64, "estMs": 10, "affinity": rack }] });
        assert_eq!(env.post(0, vm as u64, &body, Millis(5000)), Some(done()));
        let job = format!("job={vm:016x}");
        let words = ["event=batch-run", &job, from, "outcome=done"];
        wait_until(&format!("a line with {words:?}"), || env.vms[vm].logged(&words));
    }
}

/// The number of targets that have an owner according to a VM's status, and the number that all VMs claim to own.
fn owners(status: &Value) -> (usize, u64) {
    let targets = status["targets"].as_array().unwrap();
    let owned = targets.iter().filter(|target| target["owner"].is_string()).count();
    let local = targets.iter().filter(|target| target["owner"] == status["vm"]).count() as u64;
    let peers = status["peers"].as_array().unwrap().iter();
    (owned, local + peers.map(|peer| peer["targets"].as_u64().unwrap()).sum::<u64>())
}

/// Operators can see who owns which target without reading the log.
#[test]
fn status_shows_owners_load_and_ages() {
    let env = Env::start(2, 3);
    // VMs that start at the same time may take targets from each other at first.
    wait_until("each target has exactly one owner in the view of a VM", || {
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

/// The age must not grow while the list doesn't change, since the VM reads it regularly.
#[test]
fn the_age_of_the_target_list_counts_from_the_last_read() {
    let env = Env::start(1, 1);
    let mut oldest = 0;
    wait_until("the target list is read again", || {
        let age = env.metric(0, "targets.age");
        let is_younger = age < oldest;
        oldest = oldest.max(age);
        is_younger
    });
}

/// The caller of a batch whose time ran out while it waited must learn that no task of it was started.
#[test]
fn a_batch_that_never_started_is_refused_not_expired() {
    let env = Env::start(1, 1);
    // A target that was hard to reach at first is on probation and gets one task at a time until one has succeeded. The
    // task is long enough that a delay of some 100 ms on a busy machine does not make the estimate of the next batch miss
    // its deadline.
    for vm in 0..2 {
        assert_eq!(env.submit(vm, 100 + vm as u64, 1, 1000), Some(done()));
    }
    thread::scope(|scope| {
        for vm in 0..2 {
            scope.spawn({
                let env = &env;
                move || env.submit(vm, 1 + vm as u64, 2, 1500)
            });
        }
        wait_until("no VM has 7 cores free", || {
            (0..2).all(|vm| env.status(vm)["load"]["free_cpu"].as_u64() < Some(7000))
        });
        let body = json!({ "spec": "7000 1", "bestEffort": true,
            "steps": [{ "count": 1, "cpu": 7000, "memMb": 64, "estMs": 1 }] });
        let reply = env.post_with_deadline(0, 9, &body, Millis(3000), Millis(60));
        let reply = reply.expect("a response");
        assert_eq!((reply.status, reply.retry_after), (503, true), "{reply:?}");
    });
}

/// Sends bytes to a port of a VM, and returns the first bytes of the response.
fn exchange(env: &Env, vm: usize, port: u16, bytes: &[u8]) -> String {
    let address = SocketAddr::new(env.vms[vm].ip, port);
    String::from_utf8_lossy(&cases::exchange(address, bytes, false, LIMIT)).into_owned()
}

#[test]
fn a_header_with_any_bytes_ends_no_vm() {
    let env = Env::start(1, 2);
    thread::scope(|scope| {
        let other = scope.spawn(|| env.submit(0, 1, 2, 1500));
        wait_until("a job runs", || env.workers.iter().any(|worker| worker.running() > 0));
        for port in [8161, 8167, 9100] {
            for name in ["Hotel N\u{fa}\u{f1}ez".as_bytes(), b"Hotel N\xfa\xf1ez"] {
                let head = b"GET /holds/ HTTP/1.1\r\nHost: desk.example\r\nUser-Agent: ";
                let request = [head, name, b"\r\n\r\n"].concat();
                let response = exchange(&env, 0, port, &request);
                assert!(response.starts_with("HTTP/1.1 200 "), "{port}: {response:?}");
            }
            let trailer = b"POST /holds/2 HTTP/1.1\r\nHost: desk.example\r\nTransfer-Encoding: chunked\r\n\r\n\
                2\r\n{}\r\n0\r\nX: \xc3\xba\r\n\r\n";
            exchange(&env, 0, port, trailer);
            assert_eq!(env.vms[0].exit_status(), None, "after a trailer to port {port}");
        }
        assert_eq!(other.join().unwrap(), Some(done()));
    });
    env.check();
}

/// The response to a cancelled job, and to the request that has cancelled it.
fn cancelled() -> Reply {
    Reply { status: 200, state: "cancelled".to_owned(), retry_after: false }
}

/// A job of steps of two tasks that take 7 cores for 5 s each.
fn long_job(steps: u32) -> Value {
    let step = |index: u32| {
        let after = (0..index).collect::<Vec<_>>();
        json!({ "count": 2, "cpu": 7000, "memMb": 64, "estMs": 5000, "after": after })
    };
    json!({ "spec": "7000 5000", "bestEffort": true, "steps": (0..steps).map(step).collect::<Vec<_>>() })
}

/// The number of tasks that run.
fn running(env: &Env) -> usize {
    env.workers.iter().map(platform::worker::Worker::running).sum()
}

/// The jobs come to an owner of targets and to a VM that passes them on; each is cancelled at each VM.
#[test]
fn a_cancelled_job_is_stopped_wherever_it_is_cancelled() {
    const STOPPED_WITHIN: Duration = Duration::from_secs(3);
    let env = Env::start(2, 2);
    let mut id = 0;
    for at in 0..4 {
        for from in 0..4 {
            id += 1;
            thread::scope(|scope| {
                let env = &env;
                let job = scope.spawn(move || (post_long(env, at, id), Instant::now()));
                wait_until("the job runs", || running(env) == 2);
                let starts = *env.ledger.starts.lock().unwrap();
                assert_eq!(env.delete(from, id), Some(cancelled()), "{at} {from}");
                let acknowledged_at = Instant::now();
                let (reply, answered_at) = job.join().unwrap();
                assert_eq!(reply, Some(cancelled()), "{at} {from}");
                assert!(answered_at < acknowledged_at + STOPPED_WITHIN);
                wait_until("nothing runs", || running(env) == 0);
                assert!(acknowledged_at.elapsed() < STOPPED_WITHIN);
                assert_eq!(*env.ledger.starts.lock().unwrap(), starts, "a step started");
            });
            assert_eq!(env.delete(from, id).map(|reply| reply.status), Some(410));
        }
    }
    assert_eq!(env.submit(0, 1 << 40, 4, 50), Some(done()));
    env.check();
}

fn post_long(env: &Env, vm: usize, id: u64) -> Option<Reply> {
    env.post(vm, id, &long_job(2), Millis(15_000))
}

#[test]
fn a_job_that_waits_is_cancelled_and_others_go_on() {
    let env = Env::start(2, 1);
    // Two tasks of 7 cores fill the only worker of 16 cores that has the label.
    let job = json!({ "spec": "7000 2000", "bestEffort": true, "steps": [{
        "count": 2, "cpu": 7000, "memMb": 64, "estMs": 2000, "requiredLabel": "rack-a" }] });
    thread::scope(|scope| {
        let (env, job) = (&env, &job);
        let first = scope.spawn(move || env.post(0, 1, job, Millis(15_000)));
        wait_until("the worker is full", || running(env) == 2);
        let waiting = scope.spawn(move || env.post(1, 2, job, Millis(15_000)));
        let is_pending = |vm| env.get(vm, "/holds/") == Some((200, r#"{"pending":1}"#.to_owned()));
        wait_until("the job waits", || (0..4).any(is_pending));
        assert_eq!(env.delete(2, 2), Some(cancelled()));
        assert_eq!(waiting.join().unwrap(), Some(cancelled()));
        wait_until("nothing waits", || !(0..4).any(is_pending));
        assert_eq!(first.join().unwrap(), Some(done()));
    });
    assert_eq!(*env.ledger.starts.lock().unwrap(), 2);
    assert_eq!(env.delete(0, 1).map(|reply| reply.status), Some(410));
    env.check();
}

#[test]
fn cancelling_is_not_acknowledged_while_a_vm_does_not_answer() {
    let env = Env::start(1, 1);
    thread::scope(|scope| {
        let job = scope.spawn(|| post_long(&env, 0, 1));
        wait_until("the job runs", || running(&env) == 2);
        env.vms[0].signal(Signal::STOP);
        let reply = env.delete(1, 1).expect("a response");
        env.vms[0].signal(Signal::CONT);
        assert_eq!((reply.status, reply.retry_after), (503, true), "{reply:?}");
        wait_until("the VM answers for the job again", || {
            matches!(env.delete(1, 1), Some(Reply { status: 200 | 410, .. }))
        });
        assert_eq!(job.join().unwrap(), Some(cancelled()));
    });
    wait_until("nothing runs", || running(&env) == 0);
    env.check();
}
