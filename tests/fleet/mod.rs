//! A fleet of real `gypsumkeel platform` processes at the size of a deployment, under load and faults.

mod callers;
mod faults;
mod options;
mod routes;
mod vm;

use std::collections::{BTreeSet, HashMap};
use std::fmt::Write as _;
use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::str::FromStr as _;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use gypsumkeel::clock::Millis;
use gypsumkeel::http::{Connection, Request};
use gypsumkeel::job::Incarnation;
use gypsumkeel::runtime;
use gypsumkeel::schedule::Fence;
use serde_json::json;

use crate::platform::Proxy;
use crate::platform::kv::Kv;
use crate::platform::worker::{Ledger, Worker};
use callers::Callers;
pub use options::Options;
use routes::Routes;
use vm::{Launch, Vm};

/// The host of all routes.
const HOST: &str = "desk.example";

/// A kind of job, with a queue of its own.
#[derive(Clone, Copy, Debug)]
struct Kind {
    name: &'static str,
    /// How many of 843 jobs are of this kind.
    share: f64,
    /// The mean number of tasks.
    tasks: f64,
    /// The mean duration of a task, in milliseconds.
    ms: f64,
    priority: u32,
}

/// The kinds of jobs.
const KINDS: [Kind; 3] = [
    Kind { name: "hold", share: 206.0, tasks: 8.0, ms: 60.0, priority: 0 },
    Kind { name: "quote", share: 37.5, tasks: 4.0, ms: 900.0, priority: 2 },
    Kind { name: "slip", share: 600.0, tasks: 2.0, ms: 200.0, priority: 1 },
];

/// The failure domains.
const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// How often a worker writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1500);

/// How often the quotas are enforced.
const QUOTA_CHECK: Duration = Duration::from_millis(2);

/// How often the platform checks whether a VM is ready.
const READY_CHECK: Duration = Duration::from_secs(1);

/// How long tasks may still run, and configurations are still checked, after the traffic and the faults have ended.
const SETTLE: Duration = Duration::from_secs(6);

/// The shares of a core that VMs have, of each 15 in a domain: 2 large ones, 3 medium ones and 10 small ones.
const SHARES: [f64; 15] =
    [0.5, 0.3, 0.09, 0.09, 0.09, 0.09, 0.5, 0.3, 0.09, 0.09, 0.09, 0.3, 0.09, 0.09, 0.09];

/// A running fleet.
pub struct Fleet {
    options: Options,
    store: Kv,
    proxies: Vec<Proxy>,
    workers: Vec<Worker>,
    ledger: Arc<Ledger>,
    vms: Vec<Vm>,
    callers: Callers,
    routes: Routes,
    /// The indices of the workers that drain.
    draining: Mutex<BTreeSet<usize>>,
    store_disturbed_at: Mutex<Option<Instant>>,
    is_over: AtomicBool,
    folder: PathBuf,
}

/// What a run showed.
#[derive(Debug)]
pub struct Summary {
    /// The broken rules.
    pub violations: Vec<String>,
    /// The number of jobs that were answered with success.
    pub done: u64,
}

/// The time of day, as the VMs' logs show it.
fn time() -> String {
    clock(SystemTime::now())
}

fn clock(at: SystemTime) -> String {
    let since = at.duration_since(SystemTime::UNIX_EPOCH).unwrap();
    let (seconds, ms) = (since.as_secs() % 86_400, since.subsec_millis());
    format!("{:02}:{:02}:{:02}.{ms:03}", seconds / 3600, seconds / 60 % 60, seconds % 60)
}

/// Runs a fleet once.
pub fn run(options: Options) -> Summary {
    eprintln!("{options:?}");
    let fleet = Arc::new(Fleet::new(options));
    let summary = thread::scope(|scope| {
        scope.spawn(|| fleet.enforce_quotas());
        scope.spawn(|| fleet.beat());
        scope.spawn(|| fleet.watch_readiness());
        scope.spawn(|| fleet.report_at_once());
        fleet.play();
        fleet.is_over.store(true, Ordering::Relaxed);
        fleet.summary()
    });
    for vm in &fleet.vms {
        vm.kill();
    }
    if summary.violations.is_empty() && fleet.options.folder.is_none() {
        drop(fs::remove_dir_all(&fleet.folder));
    } else {
        eprintln!("the logs are in {}", fleet.folder.display());
    }
    summary
}

impl Fleet {
    fn new(options: Options) -> Self {
        let folder = options.folder.clone().unwrap_or_else(|| {
            std::env::temp_dir().join(format!("gypsumkeel-fleet-{:016x}", fastrand::u64(..)))
        });
        fs::create_dir_all(&folder).unwrap();
        let ledger = Arc::<Ledger>::default();
        *ledger.history.lock().unwrap() = Some(HashMap::new());
        let domain = |index: usize| DOMAINS[index % DOMAINS.len()];
        let workers = (0..options.workers)
            .map(|index| Worker::start(&format!("w-{index}"), domain(index), &ledger))
            .collect();
        let store = Kv::start();
        runtime::start(2).expect("threads");
        let proxies = (0..options.vms).map(|_| Proxy::start(Some(store.address)));
        let proxies = proxies.collect::<Vec<_>>();
        let net = [fastrand::u8(1..250), fastrand::u8(..)];
        let addresses = proxies.iter().map(|proxy| proxy.address).collect::<Vec<_>>();
        let vms = (0..options.vms).map(|index| new_vm(&options, net, index, &addresses, &folder));
        let vms = vms.collect();
        Self {
            store,
            proxies,
            workers,
            ledger,
            vms,
            callers: Callers::default(),
            routes: Routes::default(),
            draining: Mutex::default(),
            store_disturbed_at: Mutex::default(),
            is_over: AtomicBool::new(false),
            folder,
            options,
        }
    }

    fn play(self: &Arc<Self>) {
        (0..self.workers.len()).for_each(|index| self.announce(index));
        routes::change(self, false);
        for vm in &self.vms {
            vm.start();
            thread::sleep(Duration::from_millis(300) / self.vms.len() as u32);
        }
        thread::sleep(self.options.lead);
        eprintln!("TRAFFIC {}", time());
        self.callers.load.store(100, Ordering::Relaxed);
        let end = Instant::now() + self.options.length;
        thread::scope(|scope| {
            scope.spawn(|| callers::run(self, end));
            scope.spawn(|| faults::run(self, end));
        });
        thread::sleep(SETTLE);
    }

    /// The indices of the VMs of a domain.
    fn vms_of(&self, domain: usize) -> Vec<usize> {
        (0..self.vms.len()).filter(|&vm| self.vms[vm].domain == domain).collect()
    }

    /// The VM that a caller's connection gets: `vm` if it is in rotation, or else another one of the domain that is.
    fn in_rotation(&self, vm: usize, domain: usize) -> usize {
        if self.vms[vm].is_in_rotation() {
            return vm;
        }
        let others = self.vms_of(domain).into_iter();
        let others = others.filter(|&vm| self.vms[vm].is_in_rotation()).collect::<Vec<_>>();
        if others.is_empty() { vm } else { others[vm % others.len()] }
    }

    /// Writes a worker's entry into the store.
    fn announce(&self, index: usize) {
        let is_draining = self.draining.lock().unwrap().contains(&index);
        let worker = &self.workers[index];
        let entry = worker.entry(if is_draining { "draining" } else { "ready" });
        self.store.put(&format!("servers/{}", worker.id), &entry);
    }

    /// Records that the store is being disturbed.
    fn disturb_store(&self) {
        *self.store_disturbed_at.lock().unwrap() = Some(Instant::now());
    }

    /// Whether the store has not been disturbed for `window`.
    fn store_is_calm(&self, window: Duration) -> bool {
        self.store_disturbed_at.lock().unwrap().is_none_or(|at| at.elapsed() > window)
    }

    fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }

    fn enforce_quotas(&self) {
        while !self.is_over() {
            self.vms.iter().for_each(Vm::enforce_quota);
            thread::sleep(QUOTA_CHECK);
        }
    }

    /// Writes the workers' entries as their heartbeats.
    fn beat(&self) {
        let pause = HEARTBEAT / self.workers.len() as u32;
        while !self.is_over() {
            for index in 0..self.workers.len() {
                self.announce(index);
                thread::sleep(pause);
            }
        }
    }

    /// Takes VMs out of rotation after two failed checks, and back after one that succeeds.
    fn watch_readiness(&self) {
        let mut misses = vec![0; self.vms.len()];
        while !self.is_over() {
            let start = Instant::now();
            let checks = self.vms.iter().map(|vm| runtime::spawn(is_ready(vm.ip)));
            let checks = checks.collect::<Vec<_>>();
            for (index, check) in checks.into_iter().enumerate() {
                misses[index] = if smol::block_on(check) { 0 } else { misses[index] + 1 };
                let in_rotation = misses[index] < 2;
                self.vms[index].in_rotation.store(in_rotation, Ordering::Relaxed);
            }
            thread::sleep(READY_CHECK.saturating_sub(start.elapsed()));
        }
    }

    /// Prints each violation that the workers saw as soon as it is there.
    fn report_at_once(&self) {
        let mut printed = 0;
        while !self.is_over() {
            thread::sleep(Duration::from_millis(50));
            let violations = self.ledger.violations.lock().unwrap();
            for violation in &violations[printed..] {
                eprintln!("TWICE {} {violation}", time());
            }
            printed = violations.len();
        }
    }

    fn summary(&self) -> Summary {
        let mut violations = self.ledger.violations.lock().unwrap().clone();
        self.write_histories(&violations);
        violations.extend(self.routes.violations.lock().unwrap().iter().cloned());
        let failed = self.vms.iter().filter(|vm| vm.has_failed());
        violations.extend(failed.map(|vm| format!("END {} ended by itself", vm.name)));
        let seen = self.callers.seen.lock().unwrap().clone();
        let starts = *self.ledger.starts.lock().unwrap();
        let interrupted = *self.ledger.interrupted.lock().unwrap();
        let checks = *self.routes.checks.lock().unwrap();
        eprintln!("callers {seen:?}; starts {starts}, interrupted {interrupted}; checks {checks}");
        let usage = self.vms.iter().map(|vm| (vm, vm.usage()));
        let text = usage.fold(String::new(), |mut text, (vm, used)| {
            let (ran, waited, windows, throttled) = used;
            let _ = write!(
                text,
                " {}/{}: {ran:.1} s, {throttled}/{windows}, queued {waited:.1} s;",
                vm.name, vm.share
            );
            text
        });
        eprintln!("used, windows throttled, time queued for a processor:{text}");
        eprintln!("load {}", fs::read_to_string("/proc/loadavg").unwrap().trim());
        let done = seen.get("200").copied().unwrap_or(0);
        Summary { violations, done }
    }

    /// Writes what happened to the tasks that ran twice, with the VMs that gave the orders.
    fn write_histories(&self, violations: &[String]) {
        let names = self.processes();
        let histories = self.ledger.history.lock().unwrap();
        let sent = self.callers.sent.lock().unwrap();
        let mut text = String::new();
        let tasks = violations.iter().filter_map(|violation| violation.split(' ').next());
        for task in tasks.collect::<BTreeSet<_>>() {
            let job = task.split('.').next().unwrap_or(task);
            let _ = writeln!(text, "{task}");
            for line in sent.get(job).into_iter().flatten() {
                let _ = writeln!(text, "    {line}");
            }
            for note in histories.as_ref().and_then(|all| all.get(task)).into_iter().flatten() {
                let process = note.fence & Fence::new(u128::MAX).process;
                let vm = names.get(&process).map_or("-", String::as_str);
                let at = clock(note.at);
                let (worker, number, what) = (&note.worker, note.number, note.what);
                let _ = writeln!(text, "    {at} {what} run {number} on {worker} by {vm}");
            }
        }
        fs::write(self.folder.join("twice.txt"), text).unwrap();
    }

    /// The VMs by the process part of their fencing tokens.
    fn processes(&self) -> HashMap<u64, String> {
        let mut names = HashMap::new();
        for vm in &self.vms {
            let log = fs::read_to_string(self.folder.join(format!("{}.log", vm.name)));
            for line in log.unwrap_or_default().lines().filter(|l| l.contains("event=started")) {
                let id = line.split("incarnation=").nth(1).and_then(|id| id.split(' ').next());
                if let Some(Ok(id)) = id.map(|id| Incarnation::from_str(id.trim_matches('"'))) {
                    names.insert(Fence::new(id.0).process, vm.name.clone());
                }
            }
        }
        names
    }
}

async fn is_ready(ip: IpAddr) -> bool {
    let address = SocketAddr::new(ip, 8167);
    let Ok(mut connection) = Connection::open(address, Millis(1000)).await else { return false };
    let response = connection.send(&Request::get("/api/readyz", Millis(1000))).await;
    response.is_ok_and(|response| response.status == 200)
}

fn new_vm(
    options: &Options,
    net: [u8; 2],
    index: usize,
    stores: &[SocketAddr],
    folder: &Path,
) -> Vm {
    let ip = |index: usize| IpAddr::V4(Ipv4Addr::new(127, net[0], net[1], index as u8 + 1));
    let at = |port| SocketAddr::new(ip(index), port);
    let domain = index % DOMAINS.len();
    let share = SHARES[index / DOMAINS.len() % SHARES.len()];
    let name = format!("edge-{}-{index}", DOMAINS[domain]);
    let (memory, link) =
        if share < 0.1 { (120, 19.0) } else { (400, 62.0 + 270.0 * (share - 0.3)) };
    let zones = DOMAINS.map(|domain| (domain, "south")).into_iter().collect::<HashMap<_, _>>();
    let seeds = (0..3.min(options.vms)).map(|index| SocketAddr::new(ip(index), 8166));
    let settings = json!({
        "node": name, "role": "edge", "class": "edge", "serves": ["edge", "control"],
        "ip": ip(index), "zone": DOMAINS[domain], "region": "south", "zones": zones,
        "listen": { "front": at(8161), "ready": at(8167), "control": at(8166) },
        "portRange": [7720, 7735], "seeds": seeds.collect::<Vec<_>>(),
        "limits": { "cpuShare": share, "cores": 1, "memoryMb": memory, "linkMbps": link },
        "bounds": { "holdMaxMs": 1000, "farX": 2, "graceS": 6, "stableWindowMs": 4000 },
        "orders": "call",
        "platform": { "addr": stores[index], "form": "kv", "writesPerS": 1200 },
    });
    let file = folder.join(format!("{name}.json"));
    fs::write(&file, settings.to_string()).unwrap();
    let launch = Launch {
        program: options.program.clone(),
        settings: file,
        log: folder.join(format!("{name}.log")),
        level: options.log.clone(),
    };
    Vm::new(name, domain, ip(index), share * options.quota, launch)
}
