//! A caller of an entry VM: sends each call as JSON on a new connection.

use std::net::SocketAddr;

use gypsumkeel::clock::Millis;
use gypsumkeel::http::{Connection, Error, Request};
use http_types::Method;
use serde_json::{Value, json};

/// How long a caller waits by default.
const TIMEOUT: Millis = Millis::from_secs(30);

/// The response to a call.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    pub status: u16,
    pub body: Value,
}

impl Reply {
    /// The field `execution` of a problem document, or an empty text.
    pub fn execution(&self) -> &str {
        self.body["execution"].as_str().unwrap_or_default()
    }

    /// The payload ids in the answers of a complete job, in order.
    pub fn ids(&self) -> Vec<&str> {
        let answers = self.body["answers"].as_array().map(Vec::as_slice).unwrap_or_default();
        answers.iter().filter_map(|answer| answer["id"].as_str()).collect()
    }

    /// Whether it holds the answers to all tasks of the job with these payload ids.
    pub fn is_whole(&self, ids: &[String]) -> bool {
        self.status == 200 && self.body["state"] == "complete" && self.ids() == *ids
    }
}

/// A job to submit, and the payload ids of its tasks.
#[derive(Clone, Debug)]
pub struct Job {
    pub ids: Vec<String>,
    pub body: Value,
}

impl Job {
    /// A job of `count` tasks of `ms` each, whose payload ids start with `name`.
    pub fn new(name: &str, count: usize, ms: u64) -> Self {
        let ids = (0..count).map(|index| format!("{name}/{index}")).collect::<Vec<_>>();
        let tasks = ids
            .iter()
            .map(|id| json!({ "payload": { "id": id, "ms": ms }, "expected_ms": ms }))
            .collect::<Vec<_>>();
        let body = json!({ "service": "holds", "team": "desk", "tasks": tasks });
        Self { ids, body }
    }

    /// Allows a second attempt of a task whose outcome is unknown.
    pub fn repeatable(mut self) -> Self {
        self.body["repeatable"] = true.into();
        self
    }

    /// Sets the timeout of the job, in milliseconds.
    pub fn timeout(mut self, ms: u64) -> Self {
        self.body["timeout_ms"] = ms.into();
        self
    }

    /// Makes the task at `index` fail on every target.
    pub fn failing(mut self, index: usize) -> Self {
        self.body["tasks"][index]["payload"]["fail"] = true.into();
        self
    }
}

/// A caller of one entry VM.
#[derive(Clone, Copy, Debug)]
pub struct Caller {
    pub entry: SocketAddr,
    pub timeout: Millis,
}

impl Caller {
    /// A caller of the VM at `entry`.
    pub const fn new(entry: SocketAddr) -> Self {
        Self { entry, timeout: TIMEOUT }
    }

    /// The same caller with a timeout of `ms` for each call.
    pub const fn timeout(self, ms: u64) -> Self {
        Self { timeout: Millis(ms), ..self }
    }

    /// Requests a new key prefix.
    pub async fn keys(self) -> Result<String, Error> {
        let reply = self.call(Method::Post, "/v1/keys", &[], b"").await?;
        let prefix = reply.body["prefix"].as_str().map(str::to_owned);
        prefix.ok_or_else(|| Error::Lost(format!("no prefix in {reply:?}")))
    }

    /// Submits a job and waits for the response.
    pub async fn submit(self, key: &str, job: &Job) -> Result<Reply, Error> {
        let headers = [("Idempotency-Key", key), ("Content-Type", "application/json")];
        self.call(Method::Post, "/v1/jobs", &headers, job.body.to_string().as_bytes()).await
    }

    /// Looks a job up.
    pub async fn lookup(self, key: &str) -> Result<Reply, Error> {
        self.call(Method::Get, &format!("/v1/jobs/{key}"), &[], b"").await
    }

    /// Cancels a job.
    pub async fn cancel(self, key: &str) -> Result<Reply, Error> {
        self.call(Method::Delete, &format!("/v1/jobs/{key}"), &[], b"").await
    }

    /// Reads the status of the VM.
    pub async fn status(self) -> Result<Reply, Error> {
        self.call(Method::Get, "/v1/status", &[], b"").await
    }

    /// Whether the VM reports that it accepts jobs.
    pub async fn is_ready(self) -> bool {
        let reply = self.call(Method::Get, "/readyz", &[], b"").await;
        reply.is_ok_and(|reply| reply.status == 200)
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Result<Reply, Error> {
        let mut connection = Connection::open(self.entry, self.timeout).await?;
        let request = Request { method, path, headers, body, timeout: self.timeout };
        let response = connection.send(&request).await;
        connection.close();
        let response = response?;
        let body = serde_json::from_slice(&response.body).unwrap_or(Value::Null);
        Ok(Reply { status: response.status, body })
    }
}
