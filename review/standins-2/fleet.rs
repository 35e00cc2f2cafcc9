//! A small deployment: entry VMs as separate processes, workers, and the platform's store.

use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Call, Reply};
use crate::record::Record;
use crate::store::Store;
use crate::worker::Worker;

/// The program that deploy/system.toml builds.
const PROGRAM: &str = "target/release/gypsumkeel";

pub const HOST: &str = "desk.example";
pub const PREFIX: &str = "/holds/";

/// The port for metrics, which the program fixes. If another process listens there on all addresses, no trial can run.
const METRICS: u16 = 9100;

/// The ports from which the others are chosen. They lie below those that the system gives to outgoing connections.
const PORTS: std::ops::Range<u16> = 15_000..30_000;

/// The sets of addresses and ports that are tried.
const TRIES: u32 = 200;

/// The longest wait for the deployment to start.
const START_MAX: Duration = Duration::from_secs(15);

/// The machines that `seeds` names at most.
const SEEDS: usize = 3;

pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: usize, ...) -> i32;
}

/// The option of `prctl` that names the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

const SIGKILL: usize = 9;

/// The ports of a VM, the same on all.
#[derive(Clone, Copy, Debug)]
struct Ports {
    front: u16,
    control: u16,
    ready: u16,
}

/// An entry VM.
#[derive(Debug)]
pub struct Vm {
    pub name: String,
    pub zone: String,
    pub ip: IpAddr,
    child: Mutex<Option<Child>>,
    /// Whether the store refuses this VM's calls.
    is_refused: Arc<AtomicBool>,
    store: SocketAddr,
}

/// A deployment. It ends when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    pub record: Arc<Record>,
    pub store: Store,
    pub vms: Vec<Vm>,
    pub workers: Vec<Arc<Worker>>,
    folder: PathBuf,
    seeds: Vec<SocketAddr>,
    net: [u8; 2],
    ports: Ports,
}

impl Fleet {
    /// Starts `vms` VMs and `workers` workers in each zone. Fails if they are not ready in time.
    pub fn start(
        record: &Arc<Record>,
        zones: &[&str],
        vms: usize,
        workers: usize,
    ) -> Result<Self, String> {
        let random =
            SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().subsec_nanos();
        let count = zones.len() * vms;
        let (net, ports) = (0..TRIES)
            .map(|step| random.wrapping_add(step.wrapping_mul(7_368_787)))
            .map(|random| (net(random), ports(random)))
            .find(|(net, ports)| is_free(*net, *ports, count))
            .ok_or("no free addresses and ports")?;
        let folder =
            std::env::temp_dir().join(format!("gypsumkeel-trial-{}-{random}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let store = Store::new();
        let seeds = (0..count.min(SEEDS))
            .map(|index| SocketAddr::new(ip(net, index), ports.control))
            .collect();
        let mut fleet = Self {
            record: Arc::clone(record),
            store,
            vms: Vec::new(),
            workers: Vec::new(),
            folder,
            seeds,
            net,
            ports,
        };
        fleet.configure(1);
        for zone in zones {
            for index in 0..workers {
                let (id, rack) = (format!("w-{zone}-{index}"), format!("r-{zone}"));
                fleet.workers.push(Worker::start(&id, zone, &rack, &fleet.store, record));
            }
        }
        for index in 0..count {
            let vm = fleet.prepare(zones[index % zones.len()]);
            fleet.launch(vm)?;
        }
        let all = 0..count;
        fleet.wait("all VMs are ready", START_MAX, || all.clone().all(|vm| fleet.is_ready(vm)))?;
        fleet.wait("all workers are owned", START_MAX, || {
            fleet.owned() == fleet.workers.len() as u64
        })?;
        Ok(fleet)
    }

    /// Writes a configuration with one queue.
    pub fn configure(&self, version: u64) {
        let config = format!(
            "{{\"version\":{version},\"routes\":[{{\"name\":\"holds\",\"host\":\"{HOST}\",\"prefix\":\"{PREFIX}\",\
             \"kind\":\"unsafe\",\"timeoutMs\":60000,\"service\":\"desk\",\"priority\":0,\"attempts\":3,\"stretch\":2.0,\
             \"sloMs\":20000}}],\"services\":[{{\"name\":\"desk\",\"healthPath\":\"/healthz\",\"maxConns\":64,\
             \"protocol\":\"h1\",\"tls\":false,\"rejectsOverload\":false,\"spare\":false}}],\
             \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
        );
        self.store.put("op/config", &config);
    }

    /// Prepares a VM in a zone, without its process, and returns its index.
    pub fn prepare(&mut self, zone: &str) -> usize {
        let index = self.vms.len();
        let is_refused = Arc::<AtomicBool>::default();
        let refuses = Arc::clone(&is_refused);
        let store = self.store.serve(move || refuses.load(Ordering::Relaxed));
        self.vms.push(Vm {
            name: format!("edge-{zone}-{index}"),
            zone: zone.to_owned(),
            ip: ip(self.net, index),
            child: Mutex::new(None),
            is_refused,
            store,
        });
        index
    }

    /// Lets the store turn a VM away with status 503, or serve it again.
    pub fn refuse(&self, index: usize, is_refused: bool) {
        let vm = &self.vms[index];
        self.record.line(&format!("the store turns {} away: {is_refused}", vm.name));
        vm.is_refused.store(is_refused, Ordering::Relaxed);
    }

    /// Starts the process of a VM.
    pub fn launch(&self, index: usize) -> Result<(), String> {
        let vm = &self.vms[index];
        let failed = |error: std::io::Error| format!("{PROGRAM}: {error}");
        let settings = self.folder.join(format!("{}.json", vm.name));
        fs::write(&settings, self.settings(vm)).map_err(failed)?;
        let log = self.folder.join(format!("{}.log", vm.name));
        let log = File::options().create(true).append(true).open(log).map_err(failed)?;
        let mut command = Command::new(PROGRAM);
        command
            .arg("platform")
            .env("GYPSUMKEEL_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().map_err(failed)?)
            .stdout(log)
            // In a process group of its own, a stopped VM is not woken when the shell of the trial ends.
            .process_group(0);
        // SAFETY: `prctl` may be called between fork and exec.
        unsafe {
            command.pre_exec(|| {
                // The VM ends with the trial, however that ends.
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = command.spawn().map_err(failed)?;
        *vm.child.lock().unwrap() = Some(child);
        self.record.line(&format!("{} is started", vm.name));
        Ok(())
    }

    fn settings(&self, vm: &Vm) -> String {
        let at = |port| SocketAddr::new(vm.ip, port);
        let seeds =
            self.seeds.iter().map(|seed| format!("\"{seed}\"")).collect::<Vec<_>>().join(",");
        format!(
            "{{\"node\":\"{}\",\"role\":\"edge\",\"class\":\"edge\",\"serves\":[\"edge\",\"control\"],\"ip\":\"{}\",\
             \"zone\":\"{}\",\"region\":\"south\",\"zones\":{{\"a\":\"south\",\"b\":\"south\",\"c\":\"south\"}},\
             \"listen\":{{\"front\":\"{}\",\"ready\":\"{}\",\"control\":\"{}\"}},\"portRange\":[7720,7735],\
             \"seeds\":[{seeds}],\"bootstrap\":true,\"tolerateLoss\":false,\
             \"limits\":{{\"cpuShare\":0.25,\"cores\":1,\"memoryMb\":260,\"maxFds\":4100,\"linkMbps\":1000.0,\"diskMb\":0}},\
             \"dataDir\":null,\"discovery\":\"platform\",\"entry\":\"vip\",\"heartbeatMs\":1500,\
             \"bounds\":{{\"stableWindowMs\":3000,\"ackMs\":4000,\"drainMs\":2000,\"graceS\":6,\"configApplyMs\":2000,\
             \"holdMaxMs\":1000,\"stopMs\":50,\"cancel_ms\":3000,\"farX\":2,\"leaseMs\":3000,\"resendMs\":1300}},\
             \"orders\":\"call\",\"platform\":{{\"addr\":\"{}\",\"form\":\"kv\",\"writesPerS\":400,\"readsPerS\":2000,\
             \"historyS\":20,\"valueBytes\":1048576,\"ttlMinMs\":1000}}}}",
            vm.name,
            vm.ip,
            vm.zone,
            at(self.ports.front),
            at(self.ports.ready),
            at(self.ports.control),
            vm.store
        )
    }

    /// Whether the readiness check of a VM succeeds.
    pub fn is_ready(&self, index: usize) -> bool {
        let reply = self.get(index, self.ports.ready, "/api/readyz", Duration::from_secs(1));
        reply.is_ok_and(|reply| reply.status == 200)
    }

    fn get(
        &self,
        index: usize,
        port: u16,
        path: &str,
        patience: Duration,
    ) -> Result<Reply, String> {
        let address = SocketAddr::new(self.vms[index].ip, port);
        let (path, host) = (path.to_owned(), HOST.to_owned());
        let call = Call {
            method: "GET",
            path,
            host,
            patience,
            tells_deadline: false,
            body: String::new(),
        };
        http::call(address, &call)
    }

    /// The number of workers that the VMs own together.
    fn owned(&self) -> u64 {
        (0..self.vms.len()).map(|vm| self.owned_by(vm)).sum()
    }

    /// The number of workers that a VM owns.
    pub fn owned_by(&self, index: usize) -> u64 {
        let page = self.get(index, METRICS, "/metrics", Duration::from_secs(1));
        let page = page.map(|reply| reply.body).unwrap_or_default();
        let mut lines = page.lines().filter_map(|line| line.strip_prefix("targets.owned "));
        lines.next().and_then(|number| number.trim().parse().ok()).unwrap_or(0)
    }

    /// Submits a job to a VM and waits for the outcome.
    pub fn submit(
        &self,
        index: usize,
        id: &str,
        body: &str,
        patience: Duration,
    ) -> Result<Reply, String> {
        self.send(index, "POST", id, body, patience, true)
    }

    /// Cancels a job at a VM.
    pub fn cancel(&self, index: usize, id: &str, patience: Duration) -> Result<Reply, String> {
        self.send(index, "DELETE", id, "", patience, false)
    }

    fn send(
        &self,
        index: usize,
        method: &'static str,
        id: &str,
        body: &str,
        patience: Duration,
        tells_deadline: bool,
    ) -> Result<Reply, String> {
        let vm = &self.vms[index];
        self.record.line(&format!("client sends {method} {id} to {}", vm.name));
        let (path, host, body) = (format!("{PREFIX}{id}"), HOST.to_owned(), body.to_owned());
        let call = Call { method, path, host, patience, tells_deadline, body };
        let reply = http::call(SocketAddr::new(vm.ip, self.ports.front), &call);
        let shown = match &reply {
            Ok(reply) => format!("{} {}", reply.status, reply.body),
            Err(reason) => format!("no response: {reason}"),
        };
        self.record.line(&format!("client gets for {method} {id} from {}: {shown}", vm.name));
        reply
    }

    /// Sends a signal to the process of a VM.
    pub fn signal(&self, index: usize, signal: i32) {
        let vm = &self.vms[index];
        if let Some(child) = vm.child.lock().unwrap().as_ref() {
            self.record.line(&format!("{} gets signal {signal}", vm.name));
            // SAFETY: the process is a child that has not been waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Waits until a condition holds; the error names it.
    pub fn wait(
        &self,
        what: &str,
        limit: Duration,
        condition: impl Fn() -> bool,
    ) -> Result<(), String> {
        let from = Instant::now();
        while !condition() {
            if from.elapsed() > limit {
                return Err(format!("not within {limit:?}: {what}"));
            }
            thread::sleep(Duration::from_millis(20));
        }
        self.record.line(what);
        Ok(())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for vm in &self.vms {
            if let Some(mut child) = vm.child.lock().unwrap().take() {
                drop(child.kill());
                drop(child.wait());
            }
        }
        if std::env::var_os("KEEP_LOGS").is_some() {
            eprintln!("the logs are in {}", self.folder.display());
        } else {
            drop(fs::remove_dir_all(&self.folder));
        }
    }
}

/// The middle bytes of the loopback addresses.
fn net(random: u32) -> [u8; 2] {
    [(random >> 8) as u8 % 250 + 1, (random >> 16) as u8]
}

fn ip(net: [u8; 2], index: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, net[0], net[1], index as u8 + 1))
}

/// Three neighbouring ports.
fn ports(random: u32) -> Ports {
    let span = u32::from(PORTS.end - PORTS.start) - 3;
    let front = PORTS.start + (random % span) as u16;
    Ports { front, control: front + 1, ready: front + 2 }
}

/// Whether the ports of the first VMs, and of some that may be added, are free.
fn is_free(net: [u8; 2], ports: Ports, count: usize) -> bool {
    (0..count + 4).all(|index| {
        let ports = [ports.front, ports.control, ports.ready, METRICS];
        ports.iter().all(|&port| TcpListener::bind((ip(net, index), port)).is_ok())
    })
}
