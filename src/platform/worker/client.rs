//! The client that calls a worker.

use std::sync::Arc;

use http_types::Method;
use serde::Serialize;

use crate::clock::Millis;
use crate::http::{Error, Limits, Pool, Request, Response};
use crate::schedule::{Action, Fence, Reply};
use crate::vm::{self, CallFuture, Site};

use super::message::{Poll, Start, Stop, call_reply, poll_reply};

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

/// Encodes the body of a call. The error says that nothing was sent.
fn encode(body: &impl Serialize) -> Result<Vec<u8>, Error> {
    serde_json::to_vec(body).map_err(|error| Error::Unsent(error.to_string()))
}
