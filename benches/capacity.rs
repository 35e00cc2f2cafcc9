//! The slopes behind docs/CAPACITY.md: what a VM's state, messages, processor time and memory grow with.
//!
//! `cargo bench --bench capacity` prints a line for each run; `-- vms`, `-- targets`, `-- load`,
//! `-- sections` or `-- keys` makes one kind of run only.

#[path = "../tests/testenv/mod.rs"]
mod testenv;

use std::env;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use smol::{Executor, Timer, future};
use testenv::{Env, Job, Setup, wait_until};

/// How long a state is watched.
const WATCH: Duration = Duration::from_secs(10);

/// How long anything may take to come about.
const LIMIT: Duration = Duration::from_mins(1);

fn main() {
    let asked = env::args().skip(1).find(|word| !word.starts_with('-'));
    let kinds: [(&str, fn()); 5] = [
        ("vms", vms),
        ("targets", targets),
        ("load", load),
        ("sections", sections),
        ("keys", keys),
    ];
    for (name, run) in kinds {
        if asked.as_deref().is_none_or(|asked| asked == name) {
            run();
        }
    }
}

/// Heartbeats and times as they are by default.
fn settings() -> Value {
    json!({
        "heartbeat": { "every": "500ms", "patience": "2s" },
        "targets": { "prove_after": "5s" },
        "threads": 2,
        "log": { "level": "info" },
    })
}

fn start(domains: &'static [&'static str], vms: usize, targets: usize) -> Env {
    Env::start(&Setup { domains, vms, targets, settings: settings(), ..Setup::default() })
}

/// What a VM has used and sent so far.
#[derive(Clone, Copy, Debug, Default)]
struct Use {
    processor_seconds: f64,
    resident_bytes: u64,
    control_bytes: f64,
    control_frames: f64,
    starts: f64,
    store_calls: f64,
}

fn measure(env: &Env, vm: usize) -> Use {
    let status = smol::block_on(env.caller(vm).status()).unwrap().body;
    let number = |path: &str| status.pointer(path).and_then(Value::as_f64).unwrap_or_default();
    Use {
        processor_seconds: env.vm(vm).processor_seconds(),
        resident_bytes: env.vm(vm).resident_bytes(),
        control_bytes: number("/links/control_bytes"),
        control_frames: number("/links/control_frames"),
        starts: number("/counts/first_starts") + number("/counts/further_starts"),
        store_calls: number("/store/reads") + number("/store/writes") + number("/store/watches"),
    }
}

/// The mean over all VMs of what was used between two measurements, a second.
fn mean(before: &[Use], after: &[Use], seconds: f64) -> Use {
    let vms = before.len() as f64;
    let pairs = before.iter().zip(after);
    let sum = |part: fn(&Use) -> f64| {
        pairs.clone().map(|(before, after)| part(after) - part(before)).sum::<f64>() / vms / seconds
    };
    Use {
        processor_seconds: sum(|used| used.processor_seconds),
        resident_bytes: after.iter().map(|used| used.resident_bytes).sum::<u64>() / vms as u64,
        control_bytes: sum(|used| used.control_bytes),
        control_frames: sum(|used| used.control_frames),
        starts: sum(|used| used.starts),
        store_calls: sum(|used| used.store_calls),
    }
}

fn measure_all(env: &Env) -> Vec<Use> {
    (0..env.len()).map(|vm| measure(env, vm)).collect()
}

fn watch(name: &str, env: &Env, during: impl FnOnce()) {
    let (before, begun) = (measure_all(env), Instant::now());
    during();
    let used = mean(&before, &measure_all(env), begun.elapsed().as_secs_f64());
    println!(
        "{name} vm_core_percent={:.2} resident_mib={:.1} control_sent_bytes_s={:.0} control_sent_frames_s={:.1} \
         starts_s={:.0} store_calls_min={:.1}",
        used.processor_seconds * 100.0,
        used.resident_bytes as f64 / f64::from(1 << 20),
        used.control_bytes,
        used.control_frames,
        used.starts,
        used.store_calls * 60.0,
    );
}

fn idle() {
    thread::sleep(WATCH);
}

/// Idle VMs of one domain: each has a link to every other one.
fn vms() {
    for count in [2, 4, 8, 16] {
        let env = start(&["a"], count, 1);
        watch(&format!("idle vms={count}"), &env, idle);
    }
}

/// Targets that get no work.
fn targets() {
    for count in [10, 50, 200, 800] {
        let env = start(&["a"], 1, 1);
        let entries = (0..count).map(|number| {
            let address = format!("127.1.{}.{}:9", number / 250, number % 250 + 1);
            json!({ "id": format!("idle-{number}"), "domain": "b", "address": address })
        });
        env.configure("targets/b", &json!(entries.collect::<Vec<_>>()));
        wait_until("the targets", LIMIT, || {
            let status = smol::block_on(env.caller(0).status()).unwrap().body;
            status["targets"].as_array().is_some_and(|targets| targets.len() > count)
        });
        watch(&format!("idle targets={count}"), &env, idle);
    }
}

/// Jobs of ten tasks of 50 ms on 4 VMs, by entries that are not their coordinators half of the time.
fn load() {
    for jobs_per_second in [1, 10, 100] {
        let env = start(&["a", "b"], 2, 16);
        watch(&format!("load jobs_s={jobs_per_second} vms=4 tasks=10"), &env, || {
            submit(&env, jobs_per_second);
        });
    }
}

fn submit(env: &Env, jobs_per_second: u64) {
    let executor = Executor::new();
    smol::block_on(executor.run(async {
        let mut prefixes = Vec::new();
        for vm in 0..env.len() {
            prefixes.push(env.keys(vm).await);
        }
        let count = jobs_per_second * WATCH.as_secs();
        let running = (0..count).map(|number| {
            let vm = number as usize % env.len();
            let entry = (vm + number as usize / env.len() % 2) % env.len();
            let key = format!("{}.load-{number}", prefixes[vm]);
            executor.spawn(async move {
                let due = Duration::from_secs(number) / jobs_per_second as u32;
                Timer::after(due).await;
                let job = Job::new(&format!("load-{number}"), 10, 50);
                let reply = env.caller(entry).submit(&key, &job).await.unwrap();
                assert!(reply.is_whole(&job.ids), "{reply:?}");
            })
        });
        for job in running.collect::<Vec<_>>() {
            job.await;
        }
        future::ready(()).await;
    }));
}

/// Changes of one section among many, on 4 VMs: the time until each is in force everywhere, and what
/// changes cost when nobody asks how far they are.
fn sections() {
    const CHANGES: u64 = 20;
    for count in [10, 100, 520] {
        let env = start(&["a", "b"], 2, 1);
        let team = |number: u64, share: u64| {
            let section = format!("teams/{number}");
            env.configure(&section, &json!([{ "name": format!("team-{number}"), "share": share }]));
        };
        (0..count).for_each(|number| team(number, 1));
        let mut version = count + 3;
        wait_for_version(&env, version);
        let mut times = Vec::new();
        for change in 0..CHANGES {
            team(change % count, 2 + change);
            let accepted = Instant::now();
            version += 1;
            wait_for_version(&env, version);
            times.push(accepted.elapsed().as_secs_f64() * 1000.0);
        }
        times.sort_by(f64::total_cmp);
        let (middle, most) = (times[times.len() / 2], times[times.len() - 1]);
        println!("in-force sections={count} p50_ms={middle:.0} max_ms={most:.0}");
        watch(&format!("changes a_second=2 sections={count}"), &env, || {
            for change in 0..CHANGES {
                team(change % count, 100 + change);
                thread::sleep(WATCH / CHANGES as u32);
            }
        });
    }
}

fn wait_for_version(env: &Env, version: u64) {
    wait_until("the change is in force", LIMIT, || {
        (0..env.len()).all(|vm| {
            let status = smol::block_on(env.caller(vm).status()).unwrap().body;
            status["config"].as_u64() == Some(version)
        })
    });
}

/// Keys of ended jobs with an answer of 30 bytes each.
fn keys() {
    let env = start(&["a"], 1, 16);
    let prefix = smol::block_on(env.caller(0).keys()).unwrap();
    let mut held = 0;
    println!("keys=0 resident_mib={:.1}", env.vm(0).resident_bytes() as f64 / f64::from(1 << 20));
    for count in [10_000, 40_000, 100_000, 300_000] {
        let executor = Executor::new();
        smol::block_on(executor.run(async {
            let callers = (0..32).map(|caller| {
                let (env, prefix) = (&env, &prefix);
                executor.spawn(async move {
                    for number in (held..count).skip(caller).step_by(32) {
                        let job = Job::new(&format!("k{number}"), 1, 0);
                        let key = format!("{prefix}.order-{number:012}");
                        let reply = env.caller(0).submit(&key, &job).await.unwrap();
                        assert!(reply.is_whole(&job.ids), "{reply:?}");
                    }
                })
            });
            for caller in callers.collect::<Vec<_>>() {
                caller.await;
            }
        }));
        held = count;
        let resident = env.vm(0).resident_bytes() as f64 / f64::from(1 << 20);
        println!("keys={count} resident_mib={resident:.1}");
    }
}
