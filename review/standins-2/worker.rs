//! A worker: it runs tasks under a lease, obeys the highest fencing token that it has seen, and lists what runs and what
//! has ended. The text of a task gives its duration in milliseconds.

use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Request, Response};
use crate::json::{Json, quote};
use crate::record::Record;
use crate::store::Store;

/// The longest lease, `holdMaxMs`.
const LEASE_MAX_MS: u64 = 1000;

/// How long a stop takes; `stopMs` allows 50.
const STOP_MS: u64 = 30;

/// The most ends in one response.
const ENDS_MAX: usize = 500;

/// How often a worker writes its entry, `heartbeatMs`.
const HEARTBEAT: Duration = Duration::from_millis(1500);

/// The longest wait of one hold, in milliseconds.
const WAIT_MAX_MS: u64 = 2000;

pub const CPU: u64 = 16_000;

#[derive(Debug)]
pub struct Worker {
    pub id: String,
    zone: String,
    rack: String,
    born: u64,
    started_at: Instant,
    record: Arc<Record>,
    state: Mutex<State>,
    /// Notified when a run has ended.
    ended: Condvar,
}

#[derive(Debug, Default)]
struct State {
    fence: u64,
    /// The end of the lease on the worker's clock.
    lease: u64,
    running: Vec<Run>,
    /// The ends that were not acknowledged: the number, the task, the number of the run, and how it ended.
    ends: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    /// The highest number of a run that was stopped or has ended, of each task.
    old: std::collections::HashMap<String, u64>,
    sequence: u64,
}

/// A run. Times are on the worker's clock.
#[derive(Clone, Debug)]
struct Run {
    task: String,
    number: u64,
    from: u64,
    until: u64,
    stops_at: Option<u64>,
}

impl Worker {
    /// Starts a worker that writes its entry to the store.
    pub fn start(
        id: &str,
        zone: &str,
        rack: &str,
        store: &Store,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let worker = Arc::new(Self {
            id: id.to_owned(),
            zone: zone.to_owned(),
            rack: rack.to_owned(),
            born: born.as_millis() as u64,
            started_at: Instant::now(),
            record: Arc::clone(record),
            state: Mutex::default(),
            ended: Condvar::new(),
        });
        let served = Arc::clone(&worker);
        let address = http::serve(Arc::new(move |request: &Request| Some(served.answer(request))));
        let timed = Arc::clone(&worker);
        thread::spawn(move || {
            loop {
                timed.advance(&mut timed.state.lock().unwrap());
                thread::sleep(Duration::from_millis(1));
            }
        });
        let (beating, store) = (Arc::clone(&worker), store.clone());
        thread::spawn(move || {
            loop {
                store.put(&format!("servers/{}", beating.id), &beating.entry(address));
                thread::sleep(HEARTBEAT);
            }
        });
        worker
    }

    fn entry(&self, address: SocketAddr) -> String {
        let mut state = self.state.lock().unwrap();
        state.sequence += 1;
        format!(
            "{{\"service\":\"desk\",\"addr\":\"{address}\",\"zone\":{},\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\
             \"coldLeftMs\":0,\"seq\":{},\"born\":{},\"room\":{{\"cpu\":{CPU},\"memMb\":32768,\"gpu\":0}},\
             \"labels\":[\"a\",{}]}}",
            quote(&self.zone),
            state.sequence,
            self.born,
            quote(&self.rack)
        )
    }

    /// The worker's steady clock in milliseconds.
    fn clock(&self) -> u64 {
        100_000 + self.started_at.elapsed().as_millis() as u64
    }

    /// Ends the runs whose time has come.
    fn advance(&self, state: &mut State) {
        let clock = self.clock();
        let mut going_on = Vec::new();
        for run in std::mem::take(&mut state.running) {
            let how = if run.stops_at.is_some_and(|at| clock >= at) {
                "stopped"
            } else if clock >= state.lease {
                "lapsed"
            } else if clock >= run.until {
                "done"
            } else {
                going_on.push(run);
                continue;
            };
            self.record.end(&self.id, &run.task, run.number, how);
            state.last_end += 1;
            state.ends.push((state.last_end, run.task.clone(), run.number, how));
            let old = state.old.entry(run.task).or_default();
            *old = run.number.max(*old);
            self.ended.notify_all();
        }
        state.running = going_on;
    }

    fn answer(&self, request: &Request) -> Response {
        if request.path() == "/healthz" {
            return (200, "{}".to_owned());
        }
        if request.header("expect-instance").is_some_and(|id| id != self.id) {
            return (421, self.receipt(None));
        }
        let Some(body) = Json::parse(&request.body) else { return (400, self.receipt(None)) };
        let mut state = self.state.lock().unwrap();
        self.advance(&mut state);
        let fence = body.get("fence").number().unwrap_or(0);
        if fence < state.fence {
            return (409, self.receipt(Some("fence")));
        }
        state.fence = fence;
        match request.path() {
            "/api/run-start" => self.start_run(&mut state, &body),
            "/api/run-stop" => self.stop_run(&mut state, &body),
            "/api/hold" => {
                drop(state);
                self.hold(&body)
            }
            _ => (400, self.receipt(None)),
        }
    }

    fn receipt(&self, reason: Option<&str>) -> String {
        let reason = reason.map_or(String::new(), |reason| format!(",\"reason\":\"{reason}\""));
        format!("{{\"clockMs\":{}{reason}}}", self.clock())
    }

    fn extend(&self, state: &mut State, until: u64) {
        state.lease = state.lease.max(until.min(self.clock() + LEASE_MAX_MS));
    }

    fn start_run(&self, state: &mut State, body: &Json) -> Response {
        let (Some(task), Some(number)) = (body.get("task").text(), body.get("run").number()) else {
            return (400, self.receipt(None));
        };
        let duration = body.get("spec").text().and_then(|text| text.parse::<u64>().ok());
        let (Some(until), Some(duration)) = (body.get("untilMs").number(), duration) else {
            return (400, self.receipt(None));
        };
        if state.running.iter().any(|run| run.task == task && run.number == number) {
            return (200, self.receipt(None));
        }
        if state.old.get(task).is_some_and(|&old| number <= old) {
            self.extend(state, until);
            return (409, self.receipt(Some("old")));
        }
        let clock = self.clock();
        if until <= clock {
            return (409, self.receipt(Some("late")));
        }
        self.extend(state, until);
        let until = clock + duration;
        state.running.push(Run {
            task: task.to_owned(),
            number,
            from: clock,
            until,
            stops_at: None,
        });
        self.record.start(&self.id, task, number);
        (200, self.receipt(None))
    }

    fn stop_run(&self, state: &mut State, body: &Json) -> Response {
        let (Some(task), Some(number)) = (body.get("task").text(), body.get("run").number()) else {
            return (400, self.receipt(None));
        };
        let stops_at = self.clock() + STOP_MS;
        let old = state.old.entry(task.to_owned()).or_default();
        *old = number.max(*old);
        let found = state.running.iter_mut().find(|run| run.task == task && run.number == number);
        if let Some(run) = found {
            run.stops_at.get_or_insert(stops_at);
        }
        (200, self.receipt(None))
    }

    fn hold(&self, body: &Json) -> Response {
        let wait = body.get("waitMs").number().unwrap_or(0).min(WAIT_MAX_MS);
        let deadline = Instant::now() + Duration::from_millis(wait);
        let seen = body.get("seenUpto").number().unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        if let Some(until) = body.get("untilMs").number() {
            self.extend(&mut state, until);
        }
        state.ends.retain(|end| end.0 > seen);
        while state.ends.is_empty() && Instant::now() < deadline {
            let left = deadline - Instant::now();
            state = self.ended.wait_timeout(state, left).unwrap().0;
        }
        self.advance(&mut state);
        let clock = self.clock();
        let running = state.running.iter().map(|run| {
            let percent = (clock - run.from) * 100 / (run.until - run.from).max(1);
            format!("[{},{},\"\",{},2000]", quote(&run.task), run.number, percent.min(99))
        });
        let ends = state.ends.iter().take(ENDS_MAX).map(|(end, task, number, how)| {
            format!("[{end},{},{number},\"{how}\",\"\"]", quote(task))
        });
        let running = running.collect::<Vec<_>>().join(",");
        let ends = ends.collect::<Vec<_>>().join(",");
        let born = self.born;
        (
            200,
            format!(
                "{{\"clockMs\":{clock},\"born\":{born},\"running\":[{running}],\"ended\":[{ends}]}}"
            ),
        )
    }
}
