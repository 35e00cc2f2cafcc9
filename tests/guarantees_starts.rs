//! No task of a submission starts twice, and one that may not be repeated starts at most once.

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

fn started_once(env: &Env, job: &Job) {
    let counts = job.ids.iter().map(|id| env.ledger.starts(id)).collect::<Vec<_>>();
    assert!(counts.iter().all(|&count| count == 1), "starts of {:?}: {counts:?}", job.ids[0]);
}

/// Submits by every entry at once, several times by each.
async fn flood(env: &Env, key: &str, job: &Job) -> Vec<Reply> {
    let entries = (0..3 * env.len()).map(|number| number % env.len());
    let replies = entries.map(|entry| async move { env.caller(entry).submit(key, job).await });
    join_all(replies).await.into_iter().map(Result::unwrap).collect()
}

#[test]
fn one_key_by_every_entry_at_once_and_again() {
    let env = four_vms();
    smol::block_on(async {
        let key = format!("{}.order", env.keys(1).await);
        let job = Job::new("order", 12, 30);
        for _ in 0..2 {
            for reply in flood(&env, &key, &job).await {
                assert!(reply.is_whole(&job.ids), "{reply:?}");
            }
            started_once(&env, &job);
        }
        let other = Job::new("another body", 1, 0);
        for reply in flood(&env, &key, &other).await {
            assert_eq!((reply.status, reply.execution()), (422, "unknown"), "{reply:?}");
        }
        assert_eq!(env.ledger.starts(&other.ids[0]), 0);
    });
}

#[test]
fn a_frozen_coordinator_goes_on_where_it_was() {
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
        let meanwhile = env.caller(2).submit(&key, &job).await.unwrap();
        assert_eq!((meanwhile.status, meanwhile.execution()), (503, "unknown"), "{meanwhile:?}");
        env.vm(0).thaw();
        until("the answer", LIMIT, || async {
            env.caller(3).submit(&key, &job).await.is_ok_and(|reply| reply.is_whole(&job.ids))
        })
        .await;
        started_once(&env, &job);
    });
}

#[test]
fn nobody_else_starts_the_job_of_a_killed_coordinator() {
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
        // Also a key that the dead process never saw: nobody can know that.
        let unseen = Job::new("unseen", 1, 0);
        let reply = env.caller(2).submit(&format!("{prefix}.unseen"), &unseen).await.unwrap();
        assert_eq!(reply.execution(), "unknown", "{reply:?}");
        assert_eq!(env.ledger.total(), started, "started after the coordinator's death");
        assert_eq!(env.ledger.repeated(&HashSet::new()), []);
    });
}

#[test]
fn a_key_of_a_dropped_window_starts_nothing() {
    let env = Env::start(&Setup::default());
    smol::block_on(async {
        let key = format!("{}.quote", env.keys(0).await);
        let job = Job::new("quote", 2, 5);
        let reply = env.caller(0).submit(&key, &job).await.unwrap();
        assert!(reply.is_whole(&job.ids), "{reply:?}");
        // Only now, so that the key's window lasts until the job is submitted, however long that takes.
        env.configure("limits", &json!({ "windows": { "length": "200ms", "kept": 2 } }));
        until("the window is dropped", LIMIT, || async {
            env.caller(0).lookup(&key).await.is_ok_and(|reply| reply.status == 410)
        })
        .await;
        for reply in flood(&env, &key, &job).await {
            assert_eq!((reply.status, reply.execution()), (410, "unknown"), "{reply:?}");
        }
        started_once(&env, &job);
    });
}

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
            // An idle connection is used unproved for 200 ms.
            smol::Timer::after(Duration::from_millis(300)).await;
            let job = Job::new(&format!("after {way:?}"), 8, 20);
            let reply = env.caller(0).submit(&format!("{prefix}.{way:?}"), &job).await.unwrap();
            assert!(reply.is_whole(&job.ids), "{way:?}: {reply:?}");
            started_once(&env, &job);
        }
    });
}

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
            started_once(&env, &job);
        }
    });
}

#[test]
fn two_vms_claim_one_key_that_a_caller_made_up() {
    let env = four_vms();
    smol::block_on(async {
        env.keys(0).await;
        let job = Job::new("own key", 6, 50);
        for reply in flood(&env, "order-2026-77", &job).await {
            assert!(reply.is_whole(&job.ids), "{reply:?}");
        }
        started_once(&env, &job);
    });
}

#[test]
fn the_lost_answer_of_a_claim_is_settled_by_reading_it_back() {
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
            started_once(&env, &job);
        }
    });
}

#[test]
fn targets_die_under_repeatable_and_other_jobs_together() {
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
        let deaths = async {
            for target in &env.targets[..2] {
                until("a task runs", LIMIT, || async {
                    target.counts().running.load(Ordering::Relaxed) > 3
                })
                .await;
                target.kill();
            }
        };
        let (replies, ()) = smol::future::zip(replies, deaths).await;
        let mut lost = 0;
        for ((_, job), reply) in jobs.iter().zip(&replies) {
            let repeatable = job.body["repeatable"] == true;
            if !repeatable {
                let most = job.ids.iter().map(|id| env.ledger.starts(id)).max();
                assert!(most <= Some(1), "{:?}: {:?}", job.ids, env.ledger.targets(&job.ids[0]));
            }
            if reply.is_whole(&job.ids) {
                continue;
            }
            assert!(!repeatable, "a repeatable job was not tried again: {reply:?}");
            assert_eq!((reply.status, reply.execution()), (502, "unknown"), "{reply:?}");
            lost += 1;
        }
        assert!(lost > 0, "no task was in flight on a dying target");
        wait_until("no task runs on", LIMIT, || {
            env.targets.iter().all(|target| target.counts().running.load(Ordering::Relaxed) == 0)
        });
    });
}
