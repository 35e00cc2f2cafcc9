//! A worker of the platform: fencing, leases, starts, stops and holds over HTTP, as PROTOCOL.md tells them. Its tasks do
//! nothing but last as long as their text says: `MS CPU`, milliseconds and thousandths of a core. It doesn't guard its room.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Request};
use crate::json::{Value, object};
use crate::record::Record;
use crate::store::Store;

/// The longest lease that a worker grants, in milliseconds.
const LEASE_MAX_MS: u64 = 1000;

/// How long a stop takes, in milliseconds. The pages allow 50.
const STOP_MS: u64 = 20;

/// The interval at which a worker writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1500);

/// A kind of worker: its label, and its room in thousandths of a core. The small sites have two, `b` half as large again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Kind {
    pub label: &'static str,
    pub cpu: u64,
}

pub const KIND_A: Kind = Kind { label: "a", cpu: 16_000 };
pub const KIND_B: Kind = Kind { label: "b", cpu: 24_000 };

/// Something that happened to a run of a task.
#[derive(Clone, Debug)]
pub struct Event {
    pub at: Instant,
    pub worker: String,
    pub task: String,
    /// `start`, or how the run ended.
    pub what: &'static str,
}

/// What has run on all workers.
pub type Ledger = Arc<Mutex<Vec<Event>>>;

#[derive(Debug)]
struct Shared {
    id: String,
    zone: String,
    state: Mutex<State>,
    changed: Condvar,
    ledger: Ledger,
    record: Record,
}

#[derive(Debug)]
struct State {
    kind: Kind,
    /// The Unix time of the start, in milliseconds.
    born: u64,
    started_at: Instant,
    fence: u64,
    /// When the lease ends, on the worker's clock.
    lease: u64,
    running: Vec<Run>,
    ended: Vec<(u64, String, u64, &'static str)>,
    next_end: u64,
    /// Runs that were stopped or have ended, by task.
    closed: Vec<(String, u64)>,
}

#[derive(Clone, Debug)]
struct Run {
    task: String,
    number: u64,
    started: u64,
    ends: u64,
    stops: Option<u64>,
}

impl State {
    fn new(kind: Kind) -> Self {
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            kind,
            born: born.map_or(1, |time| time.as_millis() as u64),
            started_at: Instant::now(),
            fence: 0,
            lease: 0,
            running: Vec::new(),
            ended: Vec::new(),
            next_end: 1,
            closed: Vec::new(),
        }
    }

    /// The worker's steady clock, in milliseconds.
    fn clock(&self) -> u64 {
        10_000 + self.started_at.elapsed().as_millis() as u64
    }

    fn reply(&self, status: u16, reason: Option<&str>) -> (u16, String) {
        let mut fields = vec![
            ("clockMs".to_owned(), Value::from(self.clock())),
            ("born".to_owned(), Value::from(self.born)),
        ];
        if let Some(reason) = reason {
            fields.push(("reason".to_owned(), reason.into()));
        }
        (status, Value::Object(fields).to_string())
    }

    fn report(&self) -> Value {
        let clock = self.clock();
        let running = self.running.iter().map(|run| {
            let length = (run.ends - run.started).max(1);
            let percent = ((clock - run.started) * 100 / length).min(99);
            let row = vec![run.task.as_str().into(), run.number.into(), "".into(), percent.into()];
            Value::from(row)
        });
        let ended = self.ended.iter().take(500).map(|(number, task, run, how)| {
            let task = task.as_str().into();
            Value::from(vec![(*number).into(), task, (*run).into(), (*how).into(), "".into()])
        });
        object([
            ("clockMs", clock.into()),
            ("born", self.born.into()),
            ("running", running.collect::<Vec<_>>().into()),
            ("ended", ended.collect::<Vec<_>>().into()),
        ])
    }
}

/// Starts a worker, which writes its entry to the store from then on.
pub fn start(
    id: &str,
    zone: &str,
    kind: Kind,
    store: &Store,
    ledger: &Ledger,
    record: &Record,
) -> io::Result<()> {
    let shared = Arc::new(Shared {
        id: id.to_owned(),
        zone: zone.to_owned(),
        state: Mutex::new(State::new(kind)),
        changed: Condvar::new(),
        ledger: Arc::clone(ledger),
        record: record.clone(),
    });
    let serving = Arc::clone(&shared);
    let address = http::serve(Arc::new(move |request| Some(serving.answer(&request))))?;
    let running = Arc::clone(&shared);
    thread::spawn(move || {
        loop {
            thread::sleep(Duration::from_millis(2));
            running.advance(&mut running.state.lock().unwrap());
        }
    });
    let store = store.clone();
    thread::spawn(move || {
        for sequence in 1.. {
            store.put(&format!("servers/{}", shared.id), &shared.entry(address, sequence));
            thread::sleep(HEARTBEAT);
        }
    });
    Ok(())
}

impl Shared {
    fn entry(&self, address: SocketAddr, sequence: u64) -> Value {
        let state = self.state.lock().unwrap();
        let room =
            object([("cpu", state.kind.cpu.into()), ("memMb", 32_768.into()), ("gpu", 0.into())]);
        let rack = format!("r-{}", self.zone);
        object([
            ("service", "desk".into()),
            ("addr", address.to_string().as_str().into()),
            ("zone", self.zone.as_str().into()),
            ("version", "v1".into()),
            ("slots", 8.into()),
            ("state", "ready".into()),
            ("coldLeftMs", 0.into()),
            ("room", room),
            ("labels", vec![state.kind.label.into(), rack.as_str().into()].into()),
            ("clockMs", state.clock().into()),
            ("born", state.born.into()),
            ("seq", sequence.into()),
        ])
    }

    fn note(&self, task: &str, what: &'static str) {
        self.record.line(&format!("worker {} {what} {task}", self.id));
        let (worker, task) = (self.id.clone(), task.to_owned());
        let event = Event { at: Instant::now(), worker, task, what };
        self.ledger.lock().unwrap().push(event);
    }

    /// Ends the runs that are complete, stopped or without a lease.
    fn advance(&self, state: &mut State) {
        let clock = state.clock();
        let mut has_ended = false;
        for run in std::mem::take(&mut state.running) {
            let how = if run.stops.is_some_and(|at| clock >= at) {
                "stopped"
            } else if clock >= run.ends {
                "done"
            } else if clock >= state.lease {
                "lapsed"
            } else {
                state.running.push(run);
                continue;
            };
            self.note(&run.task, how);
            state.ended.push((state.next_end, run.task.clone(), run.number, how));
            state.next_end += 1;
            state.closed.push((run.task, run.number));
            has_ended = true;
        }
        if has_ended {
            self.changed.notify_all();
        }
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        if request.method == "GET" && request.path == "/healthz" {
            return (200, String::new());
        }
        if request.header("Expect-Instance").is_some_and(|id| id != self.id) {
            return (421, String::new());
        }
        let Some(body) = Value::parse(&request.body) else { return (400, String::new()) };
        let mut state = self.state.lock().unwrap();
        self.advance(&mut state);
        let fence = body.number("fence").unwrap_or(0);
        if fence < state.fence {
            return state.reply(409, Some("fence"));
        }
        state.fence = fence;
        match request.path.as_str() {
            "/api/run-start" => self.start(&mut state, &body),
            "/api/run-stop" => self.stop(&mut state, &body),
            "/api/hold" => {
                drop(state);
                self.hold(&body)
            }
            _ => (400, String::new()),
        }
    }

    fn start(&self, state: &mut State, body: &Value) -> (u16, String) {
        let (task, number) = (body.text("task"), body.number("run"));
        let (until, text) = (body.number("untilMs"), body.text("spec"));
        let (Some(task), Some(number), Some(until), Some(text)) = (task, number, until, text)
        else {
            return state.reply(400, None);
        };
        let duration = text.split(' ').next().and_then(|text| text.parse::<u64>().ok());
        let Some(duration) = duration else { return state.reply(400, None) };
        if state.running.iter().any(|run| run.task == task && run.number == number) {
            return state.reply(200, None);
        }
        let clock = state.clock();
        if until <= clock {
            return state.reply(409, Some("late"));
        }
        state.lease = state.lease.max(until.min(clock + LEASE_MAX_MS));
        if state.closed.iter().any(|(known, last)| known == task && number <= *last) {
            return state.reply(409, Some("old"));
        }
        let ends = clock + duration;
        state.running.push(Run {
            task: task.to_owned(),
            number,
            started: clock,
            ends,
            stops: None,
        });
        self.note(task, "start");
        state.reply(200, None)
    }

    fn stop(&self, state: &mut State, body: &Value) -> (u16, String) {
        let (Some(task), Some(number)) = (body.text("task"), body.number("run")) else {
            return state.reply(400, None);
        };
        state.closed.push((task.to_owned(), number));
        let stops = state.clock() + STOP_MS;
        let found = state.running.iter_mut().find(|run| run.task == task && run.number == number);
        if let Some(run) = found {
            run.stops.get_or_insert(stops);
        }
        state.reply(200, None)
    }

    fn hold(&self, body: &Value) -> (u16, String) {
        let seen = body.number("seenUpto").unwrap_or(0);
        let wait = body.number("waitMs").unwrap_or(0).min(2000);
        let deadline = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.lock().unwrap();
        if let Some(until) = body.number("untilMs") {
            state.lease = state.lease.max(until.min(state.clock() + LEASE_MAX_MS));
        }
        state.ended.retain(|(number, ..)| *number > seen);
        loop {
            let now = Instant::now();
            if !state.ended.is_empty() || now >= deadline {
                return (200, state.report().to_string());
            }
            state = self.changed.wait_timeout(state, deadline - now).unwrap().0;
        }
    }
}
