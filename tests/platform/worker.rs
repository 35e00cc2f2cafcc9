//! A fake worker of the platform, which enforces fencing tokens and leases over HTTP. All workers of a test share a
//! ledger that records tasks that run twice at a time or exceed a worker's capacity.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime};

use event_listener::Event;
use gypsumkeel::http::server::Handler;
use gypsumkeel::runtime;
use http_types::{Request, Response};
use serde_json::{Value, json};
use smol::Timer;
use smol::future::FutureExt as _;

use super::serve;

/// The longest time after which an idle worker looks whether its test has ended.
const IDLE_MAX: Duration = Duration::from_secs(1);

/// How long a worker takes to stop an attempt, in milliseconds; the platform allows 50.
const STOP_MS: u64 = 30;

/// The longest lease that a worker grants, in milliseconds.
const LEASE_MAX_MS: u64 = 1000;

/// The capacity of a worker, in thousandths of a core.
pub const CPU: u64 = 16_000;

/// A record of the tasks on all workers of a test.
#[derive(Debug, Default)]
pub struct Ledger {
    /// The running attempts at each task.
    running: Mutex<HashMap<String, Vec<Run>>>,
    /// If set, what happened to each task.
    pub history: Mutex<Option<HashMap<String, Vec<Note>>>>,
    /// The tasks that have succeeded.
    pub done: Mutex<BTreeSet<String>>,
    /// Violated invariants.
    pub violations: Mutex<Vec<String>>,
    /// The number of attempts started so far.
    pub starts: Mutex<u32>,
    /// The number of attempts that were stopped or whose lease lapsed.
    pub interrupted: Mutex<u32>,
}

/// A running attempt as the ledger knows it.
#[derive(Clone, Debug)]
struct Run {
    worker: Arc<str>,
    number: u64,
    fence: u64,
}

/// Something that happened to an attempt at a task.
#[derive(Clone, Debug)]
pub struct Note {
    pub at: SystemTime,
    pub worker: Arc<str>,
    pub number: u64,
    /// The fencing token of the order; 0 if there was none.
    pub fence: u64,
    /// `start`, `stop`, or how the attempt ended.
    pub what: &'static str,
}

/// A fake worker. The text of a task gives its cores, in thousandths, and its duration, in milliseconds: `CPU MS`.
#[derive(Debug)]
pub struct Worker {
    pub id: String,
    pub domain: String,
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    id: Arc<str>,
    /// Notified when the lease, the running attempts or the completions change.
    changed: Arc<Event>,
    /// The number of the last entry in the store.
    sequence: u64,
    started_at: Instant,
    incarnation: u64,
    /// The highest fencing token seen.
    fence: u64,
    /// The end of the lease on the worker's clock.
    lease: u64,
    running: Vec<Attempt>,
    /// The completions that are not acknowledged yet.
    completions: Vec<Value>,
    next_completion: u64,
    /// Attempts that were stopped or have ended, by task and number.
    stopped: Vec<(String, u64)>,
    ledger: Arc<Ledger>,
    /// Whether calls get no response.
    silent: bool,
    /// Whether another worker responds at this one's address.
    is_replaced: bool,
    /// The number of calls meant for this worker.
    calls: u64,
    /// The number of attempts started on this worker.
    starts: u64,
    /// If set, starts get no response and take effect after this delay.
    delay: Option<Duration>,
}

/// An attempt at a task. Times are on the worker's clock.
#[derive(Clone, Debug)]
struct Attempt {
    task: String,
    number: u64,
    cpu: u64,
    started_at: u64,
    ends_at: u64,
    /// When it ends because of a stop.
    stops_at: Option<u64>,
    /// The fencing token of its start.
    fence: u64,
}

impl Worker {
    pub fn start(id: &str, domain: &str, ledger: &Arc<Ledger>) -> Self {
        let state = State {
            id: Arc::from(id),
            changed: Arc::default(),
            sequence: 0,
            started_at: Instant::now(),
            incarnation: 1,
            fence: 0,
            lease: 0,
            running: Vec::new(),
            completions: Vec::new(),
            next_completion: 1,
            stopped: Vec::new(),
            ledger: Arc::clone(ledger),
            silent: false,
            is_replaced: false,
            calls: 0,
            starts: 0,
            delay: None,
        };
        let state = Arc::new(Mutex::new(state));
        // Leases lapse on time even if no call arrives.
        let watched = Arc::downgrade(&state);
        runtime::spawn(async move {
            while let Some(state) = watched.upgrade() {
                let (changed, pause) = {
                    let mut state = state.lock().unwrap();
                    state.advance();
                    (state.changed.listen(), state.until_next_end())
                };
                drop(state);
                let timer = async {
                    Timer::after(pause).await;
                };
                timer.or(changed).await;
            }
        })
        .detach();
        let address = serve(Arc::new(Api { id: id.to_owned(), state: Arc::clone(&state) }));
        Self { id: id.to_owned(), domain: domain.to_owned(), address, state }
    }

    /// The worker's entry in the store.
    pub fn entry(&self, state: &str) -> Value {
        let (incarnation, sequence) = {
            let mut state = self.state.lock().unwrap();
            state.sequence += 1;
            (state.incarnation, state.sequence)
        };
        json!({
            "service": "desk", "addr": self.address, "zone": self.domain, "version": "v1", "slots": 8,
            "state": state, "coldLeftMs": 0, "room": { "cpu": CPU, "memMb": 32_000, "gpu": 0 },
            "labels": ["kind", format!("rack-{}", self.domain)], "born": incarnation, "seq": sequence,
        })
    }

    /// The highest fencing token that the worker has seen.
    pub fn fence(&self) -> u64 {
        self.state.lock().unwrap().fence
    }

    /// The round of the highest fencing token that the worker has seen.
    pub fn round(&self) -> u64 {
        self.fence() >> 31
    }

    /// The number of running attempts.
    pub fn running(&self) -> usize {
        let mut state = self.state.lock().unwrap();
        state.advance();
        state.running.len()
    }

    /// Leaves calls without a response.
    pub fn set_silent(&self, silent: bool) {
        self.state.lock().unwrap().silent = silent;
    }

    /// Lets another worker respond at this one's address, or this one again.
    pub fn set_replaced(&self, is_replaced: bool) {
        self.state.lock().unwrap().is_replaced = is_replaced;
    }

    /// The number of calls meant for this worker so far.
    pub fn calls(&self) -> u64 {
        self.state.lock().unwrap().calls
    }

    /// The number of attempts started on this worker so far.
    pub fn starts(&self) -> u64 {
        self.state.lock().unwrap().starts
    }

    /// Carries out starts after a delay and without a response; `None` restores normal service.
    pub fn delay_starts(&self, delay: Option<Duration>) {
        self.state.lock().unwrap().delay = delay;
    }

    /// Restarts the worker under the same id without any state.
    pub fn crash(&self) {
        let mut state = self.state.lock().unwrap();
        for attempt in std::mem::take(&mut state.running) {
            state.ledger.end(&state.id, &attempt, "crashed");
        }
        state.started_at = Instant::now();
        state.incarnation += 1;
        state.fence = 0;
        state.lease = 0;
        state.next_completion = 1;
        state.completions.clear();
        state.stopped.clear();
    }
}

impl Ledger {
    /// Records the start of an attempt.
    fn start(&self, worker: &Arc<str>, attempt: &Attempt) {
        *self.starts.lock().unwrap() += 1;
        self.note(worker, attempt, attempt.fence, "start");
        let task = &attempt.task;
        let mut running = self.running.lock().unwrap();
        let runs = running.entry(task.clone()).or_default();
        let run = Run { worker: Arc::clone(worker), number: attempt.number, fence: attempt.fence };
        runs.push(run);
        if runs.len() > 1 {
            self.violations.lock().unwrap().push(format!("{task} runs twice: {runs:?}"));
        }
    }

    /// Records the end of an attempt.
    fn end(&self, worker: &Arc<str>, attempt: &Attempt, ending: &'static str) {
        self.note(worker, attempt, 0, ending);
        let mut running = self.running.lock().unwrap();
        let Some(runs) = running.get_mut(&attempt.task) else { return };
        let is_ended = |run: &Run| run.worker == *worker && run.number == attempt.number;
        if let Some(position) = runs.iter().position(is_ended) {
            runs.remove(position);
        }
        if runs.is_empty() {
            running.remove(&attempt.task);
        }
    }

    /// Adds to the history of a task, if there is one.
    fn note(&self, worker: &Arc<str>, attempt: &Attempt, fence: u64, what: &'static str) {
        if let Some(history) = self.history.lock().unwrap().as_mut() {
            let (at, number) = (SystemTime::now(), attempt.number);
            let note = Note { at, worker: Arc::clone(worker), number, fence, what };
            history.entry(attempt.task.clone()).or_default().push(note);
        }
    }
}

impl State {
    /// The time on the worker's clock, in milliseconds.
    fn clock(&self) -> u64 {
        1_000_000 + self.started_at.elapsed().as_millis() as u64
    }

    /// Counts a call; true if another worker responds in this one's place.
    const fn is_answered_by_another(&mut self) -> bool {
        self.calls += 1;
        self.is_replaced
    }

    /// Ends the attempts that are complete or whose lease has lapsed.
    fn advance(&mut self) {
        let clock = self.clock();
        for attempt in std::mem::take(&mut self.running) {
            if clock >= attempt.ends_at && attempt.ends_at <= self.lease {
                self.ledger.done.lock().unwrap().insert(attempt.task.clone());
                self.end(&attempt, "done");
            } else if attempt.stops_at.is_some_and(|at| clock >= at) {
                self.end(&attempt, "stopped");
            } else if clock >= self.lease {
                self.end(&attempt, "lapsed");
            } else {
                self.running.push(attempt);
            }
        }
    }

    /// The time until an attempt may end, as far as is known now.
    fn until_next_end(&self) -> Duration {
        let ends = self.running.iter().map(|attempt| {
            let end = attempt.ends_at.min(self.lease);
            attempt.stops_at.map_or(end, |at| at.min(end))
        });
        let clock = self.clock();
        ends.min().map_or(IDLE_MAX, |end| Duration::from_millis(end.saturating_sub(clock).max(1)))
    }

    fn end(&mut self, attempt: &Attempt, ending: &'static str) {
        self.ledger.end(&self.id, attempt, ending);
        self.changed.notify(usize::MAX);
        if ending != "done" {
            *self.ledger.interrupted.lock().unwrap() += 1;
        }
        self.stopped.push((attempt.task.clone(), attempt.number));
        let completion = json!([self.next_completion, attempt.task, attempt.number, ending, ""]);
        self.completions.push(completion);
        self.next_completion += 1;
    }

    /// Extends the lease to `until`, or as far as the longest lease reaches.
    fn extend(&mut self, until: u64) {
        self.lease = self.lease.max(until.min(self.clock() + LEASE_MAX_MS));
        self.changed.notify(usize::MAX);
    }

    /// Whether a call's fencing token is high enough.
    fn admits(&mut self, body: &Value) -> bool {
        let fence = body["fence"].as_u64().unwrap_or(0);
        let admits = fence >= self.fence;
        self.fence = self.fence.max(fence);
        admits
    }

    fn start(&mut self, body: &Value) -> Response {
        let (task, number) = (body["task"].as_str().unwrap(), body["run"].as_u64().unwrap());
        if self.running.iter().any(|known| known.task == task && known.number == number) {
            return self.answer(200, None);
        }
        let until = body["untilMs"].as_u64().unwrap();
        self.extend(until);
        if self.stopped.iter().any(|(old, last)| old == task && number <= *last) {
            return self.answer(409, Some("old"));
        }
        if until <= self.clock() {
            return self.answer(409, Some("late"));
        }
        let spec = body["spec"].as_str().unwrap();
        let (cpu, duration) = spec.split_once(' ').unwrap();
        let (cpu, duration) = (cpu.parse::<u64>().unwrap(), duration.parse::<u64>().unwrap());
        let used = self.running.iter().map(|attempt| attempt.cpu).sum::<u64>();
        if used + cpu > CPU {
            self.ledger
                .violations
                .lock()
                .unwrap()
                .push(format!("{task} exceeds the capacity of its worker"));
        }
        let started_at = self.clock();
        let (task, fence) = (task.to_owned(), body["fence"].as_u64().unwrap_or(0));
        let ends_at = started_at + duration;
        let attempt = Attempt { task, number, cpu, started_at, ends_at, stops_at: None, fence };
        self.ledger.start(&self.id, &attempt);
        self.starts += 1;
        self.running.push(attempt);
        self.answer(200, None)
    }

    fn stop(&mut self, body: &Value) -> Response {
        let (task, number) = (body["task"].as_str().unwrap(), body["run"].as_u64().unwrap());
        self.stopped.push((task.to_owned(), number));
        let stops_at = self.clock() + STOP_MS;
        let is_meant = |attempt: &&mut Attempt| attempt.task == task && attempt.number == number;
        if let Some(attempt) = self.running.iter_mut().find(is_meant) {
            attempt.stops_at.get_or_insert(stops_at);
            let fence = body["fence"].as_u64().unwrap_or(0);
            self.ledger.note(&self.id, attempt, fence, "stop");
        }
        self.changed.notify(usize::MAX);
        self.answer(200, None)
    }

    /// The response to a poll: the running attempts and the completions.
    fn report(&self) -> Response {
        let clock = self.clock();
        let running = self.running.iter().map(|attempt| {
            let duration = (attempt.ends_at - attempt.started_at).max(1);
            let percent = (clock - attempt.started_at) * 100 / duration;
            json!([attempt.task, attempt.number, "", percent.min(99), attempt.cpu])
        });
        let body = json!({ "clockMs": clock, "born": self.incarnation,
            "running": running.collect::<Vec<_>>(), "ended": self.completions });
        let mut response = Response::new(200);
        response.set_body(body.to_string());
        response
    }

    fn answer(&self, status: u16, reason: Option<&str>) -> Response {
        let mut response = Response::new(status);
        response.set_body(json!({ "clockMs": self.clock(), "reason": reason }).to_string());
        response
    }
}

#[derive(Debug)]
struct Api {
    id: String,
    state: Arc<Mutex<State>>,
}

impl Handler for Api {
    fn answer(
        self: Arc<Self>,
        mut request: Request,
    ) -> Pin<Box<dyn Future<Output = Response> + Send>> {
        Box::pin(async move {
            let body = request.body_string().await.unwrap_or_default();
            // A caller that leaves may cut its request short.
            let Ok(body) = serde_json::from_str::<Value>(&body) else { return Response::new(400) };
            let expects = request.header("Expect-Instance").map(|value| value.last().as_str());
            if expects != Some(self.id.as_str())
                || self.state.lock().unwrap().is_answered_by_another()
            {
                return Response::new(421);
            }
            if self.state.lock().unwrap().silent {
                smol::future::pending::<()>().await;
            }
            let path = request.url().path().to_owned();
            if path == "/api/hold" {
                return self.poll(&body).await;
            }
            let is_start = path == "/api/run-start";
            let delay = self.state.lock().unwrap().delay.filter(|_| is_start);
            if let Some(delay) = delay {
                // Carried out even if the caller has given up the call.
                runtime::spawn(async move {
                    Timer::after(delay).await;
                    drop(self.start_or_stop(is_start, &body));
                })
                .detach();
                return smol::future::pending().await;
            }
            self.start_or_stop(is_start, &body)
        })
    }

    fn body_max(&self) -> u64 {
        1 << 20
    }
}

impl Api {
    fn start_or_stop(&self, is_start: bool, body: &Value) -> Response {
        let mut state = self.state.lock().unwrap();
        state.advance();
        if !state.admits(body) {
            return state.answer(409, Some("fence"));
        }
        if is_start { state.start(body) } else { state.stop(body) }
    }

    async fn poll(&self, body: &Value) -> Response {
        let deadline = Instant::now() + Duration::from_millis(body["waitMs"].as_u64().unwrap_or(0));
        let acknowledged = body["seenUpto"].as_u64().unwrap();
        {
            let mut state = self.state.lock().unwrap();
            state.advance();
            if !state.admits(body) {
                return state.answer(409, Some("fence"));
            }
            if let Some(until) = body["untilMs"].as_u64() {
                state.extend(until);
            }
            state.completions.retain(|completion| completion[0].as_u64() > Some(acknowledged));
        }
        loop {
            let changed = {
                let mut state = self.state.lock().unwrap();
                state.advance();
                if !state.completions.is_empty() || Instant::now() >= deadline {
                    return state.report();
                }
                state.changed.listen()
            };
            let timer = async {
                Timer::at(deadline).await;
            };
            timer.or(changed).await;
        }
    }
}
