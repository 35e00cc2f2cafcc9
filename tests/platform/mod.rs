//! A fake of the users' platform, with real `gypsumkeel platform` processes.

#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod kv;
#[path = "../testenv/mod.rs"]
mod testenv;
pub mod worker;

use std::fs;
use std::io::{BufRead as _, BufReader, Write as _};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU16, Ordering};
use std::sync::{Arc, LazyLock, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use gypsumkeel::clock::Millis;
use gypsumkeel::http::server::{self, Handler};
use gypsumkeel::http::{Connection, Request};
use gypsumkeel::runtime;
use http_types::Method;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use smol::net::TcpListener;
use socket2::SockRef;

use kv::Kv;
#[allow(unused_imports, reason = "each test file uses a part of it")]
pub use testenv::{Proxy, Way};
use worker::{Ledger, Worker};

/// The longest time that a test waits for a condition.
pub const LIMIT: Duration = Duration::from_secs(20);

/// The host of the queue's route.
const HOST: &str = "desk.example";

/// The path prefix of the queue's route.
const PREFIX: &str = "/holds/";

static THREADS: LazyLock<()> = LazyLock::new(|| runtime::start(2).expect("threads"));

/// Serves a fake service on a free port.
pub fn serve(handler: Arc<dyn Handler>) -> SocketAddr {
    LazyLock::force(&THREADS);
    let listener = smol::block_on(TcpListener::bind("127.0.0.1:0")).expect("bind a fake service");
    let address = listener.local_addr().expect("an address");
    let rules = server::Rules { connections_max: 1000, head_timeout: Millis(600_000) };
    runtime::spawn(server::serve(listener, rules, Arc::default(), handler)).detach();
    address
}

/// The middle bytes of loopback addresses that no other environment of the process uses.
fn free_net() -> [u8; 2] {
    static NEXT: LazyLock<AtomicU16> = LazyLock::new(|| AtomicU16::new(fastrand::u16(..)));
    let [second, third] = NEXT.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    // 127.0.x.y belongs to other programs.
    [second.clamp(1, 249), third]
}

/// Waits until a condition holds. Panics after [`LIMIT`].
#[track_caller]
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < LIMIT, "not within {LIMIT:?}: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// The value of one metric on a metrics page.
#[track_caller]
pub fn metric_in(page: &str, name: &str) -> u64 {
    let mut lines = page.lines().filter_map(|line| line.split_once(' '));
    let value = lines.find(|(known, _)| *known == name).map(|(_, value)| value.parse());
    value.expect("the metric is there").expect("it is a number")
}

/// A `gypsumkeel platform` process.
#[derive(Debug)]
pub struct Vm {
    pub ip: IpAddr,
    child: Mutex<Child>,
    pub log: Arc<Mutex<Vec<String>>>,
    /// While true, the process's log is not read.
    pub is_unread: Arc<AtomicBool>,
}

/// A store, and the workers and VMs of two failure domains.
pub struct Env {
    pub store: Kv,
    pub workers: Vec<Worker>,
    pub ledger: Arc<Ledger>,
    pub vms: Vec<Vm>,
    /// The proxies between each VM and the store.
    pub store_proxies: Vec<Proxy>,
    /// The failure domain of each VM.
    domains: Vec<String>,
    directory: PathBuf,
    /// Further arguments of the VMs' command line.
    arguments: &'static [&'static str],
    /// The limits in the VMs' settings; null for none.
    limits: Value,
    /// The middle bytes of the loopback addresses, which differ from those of other environments.
    net: [u8; 2],
}

/// The response that a caller got.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reply {
    pub status: u16,
    pub state: String,
    /// Whether there is a `Retry-After` header.
    pub retry_after: bool,
}

impl Env {
    /// Starts `vms` VMs and `workers` workers in each of two domains, and waits until all workers are owned.
    pub fn start(vms: usize, workers: usize) -> Self {
        Self::start_with(vms, workers, &[])
    }

    /// As [`Env::start`], with further arguments on the VMs' command line.
    pub fn start_with(vms: usize, workers: usize, arguments: &'static [&'static str]) -> Self {
        Self::start_limited(vms, workers, arguments, Value::Null)
    }

    /// As [`Env::start_with`], with the `limits` of the VMs' settings.
    pub fn start_limited(
        vms: usize,
        workers: usize,
        arguments: &'static [&'static str],
        limits: Value,
    ) -> Self {
        let ledger = Arc::<Ledger>::default();
        let store = Kv::start();
        let domains = ["a", "b"];
        let mut all = Vec::new();
        for domain in domains {
            for index in 0..workers {
                let worker = Worker::start(&format!("w-{domain}-{index}"), domain, &ledger);
                store.put(&format!("servers/{}", worker.id), &worker.entry("ready"));
                all.push(worker);
            }
        }
        let directory = std::env::temp_dir().join(format!("gypsumkeel-{:016x}", fastrand::u64(..)));
        fs::create_dir(&directory).unwrap();
        let mut env = Self {
            store,
            workers: all,
            ledger,
            vms: Vec::new(),
            store_proxies: Vec::new(),
            domains: domains.iter().flat_map(|d| vec![(*d).to_owned(); vms]).collect(),
            directory,
            arguments,
            limits,
            net: free_net(),
        };
        env.configure(1, PREFIX);
        for index in 0..env.domains.len() {
            env.store_proxies.push(Proxy::start(Some(env.store.address)));
            let vm = env.launch(index);
            env.vms.push(vm);
        }
        for index in 0..env.vms.len() {
            wait_until("a VM is ready", || env.is_ready(index));
        }
        // It isn't enough that each worker has seen a token, since its response may have come too late.
        wait_until("all workers are owned", || {
            let owned = (0..env.vms.len()).map(|vm| env.metric(vm, "targets.owned"));
            owned.sum::<u64>() == env.workers.len() as u64
        });
        env
    }

    /// Stores a configuration whose only queue is under `prefix`.
    pub fn configure(&self, version: u64, prefix: &str) {
        self.configure_routes(version, &[prefix]);
    }

    /// Stores a configuration with a queue under each prefix.
    pub fn configure_routes(&self, version: u64, prefixes: &[impl AsRef<str>]) {
        let route = |prefix: &str| {
            json!({ "name": format!("holds{prefix}"), "host": HOST, "prefix": prefix, "kind": "unsafe",
                "timeoutMs": 5000, "sloMs": 500, "priority": 0, "service": "desk", "attempts": 3,
                "stretch": 2.0 })
        };
        let routes = prefixes.iter().map(|prefix| route(prefix.as_ref())).collect::<Vec<_>>();
        self.store.put(
            "op/config",
            &json!({
                "version": version,
                "routes": routes,
                "services": [{ "name": "desk", "healthPath": "/healthz", "maxConns": 64,
                    "protocol": "h1", "tls": false, "rejectsOverload": false, "spare": false }],
                "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 262_144,
                    "headerTimeoutMs": 3000, "idleTimeoutMs": 15_000 },
            }),
        );
    }

    fn ip(&self, index: usize) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.net[0], self.net[1], index as u8 + 1))
    }

    /// The settings file of a VM.
    pub fn settings(&self, index: usize) -> Value {
        let ip = self.ip(index);
        let at = |port| SocketAddr::new(ip, port);
        let mut settings = json!({
            "node": format!("edge-{}-{index}", self.domains[index]), "role": "edge", "class": "edge",
            "serves": ["edge", "control"], "ip": ip, "zone": self.domains[index], "region": "south",
            "zones": { "a": "south", "b": "south" },
            "listen": { "front": at(8161), "ready": at(8167), "control": at(8166) },
            "portRange": [7720, 7735],
            "seeds": [SocketAddr::new(self.ip(0), 8166)],
            "bounds": { "holdMaxMs": 1000, "farX": 2, "graceS": 6, "unknown": true },
            "orders": "call",
            "platform": { "addr": self.store_proxies[index].address, "form": "kv", "writesPerS": 400 },
        });
        if !self.limits.is_null() {
            settings["limits"] = self.limits.clone();
        }
        settings
    }

    /// Adds a VM at a new address, waits until it is ready and returns its index.
    pub fn add(&mut self, domain: &str) -> usize {
        let index = self.domains.len();
        self.domains.push(domain.to_owned());
        self.store_proxies.push(Proxy::start(Some(self.store.address)));
        let vm = self.launch(index);
        self.vms.push(vm);
        wait_until("the new VM is ready", || self.is_ready(index));
        index
    }

    /// Replaces the settings file of a VM as a whole.
    pub fn write_settings(&self, index: usize, text: &str) {
        let file = self.settings_file(index);
        let new = file.with_extension("new");
        fs::write(&new, text).unwrap();
        fs::rename(&new, &file).unwrap();
    }

    fn settings_file(&self, index: usize) -> PathBuf {
        self.directory.join(format!("{index}.json"))
    }

    /// Starts the process of a VM.
    pub fn launch(&self, index: usize) -> Vm {
        let file = self.settings_file(index);
        fs::write(&file, self.settings(index).to_string()).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_gypsumkeel"))
            .arg("platform")
            .args(self.arguments)
            .env("GYPSUMKEEL_SETTINGS", &file)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::inherit())
            .spawn()
            .unwrap();
        let log = Arc::<Mutex<Vec<String>>>::default();
        let is_unread = Arc::<AtomicBool>::default();
        let (output, lines) = (child.stdout.take().unwrap(), Arc::clone(&log));
        let is_paused = Arc::clone(&is_unread);
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                while is_paused.load(Ordering::Relaxed) {
                    thread::sleep(Duration::from_millis(20));
                }
                lines.lock().unwrap().push(line);
            }
        });
        Vm { ip: self.ip(index), child: Mutex::new(child), log, is_unread }
    }

    /// Sends a request to a VM. Returns the status, the body and whether there is a `Retry-After` header.
    fn send(&self, index: usize, port: u16, request: &Request<'_>) -> Option<(u16, String, bool)> {
        smol::block_on(async {
            let address = SocketAddr::new(self.ip(index), port);
            let mut connection = Connection::open(address, Millis(2000)).await.ok()?;
            let response = connection.send(request).await.ok()?;
            let body = String::from_utf8_lossy(&response.body).into_owned();
            Some((response.status, body, response.header("Retry-After").is_some()))
        })
    }

    /// Whether a VM's readiness check succeeds.
    pub fn is_ready(&self, index: usize) -> bool {
        let request = Request::get("/api/readyz", Millis(1000));
        self.send(index, 8167, &request).is_some_and(|(status, ..)| status == 200)
    }

    /// The status of a VM.
    pub fn status(&self, index: usize) -> Value {
        let request = Request::get("/v1/status", Millis(1000));
        let body = self.send(index, 9100, &request).expect("a status").1;
        serde_json::from_str(&body).expect("a status in JSON")
    }

    /// The metrics page of a VM. Reading it resets the VM's timers.
    pub fn metrics(&self, index: usize) -> String {
        let request = Request::get("/metrics", Millis(1000));
        self.send(index, 9100, &request).expect("metrics").1
    }

    /// The value of one metric of a VM. Reading it resets the VM's timers.
    pub fn metric(&self, index: usize, name: &str) -> u64 {
        metric_in(&self.metrics(index), name)
    }

    /// Reads the state of a queue or a job.
    pub fn get(&self, index: usize, path: &str) -> Option<(u16, String)> {
        let headers = [("Host", HOST)];
        let request = Request { headers: &headers, ..Request::get(path, Millis(2000)) };
        self.send(index, 8161, &request).map(|(status, body, _)| (status, body))
    }

    /// Submits a job of `count` tasks that take 7 cores for `ms` milliseconds each, and waits for the response.
    pub fn submit(&self, index: usize, id: u64, count: u32, ms: u64) -> Option<Reply> {
        let body = json!({ "spec": format!("7000 {ms}"), "bestEffort": true,
            "steps": [{ "count": count, "cpu": 7000, "memMb": 64, "estMs": ms }] });
        self.post(index, id, &body, Millis(15_000))
    }

    /// Sends a complete job of one task, then resets the connection at once.
    pub fn post_and_reset(&self, index: usize, id: u64) {
        let body = json!({ "spec": "7000 50", "bestEffort": true,
            "steps": [{ "count": 1, "cpu": 7000, "memMb": 64, "estMs": 50 }] });
        let body = body.to_string();
        let mut stream = TcpStream::connect(SocketAddr::new(self.ip(index), 8161)).unwrap();
        write!(
            stream,
            "POST {PREFIX}{id:016x} HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
        .unwrap();
        SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
    }

    /// Cancels a job, and waits for the response.
    pub fn delete(&self, index: usize, id: u64) -> Option<Reply> {
        let headers = [("Host", HOST)];
        let path = format!("{PREFIX}{id:016x}");
        let get = Request::get(&path, Millis(5000));
        let request = Request { method: Method::Delete, headers: &headers, ..get };
        let (status, body, retry_after) = self.send(index, 8161, &request)?;
        let body = serde_json::from_str::<Value>(&body).unwrap_or_default();
        let state = body["state"].as_str().unwrap_or_default().to_owned();
        Some(Reply { status, state, retry_after })
    }

    /// Submits a job and waits for the response until `timeout`.
    pub fn post(&self, index: usize, id: u64, body: &Value, timeout: Millis) -> Option<Reply> {
        self.post_with_deadline(index, id, body, timeout, Millis(15_000))
    }

    /// Submits a job with a `Deadline-Ms` header, and waits for the response until `timeout`.
    pub fn post_with_deadline(
        &self,
        index: usize,
        id: u64,
        body: &Value,
        timeout: Millis,
        deadline: Millis,
    ) -> Option<Reply> {
        let body = body.to_string();
        let deadline = deadline.0.to_string();
        let headers =
            [("Host", HOST), ("Deadline-Ms", &deadline), ("Content-Type", "application/json")];
        let path = format!("{PREFIX}{id:016x}");
        let request = Request {
            method: Method::Post,
            path: &path,
            headers: &headers,
            body: body.as_bytes(),
            timeout,
        };
        let (status, body, retry_after) = self.send(index, 8161, &request)?;
        let body = serde_json::from_str::<Value>(&body).unwrap_or_default();
        let state = body["state"].as_str().unwrap_or_default().to_owned();
        Some(Reply { status, state, retry_after })
    }

    /// Submits jobs from several concurrent callers, each of which sends one job after the other, until `until` is true.
    pub fn load(
        &self,
        vms: &[usize],
        callers: u64,
        until: impl Fn() -> bool + Sync,
    ) -> Vec<Option<Reply>> {
        thread::scope(|scope| {
            let until = &until;
            let callers = (0..callers).map(|caller| {
                scope.spawn(move || {
                    let mut replies = Vec::new();
                    while !until() {
                        let vm = vms[(caller as usize + replies.len()) % vms.len()];
                        let id = caller << 32 | replies.len() as u64;
                        replies.push(self.submit(vm, id, 2, 60));
                    }
                    replies
                })
            });
            let callers = callers.collect::<Vec<_>>();
            callers.into_iter().flat_map(|caller| caller.join().unwrap()).collect()
        })
    }

    /// Keeps up a load on all VMs until ownership is stable, and returns its replies.
    ///
    /// When two VMs start at the same time, both may acquire a target before either hears of the other. The one with the
    /// lower fencing token loses the target at its next poll, half a second later.
    pub fn wait_for_stable_ownership(&self) -> Vec<Option<Reply>> {
        let all = (0..self.vms.len()).collect::<Vec<_>>();
        let start = Instant::now();
        let replies = self.load(&all, 4, || start.elapsed() > Duration::from_secs(1));
        assert!(!replies.is_empty());
        replies
    }

    /// Checks the invariants that hold under all faults.
    #[track_caller]
    pub fn check(&self) {
        let violations = self.ledger.violations.lock().unwrap();
        assert!(violations.is_empty(), "{violations:?}");
    }
}

impl Drop for Env {
    fn drop(&mut self) {
        for vm in &self.vms {
            vm.kill();
            if thread::panicking() {
                eprintln!("{}:\n{}", vm.ip, vm.log.lock().unwrap().join("\n"));
            }
        }
        drop(fs::remove_dir_all(&self.directory));
    }
}

impl Vm {
    pub fn kill(&self) {
        let mut child = self.child.lock().unwrap();
        drop(child.kill());
        drop(child.wait());
    }

    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child.lock().unwrap());
        kill_process(pid, signal).unwrap();
    }

    /// The id of the process.
    pub fn pid(&self) -> u32 {
        self.child.lock().unwrap().id()
    }

    /// The exit status of the process, if it has ended.
    pub fn exit_status(&self) -> Option<ExitStatus> {
        self.child.lock().unwrap().try_wait().unwrap()
    }

    /// Whether a line of the log contains all `words`.
    pub fn logged(&self, words: &[&str]) -> bool {
        self.count_logged(words) > 0
    }

    /// The number of lines of the log that contain all `words`.
    pub fn count_logged(&self, words: &[&str]) -> usize {
        let log = self.log.lock().unwrap();
        log.iter().filter(|line| words.iter().all(|word| line.contains(word))).count()
    }
}
