//! Workers, which are the product's targets: their entries in the store, and the calls that they take.

use std::net::SocketAddr;
use std::str::FromStr as _;
use std::sync::Arc;

use http_types::Method;
use serde::{Deserialize, Serialize};

use crate::batch::{Name, Resources};
use crate::clock::Millis;
use crate::event;
use crate::http::{Answer, Error, Keep, Pool, Question};
use crate::schedule::{Action, Completion, Denial, Ending, Listing, Reply, Running, Snapshot};
use crate::store::Entry;
use crate::vm::{Calling, Runner, Site};

/// How long a start or a stop may go unanswered. The round trip is under a millisecond in a failure domain and
/// under three across; a timeout that comes too soon costs one look.
const ORDER_TIMEOUT: Millis = Millis(120);

/// What an answer to a hold may take beyond its wait. Two holds in a row may get lost before the leases lapse.
const HOLD_SLACK: Millis = Millis(120);

/// How long a connection to a worker may take.
const CONNECT_TIMEOUT: Millis = Millis(250);

/// The most idle connections to one worker.
const IDLE_MAX: usize = 8;

/// How long an idle connection is trusted.
const IDLE_TRUSTED: Millis = Millis::from_secs(20);

/// What a worker writes of itself.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Report {
    service: String,
    addr: SocketAddr,
    zone: String,
    state: State,
    room: Has,
    #[serde(default)]
    labels: Vec<String>,
    /// The Unix time of its start in milliseconds, which tells its lives apart.
    #[serde(default)]
    born: u64,
}

#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "camelCase")]
enum State {
    Ready,
    Draining,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Has {
    cpu: u64,
    mem_mb: u64,
    #[serde(default)]
    gpu: u64,
}

/// Reads a worker's entry; the error says why it names no worker to use.
pub fn decode(entry: &Entry) -> Result<Site, String> {
    let report = serde_json::from_slice::<Report>(&entry.value).map_err(|e| e.to_string())?;
    let id = entry.key.rsplit('/').next().unwrap_or_default();
    let Has { cpu, mem_mb, gpu } = report.room;
    let listing = Listing {
        id: Arc::from(id),
        service: Arc::from(report.service),
        domain: Arc::from(report.zone),
        // The first label names the kind, the second the rack.
        rack: report.labels.get(1).map(|rack| Arc::from(rack.as_str())),
        labels: report.labels,
        capacity: Resources { cpu, memory: mem_mb, gpu },
        draining: report.state == State::Draining,
        checks_capacity: false,
        incarnation: report.born,
    };
    Ok(Site { listing, address: report.addr })
}

/// A client of one worker.
#[derive(Debug)]
pub struct Client {
    id: Arc<str>,
    connections: Pool,
}

impl Client {
    /// A client of the worker at `site`.
    pub fn new(site: &Site) -> Self {
        let keep =
            Keep { idle_max: IDLE_MAX, trusted: IDLE_TRUSTED, connect_timeout: CONNECT_TIMEOUT };
        let connections = Pool::new(site.address, keep);
        Self { id: Arc::clone(&site.listing.id), connections }
    }

    async fn post(
        &self,
        path: &str,
        body: &impl Serialize,
        timeout: Millis,
    ) -> Result<Answer, Error> {
        let body = serde_json::to_vec(body).map_err(|error| Error::Unsent(error.to_string()))?;
        let headers = [("Content-Type", "application/json"), ("Expect-Instance", &*self.id)];
        let question =
            Question { method: Method::Post, path, headers: &headers, body: &body, timeout };
        self.connections.ask(&question).await
    }

    async fn carry_out(&self, action: Action) -> Reply {
        match action {
            Action::Start { name, attempt: run, text, fence, lease_until: until, .. } => {
                let name = name.to_string();
                let body =
                    Start { task: &name, run, spec: &text, until_ms: until, fence: fence.number() };
                order_reply(self.post("/api/run-start", &body, ORDER_TIMEOUT).await)
            }
            Action::Stop { name, attempt: run, fence, .. } => {
                let name = name.to_string();
                let body = Stop { task: &name, run, fence: fence.number() };
                order_reply(self.post("/api/run-stop", &body, ORDER_TIMEOUT).await)
            }
            Action::Poll { fence, lease_until: until, acknowledged: seen, wait, .. } => {
                let wait_ms = Some(wait).filter(|wait| *wait > Millis::ZERO);
                let body =
                    Hold { fence: fence.number(), seen_upto: seen, until_ms: until, wait_ms };
                hold_reply(self.post("/api/hold", &body, wait + HOLD_SLACK).await)
            }
            Action::Unhealthy { .. }
            | Action::End { .. }
            | Action::Acquired { .. }
            | Action::Lost { .. } => Reply::Unsent,
        }
    }
}

impl Runner for Client {
    fn call(self: Arc<Self>, action: Action) -> Calling {
        Box::pin(async move { self.carry_out(action).await })
    }

    fn opened(&self) -> u64 {
        self.connections.opened()
    }
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "camelCase")]
struct Start<'a> {
    task: &'a str,
    run: u32,
    spec: &'a str,
    /// A time on the worker's own clock.
    until_ms: Millis,
    fence: u64,
}

#[derive(Debug, Serialize)]
struct Stop<'a> {
    task: &'a str,
    run: u32,
    fence: u64,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "camelCase")]
struct Hold {
    fence: u64,
    seen_upto: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    until_ms: Option<Millis>,
    #[serde(skip_serializing_if = "Option::is_none")]
    wait_ms: Option<Millis>,
}

/// The body of an answer to a start or a stop.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Said {
    clock_ms: Option<Millis>,
    reason: Option<String>,
}

/// The body of an answer to a hold. The rows are lists whose places have meanings.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Lists {
    clock_ms: Millis,
    born: Option<u64>,
    #[serde(default)]
    running: Vec<Vec<serde_json::Value>>,
    #[serde(default)]
    ended: Vec<Vec<serde_json::Value>>,
}

fn order_reply(answer: Result<Answer, Error>) -> Reply {
    let answer = match answer {
        Ok(answer) => answer,
        Err(error) => return silence(&error),
    };
    let said = said(&answer);
    match (answer.status, said.clock_ms) {
        (200, Some(clock)) => Reply::Executed { clock },
        // Executed or not: the next look tells.
        (200, None) => Reply::Lost,
        (status, clock) => Reply::Denied { denial: denial(status, said.reason.as_deref()), clock },
    }
}

fn hold_reply(answer: Result<Answer, Error>) -> Reply {
    let answer = match answer {
        Ok(answer) => answer,
        Err(error) => return silence(&error),
    };
    if answer.status != 200 {
        let said = said(&answer);
        let denial = denial(answer.status, said.reason.as_deref());
        return Reply::Denied { denial, clock: said.clock_ms };
    }
    match serde_json::from_slice::<Lists>(&answer.body) {
        Ok(lists) => held(&lists),
        Err(error) => {
            event!(warn, "hold-unreadable", reason = error);
            Reply::Lost
        }
    }
}

/// What a target runs. With a row that can't be read nobody knows its room, so the whole answer counts as lost.
fn held(lists: &Lists) -> Reply {
    let running = lists.running.iter().map(|row| running(row)).collect::<Option<Vec<_>>>();
    let ended = lists.ended.iter().map(|row| ended(row)).collect::<Option<Vec<_>>>();
    let (Some(running), Some(ended)) = (running, ended) else {
        event!(warn, "hold-unreadable", reason = "a row of running or ended has other fields");
        return Reply::Lost;
    };
    Reply::Polled(Snapshot {
        clock: lists.clock_ms,
        incarnation: lists.born,
        running,
        completions: ended,
    })
}

/// The body of an answer; refusals may come without one.
fn said(answer: &Answer) -> Said {
    if answer.body.is_empty() {
        return Said::default();
    }
    serde_json::from_slice(&answer.body).unwrap_or_else(|error| {
        event!(warn, "answer-unreadable", status = answer.status, reason = error);
        Said::default()
    })
}

fn silence(error: &Error) -> Reply {
    match error {
        Error::Unsent(_) => Reply::Unsent,
        Error::Lost(_) => Reply::Lost,
    }
}

fn denial(status: u16, reason: Option<&str>) -> Denial {
    match (status, reason) {
        (409, Some("fence")) => Denial::Fence,
        (409, Some("old")) => Denial::StaleAttempt,
        (409, Some("late")) => Denial::Late,
        (409, Some("room")) => Denial::Full,
        (421, _) => Denial::OtherIncarnation,
        (429 | 503, _) => Denial::Unhealthy,
        _ => Denial::Invalid,
    }
}

/// A row of `running`: the task and the number of its start come first; the fourth place tells, of a task that
/// does not last, how much of its work is done.
fn running(row: &[serde_json::Value]) -> Option<Running> {
    let name = Name::from_str(row.first()?.as_str()?).ok()?;
    let progress = row.get(3).and_then(number);
    Some(Running { name, attempt: number(row.get(1)?)?, progress })
}

/// A row of `ended`: the number of the end, the task, the number of its start, and how it ended.
fn ended(row: &[serde_json::Value]) -> Option<Completion> {
    let ending = match row.get(3)?.as_str()? {
        "done" => Ending::Done,
        "failed" => Ending::Failed,
        _ => Ending::Aborted,
    };
    let name = Name::from_str(row.get(1)?.as_str()?).ok()?;
    Some(Completion { number: row.first()?.as_u64()?, name, attempt: number(row.get(2)?)?, ending })
}

fn number(value: &serde_json::Value) -> Option<u32> {
    u32::try_from(value.as_u64()?).ok()
}
