//! A job that was refused as "not-run" has not started and never starts.

mod testenv;

use std::collections::HashSet;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use futures_util::future::join_all;
use serde_json::json;

use smol::future::zip;
use testenv::{Block, Env, Job, Reply, Setup, until};

const LIMIT: Duration = Duration::from_secs(20);

/// Asserts that a job was refused as "not-run" with one of some statuses.
fn assert_refused(reply: &Reply, statuses: &[u16]) {
    assert!(statuses.contains(&reply.status), "{reply:?}");
    assert_eq!(reply.execution(), "not-run", "{reply:?}");
}

/// The number of starts of all tasks of a job.
fn starts(env: &Env, job: &Job) -> usize {
    job.ids.iter().map(|id| env.ledger.starts(id)).sum()
}

/// A resubmission of a refused job must not start it, even if there are free slots by then.
#[test]
fn a_job_refused_under_overload_never_runs() {
    let limits = json!({ "queue": { "tasks_max": 20 } });
    let setup = Setup { domains: &["a"], vms: 2, targets: 1, limits, ..Setup::default() };
    let env = Env::start(&setup);
    smol::block_on(async {
        let prefix = &env.keys(0).await;
        let env = &env;
        let jobs = (0..40).map(|number| Job::new(&format!("job-{number}"), 4, 80));
        let jobs = jobs.collect::<Vec<_>>();
        let submit = |number: usize, job| async move {
            env.caller(number % 2).submit(&format!("{prefix}.{number}"), job).await.unwrap()
        };
        let calls = jobs.iter().enumerate().map(|(number, job)| submit(number, job));
        let replies = join_all(calls).await;
        let mut refusals = 0;
        for (number, (job, reply)) in jobs.iter().zip(&replies).enumerate() {
            if reply.is_whole(&job.ids) {
                continue;
            }
            assert_refused(reply, &[429, 503]);
            refusals += 1;
            // A late resubmission gets the same refusal, although the queue is empty now.
            assert_refused(&submit(number, job).await, &[429, 503]);
            assert_eq!(starts(env, job), 0);
        }
        assert!((1..40).contains(&refusals), "{refusals} refusals");
        assert_eq!(env.ledger.repeated(&HashSet::new()), []);
    });
}

/// The targets have fewer slots than the VMs assume. A task that a full target refuses must be started once, elsewhere or
/// later.
#[test]
fn a_refusal_by_a_full_target_leads_to_no_second_start() {
    let env = Env::start(&Setup { vms: 2, targets: 2, ..Setup::default() });
    env.targets.iter().for_each(|target| target.set(|mode| mode.slots = 3));
    smol::block_on(async {
        let prefix = &env.keys(0).await;
        let env = &env;
        join_all((0..30).map(|number| async move {
            let job = Job::new(&format!("job-{number}"), 3, 20);
            let reply = env.caller(number % 4).submit(&format!("{prefix}.{number}"), &job).await;
            let reply = reply.unwrap();
            assert!(reply.is_whole(&job.ids), "{reply:?}");
        }))
        .await;
        assert_eq!((env.ledger.ids(), env.ledger.total()), (90, 90));
        let full = env.targets.iter().map(|target| target.counts().refused.load(Ordering::Relaxed));
        assert!(full.sum::<usize>() > 0, "no target was ever full");
    });
}

/// Without usable targets, a job fails; it must not start when the targets are back.
#[test]
fn without_any_target_nothing_runs() {
    for is_killed in [false, true] {
        let env = Env::start(&Setup::default());
        for target in &env.targets {
            if is_killed {
                target.kill();
            } else {
                target.set(|mode| mode.leaving = true);
            }
        }
        smol::block_on(async {
            let key = format!("{}.job", env.keys(0).await);
            let job = Job::new("job", 3, 10).timeout(800);
            let reply = env.caller(1).submit(&key, &job).await.unwrap();
            // An attempt may be in flight at the timeout of the job, or be reset by the proxy of a killed target; then
            // the execution is unknown.
            assert!([502, 503, 504].contains(&reply.status), "{reply:?}");
            assert!(["not-run", "unknown"].contains(&reply.execution()), "{reply:?}");
            for target in &env.targets {
                target.set(|mode| mode.leaving = false);
                if is_killed {
                    target.revive();
                }
            }
            assert_eq!(env.caller(0).submit(&key, &job).await.unwrap(), reply);
            assert_eq!(starts(&env, &job), 0);
        });
    }
}

/// During a store outage, a job with a VM's key prefix runs as usual. A key that a caller made up needs a claim in the
/// store, so its job must fail as unknown and not start until the store is back.
#[test]
fn a_store_outage_stops_only_keys_that_callers_made_up() {
    let env = Env::start(&Setup::default());
    smol::block_on(async {
        let prefix = env.keys(0).await;
        env.store.down(true);
        for domain in ["a", "b"] {
            env.store_proxy(domain).refuse(true);
            env.store_proxy(domain).reset();
        }
        let job = Job::new("prefixed", 4, 20);
        let reply = env.caller(1).submit(&format!("{prefix}.job"), &job).await.unwrap();
        assert!(reply.is_whole(&job.ids), "{reply:?}");
        // Another VM may have claimed the key of an earlier submission; only the store has the record.
        let job = Job::new("made up", 1, 0);
        let reply = env.caller(0).submit("made-up-key", &job).await.unwrap();
        assert_eq!((reply.status, reply.execution()), (503, "unknown"), "{reply:?}");
        assert_eq!(starts(&env, &job), 0);
        env.store.down(false);
        env.heal();
        until("the claim", LIMIT, || async {
            let reply = env.caller(1).submit("made-up-key", &job).await;
            reply.is_ok_and(|reply| reply.is_whole(&job.ids))
        })
        .await;
        assert_eq!(starts(&env, &job), 1);
    });
}

/// A resubmission that fails validation must not report "not-run" for a key whose job ran.
#[test]
fn an_invalid_resubmission_does_not_deny_that_the_job_ran() {
    let env = Env::start(&Setup::default());
    smol::block_on(async {
        let key = format!("{}.job", env.keys(0).await);
        let job = Job::new("job", 1, 0);
        let reply = env.caller(1).submit(&key, &job).await.unwrap();
        assert!(reply.is_whole(&job.ids), "{reply:?}");
        for entry in [0, 1] {
            let mut invalid = job.clone();
            invalid.body["tasks"] = json!([]);
            let reply = env.caller(entry).submit(&key, &invalid).await.unwrap();
            assert!([400, 422].contains(&reply.status), "{reply:?}");
            assert_ne!(reply.execution(), "not-run", "the job of this key ran: {reply:?}");
        }
    });
}

/// The targets of domain a are leaving, so its tasks are delegated to domain b. When the domains are partitioned meanwhile,
/// the reply must be true and every resubmission must get the same one.
#[test]
fn a_partition_of_two_domains_keeps_the_outcome_of_delegated_tasks() {
    let services = json!([{ "name": "holds", "timeout": "8s", "run_max": "5s" }]);
    let env = Env::start(&Setup { services, ..Setup::default() });
    env.targets[..2].iter().for_each(|target| env.store.set_leaving(&target.name, true));
    smol::block_on(async {
        // After this call, VM 0 is connected to VM 1.
        env.keys(1).await;
        let prefix = env.keys(0).await;
        let rounds = AtomicUsize::new(0);
        until("all tasks are delegated to domain b", LIMIT, || async {
            let number = rounds.fetch_add(1, Ordering::Relaxed);
            let job = Job::new(&format!("warm-{number}"), 4, 1);
            let reply = env.caller(0).submit(&format!("{prefix}.warm-{number}"), &job).await;
            let reply = reply.unwrap();
            assert!(reply.is_whole(&job.ids), "{reply:?}");
            job.ids.iter().all(|id| env.ledger.targets(id)[0].starts_with("t-b-"))
        })
        .await;
        for (number, block) in [Block::Reset, Block::Silent].into_iter().enumerate() {
            let job = Job::new(&format!("job-{number}"), 30, 200);
            let key = format!("{prefix}.{number}");
            let submit = env.caller(0).submit(&key, &job);
            let partition = async {
                until("a start", LIMIT, || async { starts(&env, &job) > 8 }).await;
                for proxy in &env.peer_proxies {
                    proxy.block(block, |first| first.contains("lantern-"));
                }
                smol::Timer::after(Duration::from_millis(1500)).await;
                env.peer_proxies.iter().for_each(testenv::Proxy::heal);
            };
            let (reply, ()) = zip(submit, partition).await;
            let reply = reply.unwrap();
            let count = starts(&env, &job);
            if reply.execution() == "not-run" {
                assert_eq!(count, 0, "{reply:?}");
            } else if reply.status == 200 {
                assert!(reply.is_whole(&job.ids), "{reply:?}");
            }
            until("the VMs are connected again", LIMIT, || async {
                env.caller(1).lookup(&key).await.is_ok_and(|reply| reply.status != 503)
            })
            .await;
            let again = env.caller(1).submit(&key, &job).await.unwrap();
            assert_eq!((again.status, again.execution()), (reply.status, reply.execution()));
            assert_eq!(env.ledger.repeated(&HashSet::new()), []);
        }
    });
}
