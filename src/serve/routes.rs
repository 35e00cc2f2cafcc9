//! The HTTP API for callers.

use std::fmt::Write as _;
use std::pin::Pin;
use std::sync::Arc;

use http_types::{Method, Request, Response, StatusCode};
use serde_json::json;

use crate::http::{BodyError, problem, read_body as read, server};
use crate::job::{Answer, Execution, Failure, Outcome, Reason, Spec};
use crate::wire::KeyStatus;

use super::meter;
use super::node::Node;

/// The header with the key of a job.
const KEY_HEADER: &str = "Idempotency-Key";

/// The path of a job, without its key.
const JOB_PATH: &str = "/v1/jobs/";

impl server::Handler for Node {
    fn answer(self: Arc<Self>, request: Request) -> Pin<Box<dyn Future<Output = Response> + Send>> {
        Box::pin(async move {
            let result = route(&self, request).await;
            let mut response = result.unwrap_or_else(|failure| problem::response(&failure));
            if self.is_draining() {
                response.insert_header("Connection", "close");
            }
            response
        })
    }

    fn body_max(&self) -> u64 {
        self.document().limits.body_max
    }
}

async fn route(node: &Arc<Node>, request: Request) -> Result<Response, Failure> {
    let path = request.url().path().to_owned();
    match (request.method(), path.as_str()) {
        (Method::Post, "/v1/keys") => new_prefix(node),
        (Method::Post, "/v1/jobs") => submit(node, request).await,
        (Method::Get, "/healthz") => Ok(text(StatusCode::Ok, "ok\n")),
        (Method::Get, "/readyz") => Ok(ready(node)),
        (Method::Get, "/v1/status") => Ok(json(StatusCode::Ok, status(node).to_string())),
        (Method::Get, job) if job.starts_with(JOB_PATH) => {
            lookup(node, &job[JOB_PATH.len()..]).await
        }
        (Method::Delete, job) if job.starts_with(JOB_PATH) => {
            cancel(node, &job[JOB_PATH.len()..]).await
        }
        (_, "/v1/keys" | "/v1/jobs" | "/healthz" | "/readyz" | "/v1/status") => {
            let detail = "the path does not support this method; see docs/API.md";
            Err(Failure::new(Reason::Method, Execution::NotRun, detail))
        }
        _ => {
            let detail = "there is no such path; see docs/API.md";
            Err(Failure::new(Reason::Missing, Execution::NotRun, detail))
        }
    }
}

fn new_prefix(node: &Node) -> Result<Response, Failure> {
    if !node.is_ready() {
        let detail = "this VM is stopping or has no configuration yet; ask another VM";
        return Err(Failure::new(Reason::Unavailable, Execution::NotRun, detail));
    }
    let (prefix, usable_for) = node.prefix();
    let body = json!({ "prefix": prefix, "fresh_for_ms": usable_for });
    Ok(json(StatusCode::Ok, body.to_string()))
}

async fn submit(node: &Arc<Node>, mut request: Request) -> Result<Response, Failure> {
    let key = request.header(KEY_HEADER).map(|values| values.last().as_str().to_owned());
    let key = key.ok_or_else(|| {
        let detail = "the header Idempotency-Key is missing; get a prefix from POST /v1/keys";
        Failure::new(Reason::Invalid, Execution::NotRun, detail)
    })?;
    let spec = match read_spec(node, &mut request).await {
        Ok(spec) => spec,
        Err(failure) => return Err(node.with_known_execution(&key, failure).await),
    };
    let text = key;
    let key = node.resolve(&text).await?;
    let arrived_at = node.now();
    let outcome = node.submit(&key, spec).await;
    meter::record_submission(&node.metrics, &outcome, node.now() - arrived_at);
    Ok(outcome_response(&text, &outcome))
}

async fn read_spec(node: &Node, request: &mut Request) -> Result<Spec, Failure> {
    let body = read_body(node, request).await?;
    Spec::parse(&body, node.document().limits.tasks_max)
        .map_err(|error| Failure::new(Reason::Invalid, Execution::NotRun, error.to_string()))
}

async fn lookup(node: &Arc<Node>, text: &str) -> Result<Response, Failure> {
    let Some(key) = node.resolve_without_claim(text).await? else { return Err(never_submitted()) };
    match node.lookup(&key).await? {
        KeyStatus::NeverSubmitted => Err(never_submitted()),
        KeyStatus::Running | KeyStatus::Cancelling => {
            Ok(state_response(StatusCode::Accepted, text, "running"))
        }
        KeyStatus::Ended(outcome) => Ok(outcome_response(text, &outcome)),
    }
}

fn never_submitted() -> Failure {
    let detail =
        "no submission with this key has arrived; DELETE it to make sure that none will run";
    Failure::new(Reason::Missing, Execution::NotRun, detail)
}

async fn cancel(node: &Arc<Node>, text: &str) -> Result<Response, Failure> {
    let key = node.resolve(text).await?;
    match node.cancel(&key).await? {
        KeyStatus::Cancelling | KeyStatus::Running | KeyStatus::NeverSubmitted => {
            Ok(state_response(StatusCode::Accepted, text, "cancelling"))
        }
        KeyStatus::Ended(Outcome::Complete(_)) => {
            let detail = "the job is complete; GET it to read its answers";
            Err(Failure::new(Reason::Cancelled, Execution::Ran, detail))
        }
        KeyStatus::Ended(Outcome::Failed(failure)) => {
            let detail = format!("the job has ended: {}", failure.detail);
            Err(Failure::new(Reason::Cancelled, failure.execution, detail))
        }
    }
}

fn ready(node: &Node) -> Response {
    if node.is_ready() {
        text(StatusCode::Ok, "ready\n")
    } else {
        text(StatusCode::ServiceUnavailable, "not ready for new jobs; ask another VM\n")
    }
}

/// The status document, as `gypsumkeel status` shows it.
fn status(node: &Node) -> serde_json::Value {
    let up = node.links.up();
    let peers = up.values().map(|link| {
        json!({ "vm": link.hello.vm, "domain": link.hello.domain, "incarnation": link.hello.incarnation })
    });
    let (document, view) = (node.document(), node.membership.view());
    let targets = document.targets.iter().map(|target| {
        let leaving = target.leaving || view.leaving.value.contains(&target.id);
        json!({ "id": target.id, "domain": target.domain, "slots": target.slots, "leaving": leaving })
    });
    let (counts, keys, window) = {
        let core = node.lock();
        (core.engine().counts(), core.table().len(), core.table().window())
    };
    json!({
        "vm": node.settings.vm,
        "domain": node.settings.domain,
        "region": node.settings.region,
        "incarnation": node.incarnation,
        "draining": node.is_draining(),
        "window": window,
        "keys": keys,
        "counts": counts,
        "config": node.holder.version(),
        "store": node.store.calls(),
        "links": node.links.volume(),
        "members": view.members.value.values().collect::<Vec<_>>(),
        "peers": peers.collect::<Vec<_>>(),
        "targets": targets.collect::<Vec<_>>(),
    })
}

async fn read_body(node: &Node, request: &mut Request) -> Result<Vec<u8>, Failure> {
    let max = node.document().limits.body_max;
    let timeout = node.settings.callers.body_timeout;
    read(request, max, timeout).await.map_err(|error| {
        let reason = match error {
            BodyError::Large(_) => Reason::Large,
            BodyError::Slow(_) => Reason::Slow,
            BodyError::Exhausted => Reason::Unavailable,
            BodyError::Unread(_) | BodyError::Short => Reason::Invalid,
        };
        Failure::new(reason, Execution::NotRun, error.to_string())
    })
}

/// The response to a job that has ended.
fn outcome_response(key: &str, outcome: &Outcome) -> Response {
    match outcome {
        Outcome::Complete(answers) => json(StatusCode::Ok, complete_body(key, answers)),
        Outcome::Failed(failure) => problem::response(failure),
    }
}

/// The body for a complete job. The answers are JSON texts already and are inserted unchanged.
fn complete_body(key: &str, answers: &[Answer]) -> String {
    let size = answers.iter().map(|answer| answer.len() + 1).sum::<usize>();
    let mut body = String::with_capacity(size + 128);
    let key = serde_json::Value::from(key);
    let _ = write!(body, r#"{{"key":{key},"state":"complete","answers":["#);
    for (index, answer) in answers.iter().enumerate() {
        if index > 0 {
            body.push(',');
        }
        body.push_str(answer);
    }
    body.push_str("]}");
    body
}

/// The response to a job that has not ended.
fn state_response(status: StatusCode, key: &str, state: &str) -> Response {
    json(status, json!({ "key": key, "state": state }).to_string())
}

fn json(status: StatusCode, body: String) -> Response {
    let mut response = text(status, body);
    response.insert_header("Content-Type", "application/json");
    response
}

fn text(status: StatusCode, body: impl Into<String>) -> Response {
    let mut response = Response::new(status);
    response.set_body(body.into());
    response
}
