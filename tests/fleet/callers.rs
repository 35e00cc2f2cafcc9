//! The callers: each submits jobs to the VM that the platform chose for it, and sends a job again to another VM after
//! no response, a broken connection, 502 or 504.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use event_listener::Event;
use fastrand::Rng;
use gypsumkeel::clock::Millis;
use gypsumkeel::http::{Connection, Request};
use gypsumkeel::runtime;
use http_types::Method;
use serde_json::json;
use smol::Timer;
use smol::future::FutureExt as _;

use super::{Fleet, KINDS, Kind};

/// How long a caller waits for a response.
const DEADLINE: Millis = Millis(1500);

/// How often a caller sends a job again.
const RESENDS_MAX: u32 = 2;

/// The number of callers of each failure domain.
const CALLERS: [usize; 3] = [35, 37, 31];

/// The callers and what they saw.
#[derive(Debug, Default)]
pub struct Callers {
    idle: Mutex<HashMap<(usize, usize), Vec<Connection>>>,
    reset: Event,
    /// The factor of the load, in percent.
    pub load: AtomicU64,
    /// How many callers leave early, in percent.
    pub leaving: AtomicU64,
    /// How many responses there were, by status or fault.
    pub seen: Mutex<BTreeMap<String, u64>>,
    /// The tasks whose jobs a caller submitted, each with the VMs and times.
    pub sent: Mutex<HashMap<String, Vec<String>>>,
}

/// A job of one caller.
#[derive(Debug)]
struct Job {
    caller: usize,
    domain: usize,
    id: String,
    path: String,
    body: String,
    /// When the caller leaves and never comes back.
    leaves_after: Option<Millis>,
    /// The VMs of the first attempt and of the resends.
    vms: Vec<usize>,
}

impl Callers {
    /// Resets all connections.
    pub fn reset(&self) {
        for connection in self.idle.lock().unwrap().drain().flat_map(|(_, idle)| idle) {
            connection.abort();
        }
        self.reset.notify(usize::MAX);
    }

    fn count(&self, what: &str) {
        *self.seen.lock().unwrap().entry(what.to_owned()).or_default() += 1;
    }
}

/// Submits jobs at the run's rate until `end`.
pub fn run(fleet: &Arc<Fleet>, end: Instant) {
    let mut dice = Rng::with_seed(fleet.options.seed);
    let mut due = 0.0;
    let mut last = Instant::now();
    while Instant::now() < end {
        std::thread::sleep(Duration::from_millis(4));
        let load = fleet.callers.load.load(Ordering::Relaxed) as f64 / 100.0;
        due += last.elapsed().as_secs_f64() * fleet.options.jobs * load;
        last = Instant::now();
        while due >= 1.0 {
            due -= 1.0;
            let job = draw(fleet, &mut dice);
            runtime::spawn(submit(Arc::clone(fleet), job)).detach();
        }
    }
}

/// A value around a mean.
fn around(dice: &mut Rng, mean: f64) -> f64 {
    (mean * dice.f64().mul_add(0.8, 0.6)).max(1.0)
}

fn draw_kind(dice: &mut Rng) -> Kind {
    let mut left = dice.f64() * KINDS.iter().map(|kind| kind.share).sum::<f64>();
    let is_drawn = |kind: &&Kind| {
        left -= kind.share;
        left < 0.0
    };
    *KINDS.iter().find(is_drawn).unwrap_or(&KINDS[0])
}

fn draw(fleet: &Fleet, dice: &mut Rng) -> Job {
    let kind = draw_kind(dice);
    let domain = dice.usize(..3);
    let caller = domain * 100 + dice.usize(..CALLERS[domain]);
    let (count, ms) = (around(dice, kind.tasks) as u64, around(dice, kind.ms) as u64);
    let cpu = around(dice, 8000.0) as u64;
    let estimate = around(dice, ms as f64) as u64;
    let body = json!({ "spec": format!("{cpu} {ms}"), "bestEffort": true,
        "steps": [{ "count": count, "cpu": cpu, "memMb": 64, "estMs": estimate }] });
    let leaves = dice.u64(..100) < fleet.callers.leaving.load(Ordering::Relaxed);
    let leaves_after = leaves.then(|| Millis(dice.u64(10..1200)));
    // The VM of a caller is that of its hash; a resend goes to any other.
    let mut vms = fleet.vms_of(domain);
    let first = vms.swap_remove((caller * 7919 + fleet.options.seed as usize) % vms.len());
    dice.shuffle(&mut vms);
    vms.insert(0, first);
    let id = format!("{:016x}", dice.u64(..));
    let path = format!("/{}/{id}", kind.name);
    Job { caller, domain, id, path, body: body.to_string(), leaves_after, vms }
}

async fn submit(fleet: Arc<Fleet>, job: Job) {
    for attempt in 0..=RESENDS_MAX {
        let vm = job.vms[attempt as usize % job.vms.len()];
        let vm = fleet.in_rotation(vm, job.domain);
        let sent_at = Instant::now();
        let sent = format!("{} sent to {}", super::time(), fleet.vms[vm].name);
        let status = send(&fleet, &job, vm).await;
        fleet.callers.count(&status);
        let line = format!("{sent}, {status} after {:?}", sent_at.elapsed());
        fleet.callers.sent.lock().unwrap().entry(job.id.clone()).or_default().push(line);
        let is_over = !["lost", "reset", "unsent", "502", "504"].contains(&status.as_str());
        if is_over {
            return;
        }
        Timer::after(fleet.options.resend).await;
    }
}

/// Sends a job once. Returns the status of the response, or what happened in its place.
async fn send(fleet: &Fleet, job: &Job, vm: usize) -> String {
    let address = SocketAddr::new(fleet.vms[vm].ip, 8161);
    let start = Instant::now();
    let mut connection = match idle(fleet, job, vm).await {
        Some(connection) => connection,
        None => match Connection::open(address, DEADLINE).await {
            Ok(connection) => connection,
            Err(_) => return "unsent".to_owned(),
        },
    };
    let time_left = DEADLINE - Millis(start.elapsed().as_millis() as u64);
    let deadline = DEADLINE.0.to_string();
    let headers = [("Host", super::HOST), ("Deadline-Ms", deadline.as_str())];
    let request = Request {
        method: Method::Post,
        path: &job.path,
        headers: &headers,
        body: job.body.as_bytes(),
        timeout: job.leaves_after.unwrap_or(DEADLINE).min(time_left),
    };
    let reset = fleet.callers.reset.listen();
    let response = async { Some(connection.send(&request).await) };
    let interrupted = async {
        reset.await;
        None
    };
    match response.or(interrupted).await {
        Some(Ok(response)) => {
            let mut idle = fleet.callers.idle.lock().unwrap();
            if response.header("Connection") != Some("close") {
                idle.entry((job.caller, vm)).or_default().push(connection);
            }
            response.status.to_string()
        }
        Some(Err(_)) => {
            connection.close();
            if job.leaves_after.is_some() { "left".to_owned() } else { "lost".to_owned() }
        }
        None => {
            connection.abort();
            "reset".to_owned()
        }
    }
}

async fn idle(fleet: &Fleet, job: &Job, vm: usize) -> Option<Connection> {
    loop {
        let connection = fleet.callers.idle.lock().unwrap().get_mut(&(job.caller, vm))?.pop()?;
        if !connection.is_stale().await {
            return Some(connection);
        }
    }
}
