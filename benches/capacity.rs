//! Measures how a VM's messages, processor time and memory grow with the number of VMs, targets, jobs,
//! configuration sections and job keys. `docs/CAPACITY.md` states the results.
//!
//! `cargo bench --bench capacity` prints a line for each run. `-- vms`, `-- targets`, `-- load`, `-- sections` or
//! `-- keys` selects one kind of run.

#[path = "../tests/testenv/mod.rs"]
mod testenv;

use std::env;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use smol::{Executor, Timer, future};
use testenv::{Env, Job, Setup, wait_until};

/// The duration of a measurement.
const MEASURE_TIME: Duration = Duration::from_secs(10);

/// How long to wait for a condition before the benchmark fails.
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

fn main() {
    let selected = env::args().skip(1).find(|word| !word.starts_with('-'));
    let kinds: [(&str, fn()); 5] = [
        ("vms", vms),
        ("targets", targets),
        ("load", load),
        ("sections", sections),
        ("keys", keys),
    ];
    for (name, run) in kinds {
        if selected.as_deref().is_none_or(|selected| selected == name) {
            run();
        }
    }
}

/// The VMs' settings: default heartbeats and times, with two threads.
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

/// The resources that a VM has used and the messages that it has sent since its start.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    processor_seconds: f64,
    resident_bytes: u64,
    control_bytes: f64,
    control_frames: f64,
    starts: f64,
    store_calls: f64,
}

fn measure(env: &Env, vm: usize) -> Usage {
    let status = smol::block_on(env.caller(vm).status()).unwrap().body;
    let number = |path: &str| status.pointer(path).and_then(Value::as_f64).unwrap_or_default();
    Usage {
        processor_seconds: env.vm(vm).processor_seconds(),
        resident_bytes: env.vm(vm).resident_bytes(),
        control_bytes: number("/links/control_bytes"),
        control_frames: number("/links/control_frames"),
        starts: number("/counts/first_starts") + number("/counts/further_starts"),
        store_calls: number("/store/reads") + number("/store/writes") + number("/store/watches"),
    }
}

/// Returns the mean usage of a VM per second between two measurements. `resident_bytes` is the mean of the second
/// measurement.
fn mean(before: &[Usage], after: &[Usage], seconds: f64) -> Usage {
    let vms = before.len() as f64;
    let pairs = before.iter().zip(after);
    let mean = |field: fn(&Usage) -> f64| {
        pairs.clone().map(|(before, after)| field(after) - field(before)).sum::<f64>()
            / vms
            / seconds
    };
    Usage {
        processor_seconds: mean(|usage| usage.processor_seconds),
        resident_bytes: after.iter().map(|usage| usage.resident_bytes).sum::<u64>() / vms as u64,
        control_bytes: mean(|usage| usage.control_bytes),
        control_frames: mean(|usage| usage.control_frames),
        starts: mean(|usage| usage.starts),
        store_calls: mean(|usage| usage.store_calls),
    }
}

fn measure_all(env: &Env) -> Vec<Usage> {
    (0..env.len()).map(|vm| measure(env, vm)).collect()
}

/// Runs `workload` and prints the VMs' mean usage during it.
fn report(name: &str, env: &Env, workload: impl FnOnce()) {
    let (before, started_at) = (measure_all(env), Instant::now());
    workload();
    let usage = mean(&before, &measure_all(env), started_at.elapsed().as_secs_f64());
    println!(
        "{name} vm_core_percent={:.2} resident_mib={:.1} control_sent_bytes_s={:.0} control_sent_frames_s={:.1} \
         starts_s={:.0} store_calls_min={:.1}",
        usage.processor_seconds * 100.0,
        usage.resident_bytes as f64 / f64::from(1 << 20),
        usage.control_bytes,
        usage.control_frames,
        usage.starts,
        usage.store_calls * 60.0,
    );
}

fn idle() {
    thread::sleep(MEASURE_TIME);
}

/// Idle VMs of one domain, each linked to all others.
fn vms() {
    for count in [2, 4, 8, 16] {
        let env = start(&["a"], count, 1);
        report(&format!("idle vms={count}"), &env, idle);
    }
}

/// Idle targets.
fn targets() {
    for count in [10, 50, 200, 800] {
        let env = start(&["a"], 1, 1);
        let entries = (0..count).map(|number| {
            let address = format!("127.1.{}.{}:9", number / 250, number % 250 + 1);
            json!({ "id": format!("idle-{number}"), "domain": "b", "address": address })
        });
        env.configure("targets/b", &json!(entries.collect::<Vec<_>>()));
        wait_until("the VM knows the targets", WAIT_TIMEOUT, || {
            let status = smol::block_on(env.caller(0).status()).unwrap().body;
            status["targets"].as_array().is_some_and(|targets| targets.len() > count)
        });
        report(&format!("idle targets={count}"), &env, idle);
    }
}

/// Jobs of ten tasks of 50 ms on 4 VMs. Half of the jobs are submitted to a VM that isn't their coordinator.
fn load() {
    for jobs_per_second in [1, 10, 100] {
        let env = start(&["a", "b"], 2, 16);
        report(&format!("load jobs_s={jobs_per_second} vms=4 tasks=10"), &env, || {
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
        let count = jobs_per_second * MEASURE_TIME.as_secs();
        let running = (0..count).map(|number| {
            let vm = number as usize % env.len();
            let entry = (vm + number as usize / env.len() % 2) % env.len();
            let key = format!("{}.load-{number}", prefixes[vm]);
            executor.spawn(async move {
                let delay = Duration::from_secs(number) / jobs_per_second as u32;
                Timer::after(delay).await;
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

/// Changes of one section among many, on 4 VMs. Measures the time until a change is in force on all VMs, and then
/// the cost of changes without status requests.
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
            let accepted_at = Instant::now();
            version += 1;
            wait_for_version(&env, version);
            times.push(accepted_at.elapsed().as_secs_f64() * 1000.0);
        }
        times.sort_by(f64::total_cmp);
        let (median, max) = (times[times.len() / 2], times[times.len() - 1]);
        println!("in-force sections={count} p50_ms={median:.0} max_ms={max:.0}");
        report(&format!("changes a_second=2 sections={count}"), &env, || {
            for change in 0..CHANGES {
                team(change % count, 100 + change);
                thread::sleep(MEASURE_TIME / CHANGES as u32);
            }
        });
    }
}

fn wait_for_version(env: &Env, version: u64) {
    wait_until("the change is in force", WAIT_TIMEOUT, || {
        (0..env.len()).all(|vm| {
            let status = smol::block_on(env.caller(vm).status()).unwrap().body;
            status["config"].as_u64() == Some(version)
        })
    });
}

/// Memory that the keys of completed jobs take, with an answer of 30 bytes each.
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
