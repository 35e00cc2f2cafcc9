//! The `submit` command while every VM is replaced in turn, as docs/OPERATIONS.md describes.

mod testenv;

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use testenv::{Env, Job, Setup, program, wait_until};

const LIMIT: Duration = Duration::from_secs(20);
const CALLERS: usize = 4;
const TASKS_PER_JOB: usize = 2;

/// Runs `gypsumkeel submit` once. Returns its exit code and its standard error.
fn submit(entries: &[SocketAddr], job: &Job) -> (i32, String) {
    let entries = entries.iter().map(ToString::to_string).collect::<Vec<_>>().join(",");
    let output = program::run(["submit", "--entry", &entries, "-"], &job.body.to_string());
    (output.code, output.errors)
}

#[test]
fn no_job_is_lost_or_run_twice_while_all_vms_are_replaced() {
    let env = Env::start(&Setup { domains: &["a", "b", "c"], ..Setup::default() });
    let (done, jobs) = (AtomicBool::new(false), AtomicUsize::new(0));
    thread::scope(|scope| {
        for caller in 0..CALLERS {
            let (env, done, jobs) = (&env, &done, &jobs);
            scope.spawn(move || {
                while !done.load(Ordering::Relaxed) {
                    let index = jobs.fetch_add(1, Ordering::Relaxed);
                    let mut entries =
                        (0..env.len()).map(|vm| env.vm(vm).callers).collect::<Vec<_>>();
                    entries.rotate_left(index % env.len());
                    let job = Job::new(&format!("job-{caller}-{index}"), TASKS_PER_JOB, 200);
                    let (code, errors) = submit(&entries, &job);
                    assert_eq!(code, 0, "{:?}: {errors}", job.ids);
                }
            });
        }
        for index in 0..env.len() {
            let jobs_before = jobs.load(Ordering::Relaxed);
            wait_until("further jobs are submitted", LIMIT, || {
                jobs.load(Ordering::Relaxed) > jobs_before + 2 * CALLERS
            });
            let vm = env.vm(index);
            vm.stop();
            assert!(vm.wait().success(), "{}", vm.log());
            env.replace(index);
            wait_until("the replacement is ready", LIMIT, || {
                smol::block_on(env.caller(index).is_ready())
            });
        }
        done.store(true, Ordering::Relaxed);
    });
    assert_eq!(env.ledger.repeated(&HashSet::new()), []);
    assert_eq!(env.ledger.total(), TASKS_PER_JOB * jobs.into_inner());
}
