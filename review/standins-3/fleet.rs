//! A small deployment: VMs as the deploy file starts them, workers, a store, and clients.

use std::fs::{self, File};
use std::io::{self, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Answer};
use crate::json::{Value, object};
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Event, Kind, Ledger, Worker};

/// The port for metrics in the deploy file.
const METRICS: u16 = 9100;

/// The ports that a VM's are chosen from: below those that the system gives to outgoing connections.
const PORTS: std::ops::Range<u16> = 12_000..32_000;

/// Addresses and ports that nothing else uses: the middle bytes of the VMs' loopback addresses, and the ports of all VMs.
#[derive(Clone, Copy, Debug)]
struct Net {
    bytes: (u8, u8),
    front: u16,
    ready: u16,
    control: u16,
}

/// The host and the prefix of the only route.
const HOST: &str = "desk.example";
const PREFIX: &str = "/holds/";

/// The timeout of the route.
const TIMEOUT_MS: u64 = 10_000;

/// The longest time that the deployment may take to serve its first job.
const START_MAX: Duration = Duration::from_secs(20);

pub struct Fleet {
    pub store: Store,
    pub workers: Vec<Worker>,
    pub ledger: Ledger,
    pub vms: Vec<Vm>,
    pub record: Record,
    directory: PathBuf,
    program: PathBuf,
    net: Net,
    zones: Vec<String>,
}

pub struct Vm {
    pub name: String,
    pub ip: Ipv4Addr,
    child: Arc<Mutex<Child>>,
}

/// All processes and folders of this program, to be ended whatever happens.
static CHILDREN: Mutex<Vec<Arc<Mutex<Child>>>> = Mutex::new(Vec::new());
static FOLDERS: Mutex<Vec<PathBuf>> = Mutex::new(Vec::new());

/// The shells that end a VM if this program is killed, by their standard inputs.
static GUARDS: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Starts a shell that ends a process, by its id, and removes the folder, if this program ends without a word.
fn guard(id: u32, folder: &Path) -> io::Result<()> {
    let script = "read word && exit 0; kill -9 \"$0\" 2>/dev/null; rm -rf \"$1\"";
    let guard = Command::new("sh")
        .args(["-c", script, &id.to_string()])
        .arg(folder)
        .stdin(Stdio::piped())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()?;
    GUARDS.lock().unwrap().push(guard);
    Ok(())
}

/// Ends all processes that were started, and removes their folders.
pub fn end_all() {
    for child in CHILDREN.lock().unwrap().drain(..) {
        let mut child = child.lock().unwrap();
        drop(child.kill());
        drop(child.wait());
    }
    for mut guard in GUARDS.lock().unwrap().drain(..) {
        if let Some(mut input) = guard.stdin.take() {
            drop(input.write_all(b"done\n"));
        }
        drop(guard.wait());
    }
    for folder in FOLDERS.lock().unwrap().drain(..) {
        drop(fs::remove_dir_all(folder));
    }
}

/// What a client got: an answer, or why there was none.
pub type Outcome = Result<Answer, String>;

impl Fleet {
    /// Starts `vms` VMs, and a worker of each kind of `kinds`, in each of the zones. Waits until jobs are served at each VM.
    pub fn start(
        program: &Path,
        record: &Record,
        zones: &[&str],
        vms: usize,
        kinds: &[Kind],
    ) -> io::Result<Self> {
        let store = Store::start()?;
        let ledger = Ledger::default();
        let nanos =
            SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |time| time.subsec_nanos());
        let directory =
            std::env::temp_dir().join(format!("review-3-{}-{nanos}", std::process::id()));
        fs::create_dir(&directory)?;
        FOLDERS.lock().unwrap().push(directory.clone());
        let net = free_net(nanos, vms * zones.len())?;
        let mut all = Vec::new();
        for zone in zones {
            for (index, kind) in kinds.iter().enumerate() {
                let id = format!("i-{zone}-{index}");
                all.push(Worker::start(&id, zone, *kind, &store, &ledger, record)?);
            }
        }
        let zones = zones.iter().flat_map(|zone| vec![(*zone).to_owned(); vms]).collect::<Vec<_>>();
        let mut fleet = Self {
            store,
            workers: all,
            ledger,
            vms: Vec::new(),
            record: record.clone(),
            directory,
            program: program.to_owned(),
            net,
            zones,
        };
        fleet.configure(1, "r-holds");
        for index in 0..fleet.zones.len() {
            let vm = fleet.launch(index)?;
            fleet.vms.push(vm);
        }
        fleet.await_service()?;
        Ok(fleet)
    }

    /// Writes a configuration with one route. The name of the route is the operator's; clients don't know it.
    pub fn configure(&self, version: u64, name: &str) {
        let route = object([
            ("name", name.into()),
            ("host", HOST.into()),
            ("prefix", PREFIX.into()),
            ("kind", "unsafe".into()),
            ("timeoutMs", TIMEOUT_MS.into()),
            ("sloMs", 500.into()),
            ("priority", 0.into()),
            ("service", "desk".into()),
            ("attempts", 3.into()),
            ("stretch", Value::Number(1.6)),
        ]);
        let service = object([
            ("name", "desk".into()),
            ("healthPath", "/healthz".into()),
            ("maxConns", 64.into()),
            ("protocol", "h1".into()),
            ("tls", false.into()),
            ("rejectsOverload", false.into()),
            ("spare", false.into()),
        ]);
        let limits = object([
            ("maxHeaderBytes", 16_384.into()),
            ("maxBodyBytes", 262_144.into()),
            ("headerTimeoutMs", 3000.into()),
            ("idleTimeoutMs", 15_000.into()),
        ]);
        let config = object([
            ("version", version.into()),
            ("routes", vec![route].into()),
            ("services", vec![service].into()),
            ("limits", limits),
        ]);
        self.store.put("op/config", &config);
    }

    fn ip(&self, index: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net.bytes.0, self.net.bytes.1, index as u8 + 1)
    }

    /// The settings file of a VM, as DEPLOY.md shows it.
    fn settings(&self, index: usize) -> Value {
        let ip = self.ip(index);
        let at = |port: u16| Value::from(format!("{ip}:{port}").as_str());
        let seeds = (0..self.zones.len().min(3))
            .map(|seed| Value::from(format!("{}:{}", self.ip(seed), self.net.control).as_str()));
        let mut zones = self.zones.clone();
        zones.dedup();
        let regions = zones.iter().map(|zone| (zone.clone(), Value::from("south"))).collect();
        object([
            ("node", self.name(index).as_str().into()),
            ("role", "edge".into()),
            ("class", "edge".into()),
            ("serves", vec!["edge".into(), "control".into()].into()),
            ("ip", ip.to_string().as_str().into()),
            ("zone", self.zones[index].as_str().into()),
            ("region", "south".into()),
            ("zones", Value::Object(regions)),
            (
                "listen",
                object([
                    ("front", at(self.net.front)),
                    ("ready", at(self.net.ready)),
                    ("control", at(self.net.control)),
                ]),
            ),
            ("portRange", vec![7720.into(), 7735.into()].into()),
            ("seeds", seeds.collect::<Vec<_>>().into()),
            ("bootstrap", true.into()),
            ("tolerateLoss", false.into()),
            (
                "limits",
                object([
                    ("cpuShare", Value::Number(0.25)),
                    ("cores", 1.into()),
                    ("memoryMb", 260.into()),
                    ("maxFds", 4100.into()),
                    ("linkMbps", 1000.into()),
                    ("diskMb", 0.into()),
                ]),
            ),
            ("discovery", "platform".into()),
            ("entry", "vip".into()),
            ("heartbeatMs", 1500.into()),
            ("bounds", bounds()),
            ("orders", "call".into()),
            (
                "platform",
                object([
                    ("addr", self.store.address.to_string().as_str().into()),
                    ("form", "kv".into()),
                    ("writesPerS", 400.into()),
                    ("readsPerS", 2000.into()),
                    ("historyS", 20.into()),
                    ("valueBytes", 1_048_576.into()),
                    ("ttlMinMs", 1000.into()),
                ]),
            ),
        ])
    }

    fn name(&self, index: usize) -> String {
        format!("edge-{}-{}", self.zones[index], index + 1)
    }

    /// Starts a VM with the command of the deploy file.
    fn launch(&self, index: usize) -> io::Result<Vm> {
        let file = self.directory.join(format!("{index}.json"));
        fs::write(&file, self.settings(index).to_string())?;
        let log = File::create(self.directory.join(format!("{index}.log")))?;
        let child = Command::new(&self.program)
            .arg("platform")
            .env_clear()
            .envs(std::env::vars_os().filter(|(name, _)| name == "PATH" || name == "HOME"))
            .env("GYPSUMKEEL_SETTINGS", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        guard(child.id(), &self.directory)?;
        let name = self.name(index);
        self.record.line(&format!("{name} is started"));
        let child = Arc::new(Mutex::new(child));
        CHILDREN.lock().unwrap().push(Arc::clone(&child));
        Ok(Vm { name, ip: self.ip(index), child })
    }

    /// Waits until each VM is ready and has a job done, twice in a row.
    fn await_service(&self) -> io::Result<()> {
        let start = Instant::now();
        let mut served = 0;
        let mut number = 0_u64;
        while served < 2 {
            if start.elapsed() > START_MAX {
                return Err(io::Error::other("the deployment doesn't serve jobs"));
            }
            thread::sleep(Duration::from_millis(400));
            let is_done = (0..self.vms.len()).all(|vm| {
                number += 1;
                let ready = SocketAddr::from((self.vms[vm].ip, self.net.ready));
                let ready =
                    http::send(ready, "GET", "/api/readyz", &[], "", Duration::from_secs(1));
                let is_ready = ready.is_ok_and(|answer| answer.status == 200);
                let id = format!("{:016x}", 0xaaaa_0000 + number);
                is_ready && is_done(&self.post(vm, &id, &job(&[(1, 30)], 2000), 1500))
            });
            served = if is_done { served + 1 } else { 0 };
        }
        self.record.line("each VM serves jobs");
        Ok(())
    }

    /// The address for clients of a VM.
    pub fn front(&self, vm: usize) -> SocketAddr {
        SocketAddr::from((self.vms[vm].ip, self.net.front))
    }

    /// Submits a job and waits for its answer until the deadline.
    pub fn post(&self, vm: usize, id: &str, body: &str, deadline_ms: u64) -> Outcome {
        let deadline = deadline_ms.to_string();
        let headers = [
            ("Host", HOST),
            ("Content-Type", "application/json"),
            ("Deadline-Ms", deadline.as_str()),
        ];
        self.call(vm, "POST", id, &headers, body, deadline_ms)
    }

    /// Cancels a job.
    pub fn delete(&self, vm: usize, id: &str, deadline_ms: u64) -> Outcome {
        let deadline = deadline_ms.to_string();
        let headers = [("Host", HOST), ("Deadline-Ms", deadline.as_str())];
        self.call(vm, "DELETE", id, &headers, "", deadline_ms)
    }

    fn call(
        &self,
        vm: usize,
        method: &str,
        id: &str,
        headers: &[(&str, &str)],
        body: &str,
        deadline_ms: u64,
    ) -> Outcome {
        let name = &self.vms[vm].name;
        self.record.line(&format!("client sends {method} {id} to {name} {body}"));
        let timeout = Duration::from_millis(deadline_ms);
        let path = format!("{PREFIX}{id}");
        let outcome = http::send(self.front(vm), method, &path, headers, body, timeout);
        let outcome = outcome.map_err(|error| error.to_string());
        match &outcome {
            Ok(Answer { status, body, .. }) => {
                self.record
                    .line(&format!("client gets {status} {body} for {method} {id} from {name}"));
            }
            Err(error) => {
                self.record
                    .line(&format!("client gets no answer for {method} {id} from {name}: {error}"));
            }
        }
        outcome
    }

    /// What has happened to the tasks of a job so far.
    pub fn events(&self, id: &str) -> Vec<Event> {
        let prefix = format!("{id}.");
        let ledger = self.ledger.lock().unwrap();
        ledger.iter().filter(|event| event.task.starts_with(&prefix)).cloned().collect()
    }

    /// Starts a job in the background.
    pub fn post_in_background(
        self: &Arc<Self>,
        vm: usize,
        id: &str,
        body: &str,
        deadline_ms: u64,
    ) -> thread::JoinHandle<Outcome> {
        let (fleet, id, body) = (Arc::clone(self), id.to_owned(), body.to_owned());
        thread::spawn(move || fleet.post(vm, &id, &body, deadline_ms))
    }
}

impl Vm {
    /// Sends a signal by name, with the command of the shell, to this process alone.
    pub fn signal(&self, signal: &str) {
        let id = self.child.lock().unwrap().id().to_string();
        let done = Command::new("sh").args(["-c", &format!("kill -{signal} {id}")]).status();
        assert!(done.is_ok_and(|status| status.success()), "the signal was not sent");
    }
}

/// The bounds of the small sites.
fn bounds() -> Value {
    let numbers: [(&str, f64); 28] = [
        ("seedLagS", 3.0),
        ("addrReuseS", 2.0),
        ("stableWindowMs", 3000.0),
        ("ackMs", 4000.0),
        ("catchUpS", 4.0),
        ("drainMs", 2000.0),
        ("graceS", 6.0),
        ("lostSlackMs", 200.0),
        ("configApplyMs", 2000.0),
        ("rollbackSlackMs", 250.0),
        ("maxSkewMs", 5000.0),
        ("recoveryS", 12.0),
        ("holdMaxMs", 1000.0),
        ("stopMs", 50.0),
        ("gangMs", 3000.0),
        ("cancel_ms", 3000.0),
        ("visible_ms", 3000.0),
        ("early_ms", 250.0),
        ("finish_s", 14.0),
        ("status_s", 120.0),
        ("farX", 2.0),
        ("saveS", 0.5),
        ("restoreMs", 250.0),
        ("noticeMs", 4500.0),
        ("moveS", 1.5),
        ("upkeepS", 2.0),
        ("leaseMs", 3000.0),
        ("resendMs", 1300.0),
    ];
    let numbers = numbers.iter().map(|(name, number)| ((*name).to_owned(), Value::Number(*number)));
    Value::Object(numbers.collect())
}

/// The body of a job that needn't be kept: steps that run one after the other, each of some tasks that last some
/// milliseconds and take some thousandths of a core.
pub fn job(steps: &[(u64, u64)], cpu: u64) -> String {
    let longest = steps.iter().map(|(_, ms)| *ms).max().unwrap_or(1);
    job_that_lasts(longest, steps, cpu)
}

/// As [`job`], with tasks that last longer or shorter than the client estimates.
pub fn job_that_lasts(longest: u64, steps: &[(u64, u64)], cpu: u64) -> String {
    let steps = steps.iter().enumerate().map(|(index, (count, ms))| {
        let mut fields = vec![
            ("count".to_owned(), Value::from(*count)),
            ("cpu".to_owned(), Value::from(cpu)),
            ("memMb".to_owned(), Value::from(64)),
            ("estMs".to_owned(), Value::from(*ms)),
        ];
        if index > 0 {
            fields.push(("after".to_owned(), vec![Value::from(index as u64 - 1)].into()));
        }
        Value::Object(fields)
    });
    let body = object([
        ("spec", format!("{longest} {cpu}").as_str().into()),
        ("bestEffort", true.into()),
        ("steps", steps.collect::<Vec<_>>().into()),
    ]);
    body.to_string()
}

pub fn is_done(outcome: &Outcome) -> bool {
    outcome.as_ref().is_ok_and(|answer| answer.status == 200 && answer.body.contains("\"done\""))
}

/// Finds free loopback addresses and ports for the VMs.
fn free_net(seed: u32, vms: usize) -> io::Result<Net> {
    let mut mixed = seed ^ std::process::id();
    let mut next = || {
        mixed = mixed.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        mixed >> 8
    };
    for _ in 0..500 {
        let bytes = (next() as u8 % 250 + 1, next() as u8);
        let base = PORTS.start + (next() % u32::from(PORTS.end - PORTS.start - 3)) as u16;
        let net = Net { bytes, front: base, ready: base + 1, control: base + 2 };
        let is_free = (0..vms).all(|index| {
            let ip = Ipv4Addr::new(127, bytes.0, bytes.1, index as u8 + 1);
            let ports = [net.front, net.ready, net.control, METRICS];
            ports.iter().all(|port| TcpListener::bind((ip, *port)).is_ok())
        });
        if is_free {
            return Ok(net);
        }
    }
    Err(io::Error::other("no free loopback addresses"))
}

/// A job's request as bytes, for a client that keeps its connection.
pub fn request(id: &str, body: &str, deadline_ms: u64) -> String {
    format!(
        "POST {PREFIX}{id} HTTP/1.1\r\nHost: {HOST}\r\nContent-Type: application/json\r\n\
         Deadline-Ms: {deadline_ms}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
