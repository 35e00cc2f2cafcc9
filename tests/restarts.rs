//! Workers whose processes end and start again under their ids, with real `gypsumkeel platform` processes.

#[path = "platform/mod.rs"]
mod platform;

use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use fastrand::Rng;
use gypsumkeel::clock::Millis;
use platform::worker::Worker;
use platform::{Env, Reply, wait_until};
use serde_json::{Value, json};

/// How long a worker's next process takes until it accepts connections. The leases of the former one have lapsed by then.
const DOWN: Duration = Duration::from_millis(1400);

/// The pause between two connections that a process accepts.
const ACCEPT_PAUSE: Duration = Duration::from_millis(2);

/// How many restarts a seed has, one after the other.
const RESTARTS: u32 = 12;

/// How many jobs a seed has, and the pause between two.
const JOBS: u64 = 400;
const JOB_INTERVAL: Duration = Duration::from_millis(20);

/// The listening socket of a worker, which outlives the worker's processes: connections that no process has accepted wait
/// there for the next one.
struct Socket {
    address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    /// Where the connections are forwarded to.
    worker: SocketAddr,
    /// Whether a process accepts connections.
    is_up: AtomicBool,
    accepted: AtomicUsize,
    connections: Mutex<Vec<TcpStream>>,
}

impl Socket {
    fn open(worker: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        listener.set_nonblocking(true).unwrap();
        let shared = Arc::new(Shared {
            worker,
            is_up: AtomicBool::new(true),
            accepted: AtomicUsize::new(0),
            connections: Mutex::default(),
        });
        let accepting = Arc::downgrade(&shared);
        thread::spawn(move || {
            while let Some(shared) = accepting.upgrade() {
                shared.accept(&listener);
                drop(shared);
                thread::sleep(ACCEPT_PAUSE);
            }
        });
        Self { address, shared }
    }

    /// Ends the process: its connections close, and no others are accepted.
    fn end_process(&self) {
        let connections = self.shared.connections.lock().unwrap();
        self.shared.is_up.store(false, Ordering::Relaxed);
        for stream in connections.iter() {
            drop(stream.shutdown(Shutdown::Both));
        }
    }

    /// Starts the next process, which accepts the connections that wait, one after the other.
    fn start_process(&self) {
        self.shared.is_up.store(true, Ordering::Relaxed);
    }
}

impl Shared {
    /// Accepts a connection, if one waits and the process is up, and forwards it to the worker.
    fn accept(&self, listener: &TcpListener) {
        let mut connections = self.connections.lock().unwrap();
        if !self.is_up.load(Ordering::Relaxed) {
            return;
        }
        let Ok((client, _)) = listener.accept() else { return };
        let server = TcpStream::connect(self.worker).unwrap();
        client.set_nonblocking(false).unwrap();
        self.accepted.fetch_add(1, Ordering::Relaxed);
        for (from, to) in [(&client, &server), (&server, &client)] {
            to.set_nodelay(true).unwrap();
            let (mut from, mut to) = (from.try_clone().unwrap(), to.try_clone().unwrap());
            thread::spawn(move || {
                drop(io::copy(&mut from, &mut to));
                drop(to.shutdown(Shutdown::Write));
            });
        }
        connections.extend([client, server]);
    }
}

/// A worker whose listening socket stays open across its processes, as a service manager keeps it with socket activation.
struct Unit<'a> {
    worker: &'a Worker,
    socket: Socket,
}

impl<'a> Unit<'a> {
    /// Opens a socket before a worker, and waits until the worker's owner calls it there.
    fn open(env: &Env, worker: &'a Worker) -> Self {
        let unit = Self { worker, socket: Socket::open(worker.address) };
        unit.list(env);
        let accepted = || unit.socket.shared.accepted.load(Ordering::Relaxed);
        wait_until("the worker is called through its socket", || accepted() > 0);
        unit
    }

    /// Writes the worker's entry to the store.
    fn list(&self, env: &Env) {
        let mut entry = self.worker.entry("ready");
        entry["addr"] = json!(self.socket.address);
        env.store.put(&format!("servers/{}", self.worker.id), &entry);
    }

    fn end_process(&self) {
        self.socket.end_process();
        self.worker.crash();
    }

    fn start_process(&self, env: &Env) {
        self.worker.crash();
        self.socket.start_process();
        self.list(env);
    }
}

/// Whether all jobs succeeded.
fn are_done(replies: &[Option<Reply>]) -> bool {
    let done = Reply { status: 200, state: "done".to_owned(), retry_after: false };
    replies.iter().all(|reply| reply.as_ref() == Some(&done))
}

/// A job of one task, of `cpu` thousandths of a core and `ms` milliseconds, near the workers of domain a.
fn job(cpu: u64, ms: u64) -> Value {
    json!({ "spec": format!("{cpu} {ms}"), "bestEffort": true,
        "steps": [{ "count": 1, "cpu": cpu, "memMb": 64, "estMs": ms, "affinity": "rack-a" }] })
}

/// Guards against calls that reach another process of a worker than they were sent to, whenever it ends: a caller sees a task
/// that runs twice at a time. `GYPSUMKEEL_SEEDS` sets the number of seeds.
#[test]
fn no_task_runs_twice_while_workers_restart_behind_their_sockets() {
    let seeds = std::env::var("GYPSUMKEEL_SEEDS").map_or(Ok(1), |seeds| seeds.parse::<u64>());
    for seed in 1..=seeds.expect("a number of seeds") {
        eprintln!("seed {seed}");
        check_restarts(seed);
    }
}

/// Restarts workers under load. Half of them are down until about the time at which the owner starts their tasks elsewhere.
fn check_restarts(seed: u64) {
    let env = Env::start(1, 3);
    let units = env.workers.iter().map(|worker| Unit::open(&env, worker)).collect::<Vec<_>>();
    let mut random = Rng::with_seed(seed);
    let body = job(1000, 500);
    let replies = thread::scope(|scope| {
        let (env, body) = (&env, &body);
        scope.spawn(move || {
            for _ in 0..RESTARTS {
                let unit = &units[random.usize(..units.len())];
                thread::sleep(Duration::from_millis(random.u64(..200)));
                unit.end_process();
                let down_ms = if random.bool() { 0..50 } else { 1000..1700 };
                thread::sleep(Duration::from_millis(random.u64(down_ms)));
                unit.start_process(env);
            }
        });
        let jobs = (0..JOBS).map(|id| {
            thread::sleep(JOB_INTERVAL);
            scope.spawn(move || env.post(id as usize % 2, id, body, Millis(10_000)))
        });
        let jobs = jobs.collect::<Vec<_>>();
        jobs.into_iter().map(|job| job.join().unwrap()).collect::<Vec<_>>()
    });
    assert!(replies.iter().flatten().any(|reply| reply.state == "done"), "{replies:?}");
    env.check();
}

/// Guards against a start that is sent after a worker's connections have closed, is given up, and is carried out by the
/// worker's next process while the task runs elsewhere.
#[test]
fn a_start_for_a_former_process_is_not_carried_out_by_the_next() {
    let env = Env::start(1, 2);
    let units = env.workers[..2].iter().map(|worker| Unit::open(&env, worker)).collect::<Vec<_>>();
    let replies = thread::scope(|scope| {
        let post = |id: u64, body: Value| {
            let env = &env;
            scope.spawn(move || env.post(0, id, &body, Millis(6000)))
        };
        // One worker is full for a second, so that the next jobs go to the other one.
        let full = post(1, job(15_500, 1000));
        wait_until("the first job runs", || units.iter().any(|unit| unit.worker.running() == 1));
        let other = units.iter().find(|unit| unit.worker.running() == 0).unwrap();
        // The VM gets the response to this start while a poll waits at the worker.
        let small = post(2, job(1000, 600));
        let mut responses = 0;
        wait_until("the VM knows that both jobs run", || {
            responses += env.metric(0, "leased.start_time.count");
            responses == 2
        });
        other.end_process();
        let ended = Instant::now();
        let moved = post(3, job(15_000, 900));
        thread::sleep(DOWN.saturating_sub(ended.elapsed()));
        other.start_process(&env);
        [full, small, moved].map(|job| job.join().unwrap())
    });
    assert!(are_done(&replies), "{replies:?}");
    env.check();
}

#[test]
fn a_crashed_or_unresponsive_worker_only_delays_jobs() {
    let env = Env::start(1, 2);
    let start = Instant::now();
    let replies = thread::scope(|scope| {
        scope.spawn(|| {
            thread::sleep(Duration::from_millis(500));
            env.workers[0].crash();
            env.store
                .put(&format!("servers/{}", env.workers[0].id), &env.workers[0].entry("ready"));
            thread::sleep(Duration::from_secs(1));
            env.workers[1].set_silent(true);
            thread::sleep(Duration::from_millis(1500));
            env.workers[1].set_silent(false);
        });
        env.load(&[0, 1], 4, || start.elapsed() > Duration::from_secs(5))
    });
    assert!(are_done(&replies), "{replies:?}");
    env.check();
}

/// Guards against an owner that takes what a worker has started since its restart for gone with the former process, and
/// starts it elsewhere too.
#[test]
fn tasks_that_a_worker_started_since_its_restart_run_on() {
    let env = Env::start(1, 3);
    let body = json!({ "spec": "500 400", "bestEffort": true,
        "steps": [{ "count": 1, "cpu": 500, "memMb": 64, "estMs": 400 }] });
    let replies = thread::scope(|scope| {
        let (env, body) = (&env, &body);
        let jobs = (0..200).map(|id| {
            thread::sleep(Duration::from_millis(15));
            if id % 40 == 39 {
                let busiest = env.workers.iter().max_by_key(|worker| worker.running()).unwrap();
                busiest.crash();
                env.store.put(&format!("servers/{}", busiest.id), &busiest.entry("ready"));
            }
            scope.spawn(move || env.post(id as usize % 2, id, body, Millis(10_000)))
        });
        let jobs = jobs.collect::<Vec<_>>();
        jobs.into_iter().map(|job| job.join().unwrap()).collect::<Vec<_>>()
    });
    assert!(are_done(&replies), "{replies:?}");
    env.check();
}
