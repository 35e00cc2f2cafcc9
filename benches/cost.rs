//! Measures the overhead of dispatch: the same tasks are sent directly to the targets and through one VM.
//!
//! `cargo bench --bench cost` prints a line for each run. Tasks take no time at the targets, so that the times are
//! those of the path alone.

#[path = "../tests/testenv/mod.rs"]
mod testenv;

use std::fs;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use gypsumkeel::clock::Millis;
use gypsumkeel::config::operator::{self, Edit};
use gypsumkeel::http::{self, Connection};
use gypsumkeel::store::Consul;
use hdrhistogram::Histogram;
use http_types::Method;
use serde_json::json;
use smol::{Executor, future};
use testenv::store::Store;
use testenv::{Ledger, Place, Target, Vm, wait_until};

/// The number of targets.
const TARGETS: usize = 20;

/// The number of slots of each target.
const SLOTS: usize = 8;

/// The duration of a run.
const RUN_TIME: Duration = Duration::from_secs(4);

/// The number of threads of the load generator.
const LOAD_THREADS: usize = 3;

/// The timeout of one request.
const REQUEST_TIMEOUT: Millis = Millis(10_000);

/// The result of one run, with latencies in microseconds.
struct Outcome {
    latency: Histogram<u64>,
    tasks: u64,
    seconds: f64,
}

impl Outcome {
    /// Formats the result as one line. `cores` is the mean number of cores that the VM used, if there is one.
    fn line(&self, name: &str, cores: Option<f64>) -> String {
        let [p50, p99] = [0.5, 0.99].map(|at| self.latency.value_at_quantile(at) as f64 / 1000.0);
        let rate = self.tasks as f64 / self.seconds;
        let cores = cores.map_or_else(String::new, |cores| {
            format!(" vm_cores={cores:.2} starts_per_core_s={:.0}", rate / cores)
        });
        format!("{name} p50_ms={p50:.3} p99_ms={p99:.3} starts_per_s={rate:.0}{cores}")
    }
}

fn main() {
    let ledger = Arc::<Ledger>::default();
    let targets =
        (0..TARGETS).map(|number| Target::start(&format!("t{number}"), SLOTS, Arc::clone(&ledger)));
    let targets = targets.collect::<Vec<_>>();
    for callers in [1, 8, 64] {
        println!(
            "{}",
            direct(&targets, callers).line(&format!("straight callers={callers}"), None)
        );
    }
    for threads in [1, 2, 4] {
        let store = Store::start();
        configure(&store, &targets);
        let vm = start_vm(&store, threads);
        for (callers, tasks) in [(1, 1), (8, 1), (64, 1), (64, 20)] {
            let before = vm.processor_seconds();
            let outcome = dispatched(&vm, callers, tasks);
            let cores = (vm.processor_seconds() - before) / outcome.seconds;
            let name = format!("through threads={threads} callers={callers} tasks={tasks}");
            println!("{}", outcome.line(&name, Some(cores)));
        }
        drop(vm);
        store.close();
    }
}

fn configure(store: &Store, targets: &[Target]) {
    let entries = targets.iter().enumerate().map(|(number, target)| {
        json!({ "id": format!("t{number}"), "domain": "a", "address": target.address, "slots": SLOTS })
    });
    let entries = json!(entries.collect::<Vec<_>>()).to_string();
    let client = Consul::new(store.address(), Millis(2000));
    let location = operator::Location { store: &client, prefix: "bench" };
    for (section, text) in [("targets", entries.as_str()), ("services", "[{ name: holds }]")] {
        let section = &section.parse().unwrap();
        let edit = Edit { section, base: 0, text: Some(text), who: "bench", why: "measure" };
        smol::block_on(operator::apply(location, edit, REQUEST_TIMEOUT)).unwrap();
    }
}

fn start_vm(store: &Store, threads: usize) -> Vm {
    let directory = std::env::temp_dir().join(format!("gypsumkeel-cost-{}", std::process::id()));
    fs::create_dir_all(&directory).unwrap();
    let settings = json!({
        "vm": "cost", "domain": "a", "region": "r", "threads": threads,
        "listen": { "callers": "127.0.0.1:0", "peers": "127.0.0.1:0" },
        "store": { "url": store.url(), "prefix": "bench" },
    });
    let vm = Vm::start(&directory, &Place { name: "cost".into(), domain: "a".into(), settings });
    wait_until("the VM is ready", Duration::from_secs(10), || {
        smol::block_on(vm.caller().is_ready())
    });
    vm
}

/// A request: its path, the header with its id or key, and its body.
struct Request {
    path: &'static str,
    header: (&'static str, String),
    body: String,
}

/// Sends tasks directly to the targets, with one connection for each caller.
fn direct(targets: &[Target], callers: usize) -> Outcome {
    let addresses = targets.iter().map(|target| target.address).collect::<Vec<_>>();
    let request = |caller: usize, number: u64| {
        let id = format!("s{caller}.{number}");
        let body = format!(r#"{{"id":"{id}","ms":0}}"#);
        Request { path: "/v1/tasks", header: ("Task-Id", id), body }
    };
    run(callers, 1, &addresses, request)
}

/// Sends jobs of `tasks` tasks to the VM, with one connection for each caller.
fn dispatched(vm: &Vm, callers: usize, tasks: usize) -> Outcome {
    let prefix = smol::block_on(vm.caller().keys()).unwrap();
    let request = move |caller: usize, number: u64| {
        let payloads = (0..tasks)
            .map(|task| format!(r#"{{"payload":{{"id":"{caller}.{number}.{task}","ms":0}}}}"#));
        let payloads = payloads.collect::<Vec<_>>().join(",");
        let body = format!(r#"{{"service":"holds","tasks":[{payloads}]}}"#);
        let key = format!("{prefix}.{callers}.{tasks}.{caller}.{number}");
        Request { path: "/v1/jobs", header: ("Idempotency-Key", key), body }
    };
    run(callers, tasks, &[vm.callers], request)
}

/// Runs `callers` callers for [`RUN_TIME`]. Each sends one request after another, and each request counts as
/// `tasks` tasks.
fn run<F>(callers: usize, tasks: usize, addresses: &[SocketAddr], request: F) -> Outcome
where
    F: Clone + Fn(usize, u64) -> Request + Send + 'static,
{
    let executor = Arc::new(Executor::new());
    let (done, stop) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicBool::new(false)));
    let running = (0..callers).map(|number| {
        let (done, stop) = (Arc::clone(&done), Arc::clone(&stop));
        let (address, request) = (addresses[number % addresses.len()], request.clone());
        executor.spawn(async move {
            let mut connection = Connection::open(address, REQUEST_TIMEOUT).await.unwrap();
            let mut latency = Histogram::<u64>::new(3).unwrap();
            for sequence in 0.. {
                if stop.load(Ordering::Relaxed) {
                    break;
                }
                let start = Instant::now();
                send(&mut connection, &request(number, sequence)).await;
                latency.record(start.elapsed().as_micros() as u64).unwrap();
                done.fetch_add(tasks as u64, Ordering::Relaxed);
            }
            latency
        })
    });
    let running = running.collect::<Vec<_>>();
    for _ in 0..LOAD_THREADS {
        let executor = Arc::clone(&executor);
        thread::spawn(move || smol::block_on(executor.run(future::pending::<()>())));
    }
    let start = Instant::now();
    thread::sleep(RUN_TIME);
    stop.store(true, Ordering::Relaxed);
    let (tasks, seconds) = (done.load(Ordering::Relaxed), start.elapsed().as_secs_f64());
    let mut latency = Histogram::new(3).unwrap();
    for caller in running {
        latency.add(smol::block_on(caller)).unwrap();
    }
    Outcome { latency, tasks, seconds }
}

async fn send(connection: &mut Connection, request: &Request) {
    let (name, value) = (request.header.0, request.header.1.as_str());
    let headers = [(name, value), ("Service", "holds")];
    let request = http::Request {
        method: Method::Post,
        path: request.path,
        headers: &headers,
        body: request.body.as_bytes(),
        timeout: REQUEST_TIMEOUT,
    };
    let response = connection.send(&request).await.unwrap();
    assert_eq!(response.status, 200, "{}", String::from_utf8_lossy(&response.body));
}
