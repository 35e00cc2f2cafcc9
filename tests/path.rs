//! The whole path: jobs by every entry VM, answered whole, each task started exactly once.

mod testenv;

use std::collections::HashSet;
use std::sync::atomic::{AtomicUsize, Ordering};

use serde_json::json;
use testenv::{Env, Job, Setup};

const JOBS: usize = 1000;
const CALLERS: usize = 32;

#[test]
fn a_thousand_jobs_by_six_entries_are_whole_and_start_once() {
    let env = Env::start(&Setup {
        domains: &["a", "b", "c"],
        vms: 2,
        targets: 4,
        services: json!([{ "name": "holds", "timeout": "60s", "run_max": "5s" }]),
        ..Setup::default()
    });
    let before = env.store.seen();
    let next = AtomicUsize::new(0);
    let tasks = AtomicUsize::new(0);
    smol::block_on(async {
        let mut prefixes = Vec::new();
        for index in 0..env.len() {
            prefixes.push(env.keys(index).await);
        }
        let (env, next, tasks, prefixes) = (&env, &next, &tasks, &prefixes);
        let callers = (0..CALLERS).map(|_| async move {
            loop {
                let number = next.fetch_add(1, Ordering::Relaxed);
                if number >= JOBS {
                    return;
                }
                let job = Job::new(&format!("job-{number}"), 1 + number % 7, 2);
                // The entry and the coordinator named in the key differ for most jobs.
                let entry = number % env.len();
                let key = format!("{}.{number}", prefixes[number / 6 % env.len()]);
                let reply = env.caller(entry).submit(&key, &job).await.unwrap();
                assert!(reply.is_whole(&job.ids), "job {number} by entry {entry}: {reply:?}");
                tasks.fetch_add(job.ids.len(), Ordering::Relaxed);
            }
        });
        futures_util::future::join_all(callers).await;
    });
    let tasks = tasks.into_inner();
    assert_eq!(env.ledger.repeated(&HashSet::new()), []);
    assert_eq!((env.ledger.ids(), env.ledger.total()), (tasks, tasks));
    let busy =
        env.targets.iter().filter(|target| target.counts().answered.load(Ordering::Relaxed) > 0);
    assert_eq!(busy.count(), env.targets.len(), "a target got no work");
    let calls = env.store.seen().total() - before.total();
    println!("{tasks} tasks in {JOBS} jobs; {calls} calls to the store meanwhile");
    assert!((calls as usize) < JOBS / 10, "the store is on the path of a job");
}
