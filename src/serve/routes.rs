//! What callers may ask over HTTP.

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

/// The header that carries a job's key.
const KEY_HEADER: &str = "Idempotency-Key";

/// The path below which the jobs are.
const JOBS: &str = "/v1/jobs/";

impl server::Handler for Node {
    fn answer(self: Arc<Self>, request: Request) -> Pin<Box<dyn Future<Output = Response> + Send>> {
        Box::pin(async move {
            let answered = route(&self, request).await;
            let mut response = answered.unwrap_or_else(|failure| problem::response(&failure));
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
        (Method::Post, "/v1/keys") => prefix(node),
        (Method::Post, "/v1/jobs") => submit(node, request).await,
        (Method::Get, "/healthz") => Ok(text(StatusCode::Ok, "ok\n")),
        (Method::Get, "/readyz") => Ok(ready(node)),
        (Method::Get, "/v1/status") => Ok(json(StatusCode::Ok, status(node).to_string())),
        (Method::Get, job) if job.starts_with(JOBS) => look(node, &job[JOBS.len()..]).await,
        (Method::Delete, job) if job.starts_with(JOBS) => cancel(node, &job[JOBS.len()..]).await,
        (_, "/v1/keys" | "/v1/jobs" | "/healthz" | "/readyz" | "/v1/status") => {
            let detail = "the path does not take this method; see docs/API.md";
            Err(Failure::new(Reason::Method, Execution::NotRun, detail))
        }
        _ => {
            let detail = "there is no such path; see docs/API.md";
            Err(Failure::new(Reason::Missing, Execution::NotRun, detail))
        }
    }
}

fn prefix(node: &Node) -> Result<Response, Failure> {
    if !node.is_ready() {
        let detail = "this VM is stopping or has no configuration yet; ask another VM";
        return Err(Failure::new(Reason::Unavailable, Execution::NotRun, detail));
    }
    let (prefix, fresh) = node.prefix();
    let body = json!({ "prefix": prefix, "fresh_for_ms": fresh });
    Ok(json(StatusCode::Ok, body.to_string()))
}

async fn submit(node: &Arc<Node>, mut request: Request) -> Result<Response, Failure> {
    let key = request.header(KEY_HEADER).map(|values| values.last().as_str().to_owned());
    let key = key.ok_or_else(|| {
        let detail = "the header Idempotency-Key is missing; take a prefix from POST /v1/keys";
        Failure::new(Reason::Invalid, Execution::NotRun, detail)
    })?;
    let spec = match read_spec(node, &mut request).await {
        Ok(spec) => spec,
        Err(failure) => return Err(node.truthful(&key, failure).await),
    };
    let text = key;
    let key = node.resolve(&text).await?;
    let arrived = node.now();
    let outcome = node.submit(&key, spec).await;
    meter::submission(&node.metrics, &outcome, node.now() - arrived);
    Ok(answer(&text, &outcome))
}

async fn read_spec(node: &Node, request: &mut Request) -> Result<Spec, Failure> {
    let body = read_body(node, request).await?;
    Spec::parse(&body, node.document().limits.tasks_max)
        .map_err(|error| Failure::new(Reason::Invalid, Execution::NotRun, error.to_string()))
}

async fn look(node: &Arc<Node>, text: &str) -> Result<Response, Failure> {
    let Some(key) = node.find(text).await? else { return Err(never()) };
    match node.look(&key).await? {
        KeyStatus::NeverSubmitted => Err(never()),
        KeyStatus::Running | KeyStatus::Cancelling => {
            Ok(state(StatusCode::Accepted, text, "running"))
        }
        KeyStatus::Ended(outcome) => Ok(answer(text, &outcome)),
    }
}

fn never() -> Failure {
    let detail =
        "no submission with this key has arrived; DELETE it to make sure that none will run";
    Failure::new(Reason::Missing, Execution::NotRun, detail)
}

async fn cancel(node: &Arc<Node>, text: &str) -> Result<Response, Failure> {
    let key = node.resolve(text).await?;
    match node.cancel(&key).await? {
        KeyStatus::Cancelling | KeyStatus::Running | KeyStatus::NeverSubmitted => {
            Ok(state(StatusCode::Accepted, text, "cancelling"))
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

/// What `gypsumkeel status` shows.
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
    let most = node.document().limits.body_max;
    let limit = node.settings.callers.body_timeout;
    read(request, most, limit).await.map_err(|error| {
        let reason = match error {
            BodyError::Large(_) => Reason::Large,
            BodyError::Slow(_) => Reason::Slow,
            BodyError::Unread(_) | BodyError::Short => Reason::Invalid,
        };
        Failure::new(reason, Execution::NotRun, error.to_string())
    })
}

fn answer(key: &str, outcome: &Outcome) -> Response {
    match outcome {
        Outcome::Complete(answers) => json(StatusCode::Ok, complete(key, answers)),
        Outcome::Failed(failure) => problem::response(failure),
    }
}

/// The answers are JSON texts already, so they are joined as they are.
fn complete(key: &str, answers: &[Answer]) -> String {
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

fn state(status: StatusCode, key: &str, state: &str) -> Response {
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
