//! A worker of the platform: it obeys fencing tokens and leases over HTTP, and all workers of a test share a
//! ledger that notes whatever runs twice or without room.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use gypsumkeel::http::server::Handler;
use gypsumkeel::runtime;
use http_types::{Request, Response};
use serde_json::{Value, json};
use smol::Timer;

use super::serve;

/// How often a worker looks for ends.
const LOOK: Duration = Duration::from_millis(2);

/// The longest lease.
const LEASE: u64 = 1000;

/// Cores of a worker, in thousandths.
pub const CPU: u64 = 16_000;

/// What all workers of a test have seen.
#[derive(Debug, Default)]
pub struct Ledger {
    running: Mutex<HashMap<String, u32>>,
    pub done: Mutex<BTreeSet<String>>,
    /// Rules that were broken.
    pub broken: Mutex<Vec<String>>,
    /// Starts so far.
    pub starts: Mutex<u32>,
    /// Tasks that ended before they were done.
    pub cut: Mutex<u32>,
}

/// The stand-in. What a task takes and how long it lasts stands in its text: `CPU MS`.
#[derive(Debug)]
pub struct Worker {
    pub id: String,
    pub domain: String,
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    began: Instant,
    born: u64,
    fence: u64,
    lease: u64,
    running: Vec<Work>,
    ended: Vec<Value>,
    next_end: u64,
    stopped: Vec<(String, u64)>,
    ledger: Arc<Ledger>,
    /// Calls that get no answer.
    silent: bool,
    /// Whether another worker answers at its address.
    is_replaced: bool,
    /// Calls meant for this worker.
    calls: u64,
    /// Starts get no answer, and are carried out so much later.
    late: Option<Duration>,
}

#[derive(Clone, Debug)]
struct Work {
    task: String,
    run: u64,
    cpu: u64,
    since: u64,
    until: u64,
}

impl Worker {
    pub fn start(id: &str, domain: &str, ledger: &Arc<Ledger>) -> Self {
        let state = State {
            began: Instant::now(),
            born: 1,
            fence: 0,
            lease: 0,
            running: Vec::new(),
            ended: Vec::new(),
            next_end: 1,
            stopped: Vec::new(),
            ledger: Arc::clone(ledger),
            silent: false,
            is_replaced: false,
            calls: 0,
            late: None,
        };
        let state = Arc::new(Mutex::new(state));
        // Leases lapse on time, whether anybody asks or not.
        let watched = Arc::downgrade(&state);
        runtime::spawn(async move {
            while let Some(state) = watched.upgrade() {
                state.lock().unwrap().look();
                drop(state);
                Timer::after(LOOK).await;
            }
        })
        .detach();
        let address = serve(Arc::new(Api { id: id.to_owned(), state: Arc::clone(&state) }));
        Self { id: id.to_owned(), domain: domain.to_owned(), address, state }
    }

    /// What it writes of itself.
    pub fn entry(&self, state: &str) -> Value {
        let born = self.state.lock().unwrap().born;
        json!({
            "service": "desk", "addr": self.address, "zone": self.domain, "version": "v1", "slots": 8,
            "state": state, "coldLeftMs": 0, "room": { "cpu": CPU, "memMb": 32_000, "gpu": 0 },
            "labels": ["kind", format!("rack-{}", self.domain)], "born": born, "seq": 1,
        })
    }

    /// The highest token that it has seen.
    pub fn fence(&self) -> u64 {
        self.state.lock().unwrap().fence
    }

    pub fn running(&self) -> usize {
        let mut state = self.state.lock().unwrap();
        state.look();
        state.running.len()
    }

    pub fn set_silent(&self, silent: bool) {
        self.state.lock().unwrap().silent = silent;
    }

    /// Lets another worker answer at its address, or this one again.
    pub fn set_replaced(&self, is_replaced: bool) {
        self.state.lock().unwrap().is_replaced = is_replaced;
    }

    /// Calls that were meant for this worker so far.
    pub fn calls(&self) -> u64 {
        self.state.lock().unwrap().calls
    }

    /// Leaves starts unanswered, and carries them out later.
    pub fn delay_starts(&self, late: Option<Duration>) {
        self.state.lock().unwrap().late = late;
    }

    /// Starts again under the same id, and knows nothing of before.
    pub fn crash(&self) {
        let mut state = self.state.lock().unwrap();
        for work in std::mem::take(&mut state.running) {
            state.ledger.leave(&work.task);
        }
        state.began = Instant::now();
        state.born += 1;
        state.fence = 0;
        state.lease = 0;
        state.next_end = 1;
        state.ended.clear();
        state.stopped.clear();
    }
}

impl Ledger {
    fn enter(&self, task: &str) {
        *self.starts.lock().unwrap() += 1;
        let mut running = self.running.lock().unwrap();
        let count = running.entry(task.to_owned()).or_default();
        *count += 1;
        if *count > 1 {
            self.broken.lock().unwrap().push(format!("{task} runs twice"));
        }
    }

    fn leave(&self, task: &str) {
        *self.running.lock().unwrap().entry(task.to_owned()).or_insert(1) -= 1;
    }
}

impl State {
    fn clock(&self) -> u64 {
        1_000_000 + self.began.elapsed().as_millis() as u64
    }

    /// Counts a call; true if another worker gets it.
    const fn is_called_in_vain(&mut self) -> bool {
        self.calls += 1;
        self.is_replaced
    }

    fn look(&mut self) {
        let clock = self.clock();
        for work in std::mem::take(&mut self.running) {
            if clock >= work.until && work.until <= self.lease {
                self.ledger.done.lock().unwrap().insert(work.task.clone());
                self.end(&work, "done");
            } else if clock >= self.lease {
                self.end(&work, "lapsed");
            } else {
                self.running.push(work);
            }
        }
    }

    fn end(&mut self, work: &Work, how: &str) {
        self.ledger.leave(&work.task);
        if how != "done" {
            *self.ledger.cut.lock().unwrap() += 1;
        }
        self.stopped.push((work.task.clone(), work.run));
        self.ended.push(json!([self.next_end, work.task, work.run, how, ""]));
        self.next_end += 1;
    }

    fn extend(&mut self, until: u64) {
        self.lease = self.lease.max(until.min(self.clock() + LEASE));
    }

    /// Whether the call comes under a token that is high enough.
    fn obeys(&mut self, body: &Value) -> bool {
        let fence = body["fence"].as_u64().unwrap_or(0);
        let obeys = fence >= self.fence;
        self.fence = self.fence.max(fence);
        obeys
    }

    fn start(&mut self, body: &Value) -> Response {
        let (task, run) = (body["task"].as_str().unwrap(), body["run"].as_u64().unwrap());
        if self.running.iter().any(|work| work.task == task && work.run == run) {
            return self.answer(200, None);
        }
        let until = body["untilMs"].as_u64().unwrap();
        self.extend(until);
        if self.stopped.iter().any(|(old, last)| old == task && run <= *last) {
            return self.answer(409, Some("old"));
        }
        if until <= self.clock() {
            return self.answer(409, Some("late"));
        }
        let spec = body["spec"].as_str().unwrap();
        let numbers = spec.split(' ').map(|word| word.parse::<u64>().unwrap());
        let numbers = numbers.collect::<Vec<_>>();
        let used = self.running.iter().map(|work| work.cpu).sum::<u64>();
        if used + numbers[0] > CPU {
            self.ledger.broken.lock().unwrap().push(format!("{task} has no room"));
        }
        self.ledger.enter(task);
        let since = self.clock();
        let work =
            Work { task: task.to_owned(), run, cpu: numbers[0], since, until: since + numbers[1] };
        self.running.push(work);
        self.answer(200, None)
    }

    fn stop(&mut self, body: &Value) -> Response {
        let (task, run) = (body["task"].as_str().unwrap(), body["run"].as_u64().unwrap());
        self.stopped.push((task.to_owned(), run));
        let at = self.running.iter().position(|work| work.task == task && work.run == run);
        if let Some(at) = at {
            let work = self.running.swap_remove(at);
            self.end(&work, "stopped");
        }
        self.answer(200, None)
    }

    fn lists(&self) -> Response {
        let clock = self.clock();
        let running = self.running.iter().map(|work| {
            let percent = (clock - work.since) * 100 / (work.until - work.since).max(1);
            json!([work.task, work.run, "", percent.min(99), work.cpu])
        });
        let body = json!({ "clockMs": clock, "born": self.born,
            "running": running.collect::<Vec<_>>(), "ended": self.ended });
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
            let body = serde_json::from_str::<Value>(&body).unwrap();
            let expects = request.header("Expect-Instance").map(|value| value.last().as_str());
            if expects != Some(self.id.as_str()) || self.state.lock().unwrap().is_called_in_vain() {
                return Response::new(421);
            }
            if self.state.lock().unwrap().silent {
                smol::future::pending::<()>().await;
            }
            let path = request.url().path().to_owned();
            if path == "/api/hold" {
                return self.hold(&body).await;
            }
            let is_start = path == "/api/run-start";
            let late = self.state.lock().unwrap().late.filter(|_| is_start);
            if let Some(late) = late {
                // Also when the caller has given the call up.
                runtime::spawn(async move {
                    Timer::after(late).await;
                    drop(self.order(is_start, &body));
                })
                .detach();
                return smol::future::pending().await;
            }
            self.order(is_start, &body)
        })
    }

    fn body_max(&self) -> u64 {
        1 << 20
    }
}

impl Api {
    fn order(&self, is_start: bool, body: &Value) -> Response {
        let mut state = self.state.lock().unwrap();
        state.look();
        if !state.obeys(body) {
            return state.answer(409, Some("fence"));
        }
        if is_start { state.start(body) } else { state.stop(body) }
    }

    async fn hold(&self, body: &Value) -> Response {
        let due = Instant::now() + Duration::from_millis(body["waitMs"].as_u64().unwrap_or(0));
        let seen = body["seenUpto"].as_u64().unwrap();
        {
            let mut state = self.state.lock().unwrap();
            state.look();
            if !state.obeys(body) {
                return state.answer(409, Some("fence"));
            }
            if let Some(until) = body["untilMs"].as_u64() {
                state.extend(until);
            }
            state.ended.retain(|end| end[0].as_u64() > Some(seen));
        }
        loop {
            {
                let mut state = self.state.lock().unwrap();
                state.look();
                if !state.ended.is_empty() || Instant::now() >= due {
                    return state.lists();
                }
            }
            Timer::after(LOOK).await;
        }
    }
}
