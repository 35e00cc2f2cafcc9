//! Random faults of all kinds, one or two at a time, while callers submit jobs, hang up, cancel and resubmit at other
//! VMs. The replies and the starts at targets must agree.
//!
//! The default run is short and has a fixed seed. `GYPSUMKEEL_RANDOM_SEED` and `GYPSUMKEEL_RANDOM_MINUTES` set another
//! seed and duration.

mod testenv;

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use std::{env, thread};

use fastrand::Rng;
use futures_util::future::join_all;
use gypsumkeel::clock::Millis;
use serde_json::json;
use smol::{Timer, future};
use testenv::{Block, Env, Fault, Job, Reply, Setup, Way, until, wait_until};

const SEED: u64 = 20_260_301;

/// The duration of the default run.
const DEFAULT_DURATION: Duration = Duration::from_secs(15);

const DOMAINS: [&str; 3] = ["a", "b", "c"];
const WORKERS: usize = 10;
const LIMIT: Duration = Duration::from_secs(30);

/// How often a worker submits a job at most.
const SUBMISSIONS_MAX: usize = 5;

/// How many jobs are resubmitted at the same time after the faults have ended.
const RESUBMISSIONS: usize = 400;

/// A fault of a VM, path, store or target, with the index or domain that it affects.
#[derive(Clone, Copy, Debug)]
enum Incident {
    Kill(usize),
    Freeze(usize),
    Stop(usize),
    ResetConnections(usize),
    FreezeOpenConnections(usize, Way),
    FreezeConnections(usize, Way),
    DelayConnections(usize),
    Partition(&'static str, Block),
    StoreOutage,
    SlowStore,
    LoseStoreResponses(u32),
    FaultyTarget(usize, Fault),
    SlowTarget(usize),
    KillTarget(usize),
    FreezeTargetConnections(usize, Way),
    LeavingTarget(usize),
}

impl Incident {
    fn draw(random: &mut Rng, env: &Env) -> Self {
        let vm = random.usize(..env.len());
        let target = random.usize(..env.targets.len());
        let way = *random.choice(&[Way::Up, Way::Down]).unwrap();
        let block = *random.choice(&[Block::Reset, Block::Silent]).unwrap();
        let faults =
            [Fault::Fail, Fault::Stall, Fault::WrongId, Fault::CloseAfterStart, Fault::DropAnswer];
        match random.usize(..20) {
            0 | 1 => Self::Kill(vm),
            2 | 3 => Self::Freeze(vm),
            4 => Self::Stop(vm),
            5 => Self::ResetConnections(vm),
            6 => Self::FreezeOpenConnections(vm, way),
            7 => Self::FreezeConnections(vm, way),
            8 => Self::DelayConnections(vm),
            9 | 10 => Self::Partition(DOMAINS[random.usize(..3)], block),
            11 => Self::StoreOutage,
            12 => Self::SlowStore,
            13 => Self::LoseStoreResponses(random.u32(1..4)),
            14 | 15 => Self::FaultyTarget(target, faults[random.usize(..faults.len())]),
            16 => Self::SlowTarget(target),
            17 => Self::KillTarget(target),
            18 => Self::FreezeTargetConnections(target, way),
            _ => Self::LeavingTarget(target),
        }
    }

    fn begin(self, env: &Env) {
        match self {
            Self::Kill(vm) => env.vm(vm).kill(),
            Self::Freeze(vm) => env.vm(vm).freeze(),
            Self::Stop(vm) => env.vm(vm).stop(),
            Self::ResetConnections(vm) => env.peer_proxies[vm].reset(),
            Self::FreezeOpenConnections(vm, way) => env.peer_proxies[vm].freeze_open(way, true),
            Self::FreezeConnections(vm, way) => env.peer_proxies[vm].freeze(way, true),
            Self::DelayConnections(vm) => env.peer_proxies[vm].delay(Duration::from_millis(30)),
            Self::Partition(domain, block) => env.partition(domain, block),
            Self::StoreOutage => env.store.down(true),
            Self::SlowStore => env.store.slow(Millis(700)),
            Self::LoseStoreResponses(writes) => env.store.lose_responses("", writes),
            Self::FaultyTarget(target, fault) => env.targets[target].set(|mode| mode.fault = fault),
            Self::SlowTarget(target) => env.targets[target].set(|mode| mode.slowdown = 12.0),
            Self::KillTarget(target) => env.targets[target].kill(),
            Self::FreezeTargetConnections(target, way) => {
                env.target_proxies[target].freeze_open(way, true);
            }
            Self::LeavingTarget(target) => env.store.set_leaving(&env.targets[target].name, true),
        }
    }

    fn end(self, env: &Env) {
        match self {
            Self::Kill(vm) => env.replace(vm),
            Self::Freeze(vm) => env.vm(vm).thaw(),
            Self::Stop(vm) => {
                env.vm(vm).thaw();
                // Another incident may have replaced the process that was told to stop.
                env.vm(vm).stop();
                env.vm(vm).wait();
                env.replace(vm);
            }
            Self::ResetConnections(vm)
            | Self::FreezeOpenConnections(vm, _)
            | Self::FreezeConnections(vm, _)
            | Self::DelayConnections(vm) => env.peer_proxies[vm].heal(),
            Self::Partition(domain, _) => env.reconnect(domain),
            Self::StoreOutage => env.store.down(false),
            Self::SlowStore => env.store.slow(Millis::ZERO),
            Self::LoseStoreResponses(_) => env.store.lose_responses("", 0),
            Self::FaultyTarget(target, _) => {
                env.targets[target].set(|mode| mode.fault = Fault::None);
            }
            Self::SlowTarget(target) => env.targets[target].set(|mode| mode.slowdown = 1.0),
            Self::KillTarget(target) => env.targets[target].revive(),
            Self::FreezeTargetConnections(target, _) => env.target_proxies[target].heal(),
            Self::LeavingTarget(target) => env.store.set_leaving(&env.targets[target].name, false),
        }
    }
}

/// A job and the replies to its submissions.
struct Case {
    key: String,
    job: Job,
    replies: Vec<Reply>,
}

impl Case {
    fn is_repeatable(&self) -> bool {
        self.job.body["repeatable"] == true
    }

    /// Checks a reply against the starts and the earlier replies, and records it.
    fn record(&mut self, env: &Env, reply: Reply) {
        let Self { key, job, replies } = self;
        let describe =
            |problem: &str| format!("{problem}: {key} {:?}: {reply:?} after {replies:?}", job.ids);
        if reply.status == 200 {
            assert!(reply.is_whole(&job.ids), "{}", describe("not all answers of its own job"));
        } else {
            assert!(reply.body.get("answers").is_none(), "{}", describe("answers in a failure"));
            let is_known = ["not-run", "ran", "unknown"].contains(&reply.execution());
            assert!(is_known, "{}", describe("no known execution"));
        }
        let starts = job.ids.iter().map(|id| env.ledger.starts(id)).sum::<usize>();
        let not_run = |reply: &Reply| reply.execution() == "not-run";
        assert!(!not_run(&reply) || starts == 0, "{}", describe("not-run, but started"));
        let any_earlier = |test: &dyn Fn(&Reply) -> bool| replies.iter().any(test);
        let has_run = reply.status == 200 || reply.execution() == "ran";
        assert!(!(has_run && any_earlier(&not_run)), "{}", describe("ran after not-run"));
        assert!(
            !(not_run(&reply) && any_earlier(&|reply| reply.status == 200)),
            "{}",
            describe("not-run after complete")
        );
        let differs = |earlier: &Reply| earlier.status == 200 && earlier.body != reply.body;
        assert!(
            !(reply.status == 200 && any_earlier(&differs)),
            "{}",
            describe("other answers than before")
        );
        replies.push(reply);
    }
}

/// Submits jobs one after another until `stop` is set.
async fn submit_jobs(env: &Env, mut random: Rng, worker: usize, stop: &AtomicBool) -> Vec<Case> {
    let mut cases = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let number = cases.len();
        let Some(mut case) = draw_case(env, &mut random, &format!("{worker}-{number}")).await
        else {
            Timer::after(Duration::from_millis(20)).await;
            continue;
        };
        for _ in 0..SUBMISSIONS_MAX {
            let caller = env.caller(random.usize(..env.len()));
            let timeout = if random.u8(..8) == 0 { random.u64(1..150) } else { 9000 };
            let cancels = random.u8(..25) == 0;
            let submit = caller.timeout(timeout).submit(&case.key, &case.job);
            let cancellation = async {
                if cancels {
                    Timer::after(Duration::from_millis(20)).await;
                    let _ = caller.timeout(3000).cancel(&case.key).await;
                }
            };
            let (reply, ()) = future::zip(submit, cancellation).await;
            let Ok(reply) = reply else { continue };
            let is_final = !(reply.status == 503 && reply.execution() == "unknown");
            case.record(env, reply);
            // Sometimes a job that has ended is submitted again, and must get the same reply.
            if is_final && random.u8(..3) > 0 {
                break;
            }
        }
        cases.push(case);
    }
    cases
}

async fn draw_case(env: &Env, random: &mut Rng, name: &str) -> Option<Case> {
    let key = if random.u8(..12) == 0 {
        format!("order-{name}")
    } else {
        let coordinator = env.caller(random.usize(..env.len())).timeout(1000);
        format!("{}.{name}", coordinator.keys().await.ok()?)
    };
    let mut job = Job::new(name, random.usize(1..7), random.u64(2..120)).timeout(6000);
    if random.u8(..3) == 0 {
        job = job.repeatable();
    }
    if random.u8(..30) == 0 {
        let last = job.ids.len() - 1;
        job = job.failing(last);
    }
    Some(Case { key, job, replies: Vec::new() })
}

/// Begins and ends one or two incidents at a time until `duration` has passed or `stop` is set.
fn cause_incidents(
    env: &Env,
    mut random: Rng,
    duration: Duration,
    history: &History,
    stop: &AtomicBool,
) {
    let start = Instant::now();
    while start.elapsed() < duration && !stop.load(Ordering::Relaxed) {
        let mut incidents = vec![Incident::draw(&mut random, env)];
        if random.bool() {
            incidents.push(Incident::draw(&mut random, env));
        }
        let at = start.elapsed().as_secs_f64();
        history.0.lock().unwrap().push(format!("{at:.1} s: {incidents:?}"));
        for incident in &incidents {
            incident.begin(env);
        }
        thread::sleep(Duration::from_millis(random.u64(200..2000)));
        for incident in &incidents {
            incident.end(env);
        }
        thread::sleep(Duration::from_millis(random.u64(50..600)));
    }
}

/// The incidents so far; printed if the run fails.
#[derive(Default)]
struct History(Mutex<Vec<String>>);

impl Drop for History {
    fn drop(&mut self) {
        if thread::panicking() {
            eprintln!("{}", self.0.lock().unwrap().join("\n"));
        }
    }
}

/// Sets the flag that ends the run when it is dropped, also by a panic.
struct Stop<'a>(&'a AtomicBool);

impl Drop for Stop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Waits until every VM completes jobs with the key prefixes of every VM.
async fn wait_for_recovery(env: &Env) {
    for entry in 0..env.len() {
        for coordinator in 0..env.len() {
            let job = Job::new(&format!("recovery-{entry}-{coordinator}"), 2, 5).repeatable();
            let attempts = AtomicUsize::new(0);
            until("every VM completes jobs of every VM's keys", LIMIT, || async {
                let Ok(prefix) = env.caller(coordinator).keys().await else { return false };
                let key = format!("{prefix}.{}", attempts.fetch_add(1, Ordering::Relaxed));
                let reply = env.caller(entry).submit(&key, &job).await;
                reply.is_ok_and(|reply| reply.is_whole(&job.ids))
            })
            .await;
        }
    }
}

/// Checks the number of starts of every task against the replies to its job.
fn check_starts(env: &Env, cases: &[Case]) {
    for case in cases {
        let starts = case.job.ids.iter().map(|id| env.ledger.starts(id)).collect::<Vec<_>>();
        let describe =
            || format!("{} {:?}: {starts:?}, {:?}", case.key, case.job.ids, case.replies);
        assert!(case.is_repeatable() || starts.iter().all(|&count| count <= 1), "{}", describe());
        let not_run = case.replies.iter().any(|reply| reply.execution() == "not-run");
        assert!(!not_run || starts.iter().all(|&count| count == 0), "{}", describe());
        let is_complete = case.replies.iter().any(|reply| reply.status == 200);
        assert!(!is_complete || starts.iter().all(|&count| count > 0), "{}", describe());
    }
}

fn run(seed: u64, duration: Duration) {
    println!("seed {seed}, {duration:?}");
    let env = Env::start(&Setup {
        domains: &DOMAINS,
        vms: 2,
        targets: 3,
        slots: 4,
        limits: json!({
            "windows": { "length": "5s", "kept": 6 },
            "retries": { "share": 0.5, "attempts_max": 4 },
        }),
        services: json!([
            { "name": "holds", "timeout": "6s", "run_max": "2s", "spare_share": 0.2 },
        ]),
        settings: json!({ "drain": "4s", "log": { "level": "info" } }),
    });
    let history = History::default();
    let mut random = Rng::with_seed(seed);
    let stop = AtomicBool::new(false);
    let before = env.store.seen();
    let mut cases = thread::scope(|scope| {
        let faults = random.fork();
        let incidents = scope.spawn(|| {
            let _stop = Stop(&stop);
            cause_incidents(&env, faults, duration, &history, &stop);
        });
        let _stop = Stop(&stop);
        let workers = (0..WORKERS).map(|worker| submit_jobs(&env, random.fork(), worker, &stop));
        let cases = smol::block_on(join_all(workers)).into_iter().flatten().collect::<Vec<_>>();
        incidents.join().unwrap();
        cases
    });
    let calls = env.store.seen().total() - before.total();
    env.heal();
    smol::block_on(async {
        wait_for_recovery(&env).await;
        for (round, chunk) in cases.chunks_mut(RESUBMISSIONS).enumerate() {
            let env = &env;
            let resubmissions = chunk.iter_mut().enumerate().map(|(number, case)| async move {
                let caller = env.caller((round + number) % env.len());
                let reply = caller.submit(&case.key, &case.job).await.unwrap();
                case.record(env, reply);
            });
            join_all(resubmissions).await;
        }
    });
    wait_until("no task is left running", LIMIT, || {
        env.targets.iter().all(|target| target.counts().running.load(Ordering::Relaxed) == 0)
    });
    check_starts(&env, &cases);
    let mut ends = BTreeMap::<String, usize>::new();
    for reply in cases.iter().filter_map(|case| case.replies.last()) {
        *ends.entry(format!("{} {}", reply.status, reply.execution())).or_default() += 1;
    }
    let rounds = history.0.lock().unwrap().len();
    println!("{rounds} rounds of trouble, {} jobs, {calls} calls to the store", cases.len());
    println!("{} starts of {} payloads; ends {ends:?}", env.ledger.total(), env.ledger.ids());
    let complete = cases.iter().filter(|case| case.replies.iter().any(|reply| reply.status == 200));
    assert!(complete.count() * 2 > cases.len(), "too few jobs completed: {ends:?}");
}

/// Under random faults, no task may start twice unless its job is repeatable, and no reply may contradict the starts or an
/// earlier reply.
#[test]
fn under_random_faults_nothing_starts_twice_and_no_reply_is_false() {
    let number = |name| env::var(name).ok().map(|text| text.parse::<u64>().unwrap());
    let seconds = number("GYPSUMKEEL_RANDOM_MINUTES").map(|minutes| minutes * 60);
    let duration = seconds.map_or(DEFAULT_DURATION, Duration::from_secs);
    run(number("GYPSUMKEEL_RANDOM_SEED").unwrap_or(SEED), duration);
}
