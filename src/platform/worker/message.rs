//! The bodies of calls to workers, and what their responses mean.

use std::str::FromStr as _;

use serde::{Deserialize, Serialize};

use crate::batch::Name;
use crate::clock::Millis;
use crate::contain;
use crate::event;
use crate::http::{Error, Response};
use crate::schedule::{Completion, Denial, Ending, Fence, Reply, Running, Snapshot};

/// The body of a start.
#[derive(Debug, Serialize)]
pub(super) struct Start<'a> {
    pub task: &'a str,
    #[serde(rename = "run")]
    pub attempt: u32,
    pub spec: &'a str,
    /// The end of the lease on the worker's clock.
    #[serde(rename = "untilMs")]
    pub lease_until: Millis,
    pub fence: u64,
}

/// The body of a stop.
#[derive(Debug, Serialize)]
pub(super) struct Stop<'a> {
    pub task: &'a str,
    #[serde(rename = "run")]
    pub attempt: u32,
    pub fence: u64,
}

/// The body of a poll, which the platform calls a hold.
#[derive(Debug, Serialize)]
pub(super) struct Poll {
    pub fence: u64,
    /// The number of the last completion that this VM knows of.
    #[serde(rename = "seenUpto")]
    pub acknowledged: u64,
    /// The new end of the leases on the worker's clock; `None` leaves them as they are.
    #[serde(rename = "untilMs", skip_serializing_if = "Option::is_none")]
    pub lease_until: Option<Millis>,
    /// How long the worker waits for a completion before it responds; `None` for not at all.
    #[serde(rename = "waitMs", skip_serializing_if = "Option::is_none")]
    pub wait: Option<Millis>,
}

impl Poll {
    /// A poll that only asks whether the worker responds: it renews no lease, acknowledges nothing and doesn't wait.
    pub const fn probe(fence: Fence) -> Self {
        Self { fence: fence.number(), acknowledged: 0, lease_until: None, wait: None }
    }
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

/// The reply to a start or a stop.
pub(super) fn call_reply(response: Result<Response, Error>) -> Reply {
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

/// The reply to a poll.
pub(super) fn poll_reply(response: Result<Response, Error>) -> Reply {
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
