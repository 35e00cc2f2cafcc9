//! The HTTP endpoints of a VM: jobs of callers, the platform's readiness check, metrics and status.

use std::pin::Pin;
use std::sync::Arc;

use http_types::{Method, Request, Response, StatusCode};
use serde_json::json;

use crate::batch::Outcome;
use crate::clock::Millis;
use crate::event;
use crate::http::server::{Caller, Handler};
use crate::http::{BodyError, read_body};
use crate::route::{Route, Table};
use crate::vm::{Cancellation, Node, Wait};

use super::request;

/// The time within which the body of a request must arrive.
const BODY_TIMEOUT: Millis = Millis::from_secs(5);

/// The timeout of a request that names none, on a route that names none.
const DEFAULT_TIMEOUT: Millis = Millis::from_secs(10);

/// The server's limit for request bodies, in bytes, until routes with a higher one are known.
const DEFAULT_BODY_MAX: u64 = 256 << 10;

/// The time after which cancelling may be requested again if a VM did not tell whether it knows the job, in seconds.
const CANCEL_RETRY_AFTER_S: u64 = 1;

/// The time after which a request may be sent again that found no memory.
const MEMORY_RETRY_AFTER: Millis = Millis(1000);

/// The path that `gypsumkeel status` requests, the same as on any other entry VM.
const STATUS_PATH: &str = "/v1/status";

type ResponseFuture = Pin<Box<dyn Future<Output = Response> + Send>>;

/// Serves callers: runs the jobs that they submit and reports how many wait.
#[derive(Debug)]
pub struct Callers {
    pub node: Arc<Node>,
}

impl Handler for Callers {
    fn answer(self: Arc<Self>, request: Request) -> ResponseFuture {
        Box::pin(async move {
            let node = Arc::clone(&self.node);
            let mut response = answer(&node, request).await;
            if node.is_draining() {
                response.insert_header("Connection", "close");
            }
            response
        })
    }

    fn body_max(&self) -> u64 {
        self.node.routes().body_max.max(DEFAULT_BODY_MAX)
    }
}

async fn answer(node: &Arc<Node>, mut request: Request) -> Response {
    let received_at = node.now();
    let routes = node.routes();
    if routes.version == 0 {
        return refuse(StatusCode::ServiceUnavailable, "no-routes", "", Millis(1000));
    }
    let Some((route, id)) = find(&routes, &request) else {
        return state(StatusCode::NotFound, "unknown");
    };
    let id = id.to_owned();
    match request.method() {
        Method::Post => submit(node, (route, routes.version), &id, received_at, &mut request).await,
        Method::Get if id.is_empty() => {
            json(StatusCode::Ok, &json!({ "pending": node.pending(&route.name) }))
        }
        // The response to a submission carries the outcome; no record of the job remains after it.
        Method::Get => state(StatusCode::Gone, "unknown"),
        Method::Delete => cancel(node, &route.name, &id).await,
        _ => state(StatusCode::MethodNotAllowed, "unknown"),
    }
}

fn find<'a>(routes: &Table, request: &'a Request) -> Option<(Arc<Route>, &'a str)> {
    let host = request.header("Host").map_or("", |host| host.last().as_str());
    let (route, id) = routes.find(host, request.url().path())?;
    Some((Arc::clone(route), id))
}

/// Cancels a job, at whichever VM it is.
async fn cancel(node: &Arc<Node>, queue: &str, id: &str) -> Response {
    let cancellation = node.cancel(queue, id).await;
    event!(info, "cancel", job = id, queue = queue, result = cancellation);
    match cancellation {
        Cancellation::Cancelled => state(StatusCode::Ok, "cancelled"),
        Cancellation::Unknown => state(StatusCode::Gone, "unknown"),
        Cancellation::Uncertain => {
            let mut response = state(StatusCode::ServiceUnavailable, "unknown");
            response.insert_header("Retry-After", CANCEL_RETRY_AFTER_S.to_string());
            response
        }
    }
}

async fn submit(
    node: &Arc<Node>,
    (route, version): (Arc<Route>, u64),
    id: &str,
    received_at: Millis,
    request: &mut Request,
) -> Response {
    let timeout = request_timeout(&route, request);
    let body_max = node.routes().body_max;
    let body = match read_body(request, body_max, BODY_TIMEOUT).await {
        Ok(body) => body,
        Err(error @ BodyError::Exhausted) => {
            event!(warn, "request-unread", job = id, reason = error);
            return refuse(StatusCode::ServiceUnavailable, "memory", id, MEMORY_RETRY_AFTER);
        }
        Err(error) => {
            event!(warn, "request-unread", job = id, reason = error);
            return state(StatusCode::BadRequest, "invalid");
        }
    };
    let spec = match request::decode(id, &route, &body) {
        Ok(spec) => spec,
        Err(request::Error::Unsupported(field)) => {
            return refuse(StatusCode::ServiceUnavailable, field, id, Millis::from_secs(60));
        }
        Err(error) => {
            event!(warn, "request-invalid", job = id, reason = error);
            return state(StatusCode::BadRequest, "invalid");
        }
    };
    if !holds(request, spec.size()).await {
        return refuse(StatusCode::ServiceUnavailable, "memory", id, MEMORY_RETRY_AFTER);
    }
    if has_left(request).await {
        event!(info, "caller-left", job = id);
        return state(StatusCode::RequestTimeout, "refused");
    }
    let outcome = node.submit(spec, Wait { received_at, deadline: received_at + timeout }).await;
    let took = node.now() - received_at;
    event!(
        at outcome.log_level(),
        "batch-end",
        job = id,
        queue = route.name,
        outcome = outcome,
        ms = took.0,
        patience = timeout.0,
        routes = version
    );
    respond(id, &outcome)
}

/// Whether the caller may hold `bytes` more until it is answered.
async fn holds(request: &Request, bytes: usize) -> bool {
    match request.ext().get::<Caller>() {
        Some(caller) => caller.held().take(bytes as u64).await,
        None => true,
    }
}

/// Whether the caller has closed its connection. It may have submitted the job elsewhere by now, so that nothing of it may
/// start here.
async fn has_left(request: &Request) -> bool {
    match request.ext().get::<Caller>() {
        Some(caller) => caller.has_left().await,
        None => false,
    }
}

/// The time that the caller waits for the outcome.
fn request_timeout(route: &Route, request: &Request) -> Millis {
    let requested =
        request.header("Deadline-Ms").and_then(|value| value.last().as_str().parse().ok());
    match requested {
        Some(requested) => Millis(requested),
        None if route.timeout > Millis::ZERO => route.timeout,
        None => DEFAULT_TIMEOUT,
    }
}

fn respond(id: &str, outcome: &Outcome) -> Response {
    match outcome {
        Outcome::Done => state(StatusCode::Ok, "done"),
        Outcome::Failed => state(StatusCode::Ok, "failed"),
        Outcome::Cancelled => state(StatusCode::Ok, "cancelled"),
        Outcome::Refused { reason, retry_after } => {
            refuse(StatusCode::ServiceUnavailable, &reason.to_string(), id, *retry_after)
        }
        Outcome::Moved => refuse(StatusCode::ServiceUnavailable, "moved", id, Millis(1000)),
        Outcome::Interrupted | Outcome::Expired => state(StatusCode::GatewayTimeout, "expired"),
    }
}

/// Refuses a job none of whose tasks was started. The caller may retry after `retry_after`.
fn refuse(status: StatusCode, reason: &str, id: &str, retry_after: Millis) -> Response {
    event!(warn, "refused", job = id, reason = reason, retry_ms = retry_after.0);
    let mut response = state(status, "refused");
    response.insert_header("Retry-After", retry_after.0.div_ceil(1000).max(1).to_string());
    response
}

fn state(status: StatusCode, state: &str) -> Response {
    json(status, &json!({ "state": state }))
}

fn json(status: StatusCode, body: &serde_json::Value) -> Response {
    let mut response = Response::new(status);
    response.set_body(body.to_string());
    response.insert_header("Content-Type", "application/json");
    response
}

/// Serves the platform's readiness check: whether to route callers to this VM.
#[derive(Debug)]
pub struct Readiness {
    pub node: Arc<Node>,
}

impl Handler for Readiness {
    fn answer(self: Arc<Self>, _request: Request) -> ResponseFuture {
        Box::pin(async move {
            if self.node.is_ready() {
                state(StatusCode::Ok, "ready")
            } else {
                state(StatusCode::ServiceUnavailable, "not-ready")
            }
        })
    }

    fn body_max(&self) -> u64 {
        0
    }
}

/// Serves the metrics as text, and the VM's status as JSON.
#[derive(Debug)]
pub struct Metrics {
    pub node: Arc<Node>,
}

impl Handler for Metrics {
    fn answer(self: Arc<Self>, request: Request) -> ResponseFuture {
        Box::pin(async move {
            if request.url().path() == STATUS_PATH {
                return json(StatusCode::Ok, &json!(self.node.status()));
            }
            let mut response = Response::new(StatusCode::Ok);
            response.set_body(self.node.metrics_text());
            response
        })
    }

    fn body_max(&self) -> u64 {
        0
    }
}
