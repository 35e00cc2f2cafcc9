//! One attempt at a task: a connection that is proved, the exchange, and what its end means.

use std::sync::Arc;

use http_types::Method;
use serde_json::value::RawValue;

use crate::clock::Millis;
use crate::dispatch::{Attempt, Report};
use crate::http::{Error, Request, Response};

use super::pool::{Lease, Pool};

/// What a caller can do about a lost outcome.
const ASK: &str = "; ask the service itself whether the task ran";

/// Times that hold for the connections to targets.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// How long to wait for a connection, and for the proof of one.
    pub connect_timeout: Millis,
    /// The idle time after which a connection is proved before a task is written to it.
    pub prove_after: Millis,
}

impl Pool {
    /// Runs one attempt and tells how it ended. Only what was never written is called unsent.
    pub async fn run(self: &Arc<Self>, start: &Attempt, rules: Rules) -> Report {
        let mut lease = match self.connect(rules).await {
            Ok(lease) => lease,
            Err(error) => return Report::Unsent(error.to_string()),
        };
        let headers = [
            ("Task-Id", start.name.as_str()),
            ("Service", start.service.as_str()),
            ("Content-Type", "application/json"),
        ];
        let question = Request {
            method: Method::Post,
            path: "/v1/tasks",
            headers: &headers,
            body: start.payload.as_bytes(),
            timeout: start.timeout,
        };
        match lease.connection_mut().send(&question).await {
            Ok(answer) => finish(lease, start, &answer),
            Err(Error::Unsent(why)) => Report::Unsent(why),
            Err(Error::Lost(why)) => {
                self.forget_idle();
                Report::Lost(format!("the target's answer was lost: {why}{ASK}"))
            }
        }
    }

    /// A connection that is fresh, proved or new. What made one connection go silent has most likely hit
    /// the others that are idle, so one that fails its proof is the last that is tried.
    async fn connect(self: &Arc<Self>, rules: Rules) -> Result<Lease, Error> {
        if let Some(mut lease) = self.reuse().await {
            if lease.idle < rules.prove_after || prove(&mut lease, rules.connect_timeout).await {
                return Ok(lease);
            }
            self.forget_idle();
        }
        self.open(rules.connect_timeout).await
    }
}

/// Whether a cheap request on the connection is answered.
async fn prove(lease: &mut Lease, timeout: Millis) -> bool {
    let question = Request::get("/healthz", timeout);
    let answer = lease.connection_mut().send(&question).await;
    answer.is_ok_and(|answer| answer.status == 200)
}

fn finish(lease: Lease, start: &Attempt, answer: &Response) -> Report {
    let named = answer.header("Task-Id");
    if named.is_some_and(|named| named != start.name) {
        return Report::Lost(format!("the target answered with another task's id{ASK}"));
    }
    match answer.status {
        200 if named.is_none() => Report::Lost(format!("the target's answer names no task{ASK}")),
        200 => {
            let report = accept(&answer.body);
            lease.put_back();
            report
        }
        503 if answer.header("Not-Started") == Some("true") => {
            lease.put_back();
            Report::Full
        }
        status => {
            lease.put_back();
            Report::Failed(format!(
                "the target answered {status}; see its log for the task {}",
                start.name
            ))
        }
    }
}

/// Takes the body as the task's answer if it is JSON.
fn accept(body: &[u8]) -> Report {
    match serde_json::from_slice::<&RawValue>(body) {
        Ok(value) => Report::Done(Arc::from(value.get())),
        Err(error) => {
            Report::Failed(format!("the target's answer is no JSON: {error}; mend the target"))
        }
    }
}
