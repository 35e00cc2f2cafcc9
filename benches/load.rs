//! Compares policies under the same seeded load, on VM processes and simulated targets.
//!
//! `cargo bench --bench load -- SCENARIO [--share 0.7] [--vms 2] [--seconds 30] [--seed 7]
//! [--prove-after 5s] [--policies lone,simplest,choices,split,grants]` prints a row of a table for each policy. There are
//! three domains of 17 targets with 8 slots and speeds from 1 to 4.

#[path = "../tests/testenv/mod.rs"]
mod testenv;

use std::fs;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use fastrand::Rng;
use gypsumkeel::clock::Millis;
use gypsumkeel::config::operator::{self, Edit};
use gypsumkeel::store::Consul;
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use smol::Timer;
use testenv::store::Store;
use testenv::{EXECUTOR, Fault, Job, Ledger, Place, Target, Vm, wait_until};

const DOMAINS: [&str; 3] = ["a", "b", "c"];
/// The number of targets of each domain.
const TARGETS: usize = 17;
/// The number of slots of each target.
const SLOTS: usize = 8;
/// The timeout of a change to the configuration.
const CONFIGURE_TIMEOUT: Millis = Millis(10_000);
/// The time of a round trip, which is part of a job's ideal time.
const ROUND_TRIP_MS: f64 = 1.0;
/// The mean run time of a task on a target with slowdown 1: log-uniform from 50 ms to 1 s.
const MEAN_MS: f64 = 950.0 / 2.995_732;
/// The mean number of tasks of a job, uniform from 1 to 8.
const MEAN_TASKS: f64 = 4.5;
/// Jobs that arrive in this first part of a run are left out of the quantiles, while the VMs learn the targets'
/// speeds.
const WARMUP: Duration = Duration::from_secs(5);

/// The parsed command line.
#[derive(Clone, Debug)]
struct Plan {
    scenario: String,
    share: f64,
    vms: usize,
    seconds: u64,
    seed: u64,
    policies: Vec<String>,
    prove_after: String,
}

/// A job of the load.
struct Arrival {
    /// The time since the start of the run at which the job is submitted.
    at: Duration,
    /// The index of the job's domain.
    domain: usize,
    /// The position of the job's entry VM in the domain's list, as a fraction of its length.
    entry: f64,
    /// The tasks' run times in milliseconds on a target with slowdown 1.
    sizes: Vec<u64>,
}

/// The results of a run.
#[derive(Debug)]
struct Tally {
    /// The time of each complete job as a multiple of its ideal time, in thousandths.
    ratio: Histogram<u64>,
    jobs: usize,
    complete: usize,
    /// The number of tasks of complete jobs.
    useful: usize,
    /// The number of failed jobs of which nothing was executed.
    not_run: usize,
    /// The number of other failed jobs.
    other: usize,
    /// The time since the start of the run at which the last failed job ended.
    last_failed: Duration,
}

/// The processes that run under one policy.
struct Cluster {
    store: Store,
    targets: Vec<Target>,
    vms: Vec<Vec<Vm>>,
}

fn main() {
    let plan = plan();
    let arrivals = arrivals(&plan);
    println!("plan={plan:?} jobs={}", arrivals.len());
    println!(
        "| policy | p50 | p99 | p99.9 | complete | not-run | failed | starts | full | spare | lost | \
         failed tasks | over | trials | probes | wasted | told/start | told/VM/s | control B/VM/s | starts per target |"
    );
    for policy in &plan.policies {
        let cluster = Cluster::start(&plan, policy);
        let tally = cluster.run(&plan, &arrivals);
        println!("{}", cluster.row(&plan, policy, &tally));
        cluster.store.close();
    }
}

fn plan() -> Plan {
    let mut plan = Plan {
        scenario: "steady".to_owned(),
        share: 0.7,
        vms: 2,
        seconds: 30,
        seed: 7,
        policies: ["lone", "simplest", "split", "grants"].map(str::to_owned).to_vec(),
        prove_after: "5s".to_owned(),
    };
    let mut arguments = std::env::args().skip(1).filter(|argument| argument != "--bench");
    while let Some(name) = arguments.next() {
        if !name.starts_with("--") {
            plan.scenario = name;
            continue;
        }
        let value = arguments.next().unwrap_or_else(|| panic!("give a value after {name}"));
        match name.as_str() {
            "--share" => plan.share = value.parse().unwrap(),
            "--vms" => plan.vms = value.parse().unwrap(),
            "--seconds" => plan.seconds = value.parse().unwrap(),
            "--seed" => plan.seed = value.parse().unwrap(),
            "--prove-after" => plan.prove_after = value,
            "--policies" => plan.policies = value.split(',').map(str::to_owned).collect(),
            _ => panic!("there is no option {name}; see the top of benches/load.rs"),
        }
    }
    plan
}

/// Returns the factor by which a target's tasks run longer, from 1 to 4.
fn slowdown(number: usize) -> f64 {
    1.0 + 3.0 * ((number * 7) % TARGETS) as f64 / (TARGETS - 1) as f64
}

/// Generates the jobs of a run, with Poisson arrivals.
fn arrivals(plan: &Plan) -> Vec<Arrival> {
    let mut random = Rng::with_seed(plan.seed);
    let capacity = (0..TARGETS).map(|number| SLOTS as f64 / slowdown(number)).sum::<f64>();
    let per_second = 3.0 * capacity * plan.share * 1000.0 / MEAN_MS / MEAN_TASKS;
    let burst = plan.scenario == "burst";
    let middle = plan.seconds as f64 / 3.0;
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    loop {
        let in_burst = burst && (middle..middle + 2.0).contains(&at);
        let rate = if in_burst { per_second * 10.0 } else { per_second };
        at -= (1.0 - random.f64()).ln() / rate;
        if at >= plan.seconds as f64 {
            return arrivals;
        }
        let sizes = (0..random.usize(1..=8)).map(|_| (50.0 * 20.0_f64.powf(random.f64())) as u64);
        let sizes = sizes.collect();
        let (domain, entry) = (random.usize(..3), random.f64());
        arrivals.push(Arrival { at: Duration::from_secs_f64(at), domain, entry, sizes });
    }
}

impl Cluster {
    fn start(plan: &Plan, policy: &str) -> Self {
        let store = Store::start();
        let ledger = Arc::<Ledger>::default();
        let targets = (0..DOMAINS.len() * TARGETS).map(|number| {
            let name = format!("{}{}", DOMAINS[number / TARGETS], number % TARGETS);
            let target = Target::start(&name, SLOTS, Arc::clone(&ledger));
            target.set(|mode| mode.slowdown = slowdown(number % TARGETS));
            target
        });
        let targets = targets.collect::<Vec<_>>();
        configure(&store, &targets, plan, policy);
        let directory =
            std::env::temp_dir().join(format!("gypsumkeel-load-{}", std::process::id()));
        fs::create_dir_all(&directory).unwrap();
        let count = if policy == "lone" { 1 } else { plan.vms };
        let vms = DOMAINS.map(|domain| {
            (0..count)
                .map(|number| start_vm(&directory, &store, plan, domain, number))
                .collect::<Vec<_>>()
        });
        let vms = vms.into_iter().collect::<Vec<_>>();
        let all = vms.iter().flatten().count();
        wait_until("the VMs know each other", Duration::from_secs(30), || {
            vms.iter().flatten().all(|vm| {
                let status = smol::block_on(vm.caller().status());
                status.is_ok_and(|status| {
                    let ready = smol::block_on(vm.caller().is_ready());
                    ready && status.body["peers"].as_array().is_some_and(|up| up.len() + 1 == all)
                })
            })
        });
        Self { store, targets, vms }
    }

    /// Submits the load and waits until every job has ended. The scenario's fault lasts for the second third.
    fn run(&self, plan: &Plan, arrivals: &[Arrival]) -> Tally {
        let tally = Arc::new(Mutex::new(Tally::new()));
        let prefixes = self.vms.iter().map(|domain| {
            let prefix = |vm: &Vm| smol::block_on(vm.caller().keys()).unwrap();
            domain.iter().map(prefix).collect::<Vec<_>>()
        });
        let prefixes = prefixes.collect::<Vec<_>>();
        let (start, third) = (Instant::now(), Duration::from_secs(plan.seconds) / 3);
        let (mut fault_started, mut fault_ended) = (false, false);
        let mut running = Vec::new();
        for (number, arrival) in arrivals.iter().enumerate() {
            if !fault_started && arrival.at >= third {
                fault_started = true;
                self.set_fault(&plan.scenario, true);
            }
            if !fault_ended && arrival.at >= third * 2 {
                fault_ended = true;
                self.set_fault(&plan.scenario, false);
            }
            std::thread::sleep((start + arrival.at).saturating_duration_since(Instant::now()));
            let domain = &self.vms[arrival.domain];
            let entry = (arrival.entry * domain.len() as f64) as usize;
            let caller = domain[entry].caller();
            let key = format!("{}.{number}", prefixes[arrival.domain][entry]);
            let (job, sizes) = (job(number, plan, arrival), arrival.sizes.clone());
            let tally = Arc::clone(&tally);
            running.push(EXECUTOR.spawn(async move {
                let submitted_at = Instant::now();
                let reply = caller.submit(&key, &job).await;
                let elapsed = submitted_at.elapsed();
                tally.lock().unwrap().add(&sizes, submitted_at - start, elapsed, &reply);
            }));
        }
        for job in running {
            smol::block_on(job);
        }
        Arc::into_inner(tally).unwrap().into_inner().unwrap()
    }

    /// Starts or ends the scenario's fault.
    fn set_fault(&self, scenario: &str, on: bool) {
        let fault = if on { Fault::Fail } else { Fault::None };
        let some = |count: usize| self.targets.iter().step_by(5).take(count);
        match scenario {
            "holes1" => some(1).for_each(|target| target.set(|mode| mode.fault = fault)),
            "holes3" => some(3).for_each(|target| target.set(|mode| mode.fault = fault)),
            "holes10" => some(10).for_each(|target| target.set(|mode| mode.fault = fault)),
            "slow" | "stragglers" => {
                let factor = if on { 10.0 } else { 0.1 };
                some(5).for_each(|target| target.set(|mode| mode.slowdown *= factor));
            }
            "domain-gone" => {
                for target in &self.targets[..TARGETS] {
                    if on { target.kill() } else { target.revive() }
                }
            }
            "kill-vm" if on => self.vms[0][0].kill(),
            "freeze-vm" if on => self.vms[0][0].freeze(),
            "freeze-vm" => self.vms[0][0].thaw(),
            _ => {}
        }
    }

    /// Formats the results as a row of the table.
    fn row(&self, plan: &Plan, policy: &str, tally: &Tally) -> String {
        let status = self.vms.iter().flatten().filter_map(|vm| {
            vm.ended().is_none().then(|| smol::block_on(vm.caller().status()).ok()).flatten()
        });
        let status = status.map(|reply| reply.body).collect::<Vec<_>>();
        let counts = status.iter().map(|body| body["counts"].clone()).collect::<Vec<_>>();
        let bytes = status.iter().filter_map(|body| body["links"]["control_bytes"].as_u64());
        let bytes = bytes.sum::<u64>() as f64;
        let sum = |name: &str| {
            counts.iter().map(|counts: &Value| counts[name].as_u64().unwrap_or(0)).sum::<u64>()
        };
        let starts = sum("first_starts") + sum("further_starts");
        let probes =
            self.targets.iter().map(|target| target.counts().probes.load(Ordering::Relaxed));
        let probes = probes.sum::<usize>() as u64;
        let wasted = (starts + probes).saturating_sub(tally.useful as u64);
        let percent = |count: u64| count as f64 * 100.0 / (starts + probes) as f64;
        let shares = self.targets.iter().map(|target| {
            target.counts().answered.load(Ordering::Relaxed) as f64 * 100.0 / starts as f64
        });
        let shares = shares.collect::<Vec<_>>();
        let fastest = shares.iter().copied().fold(0.0, f64::max);
        let slowest = shares.iter().copied().fold(100.0, f64::min);
        let slot_messages = sum("told") as f64;
        let quantile = |at: f64| tally.ratio.value_at_quantile(at) as f64 / 1000.0;
        format!(
            "| {policy} | {:.2} | {:.2} | {:.2} | {}/{} | {} | {} | {starts} | {:.3}% | {:.2}% | {} | {} \
             | {} | {} | {:.2}% | {:.2}% | {:.2} | {:.1} | {:.0} | {slowest:.2}% to {fastest:.2}% |",
            quantile(0.5),
            quantile(0.99),
            quantile(0.999),
            tally.complete,
            tally.jobs,
            tally.not_run,
            tally.other,
            percent(sum("full")),
            percent(sum("spare")),
            sum("lost"),
            sum("failed"),
            sum("over"),
            sum("trials"),
            percent(probes),
            percent(wasted),
            slot_messages / starts as f64,
            slot_messages / counts.len() as f64 / plan.seconds as f64,
            bytes / counts.len() as f64 / plan.seconds as f64,
        ) + &format!(" last failure at {:.1} s", tally.last_failed.as_secs_f64())
    }
}

impl Tally {
    fn new() -> Self {
        Self {
            ratio: Histogram::new(3).unwrap(),
            jobs: 0,
            complete: 0,
            useful: 0,
            not_run: 0,
            other: 0,
            last_failed: Duration::ZERO,
        }
    }

    /// Counts a job with tasks of `sizes` that was submitted `arrived_at` after the start of the run and took `elapsed`.
    fn add(
        &mut self,
        sizes: &[u64],
        arrived_at: Duration,
        elapsed: Duration,
        reply: &Result<testenv::Reply, gypsumkeel::http::Error>,
    ) {
        self.jobs += 1;
        let Some(reply) = reply.as_ref().ok().filter(|reply| reply.status == 200) else {
            let not_run = reply.as_ref().is_ok_and(|reply| reply.execution() == "not-run");
            self.not_run += usize::from(not_run);
            self.other += usize::from(!not_run);
            self.last_failed = self.last_failed.max(arrived_at + elapsed);
            return;
        };
        assert_eq!(reply.ids().len(), sizes.len(), "an answer lacks tasks");
        self.complete += 1;
        self.useful += sizes.len();
        let ideal = sizes.iter().copied().max().unwrap_or(0) as f64 + ROUND_TRIP_MS;
        let ratio = elapsed.as_secs_f64() * 1000.0 / ideal;
        if arrived_at >= WARMUP {
            self.ratio.record((ratio * 1000.0) as u64).unwrap();
        }
    }
}

fn job(number: usize, plan: &Plan, arrival: &Arrival) -> Job {
    let mut job = Job::new(&number.to_string(), arrival.sizes.len(), 0);
    for (index, &size) in arrival.sizes.iter().enumerate() {
        job.body["tasks"][index]["payload"]["ms"] = size.into();
        // Expected times are wrong by a factor of up to 10 in both directions.
        let error = [0.1, 0.3, 1.0, 3.0, 10.0][(number + index) % 5];
        job.body["tasks"][index]["expected_ms"] = ((size as f64 * error) as u64).max(1).into();
    }
    match plan.scenario.as_str() {
        "burst" => job.timeout(6_000),
        "stragglers" => job.repeatable(),
        _ => job,
    }
}

fn configure(store: &Store, targets: &[Target], plan: &Plan, policy: &str) {
    let entries = targets.iter().map(|target| {
        json!({ "id": target.name, "domain": &target.name[..1], "address": target.address, "slots": SLOTS })
    });
    let entries = json!(entries.collect::<Vec<_>>()).to_string();
    let hedge_share =
        if plan.scenario == "stragglers" && policy != "no-spare" { 0.05 } else { 0.0 };
    let services =
        format!("[{{ name: holds, timeout: 20s, run_max: 20s, spare_share: {hedge_share} }}]");
    let mode = match policy {
        "choices" | "simplest" => "choices",
        "split" => "split",
        _ => "grants",
    };
    let simplest =
        "queue: { order: arrival, choice: random }, ejection: { failures: 1000000000 }, ";
    let queue = if policy == "simplest" { simplest } else { "" };
    let limits = format!("{{ {queue}slots: {{ mode: {mode} }} }}");
    let client = Consul::new(store.address(), Millis(2000));
    let location = operator::Location { store: &client, prefix: "load" };
    for (section, text) in [("targets", &entries), ("services", &services), ("limits", &limits)] {
        let section = &section.parse().unwrap();
        let edit = Edit { section, base: 0, text: Some(text), who: "load", why: "measure" };
        smol::block_on(operator::apply(location, edit, CONFIGURE_TIMEOUT)).unwrap();
    }
}

fn start_vm(
    directory: &std::path::Path,
    store: &Store,
    plan: &Plan,
    domain: &str,
    number: usize,
) -> Vm {
    let name = format!("{domain}-{number}");
    let settings = json!({
        "vm": name, "domain": domain, "region": "r", "threads": 1,
        "listen": { "callers": "127.0.0.1:0", "peers": "127.0.0.1:0" },
        "store": { "url": store.url(), "prefix": "load" },
        "log": { "level": "warn" },
        "targets": { "prove_after": plan.prove_after },
    });
    let vm = Vm::start(directory, &Place { name, domain: domain.into(), settings });
    wait_until("the VM is ready", Duration::from_secs(10), || {
        smol::block_on(async {
            Timer::after(Duration::from_millis(5)).await;
            vm.caller().is_ready().await
        })
    });
    vm
}
