//! No task starts twice for the same key, unless its job is repeatable.

mod testenv;

use std::collections::HashSet;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::future::join_all;
use serde_json::json;
use testenv::{Env, Fault, Job, Reply, Setup, Way, until, wait_until};

const LIMIT: Duration = Duration::from_secs(20);

fn four_vms() -> Env {
    Env::start(&Setup { vms: 2, ..Setup::default() })
}

/// Asserts that every task of a job was started exactly once.
fn assert_started_once(env: &Env, job: &Job) {
    let counts = job.ids.iter().map(|id| env.ledger.starts(id)).collect::<Vec<_>>();
    assert!(counts.iter().all(|&count| count == 1), "starts of {:?}: {counts:?}", job.ids[0]);
}

/// Submits a job three times at every VM, all at once.
async fn flood(env: &Env, key: &str, job: &Job) -> Vec<Reply> {
    let entries = (0..3 * env.len()).map(|number| number % env.len());
    let replies = entries.map(|entry| async move { env.caller(entry).submit(key, job).await });
    join_all(replies).await.into_iter().map(Result::unwrap).collect()
}

/// Concurrent and later submissions of one key must join the same job; one with another body must be refused.
#[test]
fn a_key_submitted_at_every_vm_starts_once() {
    let env = four_vms();
    smol::block_on(async {
        let key = format!("{}.order", env.keys(1).await);
        let job = Job::new("order", 12, 30);
        for _ in 0..2 {
            for reply in flood(&env, &key, &job).await {
                assert!(reply.is_whole(&job.ids), "{reply:?}");
            }
            assert_started_once(&env, &job);
        }
        let other = Job::new("another body", 1, 0);
        for reply in flood(&env, &key, &other).await {
            assert_eq!((reply.status, reply.execution()), (422, "unknown"), "{reply:?}");
        }
        assert_eq!(env.ledger.starts(&other.ids[0]), 0);
    });
}

/// While the coordinator is frozen, no other VM may start its job; when it thaws, it must not start tasks again.
#[test]
fn a_frozen_coordinator_continues_its_job_when_it_thaws() {
    let env = four_vms();
    smol::block_on(async {
        let key = format!("{}.slip", env.keys(0).await);
        let job = Job::new("slip", 24, 150);
        let first = env.caller(1).timeout(700).submit(&key, &job);
        let freeze = async {
            until("a start", LIMIT, || async { env.ledger.starts(&job.ids[0]) > 0 }).await;
            env.vm(0).freeze();
        };
        let (first, ()) = smol::future::zip(first, freeze).await;
        assert!(first.is_err(), "answered by a frozen VM: {first:?}");
        let reply = env.caller(2).submit(&key, &job).await.unwrap();
        assert_eq!((reply.status, reply.execution()), (503, "unknown"), "{reply:?}");
        env.vm(0).thaw();
        until("the answer", LIMIT, || async {
            env.caller(3).submit(&key, &job).await.is_ok_and(|reply| reply.is_whole(&job.ids))
        })
        .await;
        assert_started_once(&env, &job);
    });
}

/// The state of a killed coordinator is lost, so neither its successor nor another VM may start a job with its prefix.
#[test]
fn no_vm_starts_the_job_of_a_killed_coordinator_again() {
    let env = four_vms();
    smol::block_on(async {
        let prefix = env.keys(0).await;
        let key = format!("{prefix}.hold");
        let job = Job::new("hold", 40, 200);
        let first = env.caller(1).submit(&key, &job);
        let kill = async {
            until("a start", LIMIT, || async { env.ledger.starts(&job.ids[0]) > 0 }).await;
            env.vm(0).kill();
        };
        let (first, ()) = smol::future::zip(first, kill).await;
        let first = first.unwrap();
        assert_eq!((first.status, first.execution()), (503, "unknown"), "{first:?}");
        let started = env.ledger.total();
        env.replace(0);
        for reply in flood(&env, &key, &job).await {
            assert!([503, 410].contains(&reply.status), "{reply:?}");
            assert_eq!(reply.execution(), "unknown", "{reply:?}");
        }
        // This key was never submitted to the killed process, but no other VM can know that.
        let unseen = Job::new("unseen", 1, 0);
        let reply = env.caller(2).submit(&format!("{prefix}.unseen"), &unseen).await.unwrap();
        assert_eq!(reply.execution(), "unknown", "{reply:?}");
        assert_eq!(env.ledger.total(), started, "started after the coordinator's death");
        assert_eq!(env.ledger.repeated(&HashSet::new()), []);
    });
}

/// When the record of a key is dropped with its window, a resubmission must not be taken for a new job.
#[test]
fn a_key_of_a_dropped_window_starts_nothing() {
    let env = Env::start(&Setup::default());
    smol::block_on(async {
        let key = format!("{}.quote", env.keys(0).await);
        let job = Job::new("quote", 2, 5);
        let reply = env.caller(0).submit(&key, &job).await.unwrap();
        assert!(reply.is_whole(&job.ids), "{reply:?}");
        // The short window is configured only now, so that the key is valid for the first submission on a slow machine.
        env.configure("limits", &json!({ "windows": { "length": "200ms", "kept": 2 } }));
        until("the window is dropped", LIMIT, || async {
            env.caller(0).lookup(&key).await.is_ok_and(|reply| reply.status == 410)
        })
        .await;
        for reply in flood(&env, &key, &job).await {
            assert_eq!((reply.status, reply.execution()), (410, "unknown"), "{reply:?}");
        }
        assert_started_once(&env, &job);
    });
}

/// A task that is sent on a silent connection has an unknown outcome, so the connection must be checked before its use.
#[test]
fn an_idle_connection_that_went_silent_gets_no_task() {
    let env = Env::start(&Setup { domains: &["a"], targets: 1, ..Setup::default() });
    smol::block_on(async {
        let prefix = env.keys(0).await;
        for way in [Way::Up, Way::Down] {
            let warm = Job::new(&format!("warm {way:?}"), 8, 20);
            let reply =
                env.caller(0).submit(&format!("{prefix}.warm{way:?}"), &warm).await.unwrap();
            assert!(reply.is_whole(&warm.ids), "{reply:?}");
            env.target_proxies[0].freeze_open(way, true);
            // For 200 ms after its last use, an idle connection is used without a check.
            smol::Timer::after(Duration::from_millis(300)).await;
            let job = Job::new(&format!("after {way:?}"), 8, 20);
            let reply = env.caller(0).submit(&format!("{prefix}.{way:?}"), &job).await.unwrap();
            assert!(reply.is_whole(&job.ids), "{way:?}: {reply:?}");
            assert_started_once(&env, &job);
        }
    });
}

/// A target starts the task but gives no valid answer to it. Neither the VM nor a resubmission may start it again.
#[test]
fn a_task_whose_outcome_is_lost_is_not_started_again() {
    let services = json!([{ "name": "holds", "timeout": "10s", "run_max": "1s" }]);
    let env = Env::start(&Setup { services, ..Setup::default() });
    smol::block_on(async {
        let prefix = env.keys(0).await;
        let faults = [Fault::CloseAfterStart, Fault::DropAnswer, Fault::Stall, Fault::WrongId];
        for fault in faults {
            env.targets.iter().for_each(|target| target.set(|mode| mode.fault = fault));
            let job = Job::new(&format!("{fault:?}"), 1, 20);
            let key = format!("{prefix}.{fault:?}");
            for entry in [0, 1, 0] {
                let reply = env.caller(entry).submit(&key, &job).await.unwrap();
                assert_eq!((reply.status, reply.execution()), (502, "unknown"), "{reply:?}");
                assert!(reply.body.get("answers").is_none());
            }
            assert_started_once(&env, &job);
        }
    });
}

/// Several VMs claim the same key, which a caller made up; only one of them may start the job.
#[test]
fn concurrent_claims_of_one_key_start_its_job_once() {
    let env = four_vms();
    smol::block_on(async {
        env.keys(0).await;
        let job = Job::new("own key", 6, 50);
        for reply in flood(&env, "order-2026-77", &job).await {
            assert!(reply.is_whole(&job.ids), "{reply:?}");
        }
        assert_started_once(&env, &job);
    });
}

/// The store executes a claim but its response is lost. The VM must find its own claim and run the job once.
#[test]
fn a_claim_whose_response_was_lost_is_read_back() {
    let env = four_vms();
    smol::block_on(async {
        env.keys(0).await;
        for number in 0..4 {
            let job = Job::new(&format!("claimed-{number}"), 3, 10);
            let key = format!("order-2026-{number}");
            env.store_proxy("a").lose_response_to("/claims/");
            let reply = env.caller(0).submit(&key, &job).await.unwrap();
            assert!(reply.is_whole(&job.ids), "{reply:?}");
            assert_eq!(env.store_proxy("a").lost(), number + 1, "no answer was lost");
            let again = env.caller(3).submit(&key, &job).await.unwrap();
            assert!(again.is_whole(&job.ids), "{again:?}");
            assert_started_once(&env, &job);
        }
    });
}

/// Targets are killed while they run tasks of both repeatable and other jobs. The former must complete, the tasks of the
/// latter must not start again.
#[test]
fn only_repeatable_jobs_are_retried_when_targets_crash() {
    let limits = json!({ "retries": { "share": 1.0, "attempts_max": 5 } });
    let services = json!([
        { "name": "holds", "timeout": "10s", "run_max": "1s", "spare_share": 0.5 },
    ]);
    let env = Env::start(&Setup { targets: 4, limits, services, ..Setup::default() });
    smol::block_on(async {
        let prefix = env.keys(0).await;
        let jobs = (0..40).map(|number| {
            let job = Job::new(&format!("job-{number}"), 2, 60);
            (format!("{prefix}.{number}"), if number % 2 == 0 { job } else { job.repeatable() })
        });
        let jobs = jobs.collect::<Vec<_>>();
        let replies = join_all(
            jobs.iter().map(|(key, job)| async { env.caller(0).submit(key, job).await.unwrap() }),
        );
        let kills = async {
            for target in &env.targets[..2] {
                until("a task runs", LIMIT, || async {
                    target.counts().running.load(Ordering::Relaxed) > 3
                })
                .await;
                target.kill();
            }
        };
        let (replies, ()) = smol::future::zip(replies, kills).await;
        let mut lost = 0;
        for ((_, job), reply) in jobs.iter().zip(&replies) {
            let is_repeatable = job.body["repeatable"] == true;
            if !is_repeatable {
                let most = job.ids.iter().map(|id| env.ledger.starts(id)).max();
                assert!(most <= Some(1), "{:?}: {:?}", job.ids, env.ledger.targets(&job.ids[0]));
            }
            if reply.is_whole(&job.ids) {
                continue;
            }
            assert!(!is_repeatable, "a repeatable job was not retried: {reply:?}");
            assert_eq!((reply.status, reply.execution()), (502, "unknown"), "{reply:?}");
            lost += 1;
        }
        assert!(lost > 0, "no task was in flight on a dying target");
        wait_until("no task is left running", LIMIT, || {
            env.targets.iter().all(|target| target.counts().running.load(Ordering::Relaxed) == 0)
        });
    });
}
