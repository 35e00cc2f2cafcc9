//! A worker of the platform: fencing, leases, starts, stops and holds over HTTP, as PROTOCOL.md tells them. Its tasks do
//! nothing but last as long as their text says: `MS CPU`, milliseconds and thousandths of a core. It doesn't guard its room.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Process, Request};
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

#[derive(Clone, Debug)]
pub struct Worker {
    pub id: String,
    shared: Arc<Shared>,
    process: Process,
}

#[derive(Debug)]
struct Shared {
    id: String,
    zone: String,
    address: Mutex<Option<SocketAddr>>,
    state: Mutex<State>,
    changed: Condvar,
    store: Store,
    ledger: Ledger,
    record: Record,
}

#[derive(Debug)]
struct State {
    kind: Kind,
    /// The Unix time of the start of this life, in milliseconds.
    born: u64,
    started_at: Instant,
    /// When this life answers its first call.
    up_at: Instant,
    fence: u64,
    /// When the lease ends, on the worker's clock.
    lease: u64,
    running: Vec<Run>,
    ended: Vec<(u64, String, u64, &'static str)>,
    next_end: u64,
    /// Runs that were stopped or have ended, by task.
    closed: Vec<(String, u64)>,
    /// When a hold last arrived.
    held_at: Option<Instant>,
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
    /// A life that knows nothing of a former one.
    fn new(kind: Kind, up_at: Instant) -> Self {
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            kind,
            born: born.map_or(1, |time| time.as_millis() as u64),
            started_at: up_at,
            up_at,
            fence: 0,
            lease: 0,
            running: Vec::new(),
            ended: Vec::new(),
            next_end: 1,
            closed: Vec::new(),
            held_at: None,
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

impl Worker {
    /// Starts a worker, which writes its entry to the store from then on.
    pub fn start(
        id: &str,
        zone: &str,
        kind: Kind,
        store: &Store,
        ledger: &Ledger,
        record: &Record,
    ) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            zone: zone.to_owned(),
            address: Mutex::default(),
            state: Mutex::new(State::new(kind, Instant::now())),
            changed: Condvar::new(),
            store: store.clone(),
            ledger: Arc::clone(ledger),
            record: record.clone(),
        });
        let serving = Arc::clone(&shared);
        let (address, process) = http::serve(Arc::new(move |request| serving.answer(&request)))?;
        *shared.address.lock().unwrap() = Some(address);
        let running = Arc::clone(&shared);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(2));
                running.advance(&mut running.state.lock().unwrap());
            }
        });
        let beating = Arc::clone(&shared);
        thread::spawn(move || {
            for sequence in 1.. {
                beating.write_entry(sequence);
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(Self { id: id.to_owned(), shared, process })
    }

    /// Ends the worker's process and starts it again under its id, as the same kind or another. Its connections close at once; those
    /// that are opened meanwhile wait until the new process is up, which then writes its entry.
    pub fn restart(&self, kind: Kind, after: Duration) {
        let mut state = self.shared.state.lock().unwrap();
        for run in std::mem::take(&mut state.running) {
            self.shared.note(&run.task, "gone");
        }
        *state = State::new(kind, Instant::now() + after);
        drop(state);
        self.process.restart(after);
        self.shared.changed.notify_all();
        self.shared.record.line(&format!("worker {} starts again as kind {}", self.id, kind.label));
        let shared = Arc::clone(&self.shared);
        thread::spawn(move || {
            thread::sleep(after);
            shared.write_entry(1);
        });
    }

    /// How long ago the last hold arrived that still waits or has been answered.
    pub fn since_hold(&self) -> Option<Duration> {
        self.shared.state.lock().unwrap().held_at.map(|at| at.elapsed())
    }
}

impl Shared {
    fn write_entry(&self, sequence: u64) {
        let Some(address) = *self.address.lock().unwrap() else { return };
        let entry = {
            let state = self.state.lock().unwrap();
            if state.up_at > Instant::now() {
                return;
            }
            object([
                ("service", "desk".into()),
                ("addr", address.to_string().as_str().into()),
                ("zone", self.zone.as_str().into()),
                ("version", "v1".into()),
                ("slots", 8.into()),
                ("state", "ready".into()),
                ("coldLeftMs", 0.into()),
                (
                    "room",
                    object([
                        ("cpu", state.kind.cpu.into()),
                        ("memMb", 32_768.into()),
                        ("gpu", 0.into()),
                    ]),
                ),
                (
                    "labels",
                    vec![state.kind.label.into(), format!("r-{}", self.zone).as_str().into()]
                        .into(),
                ),
                ("clockMs", state.clock().into()),
                ("born", state.born.into()),
                ("seq", sequence.into()),
            ])
        };
        self.store.put(&format!("servers/{}", self.id), &entry);
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

    /// Answers a call; `None` if the process that got it has ended.
    fn answer(&self, request: &Request) -> Option<(u16, String)> {
        if request.method == "GET" && request.path == "/healthz" {
            return Some((200, String::new()));
        }
        if request.header("Expect-Instance").is_some_and(|id| id != self.id) {
            return Some((421, String::new()));
        }
        let Some(body) = Value::parse(&request.body) else { return Some((400, String::new())) };
        let mut state = self.state.lock().unwrap();
        if state.up_at > Instant::now() {
            // The process that has read the call has ended.
            return None;
        }
        self.advance(&mut state);
        let fence = body.number("fence").unwrap_or(0);
        if fence < state.fence {
            return Some(state.reply(409, Some("fence")));
        }
        state.fence = fence;
        match request.path.as_str() {
            "/api/run-start" => Some(self.start(&mut state, &body)),
            "/api/run-stop" => Some(self.stop(&mut state, &body)),
            "/api/hold" => {
                drop(state);
                self.hold(&body)
            }
            _ => Some((400, String::new())),
        }
    }

    fn start(&self, state: &mut State, body: &Value) -> (u16, String) {
        let (task, number) = (body.text("task"), body.number("run"));
        let (until, text) = (body.number("untilMs"), body.text("spec"));
        let (Some(task), Some(number), Some(until), Some(text)) = (task, number, until, text)
        else {
            return state.reply(400, None);
        };
        let mut words = text.split(' ').map(str::parse::<u64>);
        let Some(Ok(duration)) = words.next() else {
            return state.reply(400, None);
        };
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

    fn hold(&self, body: &Value) -> Option<(u16, String)> {
        let seen = body.number("seenUpto").unwrap_or(0);
        let wait = body.number("waitMs").unwrap_or(0).min(2000);
        let deadline = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.lock().unwrap();
        let born = state.born;
        state.held_at = Some(Instant::now());
        if let Some(until) = body.number("untilMs") {
            state.lease = state.lease.max(until.min(state.clock() + LEASE_MAX_MS));
        }
        state.ended.retain(|(number, ..)| *number > seen);
        loop {
            if state.born != born {
                return None;
            }
            let now = Instant::now();
            if !state.ended.is_empty() || now >= deadline {
                return Some((200, state.report().to_string()));
            }
            state = self.changed.wait_timeout(state, deadline - now).unwrap().0;
        }
    }
}

/// The pairs of runs of one task that were at work at the same time, with the workers and how long.
pub fn overlaps(events: &[Event]) -> Vec<(String, String, String, Duration)> {
    let mut runs = Vec::<(&Event, Instant)>::new();
    for (index, start) in events.iter().enumerate().filter(|(_, event)| event.what == "start") {
        let end = events[index..].iter().find(|event| {
            event.what != "start" && event.task == start.task && event.worker == start.worker
        });
        runs.push((start, end.map_or_else(Instant::now, |event| event.at)));
    }
    let mut found = Vec::new();
    for (index, (first, first_end)) in runs.iter().enumerate() {
        for (second, second_end) in &runs[index + 1..] {
            let together = (*first_end.min(second_end)).saturating_duration_since(second.at);
            if first.task == second.task && together > Duration::ZERO {
                let workers = (first.worker.clone(), second.worker.clone());
                found.push((first.task.clone(), workers.0, workers.1, together));
            }
        }
    }
    found
}
