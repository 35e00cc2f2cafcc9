//! The platform's workers, which are the targets: their entries in the store, and the client that calls them.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr as _;
use std::sync::Arc;

use http_types::Method;
use serde::{Deserialize, Serialize};
use serde_with::{DefaultOnError, serde_as};

use crate::batch::{Name, Resources};
use crate::clock::Millis;
use crate::contain;
use crate::event;
use crate::http::{Error, Limits, Pool, Request, Response};
use crate::schedule::{
    Action, Completion, Denial, Ending, Fence, Listing, Reply, Running, Snapshot,
};
use crate::store::Entry;
use crate::vm::{self, CallFuture, Site};

/// The timeout of a start or a stop. The round trip takes under a millisecond within a failure domain and under three
/// between two; a timeout that is too short costs one poll.
const CALL_TIMEOUT: Millis = Millis(120);

/// The timeout of a poll, its wait not included. Two polls in a row may be lost before the leases lapse.
const POLL_TIMEOUT: Millis = Millis(120);

/// The timeout of the probe of a new connection to a worker.
const PROBE_TIMEOUT: Millis = Millis(120);

/// The timeout for opening a connection to a worker.
const CONNECT_TIMEOUT: Millis = Millis(250);

/// The most idle connections to one worker that are kept open.
const IDLE_MAX: usize = 8;

/// The age up to which an idle connection is reused.
const IDLE_AGE_MAX: Millis = Millis::from_secs(20);

/// The path of polls.
const POLL_PATH: &str = "/api/hold";

/// The prefix of the keys of workers' entries; the worker's id follows.
pub const PREFIX: &str = "servers/";

/// The most of each resource that a worker may have, so that sums over all workers can't overflow.
const CAPACITY_MAX: u64 = 1 << 32;

/// The latest start time of a worker, in milliseconds: the largest integer that every JSON number carries exactly.
const INCARNATION_MAX: u64 = (1 << 53) - 1;

/// A worker's entry in the store.
#[serde_as]
#[derive(Debug, Deserialize)]
struct Registration {
    service: String,
    #[serde(rename = "addr")]
    address: SocketAddr,
    #[serde(rename = "zone")]
    domain: String,
    state: State,
    /// All that the worker has, whether used or not.
    #[serde(rename = "room")]
    capacity: Capacity,
    /// The kind of the worker, then its rack.
    #[serde(default)]
    labels: Vec<String>,
    /// The Unix time in milliseconds at which the process started, which tells its incarnations apart.
    #[serde(default, rename = "born")]
    incarnation: u64,
    /// How much longer the worker is slow after its start, in milliseconds. The worker is usable without it.
    #[serde_as(deserialize_as = "DefaultOnError")]
    #[serde(default, rename = "coldLeftMs")]
    cold_left_ms: f64,
}

#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "camelCase")]
enum State {
    Ready,
    Draining,
}

/// The resources of a worker.
#[derive(Clone, Copy, Debug, Deserialize)]
struct Capacity {
    /// Thousandths of a core.
    cpu: u64,
    /// Megabytes.
    #[serde(rename = "memMb")]
    memory: u64,
    #[serde(default)]
    gpu: u64,
}

/// Why an entry names no usable worker.
#[derive(Debug)]
pub enum Unusable {
    /// The key has no id of visible ASCII characters, as a header needs it.
    Id,
    /// The value is not valid JSON of the expected form.
    Value(serde_json::Error),
    /// The address has port 0.
    Port,
    /// A resource is above [`CAPACITY_MAX`].
    Capacity,
    /// The start time is above [`INCARNATION_MAX`].
    Incarnation,
}

impl fmt::Display for Unusable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Id => {
                write!(f, "no id of visible ASCII characters after {PREFIX}; correct the key")
            }
            Self::Value(error) => write!(f, "{error}; correct the entry"),
            Self::Port => write!(f, "addr has port 0; correct the entry"),
            Self::Capacity => write!(f, "room is above {CAPACITY_MAX}; correct the entry"),
            Self::Incarnation => write!(f, "born is above {INCARNATION_MAX}; correct the entry"),
        }
    }
}

impl std::error::Error for Unusable {}

/// The id in the key of a worker's entry.
fn id(key: &str) -> Option<&str> {
    let id = key.strip_prefix(PREFIX)?;
    let is_visible = id.bytes().all(|byte| byte.is_ascii_graphic() && byte != b'/');
    Some(id).filter(|id| is_visible && !id.is_empty())
}

/// Decodes a worker's entry. The error says why the entry names no usable worker.
pub fn decode(entry: &Entry) -> Result<Site, Unusable> {
    let id = id(&entry.key).ok_or(Unusable::Id)?;
    let registration = contain::json::<Registration>(&entry.value).map_err(Unusable::Value)?;
    let Capacity { cpu, memory, gpu } = registration.capacity;
    if cpu.max(memory).max(gpu) > CAPACITY_MAX {
        return Err(Unusable::Capacity);
    }
    if registration.incarnation > INCARNATION_MAX {
        return Err(Unusable::Incarnation);
    }
    if registration.address.port() == 0 {
        return Err(Unusable::Port);
    }
    let listing = Listing {
        id: Arc::from(id),
        service: Arc::from(registration.service),
        domain: Arc::from(registration.domain),
        rack: registration.labels.get(1).map(|rack| Arc::from(rack.as_str())),
        labels: registration.labels,
        capacity: Resources { cpu, memory, gpu },
        draining: registration.state == State::Draining,
        checks_capacity: false,
        incarnation: registration.incarnation,
        cold_left: Millis(registration.cold_left_ms.max(0.0) as u64),
    };
    Ok(Site { listing, address: registration.address })
}

/// A client of one worker.
///
/// A worker that starts again has seen no token, and its clock starts anew, so neither the token nor the lease of a call to
/// its former process binds it. Each call therefore goes over a connection on which a process has responded, and ends with
/// that process.
#[derive(Debug)]
pub struct Client {
    id: Arc<str>,
    connections: Pool,
}

impl Client {
    /// Creates a client of the worker at `site`.
    pub fn new(site: &Site) -> Self {
        let limits = Limits {
            idle_max: IDLE_MAX,
            idle_timeout: IDLE_AGE_MAX,
            connect_timeout: CONNECT_TIMEOUT,
        };
        let connections = Pool::new(site.address, limits);
        Self { id: Arc::clone(&site.listing.id), connections }
    }

    async fn post(
        &self,
        path: &str,
        body: &impl Serialize,
        fence: Fence,
        timeout: Millis,
    ) -> Result<Response, Error> {
        let body = encode(body)?;
        let probe_body = encode(&Poll::probe(fence))?;
        let headers = [("Content-Type", "application/json"), ("Expect-Instance", &*self.id)];
        let request =
            Request { method: Method::Post, path, headers: &headers, body: &body, timeout };
        let probe = Request {
            method: Method::Post,
            path: POLL_PATH,
            headers: &headers,
            body: &probe_body,
            timeout: PROBE_TIMEOUT,
        };
        self.connections.send_probed(&request, &probe).await
    }

    /// Makes the call that an action asks for; [`Reply::Unsent`] if it asks for none.
    async fn send(&self, action: Action) -> Reply {
        match action {
            Action::Start { name, attempt, text, fence, lease_until, .. } => {
                let body = Start {
                    task: &name.to_string(),
                    attempt,
                    spec: &text,
                    lease_until,
                    fence: fence.number(),
                };
                call_reply(self.post("/api/run-start", &body, fence, CALL_TIMEOUT).await)
            }
            Action::Stop { name, attempt, fence, .. } => {
                let body = Stop { task: &name.to_string(), attempt, fence: fence.number() };
                call_reply(self.post("/api/run-stop", &body, fence, CALL_TIMEOUT).await)
            }
            Action::Poll { fence, lease_until, acknowledged, wait, .. } => {
                let nonzero_wait = Some(wait).filter(|wait| *wait > Millis::ZERO);
                let body =
                    Poll { fence: fence.number(), acknowledged, lease_until, wait: nonzero_wait };
                poll_reply(self.post(POLL_PATH, &body, fence, wait + POLL_TIMEOUT).await)
            }
            Action::Unhealthy { .. }
            | Action::End { .. }
            | Action::Acquired { .. }
            | Action::Lost { .. } => Reply::Unsent,
        }
    }
}

impl vm::Client for Client {
    fn call(self: Arc<Self>, action: Action) -> CallFuture {
        Box::pin(async move { self.send(action).await })
    }

    fn opened(&self) -> u64 {
        self.connections.opened()
    }
}

/// The body of a start.
#[derive(Debug, Serialize)]
struct Start<'a> {
    task: &'a str,
    #[serde(rename = "run")]
    attempt: u32,
    spec: &'a str,
    /// The end of the lease on the worker's clock.
    #[serde(rename = "untilMs")]
    lease_until: Millis,
    fence: u64,
}

/// The body of a stop.
#[derive(Debug, Serialize)]
struct Stop<'a> {
    task: &'a str,
    #[serde(rename = "run")]
    attempt: u32,
    fence: u64,
}

/// The body of a poll, which the platform calls a hold.
#[derive(Debug, Serialize)]
struct Poll {
    fence: u64,
    /// The number of the last completion that this VM knows of.
    #[serde(rename = "seenUpto")]
    acknowledged: u64,
    /// The new end of the leases on the worker's clock; `None` leaves them as they are.
    #[serde(rename = "untilMs", skip_serializing_if = "Option::is_none")]
    lease_until: Option<Millis>,
    /// How long the worker waits for a completion before it responds; `None` for not at all.
    #[serde(rename = "waitMs", skip_serializing_if = "Option::is_none")]
    wait: Option<Millis>,
}

impl Poll {
    /// A poll that only asks whether the worker responds: it renews no lease, acknowledges nothing and doesn't wait.
    const fn probe(fence: Fence) -> Self {
        Self { fence: fence.number(), acknowledged: 0, lease_until: None, wait: None }
    }
}

/// Encodes the body of a call. The error says that nothing was sent.
fn encode(body: &impl Serialize) -> Result<Vec<u8>, Error> {
    serde_json::to_vec(body).map_err(|error| Error::Unsent(error.to_string()))
}

/// The response to a start or a stop, and to any call that is denied.
#[derive(Debug, Default, Deserialize)]
struct Receipt {
    /// The worker's clock.
    #[serde(rename = "clockMs")]
    clock: Option<Millis>,
    /// Why the call was denied.
    reason: Option<String>,
}

/// The response to a poll. Each row is an array whose positions have fixed meanings; see [`running`] and [`completion`].
#[derive(Debug, Deserialize)]
struct Report {
    /// The worker's clock.
    #[serde(rename = "clockMs")]
    clock: Millis,
    /// As in [`Registration`].
    #[serde(rename = "born")]
    incarnation: Option<u64>,
    #[serde(default)]
    running: Vec<Vec<serde_json::Value>>,
    #[serde(default)]
    ended: Vec<Vec<serde_json::Value>>,
}

fn call_reply(response: Result<Response, Error>) -> Reply {
    let response = match response {
        Ok(response) => response,
        Err(error) => return failure(&error),
    };
    let receipt = receipt(&response);
    match (response.status, receipt.clock) {
        (200, Some(clock)) => Reply::Executed { clock },
        // The call may have been executed or not; the next poll will show it.
        (200, None) => Reply::Lost,
        (status, clock) => {
            Reply::Denied { denial: denial(status, receipt.reason.as_deref()), clock }
        }
    }
}

fn poll_reply(response: Result<Response, Error>) -> Reply {
    let response = match response {
        Ok(response) => response,
        Err(error) => return failure(&error),
    };
    if response.status != 200 {
        let receipt = receipt(&response);
        let denial = denial(response.status, receipt.reason.as_deref());
        return Reply::Denied { denial, clock: receipt.clock };
    }
    match contain::json::<Report>(&response.body) {
        Ok(report) => poll_result(&report),
        Err(error) => {
            event!(warn, "hold-unreadable", reason = error);
            Reply::Lost
        }
    }
}

/// The result of a poll. If a row is unreadable, the worker's free resources are unknown, so the response counts as
/// lost.
fn poll_result(report: &Report) -> Reply {
    let running = report.running.iter().map(|row| running(row)).collect::<Option<Vec<_>>>();
    let completions = report.ended.iter().map(|row| completion(row)).collect::<Option<Vec<_>>>();
    let (Some(running), Some(completions)) = (running, completions) else {
        event!(warn, "hold-unreadable", reason = "a row of running or ended has unexpected fields");
        return Reply::Lost;
    };
    Reply::Polled(Snapshot {
        clock: report.clock,
        incarnation: report.incarnation,
        running,
        completions,
    })
}

/// Decodes the body of a response. That of a denial may be empty.
fn receipt(response: &Response) -> Receipt {
    if response.body.is_empty() {
        return Receipt::default();
    }
    contain::json(&response.body).unwrap_or_else(|error| {
        event!(warn, "answer-unreadable", status = response.status, reason = error);
        Receipt::default()
    })
}

/// The reply for a call that got no response.
fn failure(error: &Error) -> Reply {
    match error {
        Error::Unsent(_) => Reply::Unsent,
        Error::Lost(_) => Reply::Lost,
        Error::Closed(_) => Reply::Closed,
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

/// Decodes a row of `running`: the task, the number of the attempt, a field that is ignored, and the progress in
/// percent unless the task is persistent.
fn running(row: &[serde_json::Value]) -> Option<Running> {
    let name = Name::from_str(row.first()?.as_str()?).ok()?;
    let progress = row.get(3).and_then(as_u32);
    Some(Running { name, attempt: as_u32(row.get(1)?)?, progress })
}

/// Decodes a row of `ended`: the number of the completion, the task, the number of the attempt, and how it ended.
fn completion(row: &[serde_json::Value]) -> Option<Completion> {
    let ending = match row.get(3)?.as_str()? {
        "done" => Ending::Done,
        "failed" => Ending::Failed,
        _ => Ending::Aborted,
    };
    let name = Name::from_str(row.get(1)?.as_str()?).ok()?;
    Some(Completion { number: row.first()?.as_u64()?, name, attempt: as_u32(row.get(2)?)?, ending })
}

fn as_u32(value: &serde_json::Value) -> Option<u32> {
    u32::try_from(value.as_u64()?).ok()
}
