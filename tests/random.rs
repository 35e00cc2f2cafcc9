//! Faults of every kind in an order drawn from a seed, alone and two at once, under callers that
//! hang up, cancel and resubmit by other entries; everything is checked from outside.
//!
//! The short run has a fixed seed. `GYPSUMKEEL_RANDOM_SEED` and `GYPSUMKEEL_RANDOM_MINUTES` choose
//! another run.

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

/// How long the short run lasts.
const SHORT: Duration = Duration::from_secs(15);

const DOMAINS: [&str; 3] = ["a", "b", "c"];
const WORKERS: usize = 10;
const LIMIT: Duration = Duration::from_secs(30);

/// How often a worker submits one job before it gives up for now.
const TRIES: usize = 5;

/// How many jobs are submitted again at once when all is over.
const AGAIN: usize = 400;

/// What can go wrong. Each ends by itself when it is healed.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    Kill(usize),
    Pause(usize),
    Stop(usize),
    CutLinks(usize),
    SilentLinks(usize, Way),
    DeafLinks(usize, Way),
    SlowLinks(usize),
    CutOff(&'static str, Block),
    StoreDown,
    StoreSlow,
    StoreLoses(u32),
    Target(usize, Fault),
    SlowTarget(usize),
    DeadTarget(usize),
    SilentTarget(usize, Way),
    LeavingTarget(usize),
}

impl Trouble {
    fn draw(random: &mut Rng, env: &Env) -> Self {
        let vm = random.usize(..env.len());
        let target = random.usize(..env.targets.len());
        let way = *random.choice(&[Way::Up, Way::Down]).unwrap();
        let block = *random.choice(&[Block::Reset, Block::Silent]).unwrap();
        let fault =
            [Fault::Fail, Fault::Stall, Fault::WrongId, Fault::CloseAfterStart, Fault::DropAnswer];
        match random.usize(..20) {
            0 | 1 => Self::Kill(vm),
            2 | 3 => Self::Pause(vm),
            4 => Self::Stop(vm),
            5 => Self::CutLinks(vm),
            6 => Self::SilentLinks(vm, way),
            7 => Self::DeafLinks(vm, way),
            8 => Self::SlowLinks(vm),
            9 | 10 => Self::CutOff(DOMAINS[random.usize(..3)], block),
            11 => Self::StoreDown,
            12 => Self::StoreSlow,
            13 => Self::StoreLoses(random.u32(1..4)),
            14 | 15 => Self::Target(target, fault[random.usize(..fault.len())]),
            16 => Self::SlowTarget(target),
            17 => Self::DeadTarget(target),
            18 => Self::SilentTarget(target, way),
            _ => Self::LeavingTarget(target),
        }
    }

    fn begin(self, env: &Env) {
        match self {
            Self::Kill(vm) => env.vm(vm).kill(),
            Self::Pause(vm) => env.vm(vm).freeze(),
            Self::Stop(vm) => env.vm(vm).stop(),
            Self::CutLinks(vm) => env.peer_proxies[vm].reset(),
            Self::SilentLinks(vm, way) => env.peer_proxies[vm].freeze_open(way, true),
            Self::DeafLinks(vm, way) => env.peer_proxies[vm].freeze(way, true),
            Self::SlowLinks(vm) => env.peer_proxies[vm].delay(Duration::from_millis(30)),
            Self::CutOff(domain, block) => env.partition(domain, block),
            Self::StoreDown => env.store.down(true),
            Self::StoreSlow => env.store.slow(Millis(700)),
            Self::StoreLoses(writes) => env.store.lose_responses("", writes),
            Self::Target(target, fault) => env.targets[target].set(|mode| mode.fault = fault),
            Self::SlowTarget(target) => env.targets[target].set(|mode| mode.slowdown = 12.0),
            Self::DeadTarget(target) => env.targets[target].kill(),
            Self::SilentTarget(target, way) => env.target_proxies[target].freeze_open(way, true),
            Self::LeavingTarget(target) => env.store.set_leaving(&env.targets[target].name, true),
        }
    }

    fn end(self, env: &Env) {
        match self {
            Self::Kill(vm) => env.replace(vm),
            Self::Pause(vm) => env.vm(vm).thaw(),
            Self::Stop(vm) => {
                env.vm(vm).thaw();
                // Another trouble may have replaced the process that was asked to stop.
                env.vm(vm).stop();
                env.vm(vm).wait();
                env.replace(vm);
            }
            Self::CutLinks(vm)
            | Self::SilentLinks(vm, _)
            | Self::DeafLinks(vm, _)
            | Self::SlowLinks(vm) => env.peer_proxies[vm].heal(),
            Self::CutOff(domain, _) => env.reconnect(domain),
            Self::StoreDown => env.store.down(false),
            Self::StoreSlow => env.store.slow(Millis::ZERO),
            Self::StoreLoses(_) => env.store.lose_responses("", 0),
            Self::Target(target, _) => env.targets[target].set(|mode| mode.fault = Fault::None),
            Self::SlowTarget(target) => env.targets[target].set(|mode| mode.slowdown = 1.0),
            Self::DeadTarget(target) => env.targets[target].revive(),
            Self::SilentTarget(target, _) => env.target_proxies[target].heal(),
            Self::LeavingTarget(target) => env.store.set_leaving(&env.targets[target].name, false),
        }
    }
}

/// One submission and all that was said of it.
struct Case {
    key: String,
    job: Job,
    replies: Vec<Reply>,
}

impl Case {
    fn is_repeatable(&self) -> bool {
        self.job.body["repeatable"] == true
    }

    /// Checks one more reply against what is known, and keeps it.
    fn take(&mut self, env: &Env, reply: Reply) {
        let Self { key, job, replies } = self;
        let said = |what: &str| format!("{what}: {key} {:?}: {reply:?} after {replies:?}", job.ids);
        if reply.status == 200 {
            assert!(reply.is_whole(&job.ids), "{}", said("not the whole own answer"));
        } else {
            assert!(reply.body.get("answers").is_none(), "{}", said("a partial answer"));
            let known = ["not-run", "ran", "unknown"].contains(&reply.execution());
            assert!(known, "{}", said("no execution"));
        }
        let starts = job.ids.iter().map(|id| env.ledger.starts(id)).sum::<usize>();
        let not_run = |reply: &Reply| reply.execution() == "not-run";
        assert!(!not_run(&reply) || starts == 0, "{}", said("not run, but started"));
        let earlier = |test: &dyn Fn(&Reply) -> bool| replies.iter().any(test);
        let started = reply.status == 200 || reply.execution() == "ran";
        assert!(!(started && earlier(&not_run)), "{}", said("run after not-run"));
        assert!(!(not_run(&reply) && earlier(&|reply| reply.status == 200)), "{}", said("denied"));
        let other = |earlier: &Reply| earlier.status == 200 && earlier.body != reply.body;
        assert!(!(reply.status == 200 && earlier(&other)), "{}", said("another answer"));
        replies.push(reply);
    }
}

/// Submits jobs one after another until told to stop.
async fn work(env: &Env, mut random: Rng, worker: usize, stop: &AtomicBool) -> Vec<Case> {
    let mut cases = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let number = cases.len();
        let Some(mut case) = draw_case(env, &mut random, &format!("{worker}-{number}")).await
        else {
            Timer::after(Duration::from_millis(20)).await;
            continue;
        };
        for _ in 0..TRIES {
            let caller = env.caller(random.usize(..env.len()));
            let timeout = if random.u8(..8) == 0 { random.u64(1..150) } else { 9000 };
            let cancel = random.u8(..25) == 0;
            let submit = caller.timeout(timeout).submit(&case.key, &case.job);
            let wave = async {
                if cancel {
                    Timer::after(Duration::from_millis(20)).await;
                    let _ = caller.timeout(3000).cancel(&case.key).await;
                }
            };
            let (reply, ()) = future::zip(submit, wave).await;
            let Ok(reply) = reply else { continue };
            let is_final = !(reply.status == 503 && reply.execution() == "unknown");
            case.take(env, reply);
            // A copy of a job that has ended gets the same answer.
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

/// Brings about one trouble, or two at once, again and again.
fn trouble(env: &Env, mut random: Rng, lasts: Duration, history: &History, stop: &AtomicBool) {
    let start = Instant::now();
    while start.elapsed() < lasts && !stop.load(Ordering::Relaxed) {
        let mut now = vec![Trouble::draw(&mut random, env)];
        if random.bool() {
            now.push(Trouble::draw(&mut random, env));
        }
        let at = start.elapsed().as_secs_f64();
        history.0.lock().unwrap().push(format!("{at:.1} s: {now:?}"));
        for trouble in &now {
            trouble.begin(env);
        }
        thread::sleep(Duration::from_millis(random.u64(200..2000)));
        for trouble in &now {
            trouble.end(env);
        }
        thread::sleep(Duration::from_millis(random.u64(50..600)));
    }
}

/// The troubles so far, printed if the run fails.
#[derive(Default)]
struct History(Mutex<Vec<String>>);

impl Drop for History {
    fn drop(&mut self) {
        if thread::panicking() {
            eprintln!("{}", self.0.lock().unwrap().join("\n"));
        }
    }
}

/// Stops the other side too when one ends, or fails.
struct Stop<'a>(&'a AtomicBool);

impl Drop for Stop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Every VM runs jobs of every other's keys again.
async fn recovered(env: &Env) {
    for entry in 0..env.len() {
        for coordinator in 0..env.len() {
            let job = Job::new(&format!("sound-{entry}-{coordinator}"), 2, 5).repeatable();
            let tried = AtomicUsize::new(0);
            until("all VMs work together again", LIMIT, || async {
                let Ok(prefix) = env.caller(coordinator).keys().await else { return false };
                let key = format!("{prefix}.{}", tried.fetch_add(1, Ordering::Relaxed));
                let reply = env.caller(entry).submit(&key, &job).await;
                reply.is_ok_and(|reply| reply.is_whole(&job.ids))
            })
            .await;
        }
    }
}

fn check_starts(env: &Env, cases: &[Case]) {
    for case in cases {
        let starts = case.job.ids.iter().map(|id| env.ledger.starts(id)).collect::<Vec<_>>();
        let said = || format!("{} {:?}: {starts:?}, {:?}", case.key, case.job.ids, case.replies);
        assert!(case.is_repeatable() || starts.iter().all(|&count| count <= 1), "{}", said());
        let not_run = case.replies.iter().any(|reply| reply.execution() == "not-run");
        assert!(!not_run || starts.iter().all(|&count| count == 0), "{}", said());
        let whole = case.replies.iter().any(|reply| reply.status == 200);
        assert!(!whole || starts.iter().all(|&count| count > 0), "{}", said());
    }
}

fn run(seed: u64, lasts: Duration) {
    println!("seed {seed}, {lasts:?}");
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
        let troubles = scope.spawn(|| {
            let _stop = Stop(&stop);
            trouble(&env, faults, lasts, &history, &stop);
        });
        let _stop = Stop(&stop);
        let workers = (0..WORKERS).map(|worker| work(&env, random.fork(), worker, &stop));
        let cases = smol::block_on(join_all(workers)).into_iter().flatten().collect::<Vec<_>>();
        troubles.join().unwrap();
        cases
    });
    let calls = env.store.seen().total() - before.total();
    env.heal();
    smol::block_on(async {
        recovered(&env).await;
        for (round, some) in cases.chunks_mut(AGAIN).enumerate() {
            let env = &env;
            let again = some.iter_mut().enumerate().map(|(number, case)| async move {
                let caller = env.caller((round + number) % env.len());
                let reply = caller.submit(&case.key, &case.job).await.unwrap();
                case.take(env, reply);
            });
            join_all(again).await;
        }
    });
    wait_until("no task runs", LIMIT, || {
        env.targets.iter().all(|target| target.counts().running.load(Ordering::Relaxed) == 0)
    });
    check_starts(&env, &cases);
    let mut ends = BTreeMap::<String, usize>::new();
    for reply in cases.iter().filter_map(|case| case.replies.last()) {
        *ends.entry(format!("{} {}", reply.status, reply.execution())).or_default() += 1;
    }
    let troubles = history.0.lock().unwrap().len();
    println!("{troubles} rounds of trouble, {} jobs, {calls} calls to the store", cases.len());
    println!("{} starts of {} payloads; ends {ends:?}", env.ledger.total(), env.ledger.ids());
    let whole = cases.iter().filter(|case| case.replies.iter().any(|reply| reply.status == 200));
    assert!(whole.count() * 2 > cases.len(), "too few jobs were answered: {ends:?}");
}

#[test]
fn whatever_happens_nothing_starts_twice_and_no_answer_is_false() {
    let number = |name| env::var(name).ok().map(|text| text.parse::<u64>().unwrap());
    let minutes = number("GYPSUMKEEL_RANDOM_MINUTES").map(|minutes| minutes * 60);
    let lasts = minutes.map_or(SHORT, Duration::from_secs);
    run(number("GYPSUMKEEL_RANDOM_SEED").unwrap_or(SEED), lasts);
}
