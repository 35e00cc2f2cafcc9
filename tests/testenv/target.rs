//! A fake target: runs each task for the duration in its payload, answers with the payload's id, and can be told to
//! misbehave. It counts the starts of each task independently of the program under test.

use std::collections::{HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde::Deserialize;
use serde_json::json;
use smol::io::{AsyncReadExt as _, AsyncWriteExt as _};
use smol::net::{TcpListener, TcpStream};
use smol::{Task, Timer};

use super::{EXECUTOR, cancel, free_host};

/// The interval at which a running task reads the slowdown of its target, in milliseconds.
const STEP_MS: f64 = 20.0;

/// All starts on the targets of an environment, by payload id.
#[derive(Debug, Default)]
pub struct Ledger {
    /// The name of the target of each start, in the order of the starts.
    starts: Mutex<HashMap<String, Vec<String>>>,
}

impl Ledger {
    fn record(&self, id: &str, target: &str) {
        self.starts.lock().unwrap().entry(id.into()).or_default().push(target.into());
    }

    /// How often the task with a payload id was started.
    pub fn starts(&self, id: &str) -> usize {
        self.starts.lock().unwrap().get(id).map_or(0, Vec::len)
    }

    /// The targets that started the task with a payload id, in the order of the starts.
    pub fn targets(&self, id: &str) -> Vec<String> {
        self.starts.lock().unwrap().get(id).cloned().unwrap_or_default()
    }

    /// How many different payload ids were started.
    pub fn ids(&self) -> usize {
        self.starts.lock().unwrap().len()
    }

    /// The number of starts of all tasks.
    pub fn total(&self) -> usize {
        self.starts.lock().unwrap().values().map(Vec::len).sum()
    }

    /// The payload ids outside `allowed` that were started more than once, and the targets that started them.
    pub fn repeated(&self, allowed: &HashSet<String>) -> Vec<(String, Vec<String>)> {
        let starts = self.starts.lock().unwrap();
        let repeated =
            starts.iter().filter(|(id, targets)| targets.len() > 1 && !allowed.contains(*id));
        repeated.map(|(id, targets)| (id.clone(), targets.clone())).collect()
    }
}

/// How a target misbehaves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fault {
    /// It doesn't misbehave.
    #[default]
    None,
    /// Every task fails at once with status 500.
    Fail,
    /// Tasks start and get no answer.
    Stall,
    /// Answers have the task id of another task.
    WrongId,
    /// The connection is closed as soon as the task has started.
    CloseAfterStart,
    /// The connection is closed when the task has completed, without an answer.
    DropAnswer,
}

/// The present behaviour of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Mode {
    pub fault: Fault,
    /// The factor on the durations in payloads; may change while tasks run.
    pub slowdown: f64,
    /// The number of tasks that can run at once; more are refused as not started.
    pub slots: usize,
    /// Whether all tasks are refused as not started.
    pub leaving: bool,
}

/// Counters of a target's tasks, health checks and connections.
#[derive(Debug, Default)]
pub struct Counts {
    pub running: AtomicUsize,
    pub answered: AtomicUsize,
    pub refused: AtomicUsize,
    pub probes: AtomicUsize,
    pub connections: AtomicUsize,
    pub connections_max: AtomicUsize,
}

#[derive(Debug)]
struct Shared {
    name: String,
    mode: Mutex<Mode>,
    counts: Counts,
    ledger: Arc<Ledger>,
    connections: Mutex<Vec<Task<()>>>,
}

/// A running fake target.
#[derive(Debug)]
pub struct Target {
    pub name: String,
    pub address: SocketAddr,
    shared: Arc<Shared>,
    accepting: Mutex<Option<Task<()>>>,
}

impl Target {
    /// Starts a target on a free port.
    pub fn start(name: &str, slots: usize, ledger: Arc<Ledger>) -> Self {
        let mode = Mode { fault: Fault::None, slowdown: 1.0, slots, leaving: false };
        let shared = Arc::new(Shared {
            name: name.into(),
            mode: Mutex::new(mode),
            counts: Counts::default(),
            ledger,
            connections: Mutex::default(),
        });
        let (address, accepting) = listen(&shared, (free_host(), 0).into());
        Self { name: name.into(), address, shared, accepting: Mutex::new(Some(accepting)) }
    }

    /// Changes the behaviour of the target.
    pub fn set(&self, change: impl FnOnce(&mut Mode)) {
        change(&mut self.shared.mode.lock().unwrap());
    }

    /// The counters of the target.
    pub fn counts(&self) -> &Counts {
        &self.shared.counts
    }

    /// Closes the port and all connections, and drops the tasks that run.
    pub fn kill(&self) {
        let accepting = self.accepting.lock().unwrap().take();
        cancel(accepting);
        let connections = std::mem::take(&mut *self.shared.connections.lock().unwrap());
        cancel(connections);
    }

    /// Listens on the same port again.
    pub fn revive(&self) {
        let (_, accepting) = listen(&self.shared, self.address);
        *self.accepting.lock().unwrap() = Some(accepting);
    }
}

impl Drop for Target {
    fn drop(&mut self) {
        self.kill();
    }
}

fn listen(shared: &Arc<Shared>, address: SocketAddr) -> (SocketAddr, Task<()>) {
    let listener = smol::block_on(TcpListener::bind(address)).unwrap();
    let bound = listener.local_addr().unwrap();
    let shared = Arc::clone(shared);
    let accepting = EXECUTOR.spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let served = EXECUTOR.spawn(serve(Arc::clone(&shared), stream));
            let mut connections = shared.connections.lock().unwrap();
            connections.retain(|task| !task.is_finished());
            connections.push(served);
        }
    });
    (bound, accepting)
}

/// Adds one to a counter until it is dropped.
struct Guard<'a>(&'a AtomicUsize);

impl<'a> Guard<'a> {
    /// Returns the new value of the counter too.
    fn new(counter: &'a AtomicUsize) -> (Self, usize) {
        let count = counter.fetch_add(1, Ordering::Relaxed) + 1;
        (Self(counter), count)
    }
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn serve(shared: Arc<Shared>, mut stream: TcpStream) {
    let (_open, open) = Guard::new(&shared.counts.connections);
    shared.counts.connections_max.fetch_max(open, Ordering::Relaxed);
    drop(stream.set_nodelay(true));
    let mut buffer = Vec::new();
    while let Ok(Some(request)) = read(&mut stream, &mut buffer).await {
        let Some(answer) = shared.answer(&request, &mut stream).await else { return };
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

struct Request {
    path: String,
    task: String,
    body: Vec<u8>,
}

#[derive(Deserialize)]
struct Payload {
    id: String,
    #[serde(default)]
    ms: f64,
    /// Whether the task fails on every target.
    #[serde(default)]
    fail: bool,
}

impl Shared {
    async fn answer(&self, request: &Request, stream: &mut TcpStream) -> Option<String> {
        if request.path == "/healthz" {
            self.counts.probes.fetch_add(1, Ordering::Relaxed);
            return Some(reply("200 OK", "", "{}"));
        }
        if request.path != "/v1/tasks" {
            return Some(reply("404 Not Found", "", "{}"));
        }
        let mode = *self.mode.lock().unwrap();
        let (_running, running) = Guard::new(&self.counts.running);
        if mode.leaving || running > mode.slots {
            self.counts.refused.fetch_add(1, Ordering::Relaxed);
            return Some(reply("503 Service Unavailable", "Not-Started: true\r\n", "{}"));
        }
        let payload = serde_json::from_slice::<Payload>(&request.body).unwrap();
        self.ledger.record(&payload.id, &self.name);
        let echoed = format!("Task-Id: {}\r\n", request.task);
        match mode.fault {
            Fault::Fail => {
                return Some(reply("500 Internal Server Error", &echoed, r#"{"error":"broken"}"#));
            }
            Fault::CloseAfterStart => return None,
            Fault::Stall => {
                drop(stream.read(&mut [0]).await);
                return None;
            }
            Fault::None | Fault::WrongId | Fault::DropAnswer => self.run(payload.ms).await,
        }
        let body = json!({ "id": payload.id, "target": self.name }).to_string();
        self.counts.answered.fetch_add(1, Ordering::Relaxed);
        match mode.fault {
            Fault::DropAnswer => None,
            Fault::WrongId => Some(reply("200 OK", "Task-Id: another-task\r\n", &body)),
            _ if payload.fail => Some(reply("500 Internal Server Error", &echoed, &body)),
            _ => Some(reply("200 OK", &echoed, &body)),
        }
    }

    async fn run(&self, ms: f64) {
        let mut remaining = ms;
        while remaining > 0.0 {
            let slowdown = self.mode.lock().unwrap().slowdown;
            let step = (remaining * slowdown).min(STEP_MS);
            Timer::after(Duration::from_secs_f64(step / 1000.0)).await;
            remaining -= step / slowdown;
        }
    }
}

fn reply(status: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

/// Reads a request, whose head states the length of its body; returns `None` at the end of the stream.
async fn read(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Request>> {
    let head_end = loop {
        if let Some(at) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            break at + 4;
        }
        if !read_more(stream, buffer).await? {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    let length = header(&head, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    while buffer.len() < head_end + length {
        if !read_more(stream, buffer).await? {
            return Ok(None);
        }
    }
    let body = buffer[head_end..head_end + length].to_vec();
    buffer.drain(..head_end + length);
    let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
    let task = header(&head, "task-id").unwrap_or_default().to_owned();
    Ok(Some(Request { path, task, body }))
}

async fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<bool> {
    let mut chunk = [0; 4096];
    let read = stream.read(&mut chunk).await?;
    buffer.extend_from_slice(&chunk[..read]);
    Ok(read > 0)
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let fields = head.lines().filter_map(|line| line.split_once(':'));
    let mut named = fields.filter(|(field, _)| field.eq_ignore_ascii_case(name));
    named.next().map(|(_, value)| value.trim())
}
