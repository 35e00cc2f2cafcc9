//! A planned stop interrupts no job, ends within the drain time, and leaves a true record of every key.

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

/// Waits until the first task of every job has started.
async fn wait_for_starts(env: &Env, jobs: &[Job]) {
    let have_started = || async { jobs.iter().all(|job| env.ledger.starts(&job.ids[0]) > 0) };
    until("every job has started", LIMIT, have_started).await;
}

/// Asserts that every reply holds all answers of its job.
fn assert_complete(jobs: &[Job], replies: &[Reply]) {
    for (job, reply) in jobs.iter().zip(replies) {
        assert!(reply.is_whole(&job.ids), "{:?}: {reply:?}", job.ids[0]);
    }
}

/// VM 0 coordinates some jobs in flight, relays others, and runs tasks for the other domain. All of them must complete, and
/// a new job must be refused.
#[test]
fn a_stop_under_load_completes_all_jobs_in_flight() {
    let env = Env::start(&Setup { vms: 2, slots: 16, ..Setup::default() });
    smol::block_on(async {
        let (local, remote) = (&env.keys(0).await, &env.keys(2).await);
        let coordinated = jobs("coordinated", 10, 900);
        let relayed = jobs("relayed", 10, 1600);
        let calls = zip(
            submit_all(&env, local, &coordinated, &[0, 1, 2, 3]),
            submit_all(&env, remote, &relayed, &[0]),
        );
        let stop = async {
            wait_for_starts(&env, &coordinated).await;
            wait_for_starts(&env, &relayed).await;
            env.vm(0).stop();
            until("VM 0 is not ready", LIMIT, || async { !env.caller(0).is_ready().await }).await;
            let late = Job::new("late", 1, 0);
            let key = key_of(local, &late);
            let reply = env.caller(1).submit(&key, &late).await.unwrap();
            assert_eq!((reply.status, reply.execution()), (503, "not-run"), "{reply:?}");
            let joined = env
                .caller(2)
                .submit(&key_of(local, &coordinated[0]), &coordinated[0])
                .await
                .unwrap();
            assert!(joined.is_whole(&coordinated[0].ids), "{joined:?}");
        };
        let ((coordinated_replies, relayed_replies), ()) = zip(calls, stop).await;
        assert_complete(&coordinated, &coordinated_replies);
        assert_complete(&relayed, &relayed_replies);
        assert!(env.vm(0).wait().success(), "{}", env.vm(0).log());
        assert_eq!(env.ledger.repeated(&HashSet::new()), []);
        assert_eq!(env.ledger.starts("late/0"), 0);
    });
}

/// Short jobs that arrive while the VM stops must either complete or be refused without a start.
#[test]
fn jobs_that_arrive_during_a_stop_complete_or_never_start() {
    let env = Env::start(&Setup { slots: 16, ..Setup::default() });
    for round in 0..5 {
        smol::block_on(async {
            let prefix = &env.keys(0).await;
            let jobs = jobs(&format!("round-{round}"), 24, 40);
            let stop = async {
                wait_for_starts(&env, &jobs[..12]).await;
                env.vm(0).stop();
            };
            let (replies, ()) = zip(submit_all(&env, prefix, &jobs, &[0, 1]), stop).await;
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
        smol::block_on(until("VM 0 is ready again", LIMIT, || env.caller(0).is_ready()));
    }
}

/// Without the store, the closing record can't be written: jobs in flight must still complete, and later keys must fail as
/// unknown.
#[test]
fn a_stop_during_a_store_outage_completes_all_jobs_in_flight() {
    let env = Env::start(&Setup::default());
    smol::block_on(async {
        let prefix = &env.keys(0).await;
        let jobs = jobs("job", 6, 500);
        env.store.down(true);
        let stop = async {
            wait_for_starts(&env, &jobs).await;
            env.vm(0).stop();
        };
        let (replies, ()) = zip(submit_all(&env, prefix, &jobs, &[0, 1]), stop).await;
        assert_complete(&jobs, &replies);
        assert!(env.vm(0).wait().success());
        env.store.down(false);
        let unseen = Job::new("unseen", 1, 0);
        let reply = env.caller(1).submit(&key_of(prefix, &unseen), &unseen).await.unwrap();
        assert_eq!(reply.execution(), "unknown", "without a closing record: {reply:?}");
        assert_eq!(env.ledger.starts(&unseen.ids[0]), 0);
    });
}

/// A repeated SIGTERM must not end the drain early.
#[test]
fn a_second_signal_interrupts_no_job() {
    let env = Env::start(&Setup::default());
    smol::block_on(async {
        let prefix = &env.keys(0).await;
        let jobs = jobs("job", 6, 700);
        let stop = async {
            wait_for_starts(&env, &jobs).await;
            env.vm(0).stop();
            until("VM 0 drains", LIMIT, || async { !env.caller(0).is_ready().await }).await;
            env.vm(0).stop();
        };
        let (replies, ()) = zip(submit_all(&env, prefix, &jobs, &[0, 1]), stop).await;
        assert_complete(&jobs, &replies);
        assert!(env.vm(0).wait().success(), "{}", env.vm(0).log());
    });
}

/// A task that runs longer than the drain time must not delay the exit.
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
            wait_for_starts(&env, std::slice::from_ref(&job)).await;
            env.vm(0).stop();
            let start = Instant::now();
            env.vm(0).wait();
            assert!(start.elapsed() < Duration::from_secs(3), "{:?}", start.elapsed());
        };
        let (reply, ()) = zip(entry, stop).await;
        assert_eq!(reply.unwrap().execution(), "unknown");
    });
}

/// After a planned stop, other VMs must tell from the closing record which keys ran and which did not.
#[test]
fn resubmissions_after_a_stop_get_the_recorded_execution() {
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

/// A target that leaves must complete its tasks and, once the VMs know, get no others.
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
            wait_for_starts(&env, std::slice::from_ref(&running)).await;
            env.store.set_leaving(&leaving.name, true);
            let answered = || leaving.counts().answered.load(Ordering::Relaxed);
            let mut round = 0;
            until("the leaving target gets no work", Duration::from_secs(5), || {
                round += 1;
                let jobs = jobs(&format!("round-{round}"), 6, 5);
                let env = &env;
                async move {
                    let before = answered();
                    assert_complete(&jobs, &submit_all(env, prefix, &jobs, &[0, 1]).await);
                    answered() == before
                        && !jobs
                            .iter()
                            .any(|job| env.ledger.targets(&job.ids[0]).contains(&leaving.name))
                }
            })
            .await;
            let later = jobs("later", 30, 5);
            assert_complete(&later, &submit_all(&env, prefix, &later, &[0, 1]).await);
            let misplaced = later.iter().flat_map(|job| &job.ids);
            let misplaced = misplaced.filter(|id| env.ledger.targets(id).contains(&leaving.name));
            assert_eq!(misplaced.count(), 0, "new work went to a leaving target");
        };
        let (reply, ()) = zip(submit, leave).await;
        assert_complete(std::slice::from_ref(&running), &[reply.unwrap()]);
    });
}

/// If a draining VM claimed a key that a caller made up, the job could not run at another VM either.
#[test]
fn a_draining_vm_claims_no_key() {
    let env = Env::start(&Setup::default());
    smol::block_on(async {
        let prefix = &env.keys(0).await;
        let long = jobs("long", 1, 1500);
        let stop = async {
            wait_for_starts(&env, &long).await;
            env.vm(0).stop();
            until("VM 0 drains", LIMIT, || async { !env.caller(0).is_ready().await }).await;
            let made_up = Job::new("made-up", 2, 5);
            let reply = env.caller(0).submit("order-77", &made_up).await.unwrap();
            assert_eq!((reply.status, reply.execution()), (503, "unknown"), "{reply:?}");
            let reply = env.caller(1).submit("order-77", &made_up).await.unwrap();
            assert!(reply.is_whole(&made_up.ids), "{reply:?}");
        };
        let (replies, ()) = zip(submit_all(&env, prefix, &long, &[0]), stop).await;
        assert_complete(&long, &replies);
        assert_eq!(env.ledger.repeated(&HashSet::new()), []);
    });
}
