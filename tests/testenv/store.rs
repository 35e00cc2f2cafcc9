//! A fake of the platform's store: Consul's HTTP API on top of `store::Memory`, with rate limits and faults.

use std::collections::BTreeMap;
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use gypsumkeel::clock::{Clock, Millis};
use gypsumkeel::store::{Condition, Entry, Memory, Read, Store as _, Vm};
use http_types::{Method, Request, Response};
use serde_json::{Value, json};
use smol::channel::{self, Sender};
use smol::net::{TcpListener, TcpStream};
use smol::{Executor, Timer};

use super::free_host;

/// The service whose VM list holds the targets.
pub const TARGETS: &str = "targets";

const VALUE_MAX_BYTES: usize = 1 << 20;

/// The largest number of calls in one second.
#[derive(Clone, Copy, Debug)]
pub struct Rates {
    pub writes: u64,
    pub reads: u64,
}

impl Default for Rates {
    fn default() -> Self {
        Self { writes: 500, reads: 2000 }
    }
}

/// The present faults; there are none at the start.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// All connections are closed, and new ones as soon as they are accepted.
    pub down: bool,
    /// The delay of every response.
    pub slow: Millis,
    /// How many of the next writes get no response, although they take effect.
    pub lost: u32,
    /// Only writes of keys that contain this text lose their response.
    pub lost_at: String,
    /// The earlier state that reads return.
    stale: Option<Arc<Memory>>,
    /// The earlier state that reads of the VM list return.
    frozen: Option<Arc<Memory>>,
}

/// The calls to the store, including refused ones.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Seen {
    pub reads: u64,
    pub writes: u64,
    pub watches: u64,
    pub refused: u64,
    /// Connections that were closed at once while the store was down.
    pub dropped: u64,
}

impl Seen {
    pub fn total(&self) -> u64 {
        self.reads + self.writes + self.watches
    }
}

/// A running fake store, on its own thread.
#[derive(Debug)]
pub struct Store {
    address: SocketAddr,
    shared: Arc<Shared>,
    stop: Sender<()>,
    thread: JoinHandle<()>,
}

#[derive(Debug)]
struct Shared {
    memory: Arc<Memory>,
    faults: Mutex<Faults>,
    streams: Mutex<Vec<TcpStream>>,
    targets: Mutex<BTreeMap<String, bool>>,
    /// The keys of the watches that wait now.
    waiting: Mutex<Vec<String>>,
    rates: Rates,
    clock: Clock,
    /// The latest second with a call and the number of calls in it, for reads and for writes.
    used: Mutex<[(u64, u64); 2]>,
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
    refused: AtomicU64,
    dropped: AtomicU64,
}

impl Store {
    /// Starts a store on a free loopback port with the limits of the real one.
    pub fn start() -> Self {
        Self::start_with(Rates::default())
    }

    /// Starts a store on a free loopback port.
    pub fn start_with(rates: Rates) -> Self {
        let listener = smol::block_on(TcpListener::bind((free_host(), 0))).expect("bind the store");
        let address = listener.local_addr().expect("the store's address");
        let clock = Clock::start();
        let shared = Arc::new(Shared {
            memory: Arc::new(Memory::new(clock)),
            faults: Mutex::default(),
            streams: Mutex::default(),
            targets: Mutex::default(),
            waiting: Mutex::default(),
            rates,
            clock,
            used: Mutex::default(),
            reads: AtomicU64::new(0),
            writes: AtomicU64::new(0),
            watches: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            dropped: AtomicU64::new(0),
        });
        let (stop, stopped) = channel::bounded::<()>(1);
        let server = Arc::clone(&shared);
        let thread = thread::spawn(move || {
            let executor = Arc::new(Executor::new());
            let accept = accept(listener, server, Arc::clone(&executor));
            executor.spawn(accept).detach();
            let _ = smol::block_on(executor.run(stopped.recv()));
        });
        Self { address, shared, stop, thread }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// The state of the store, to read or change it without a call.
    pub fn memory(&self) -> &Arc<Memory> {
        &self.shared.memory
    }

    /// Closes all connections and accepts no calls while it is on.
    pub fn down(&self, down: bool) {
        self.shared.faults().down = down;
        if down {
            for stream in self.shared.streams.lock().unwrap().drain(..) {
                drop(stream.shutdown(Shutdown::Both));
            }
        }
    }

    /// Delays the response to every call.
    pub fn slow(&self, delay: Millis) {
        self.shared.faults().slow = delay;
    }

    /// Drops the responses to the next `writes` writes of keys that contain `part`; the writes take effect.
    pub fn lose_responses(&self, part: &str, writes: u32) {
        let mut faults = self.shared.faults();
        (faults.lost, faults.lost_at) = (writes, part.to_owned());
    }

    /// While it is on, reads return the state from the time of this call.
    pub fn stale(&self, stale: bool) {
        let copy = stale.then(|| Arc::new(self.shared.memory.fork()));
        self.shared.faults().stale = copy;
    }

    /// While it is on, reads of the VM list return the state from the time of this call.
    pub fn freeze_vms(&self, frozen: bool) {
        let copy = frozen.then(|| Arc::new(self.shared.memory.fork()));
        self.shared.faults().frozen = copy;
    }

    /// Replaces the list of the targets' VMs with VMs that are not leaving.
    pub fn set_targets<'a>(&self, ids: impl IntoIterator<Item = &'a str>) {
        let targets = ids.into_iter().map(|id| (id.to_owned(), false)).collect();
        *self.shared.targets.lock().unwrap() = targets;
        self.shared.publish();
    }

    /// Sets whether a target's VM is leaving.
    pub fn set_leaving(&self, id: &str, leaving: bool) {
        self.shared.targets.lock().unwrap().insert(id.to_owned(), leaving);
        self.shared.publish();
    }

    /// How many watches wait on keys that contain `part`.
    pub fn waiting(&self, part: &str) -> usize {
        let waiting = self.shared.waiting.lock().unwrap();
        waiting.iter().filter(|key| key.contains(part)).count()
    }

    /// The numbers of calls so far.
    pub fn seen(&self) -> Seen {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        Seen {
            reads: read(&self.shared.reads),
            writes: read(&self.shared.writes),
            watches: read(&self.shared.watches),
            refused: read(&self.shared.refused),
            dropped: read(&self.shared.dropped),
        }
    }

    /// Closes all connections and ends the thread of the store.
    pub fn close(self) {
        self.down(true);
        let _ = self.stop.send_blocking(());
        self.thread.join().expect("the store's thread");
    }
}

impl Shared {
    fn faults(&self) -> MutexGuard<'_, Faults> {
        self.faults.lock().unwrap()
    }

    /// Writes the list of the targets' VMs to the state.
    fn publish(&self) {
        let targets = self.targets.lock().unwrap();
        let vms = targets.iter().map(|(id, &leaving)| Vm { id: id.clone(), leaving }).collect();
        self.memory.set_vms(TARGETS, vms);
    }

    /// Counts a call; returns whether the rate limit allows it.
    fn count(&self, request: &Request) -> bool {
        let watch = request.url().query_pairs().any(|(name, _)| name == "index");
        let write = request.method() != Method::Get;
        let counter = if write {
            &self.writes
        } else if watch {
            &self.watches
        } else {
            &self.reads
        };
        counter.fetch_add(1, Ordering::Relaxed);
        let limit = if write { self.rates.writes } else { self.rates.reads };
        let second = self.clock.now().0 / 1000;
        let mut used = self.used.lock().unwrap();
        let used = &mut used[usize::from(write)];
        if used.0 != second {
            *used = (second, 0);
        }
        used.1 += 1;
        let allowed = used.1 <= limit;
        if !allowed {
            self.refused.fetch_add(1, Ordering::Relaxed);
        }
        allowed
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>, executor: Arc<Executor<'static>>) {
    while let Ok((stream, _)) = listener.accept().await {
        if shared.faults().down {
            shared.dropped.fetch_add(1, Ordering::Relaxed);
            continue;
        }
        drop(stream.set_nodelay(true));
        shared.streams.lock().unwrap().push(stream.clone());
        let shared = Arc::clone(&shared);
        let serve = async move {
            let connection = stream.clone();
            let endpoint = |request| answer(&shared, &connection, request);
            drop(async_h1::accept(stream.clone(), endpoint).await);
            drop(stream.shutdown(Shutdown::Both));
        };
        executor.spawn(serve).detach();
    }
}

async fn answer(
    shared: &Shared,
    stream: &TcpStream,
    mut request: Request,
) -> http_types::Result<Response> {
    if !shared.count(&request) {
        return Ok(text(429, "rate limit exceeded, try again later"));
    }
    let body = request.body_bytes().await?;
    let slow = shared.faults().slow;
    if slow > Millis::ZERO {
        Timer::after(slow.duration()).await;
    }
    let path = request.url().path().to_owned();
    let parts = path.trim_start_matches("/v1/").split('/').collect::<Vec<_>>();
    match (request.method(), parts.as_slice()) {
        (_, ["kv", ..]) => {
            let key = path.trim_start_matches("/v1/kv/");
            key_call(shared, stream, &request, key, body).await
        }
        (Method::Put, ["session", rest @ ..]) => Ok(session_call(shared, rest, &body).await),
        (Method::Get, ["health", "service", service]) => {
            Ok(health_call(shared, &request, service).await)
        }
        _ => Ok(text(404, "no such path")),
    }
}

async fn key_call(
    shared: &Shared,
    stream: &TcpStream,
    request: &Request,
    key: &str,
    body: Vec<u8>,
) -> http_types::Result<Response> {
    if request.method() == Method::Get {
        return Ok(read_call(shared, request, key).await);
    }
    if body.len() > VALUE_MAX_BYTES {
        let message = format!(
            "Request body({} bytes) too large, max size: {VALUE_MAX_BYTES} bytes.",
            body.len()
        );
        return Ok(text(413, &message));
    }
    let (memory, query) = (&shared.memory, query(request));
    let cas = query.get("cas").and_then(|cas| cas.parse().ok());
    let done = match (request.method(), query.get("acquire"), cas) {
        (Method::Delete, ..) => memory.delete(key).await.map(|()| true),
        (_, Some(session), _) => memory.acquire(key, body, session).await,
        (_, _, None) => memory.put(key, body, Condition::Always).await,
        (_, _, Some(0)) => memory.put(key, body, Condition::Absent).await,
        (_, _, Some(index)) => memory.put(key, body, Condition::Unchanged(index)).await,
    };
    let lost = {
        let mut faults = shared.faults();
        let lost = faults.lost > 0 && key.contains(&faults.lost_at);
        faults.lost -= u32::from(lost);
        lost
    };
    if lost {
        drop(stream.shutdown(Shutdown::Both));
    }
    Ok(match done {
        Ok(done) => text(200, &done.to_string()),
        Err(error) => text(500, &error.to_string()),
    })
}

async fn read_call(shared: &Shared, request: &Request, key: &str) -> Response {
    let stale = shared.faults().stale.clone();
    let memory = stale.unwrap_or_else(|| Arc::clone(&shared.memory));
    let (after, wait) = blocking(request);
    if query(request).contains_key("recurse") {
        let read = memory.list(key, after, wait).await.expect("memory does not fail");
        return pairs(read);
    }
    let waiting = || shared.waiting.lock().unwrap();
    waiting().extend((after > 0).then(|| key.to_owned()));
    let read = memory.watch(key, after, wait).await;
    if after > 0 {
        let position = waiting().iter().position(|waiting| waiting == key);
        position.map(|position| waiting().swap_remove(position));
    }
    let Read { value, index } = read.expect("memory does not fail");
    pairs(Read { value: value.into_iter().collect(), index })
}

async fn session_call(shared: &Shared, rest: &[&str], body: &[u8]) -> Response {
    let memory = &shared.memory;
    match rest {
        ["create"] => {
            let options = serde_json::from_slice::<Value>(body).unwrap_or_default();
            let ttl = options["TTL"].as_str().and_then(|ttl| humantime::parse_duration(ttl).ok());
            let ttl = ttl.unwrap_or(Duration::from_hours(1));
            let id = memory.open_session(ttl.into()).await.expect("memory does not fail");
            text(200, &json!({ "ID": id }).to_string())
        }
        ["renew", id] => match memory.renew_session(id).await {
            Ok(true) => text(200, &json!([{ "ID": id }]).to_string()),
            _ => text(404, "Session id not found"),
        },
        ["destroy", id] => {
            memory.end_session(id).await.expect("memory does not fail");
            text(200, "true")
        }
        _ => text(404, "no such path"),
    }
}

async fn health_call(shared: &Shared, request: &Request, service: &str) -> Response {
    let frozen = shared.faults().frozen.clone();
    let memory = frozen.unwrap_or_else(|| Arc::clone(&shared.memory));
    let (after, wait) = blocking(request);
    let Read { value, index } =
        memory.vms(service, after, wait).await.expect("memory does not fail");
    let health = value.iter().map(|vm| {
        let tags = if vm.leaving { vec!["leaving"] } else { Vec::new() };
        json!({ "Node": { "Node": vm.id }, "Service": { "ID": vm.id, "Service": service, "Tags": tags } })
    });
    let body = Value::Array(health.collect()).to_string();
    indexed(200, &body, index)
}

fn query(request: &Request) -> BTreeMap<String, String> {
    let pairs = request.url().query_pairs();
    pairs.map(|(name, value)| (name.into_owned(), value.into_owned())).collect()
}

/// The index and the wait of a blocking query.
fn blocking(request: &Request) -> (u64, Millis) {
    let query = query(request);
    let after = query.get("index").and_then(|index| index.parse().ok()).unwrap_or_default();
    let wait = query.get("wait").and_then(|wait| humantime::parse_duration(wait).ok());
    (after, wait.unwrap_or(Duration::from_mins(5)).into())
}

fn pairs(read: Read<Vec<Entry>>) -> Response {
    let status = if read.value.is_empty() { 404 } else { 200 };
    let pairs = read.value.into_iter().map(|entry| {
        let value = STANDARD.encode(&entry.value);
        json!({ "Key": entry.key, "Value": value, "Flags": 0, "ModifyIndex": entry.index })
    });
    let body =
        if status == 404 { String::new() } else { Value::Array(pairs.collect()).to_string() };
    indexed(status, &body, read.index)
}

fn indexed(status: u16, body: &str, index: u64) -> Response {
    let mut response = text(status, body);
    response.insert_header("X-Consul-Index", index.to_string());
    response
}

fn text(status: u16, body: &str) -> Response {
    let mut response = Response::new(status);
    response.set_body(body);
    response
}
