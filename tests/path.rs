//! The path of a job from the caller to the targets and back, by way of every entry VM.

mod testenv;

use std::collections::HashSet;
use std::sync::atomic::{AtomicUsize, Ordering};

use serde_json::json;
use testenv::{Env, Job, Setup};

const JOBS: usize = 1000;
const CALLERS: usize = 32;

#[test]
fn a_thousand_jobs_by_six_entries_complete_and_start_each_task_once() {
    let env = Env::start(&Setup {
        domains: &["a", "b", "c"],
        vms: 2,
        targets: 4,
        services: json!([{ "name": "holds", "timeout": "60s", "run_max": "5s" }]),
        ..Setup::default()
    });
    let calls_before = env.store.seen().total();
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
                let index = next.fetch_add(1, Ordering::Relaxed);
                if index >= JOBS {
                    return;
                }
                let job = Job::new(&format!("job-{index}"), 1 + index % 7, 2);
                // For most jobs the entry VM is not the coordinator, which the key names.
                let entry = index % env.len();
                let key = format!("{}.{index}", prefixes[index / 6 % env.len()]);
                let reply = env.caller(entry).submit(&key, &job).await.unwrap();
                assert!(reply.is_whole(&job.ids), "job {index} by entry {entry}: {reply:?}");
                tasks.fetch_add(job.ids.len(), Ordering::Relaxed);
            }
        });
        futures_util::future::join_all(callers).await;
    });
    let tasks = tasks.into_inner();
    assert_eq!(env.ledger.repeated(&HashSet::new()), []);
    assert_eq!((env.ledger.ids(), env.ledger.total()), (tasks, tasks));
    let used =
        env.targets.iter().filter(|target| target.counts().answered.load(Ordering::Relaxed) > 0);
    assert_eq!(used.count(), env.targets.len(), "a target got no task");
    let calls = env.store.seen().total() - calls_before;
    println!("{tasks} tasks in {JOBS} jobs; {calls} calls to the store in that time");
    assert!((calls as usize) < JOBS / 10, "jobs call the store: {calls} calls for {JOBS} jobs");
}
