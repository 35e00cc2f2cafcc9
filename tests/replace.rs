//! The callers' tool while every VM is replaced in turn, as docs/OPERATIONS.md has it.

mod testenv;

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use testenv::{Env, Job, Setup, program, wait_until};

const LIMIT: Duration = Duration::from_secs(20);
const CALLERS: usize = 4;
const TASKS: usize = 2;

/// Runs `gypsumkeel submit` once; gives its exit code and what it said.
fn submit(entries: &[SocketAddr], job: &Job) -> (i32, String) {
    let entries = entries.iter().map(ToString::to_string).collect::<Vec<_>>().join(",");
    let ended = program::run(["submit", "--entry", &entries, "-"], &job.body.to_string());
    (ended.code, ended.errors)
}

#[test]
fn no_job_is_lost_or_doubled_while_all_vms_are_replaced() {
    let env = Env::start(&Setup { domains: &["a", "b", "c"], ..Setup::default() });
    let (over, jobs) = (AtomicBool::new(false), AtomicUsize::new(0));
    thread::scope(|scope| {
        for caller in 0..CALLERS {
            let (env, over, jobs) = (&env, &over, &jobs);
            scope.spawn(move || {
                while !over.load(Ordering::Relaxed) {
                    let number = jobs.fetch_add(1, Ordering::Relaxed);
                    let mut entries =
                        (0..env.len()).map(|index| env.vm(index).callers).collect::<Vec<_>>();
                    entries.rotate_left(number % env.len());
                    let job = Job::new(&format!("job-{caller}-{number}"), TASKS, 200);
                    let (code, said) = submit(&entries, &job);
                    assert_eq!(code, 0, "{:?}: {said}", job.ids);
                }
            });
        }
        for index in 0..env.len() {
            let jobs_before = jobs.load(Ordering::Relaxed);
            wait_until("jobs go on", LIMIT, || {
                jobs.load(Ordering::Relaxed) > jobs_before + 2 * CALLERS
            });
            let vm = env.vm(index);
            vm.stop();
            assert!(vm.wait().success(), "{}", vm.log());
            env.replace(index);
            wait_until("the new VM is ready", LIMIT, || {
                smol::block_on(env.caller(index).is_ready())
            });
        }
        over.store(true, Ordering::Relaxed);
    });
    assert_eq!(env.ledger.repeated(&HashSet::new()), []);
    assert_eq!(env.ledger.total(), TASKS * jobs.into_inner());
}
