//! Each caller gets all answers of its own job, or one failure without any answers.

mod testenv;

use std::collections::HashSet;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::future::join_all;
use serde_json::json;
use smol::future::zip;
use testenv::{Env, Fault, Job, Reply, Setup, until};

const LIMIT: Duration = Duration::from_secs(20);

/// Asserts that a job failed with a status and execution, and that the reply has no answers.
fn assert_failed(reply: &Reply, status: u16, execution: &str) {
    assert_eq!((reply.status, reply.execution()), (status, execution), "{reply:?}");
    assert!(reply.body.get("answers").is_none(), "a partial answer: {reply:?}");
    assert!(reply.body["detail"].as_str().is_some_and(|detail| detail.contains(';')), "{reply:?}");
}

/// Waits until the task with a payload id has started.
async fn wait_for_start(env: &Env, id: &str) {
    until("a start", LIMIT, || async { env.ledger.starts(id) > 0 }).await;
}

/// A failure of the last task must not leave the answers of the others in the reply, at any entry VM.
#[test]
fn one_failed_task_fails_the_whole_job() {
    let env = Env::start(&Setup { targets: 4, ..Setup::default() });
    smol::block_on(async {
        let key = format!("{}.large", env.keys(0).await);
        let job = Job::new("large", 450, 2).failing(449);
        for entry in [0, 1] {
            assert_failed(&env.caller(entry).submit(&key, &job).await.unwrap(), 502, "ran");
        }
        assert_eq!(env.ledger.starts(&job.ids[449]), 1);
        assert_eq!(env.ledger.repeated(&HashSet::new()), []);
        let key = format!("{}.sound", env.keys(0).await);
        let job = Job::new("sound", 450, 2);
        let reply = env.caller(1).submit(&key, &job).await.unwrap();
        assert!(reply.is_whole(&job.ids), "{reply:?}");
    });
}

/// The outcome of tasks on a crashed target is unknown, so neither the job nor its resubmission may get answers or
/// start them again.
#[test]
fn a_job_fails_as_unknown_if_its_target_crashes() {
    let env = Env::start(&Setup { targets: 2, ..Setup::default() });
    smol::block_on(async {
        let key = format!("{}.job", env.keys(0).await);
        let job = Job::new("job", 12, 300);
        let submit = env.caller(1).submit(&key, &job);
        let kill = async {
            let busy = || {
                env.targets
                    .iter()
                    .find(|target| target.counts().running.load(Ordering::Relaxed) > 1)
            };
            until("a busy target", LIMIT, || async { busy().is_some() }).await;
            busy().unwrap().kill();
        };
        let (reply, ()) = zip(submit, kill).await;
        assert_failed(&reply.unwrap(), 502, "unknown");
        assert_failed(&env.caller(0).submit(&key, &job).await.unwrap(), 502, "unknown");
        assert_eq!(env.ledger.repeated(&HashSet::new()), []);
    });
}

/// A job must go on when the entry VM that relayed it is killed, and its caller must get the answers at another VM.
#[test]
fn a_job_outlives_its_entry_vm() {
    let env = Env::start(&Setup { vms: 2, ..Setup::default() });
    smol::block_on(async {
        let key = format!("{}.job", env.keys(0).await);
        let job = Job::new("job", 12, 300);
        let submit = env.caller(3).submit(&key, &job);
        let kill = async {
            wait_for_start(&env, &job.ids[0]).await;
            env.vm(3).kill();
        };
        let (lost, ()) = zip(submit, kill).await;
        assert!(lost.is_err(), "answered by a dead VM: {lost:?}");
        let reply = env.caller(2).submit(&key, &job).await.unwrap();
        assert!(reply.is_whole(&job.ids), "{reply:?}");
        assert_eq!(env.ledger.repeated(&HashSet::new()), []);
    });
}

/// When a coordinator is killed, callers of its jobs in flight must get a failure without answers.
#[test]
fn a_killed_coordinator_gives_no_partial_answers() {
    let env = Env::start(&Setup { vms: 2, ..Setup::default() });
    smol::block_on(async {
        let prefix = env.keys(0).await;
        let jobs = (0..8).map(|number| Job::new(&format!("job-{number}"), 4, 200));
        let jobs = jobs.collect::<Vec<_>>();
        let replies = join_all(jobs.iter().enumerate().map(|(number, job)| {
            let caller = env.caller(1 + number % 3);
            let key = format!("{prefix}.{number}");
            async move { caller.submit(&key, job).await.unwrap() }
        }));
        let kill = async {
            until("a start", LIMIT, || async { env.ledger.total() > 0 }).await;
            env.vm(0).kill();
        };
        let (replies, ()) = zip(replies, kill).await;
        let failed = replies.iter().zip(&jobs).filter(|(reply, job)| !reply.is_whole(&job.ids));
        let failed = failed.map(|(reply, _)| assert_failed(reply, 503, "unknown")).count();
        assert!(failed >= 4, "only {failed} jobs were in flight");
        assert_eq!(env.ledger.repeated(&HashSet::new()), []);
    });
}

/// A cancelled job must say "not-run" only if no task has started, and "ran" only if one has, however cancellation and
/// start coincide. A job that is cancelled before it is submitted must never start.
#[test]
fn cancelled_jobs_report_whether_they_ran() {
    let env = Env::start(&Setup { vms: 2, targets: 1, ..Setup::default() });
    smol::block_on(async {
        let prefix = &env.keys(0).await;
        let jobs = (0..60).map(|number| Job::new(&format!("job-{number}"), 3, 40));
        let jobs = jobs.collect::<Vec<_>>();
        let keys = (0..60).map(|number| format!("{prefix}.{number}")).collect::<Vec<_>>();
        let env = &env;
        let replies =
            join_all(jobs.iter().zip(&keys).enumerate().map(|(number, (job, key))| async move {
                env.caller(number % 4).submit(key, job).await.unwrap()
            }));
        let cancels = async {
            for wave in 0..3 {
                until("more tasks start", LIMIT, || async { env.ledger.ids() > wave * 15 }).await;
                let cancelled = keys.iter().skip(wave).step_by(6).enumerate();
                join_all(cancelled.map(|(number, key)| env.caller(number % 4).cancel(key))).await;
            }
        };
        let (replies, ()) = zip(replies, cancels).await;
        let mut cancelled = 0;
        for (number, reply) in replies.iter().enumerate() {
            if reply.is_whole(&jobs[number].ids) {
                continue;
            }
            assert!(number % 6 < 3, "job {number} was not cancelled: {reply:?}");
            cancelled += 1;
            assert_failed(reply, 409, reply.execution());
        }
        assert!(cancelled > 10, "only {cancelled} jobs were cancelled in time");
        let fenced = format!("{prefix}.never");
        assert_eq!(env.caller(3).cancel(&fenced).await.unwrap().status, 202);
        let late = Job::new("late", 1, 0);
        assert_failed(&env.caller(2).submit(&fenced, &late).await.unwrap(), 409, "not-run");
        assert_eq!(env.ledger.starts(&late.ids[0]), 0);
        // By now, every task that was sent to a target has started.
        for (reply, job) in replies.iter().zip(&jobs) {
            let starts = job.ids.iter().map(|id| env.ledger.starts(id)).sum::<usize>();
            assert!(reply.execution() != "not-run" || starts == 0, "{starts} starts: {reply:?}");
            assert!(reply.execution() != "ran" || starts > 0, "no start: {reply:?}");
        }
        assert_eq!(env.ledger.repeated(&HashSet::new()), []);
    });
}

/// Different delays on every path change the order of responses; none may reach the caller of another job.
#[test]
fn delayed_and_crossed_answers_reach_their_own_callers() {
    let env = Env::start(&Setup { vms: 2, targets: 3, slots: 4, ..Setup::default() });
    smol::block_on(async {
        let mut prefixes = Vec::new();
        for index in 0..env.len() {
            prefixes.push(env.keys(index).await);
        }
        for (number, proxy) in env.target_proxies.iter().enumerate() {
            proxy.delay(Duration::from_millis(3 * number as u64));
        }
        for (number, proxy) in env.peer_proxies.iter().enumerate() {
            proxy.delay(Duration::from_millis(7 - 2 * number as u64));
        }
        let (env, prefixes) = (&env, &prefixes);
        join_all((0..120).map(|number| async move {
            let job = Job::new(&format!("job-{number}"), 1 + number % 4, (number as u64 * 37) % 60);
            let key = format!("{}.{number}", prefixes[number / 4 % 4]);
            let reply = env.caller(number % 4).submit(&key, &job).await.unwrap();
            assert!(reply.is_whole(&job.ids), "job {number}: {reply:?}");
        }))
        .await;
        assert_eq!(env.ledger.repeated(&HashSet::new()), []);
    });
}

/// A target that answers with another task's id must make the job fail; the answer must not reach any caller.
#[test]
fn an_answer_with_another_tasks_id_is_rejected() {
    let env = Env::start(&Setup { domains: &["a"], targets: 1, ..Setup::default() });
    smol::block_on(async {
        let prefix = env.keys(0).await;
        env.targets[0].set(|mode| mode.fault = Fault::WrongId);
        let job = Job::new("crossed", 3, 20);
        let reply = env.caller(0).submit(&format!("{prefix}.crossed"), &job).await.unwrap();
        assert_failed(&reply, 502, "unknown");
        env.targets[0].set(|mode| mode.fault = Fault::None);
        let job = Job::new("sound", 3, 20);
        let reply = env.caller(0).submit(&format!("{prefix}.sound"), &job).await.unwrap();
        assert!(reply.is_whole(&job.ids), "{reply:?}");
    });
}

/// Connections between VMs are reset or go silent after the job has been relayed. The caller must still get its answers,
/// and no task may start twice.
#[test]
fn a_job_outlives_broken_connections_between_vms() {
    let env = Env::start(&Setup::default());
    smol::block_on(async {
        let key = &env.keys(0).await;
        for (number, is_silent) in [false, true, false].into_iter().enumerate() {
            let job = Job::new(&format!("job-{number}"), 4, 1200);
            let key = format!("{key}.{number}");
            let submit = env.caller(1).submit(&key, &job);
            let disconnect = async {
                wait_for_start(&env, &job.ids[0]).await;
                for proxy in &env.peer_proxies {
                    if is_silent {
                        proxy.freeze_open(testenv::Way::Down, true);
                    } else {
                        proxy.reset();
                    }
                }
            };
            let (reply, ()) = zip(submit, disconnect).await;
            let reply = reply.unwrap();
            assert!(reply.is_whole(&job.ids), "{reply:?}");
        }
        assert_eq!(env.ledger.repeated(&HashSet::new()), []);
    });
}

/// A job must go on when its caller hangs up, and a resubmission at any VM must join it.
#[test]
fn a_caller_that_hung_up_gets_its_answers_at_another_vm() {
    let env = Env::start(&Setup { vms: 2, ..Setup::default() });
    smol::block_on(async {
        let key = format!("{}.job", env.keys(0).await);
        let job = Job::new("job", 6, 250);
        for entry in [0, 2] {
            let hung_up = env.caller(entry).timeout(60).submit(&key, &job).await;
            assert!(hung_up.is_err(), "{hung_up:?}");
        }
        let found = env.caller(1).lookup(&key).await.unwrap();
        assert_eq!((found.status, &found.body["state"]), (202, &json!("running")), "{found:?}");
        let reply = env.caller(3).submit(&key, &job).await.unwrap();
        assert!(reply.is_whole(&job.ids), "{reply:?}");
        let found = env.caller(2).lookup(&key).await.unwrap();
        assert!(found.is_whole(&job.ids), "{found:?}");
        assert_eq!(env.ledger.repeated(&HashSet::new()), []);
    });
}
