//! A planned stop cuts nothing, ends in bounded time, and leaves the truth behind.

mod testenv;

use std::collections::HashSet;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use serde_json::json;
use smol::future::zip;
use testenv::{Env, Job, Reply, Setup, until};

const LIMIT: Duration = Duration::from_secs(20);

fn jobs(name: &str, count: usize, ms: u64) -> Vec<Job> {
    (0..count).map(|number| Job::new(&format!("{name}-{number}"), 2, ms)).collect()
}

async fn submit_all(env: &Env, prefix: &str, jobs: &[Job], entries: &[usize]) -> Vec<Reply> {
    let calls = jobs.iter().enumerate().map(|(number, job)| {
        let caller = env.caller(entries[number % entries.len()]);
        let key = format!("{prefix}.{}", job.ids[0].replace('/', "-"));
        async move { caller.submit(&key, job).await.unwrap() }
    });
    join_all(calls).await
}

fn key_of(prefix: &str, job: &Job) -> String {
    format!("{prefix}.{}", job.ids[0].replace('/', "-"))
}

async fn all_started(env: &Env, jobs: &[Job]) {
    let last = || async { jobs.iter().all(|job| env.ledger.starts(&job.ids[0]) > 0) };
    until("every job has started", LIMIT, last).await;
}

fn whole(jobs: &[Job], replies: &[Reply]) {
    for (job, reply) in jobs.iter().zip(replies) {
        assert!(reply.is_whole(&job.ids), "{:?}: {reply:?}", job.ids[0]);
    }
}

/// VM 0 coordinates some jobs in flight, passes on others, and runs tasks for the other domain.
#[test]
fn a_stop_under_load_answers_all_that_is_in_flight() {
    let env = Env::start(&Setup { vms: 2, slots: 16, ..Setup::default() });
    smol::block_on(async {
        let (own, other) = (&env.keys(0).await, &env.keys(2).await);
        let long = jobs("own", 10, 900);
        let passed = jobs("passed", 10, 1600);
        let calls = zip(
            submit_all(&env, own, &long, &[0, 1, 2, 3]),
            submit_all(&env, other, &passed, &[0]),
        );
        let stop = async {
            all_started(&env, &long).await;
            all_started(&env, &passed).await;
            env.vm(0).stop();
            until("it is not ready", LIMIT, || async { !env.caller(0).is_ready().await }).await;
            let late = Job::new("late", 1, 0);
            let key = key_of(own, &late);
            let reply = env.caller(1).submit(&key, &late).await.unwrap();
            assert_eq!((reply.status, reply.execution()), (503, "not-run"), "{reply:?}");
            let joined = env.caller(2).submit(&key_of(own, &long[0]), &long[0]).await.unwrap();
            assert!(joined.is_whole(&long[0].ids), "{joined:?}");
        };
        let ((owned, passed_on), ()) = zip(calls, stop).await;
        whole(&long, &owned);
        whole(&passed, &passed_on);
        assert!(env.vm(0).wait().success(), "{}", env.vm(0).log());
        assert_eq!(env.ledger.repeated(&HashSet::new()), []);
        assert_eq!(env.ledger.starts("late/0"), 0);
    });
}

#[test]
fn many_short_jobs_meet_the_end_of_a_stop() {
    let env = Env::start(&Setup { slots: 16, ..Setup::default() });
    for round in 0..5 {
        smol::block_on(async {
            let own = &env.keys(0).await;
            let jobs = jobs(&format!("round-{round}"), 24, 40);
            let stop = async {
                all_started(&env, &jobs[..12]).await;
                env.vm(0).stop();
            };
            let (replies, ()) = zip(submit_all(&env, own, &jobs, &[0, 1]), stop).await;
            for (job, reply) in jobs.iter().zip(&replies) {
                let starts = job.ids.iter().map(|id| env.ledger.starts(id)).sum::<usize>();
                if reply.execution() == "not-run" {
                    assert_eq!((reply.status, starts), (503, 0), "{reply:?}");
                } else {
                    assert!(reply.is_whole(&job.ids), "{reply:?}");
                }
            }
            assert!(env.vm(0).wait().success(), "{}", env.vm(0).log());
        });
        env.replace(0);
        smol::block_on(until("it is back", LIMIT, || env.caller(0).is_ready()));
    }
}

#[test]
fn a_stop_while_the_store_is_out() {
    let env = Env::start(&Setup::default());
    smol::block_on(async {
        let prefix = &env.keys(0).await;
        let jobs = jobs("job", 6, 500);
        env.store.down(true);
        let stop = async {
            all_started(&env, &jobs).await;
            env.vm(0).stop();
        };
        let (replies, ()) = zip(submit_all(&env, prefix, &jobs, &[0, 1]), stop).await;
        whole(&jobs, &replies);
        assert!(env.vm(0).wait().success());
        env.store.down(false);
        let unseen = Job::new("unseen", 1, 0);
        let reply = env.caller(1).submit(&key_of(prefix, &unseen), &unseen).await.unwrap();
        assert_eq!(reply.execution(), "unknown", "there is no record: {reply:?}");
        assert_eq!(env.ledger.starts(&unseen.ids[0]), 0);
    });
}

#[test]
fn a_second_signal_cuts_nothing() {
    let env = Env::start(&Setup::default());
    smol::block_on(async {
        let prefix = &env.keys(0).await;
        let jobs = jobs("job", 6, 700);
        let stop = async {
            all_started(&env, &jobs).await;
            env.vm(0).stop();
            until("it drains", LIMIT, || async { !env.caller(0).is_ready().await }).await;
            env.vm(0).stop();
        };
        let (replies, ()) = zip(submit_all(&env, prefix, &jobs, &[0, 1]), stop).await;
        whole(&jobs, &replies);
        assert!(env.vm(0).wait().success(), "{}", env.vm(0).log());
    });
}

#[test]
fn a_drain_is_bounded() {
    let settings = json!({ "drain": "1s" });
    let env = Env::start(&Setup { settings, ..Setup::default() });
    smol::block_on(async {
        let prefix = &env.keys(0).await;
        let job = Job::new("stuck", 1, 9000);
        let key = key_of(prefix, &job);
        let entry = env.caller(1).submit(&key, &job);
        let stop = async {
            all_started(&env, std::slice::from_ref(&job)).await;
            env.vm(0).stop();
            let start = Instant::now();
            env.vm(0).wait();
            assert!(start.elapsed() < Duration::from_secs(3), "{:?}", start.elapsed());
        };
        let (reply, ()) = zip(entry, stop).await;
        assert_eq!(reply.unwrap().execution(), "unknown");
    });
}

#[test]
fn resubmissions_after_a_stop_are_answered_from_its_record() {
    let env = Env::start(&Setup { vms: 2, ..Setup::default() });
    smol::block_on(async {
        let prefix = &env.keys(0).await;
        let ran = Job::new("ran", 2, 10);
        let reply = env.caller(0).submit(&key_of(prefix, &ran), &ran).await.unwrap();
        assert!(reply.is_whole(&ran.ids), "{reply:?}");
        let fenced = Job::new("fenced", 2, 10);
        env.caller(1).cancel(&key_of(prefix, &fenced)).await.unwrap();
        env.vm(0).stop();
        assert!(env.vm(0).wait().success());
        let unseen = Job::new("unseen", 2, 10);
        for (job, execution) in [(&ran, "ran"), (&fenced, "not-run"), (&unseen, "not-run")] {
            for entry in 1..4 {
                let reply = env.caller(entry).submit(&key_of(prefix, job), job).await.unwrap();
                assert_eq!((reply.status, reply.execution()), (410, execution), "{reply:?}");
            }
        }
        assert_eq!(env.ledger.total(), 2);
    });
}

#[test]
fn a_leaving_target_gets_no_new_work() {
    let env = Env::start(&Setup::default());
    smol::block_on(async {
        let prefix = &env.keys(0).await;
        let leaving = &env.targets[0];
        let running = Job::new("running", 6, 800);
        let caller = env.caller(0);
        let key = key_of(prefix, &running);
        let submit = caller.submit(&key, &running);
        let leave = async {
            all_started(&env, std::slice::from_ref(&running)).await;
            env.store.set_leaving(&leaving.name, true);
            let work = || leaving.counts().answered.load(Ordering::Relaxed);
            let mut round = 0;
            until("it gets no work", Duration::from_secs(5), || {
                round += 1;
                let jobs = jobs(&format!("round-{round}"), 6, 5);
                let env = &env;
                async move {
                    let before = work();
                    whole(&jobs, &submit_all(env, prefix, &jobs, &[0, 1]).await);
                    work() == before
                        && !jobs
                            .iter()
                            .any(|job| env.ledger.targets(&job.ids[0]).contains(&leaving.name))
                }
            })
            .await;
            let later = jobs("later", 30, 5);
            whole(&later, &submit_all(&env, prefix, &later, &[0, 1]).await);
            let hit = later.iter().flat_map(|job| &job.ids);
            let hit = hit.filter(|id| env.ledger.targets(id).contains(&leaving.name));
            assert_eq!(hit.count(), 0, "new work went to a leaving target");
        };
        let (reply, ()) = zip(submit, leave).await;
        whole(std::slice::from_ref(&running), &[reply.unwrap()]);
    });
}

#[test]
fn a_stopping_vm_claims_no_key_for_itself() {
    let env = Env::start(&Setup::default());
    smol::block_on(async {
        let prefix = &env.keys(0).await;
        let long = jobs("long", 1, 1500);
        let stop = async {
            all_started(&env, &long).await;
            env.vm(0).stop();
            until("it drains", LIMIT, || async { !env.caller(0).is_ready().await }).await;
            let made_up = Job::new("made-up", 2, 5);
            let reply = env.caller(0).submit("order-77", &made_up).await.unwrap();
            assert_eq!((reply.status, reply.execution()), (503, "unknown"), "{reply:?}");
            let reply = env.caller(1).submit("order-77", &made_up).await.unwrap();
            assert!(reply.is_whole(&made_up.ids), "{reply:?}");
        };
        let (replies, ()) = zip(submit_all(&env, prefix, &long, &[0]), stop).await;
        whole(&long, &replies);
        assert_eq!(env.ledger.repeated(&HashSet::new()), []);
    });
}
