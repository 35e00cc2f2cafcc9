//! Recovery from faults that hit several components at once: real VM processes with a fake store and fake targets.

#[path = "platform/mod.rs"]
mod platform;

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use gypsumkeel::clock::Millis;
use platform::{Env, Reply, wait_until};
use rustix::process::Signal;
use serde_json::json;

/// The time from the start of the processes within which the first job must be served.
const FIRST_JOB: Duration = Duration::from_secs(1);

/// The time from the start of the processes within which all targets must have a new owner.
const FULL_CAPACITY: Duration = Duration::from_secs(2);

/// How long after its removal from the list a target may still be used: two seconds in which its entry may return,
/// plus the time to notice the removal.
const REMOVAL_MAX: Duration = Duration::from_secs(3);

/// How long after a lost response a caller submits its job again.
const RESUBMIT_DELAY: Duration = Duration::from_millis(1300);

/// Sets a flag when it goes out of scope, also by a panic, so that a background load ends.
struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

fn is_done(reply: Option<&Reply>) -> bool {
    reply.is_some_and(|reply| reply.status == 200 && reply.state == "done")
}

fn share_served(replies: &[Option<Reply>]) -> f64 {
    let served = replies.iter().filter(|reply| is_done(reply.as_ref())).count();
    served as f64 / replies.len() as f64
}

#[test]
fn after_the_loss_of_all_vms_jobs_are_served_within_a_second() {
    let mut env = Env::start(2, 2);
    let start = Instant::now();
    let stop = AtomicBool::new(false);
    let is_over = || stop.load(Ordering::Relaxed) && start.elapsed() > Duration::from_secs(1);
    thread::scope(|scope| {
        let _stop = StopOnDrop(&stop);
        scope.spawn(|| env.load(&[0, 1, 2, 3], 6, is_over));
        wait_until("jobs run", || env.workers.iter().all(|worker| worker.running() > 0));
        env.vms.iter().for_each(|vm| vm.signal(Signal::KILL));
    });
    env.vms.iter().for_each(platform::Vm::kill);
    let before = env.workers.iter().map(platform::worker::Worker::fence).collect::<Vec<_>>();
    let start = Instant::now();
    env.vms = (0..4).map(|index| env.launch(index)).collect();
    let mut id = 1 << 40;
    while !is_done(env.submit(0, id, 2, 10).as_ref()) {
        assert!(start.elapsed() < FIRST_JOB, "no job served");
        id += 1;
        thread::sleep(Duration::from_millis(10));
    }
    let first = start.elapsed();
    assert!(first < FIRST_JOB, "{first:?}");
    wait_until("all targets have a new owner", || {
        env.workers.iter().zip(&before).all(|(worker, &before)| worker.fence() > before)
    });
    let all = start.elapsed();
    assert!(all < FULL_CAPACITY, "{all:?}");
    env.check();
}

#[test]
fn losses_of_all_vms_do_not_use_up_the_rounds_of_tokens() {
    const LOSSES: u64 = 12;
    let mut env = Env::start(1, 1);
    for _ in 0..LOSSES {
        let highest = env.workers.iter().map(platform::worker::Worker::round).max().unwrap();
        wait_until("the round is stored", || {
            let stored = env.store.value("gypsumkeel/round");
            stored.and_then(|round| round.as_u64()).is_some_and(|round| round >= highest)
        });
        env.vms.iter().for_each(platform::Vm::kill);
        let before = env.workers.iter().map(platform::worker::Worker::fence).collect::<Vec<_>>();
        env.vms = (0..2).map(|index| env.launch(index)).collect();
        wait_until("all targets have a new owner", || {
            env.workers.iter().zip(&before).all(|(worker, &before)| worker.fence() > before)
        });
    }
    let rounds = env.workers.iter().map(platform::worker::Worker::round).collect::<Vec<_>>();
    // A VM repeats an acquisition, one round higher, if the target did not respond in time; doubling gives 8,191.
    assert!(rounds.iter().all(|&round| round <= 10 * LOSSES), "{rounds:?}");
}

#[test]
fn calls_that_arrive_seconds_late_start_nothing_twice() {
    let env = Env::start(1, 2);
    env.workers[0].delay_starts(Some(Duration::from_secs(2)));
    let start = Instant::now();
    let replies = env.load(&[0, 1], 3, || start.elapsed() > Duration::from_secs(3));
    env.workers[0].delay_starts(None);
    // The last delayed calls arrive during this load.
    let start = Instant::now();
    let after = env.load(&[0, 1], 3, || start.elapsed() > Duration::from_secs(3));
    assert!(replies.iter().all(|reply| is_done(reply.as_ref())), "{replies:?}");
    assert!(after.iter().all(|reply| is_done(reply.as_ref())), "{after:?}");
    env.check();
}

#[test]
fn a_job_resubmitted_while_its_first_vm_is_frozen_never_runs_twice_at_a_time() {
    let env = Env::start(2, 2);
    let body = json!({ "spec": "7000 2500", "bestEffort": true,
        "steps": [{ "count": 3, "cpu": 7000, "memMb": 64, "estMs": 2500 }] });
    for vm in 0..4 {
        let id = 100 + vm as u64;
        thread::scope(|scope| {
            scope.spawn(|| env.post(vm, id, &body, Millis(900)));
            wait_until("the job runs", || env.workers.iter().any(|worker| worker.running() > 0));
            env.vms[vm].signal(Signal::STOP);
            thread::sleep(RESUBMIT_DELAY);
            let again = env.post((vm + 1) % 4, id, &body, Millis(15_000));
            assert!(is_done(again.as_ref()), "frozen VM {vm}: {again:?}");
            env.vms[vm].signal(Signal::CONT);
        });
        wait_until("nothing runs", || env.workers.iter().all(|worker| worker.running() == 0));
        env.check();
    }
}

/// Guards against an entry VM that wakes from a freeze and starts the jobs that were forwarded to it meanwhile, although
/// the VMs that forwarded them run them elsewhere by then.
#[test]
fn jobs_forwarded_to_a_frozen_vm_are_not_started_when_it_wakes() {
    let env = Env::start(1, 8);
    // The data is near the workers of VM 1.
    let body = json!({ "spec": "6800 900", "bestEffort": true,
        "steps": [{ "count": 2, "cpu": 6800, "memMb": 64, "estMs": 900, "affinity": "rack-b" }] });
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        let _stop = StopOnDrop(&is_over);
        let (env, body, is_over) = (&env, &body, &is_over);
        scope.spawn(move || {
            for id in 300.. {
                if is_over.load(Ordering::Relaxed) {
                    break;
                }
                scope.spawn(move || env.post(0, id, body, Millis(10_000)));
                thread::sleep(Duration::from_millis(150));
            }
        });
        for _ in 0..2 {
            thread::sleep(Duration::from_secs(2));
            env.vms[1].signal(Signal::STOP);
            // The jobs run elsewhere from 1.75 s on, and the workers have new owners after 2.7 s.
            thread::sleep(Duration::from_millis(2200));
            env.vms[1].signal(Signal::CONT);
        }
        thread::sleep(Duration::from_secs(1));
    });
    env.check();
}

#[test]
fn a_job_resubmitted_after_its_connection_broke_never_runs_twice_at_a_time() {
    let env = Env::start(2, 2);
    let body = json!({ "spec": "7000 2500", "bestEffort": true,
        "steps": [{ "count": 3, "cpu": 7000, "memMb": 64, "estMs": 2500 }] });
    for vm in 0..4 {
        let id = 200 + vm as u64;
        assert_eq!(env.post(vm, id, &body, Millis(300)), None);
        thread::sleep(RESUBMIT_DELAY);
        let again = env.post((vm + 1) % 4, id, &body, Millis(15_000));
        assert!(is_done(again.as_ref()), "first VM {vm}: {again:?}");
        env.check();
    }
}

#[test]
fn target_entries_that_expire_during_an_outage_and_return_cost_no_job() {
    let env = Env::start(1, 2);
    let start = Instant::now();
    let replies = thread::scope(|scope| {
        scope.spawn(|| {
            env.store.set_down(true);
            thread::sleep(Duration::from_secs(1));
            for worker in &env.workers {
                env.store.remove(&format!("servers/{}", worker.id));
            }
            env.store.set_down(false);
            thread::sleep(Duration::from_millis(1900));
            for worker in &env.workers {
                env.store.put(&format!("servers/{}", worker.id), &worker.entry("ready"));
            }
        });
        env.load(&[0, 1], 3, || start.elapsed() > Duration::from_secs(5))
    });
    assert!(replies.iter().all(|reply| is_done(reply.as_ref())), "{replies:?}");
    env.check();
}

/// A target whose entry does not return gets no more tasks, even though it still responds.
#[test]
fn a_target_that_stays_off_the_list_gets_no_more_tasks() {
    let env = Env::start(1, 2);
    // A VM reads the list for the second time two seconds after its start.
    thread::sleep(Duration::from_millis(2200));
    env.store.remove(&format!("servers/{}", env.workers[0].id));
    thread::sleep(REMOVAL_MAX);
    let start = Instant::now();
    thread::scope(|scope| {
        let load =
            scope.spawn(|| env.load(&[0, 1], 3, || start.elapsed() > Duration::from_secs(2)));
        while start.elapsed() < Duration::from_secs(2) {
            assert_eq!(env.workers[0].running(), 0, "a task runs on a removed target");
            thread::sleep(Duration::from_millis(5));
        }
        let replies = load.join().unwrap();
        assert!(replies.iter().all(|reply| is_done(reply.as_ref())), "{replies:?}");
    });
    env.check();
}

#[test]
fn a_rolling_restart_during_configuration_changes_drops_no_request() {
    let mut env = Env::start(2, 2);
    let start = Instant::now();
    let load_time = Duration::from_secs(12);
    let (replies, restarted) = thread::scope(|scope| {
        let restarts = scope.spawn(|| {
            let mut restarted = Vec::new();
            for vm in [0, 2] {
                env.vms[vm].signal(Signal::TERM);
                env.configure(2 + vm as u64, "/holds/");
                wait_until("the process ends", || env.vms[vm].exit_status().is_some());
                assert!(env.vms[vm].exit_status().unwrap().success());
                restarted.push((vm, env.launch(vm)));
                wait_until("the VM is ready again", || env.is_ready(vm));
            }
            restarted
        });
        // The load balancer sends no requests to a VM that has been stopping for two seconds, so the load goes to the
        // other VMs.
        let replies = env.load(&[1, 3], 4, || start.elapsed() > load_time);
        (replies, restarts.join().unwrap())
    });
    for (vm, process) in restarted {
        env.vms[vm] = process;
    }
    assert!(replies.iter().all(Option::is_some), "a request got no response: {replies:?}");
    assert!(share_served(&replies) > 0.95, "{replies:?}");
    env.check();
}
