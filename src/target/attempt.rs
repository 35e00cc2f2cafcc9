//! One attempt at a task: takes a connection, sends the task and interprets the response.

use std::net::SocketAddr;
use std::sync::Arc;

use http_types::Method;
use serde_json::value::RawValue;

use crate::clock::Millis;
use crate::contain;
use crate::dispatch::{Attempt, Report};
use crate::http::{Error, Request, Response};

use super::pool::{Guard, Pool};

/// The remedy for a lost outcome, for the caller.
const REMEDY: &str = "; ask the service whether the task ran";

/// Times that govern the connections to targets.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// How long opening a connection may take, and how long probing one may take.
    pub connect_timeout: Millis,
    /// The idle time from which a connection is probed before a task is sent on it.
    pub prove_after: Millis,
}

impl Pool {
    /// Makes one attempt and reports its result. [`Report::Unsent`] means that no byte of the task was written.
    pub async fn run(self: &Arc<Self>, attempt: &Attempt, rules: Rules) -> Report {
        let mut guard = match self.connect(rules).await {
            Ok(guard) => guard,
            Err(error) => return Report::Unsent(error.to_string()),
        };
        let headers = [
            ("Task-Id", attempt.name.as_str()),
            ("Service", attempt.service.as_str()),
            ("Content-Type", "application/json"),
        ];
        let request = Request {
            method: Method::Post,
            path: "/v1/tasks",
            headers: &headers,
            body: attempt.payload.as_bytes(),
            timeout: attempt.timeout,
        };
        match guard.connection_mut().send(&request).await {
            Ok(response) => interpret(self, guard, attempt, &response),
            Err(Error::Unsent(why)) => Report::Unsent(why),
            Err(Error::Lost(why) | Error::Closed(why)) => {
                self.close_idle();
                let address = self.address();
                Report::Lost(format!(
                    "the response of the target at {address} was lost: {why}{REMEDY}"
                ))
            }
        }
    }

    /// Takes an idle connection, which is probed if it was idle for long, or else opens a new one. If a probe fails,
    /// all idle connections are closed, as the same fault has most likely hit them too.
    async fn connect(self: &Arc<Self>, rules: Rules) -> Result<Guard, Error> {
        if let Some(mut guard) = self.reuse().await {
            if guard.idle < rules.prove_after || probe(&mut guard, rules.connect_timeout).await {
                return Ok(guard);
            }
            self.close_idle();
        }
        self.open(rules.connect_timeout).await
    }
}

/// Whether the target responds to a health check on the connection.
async fn probe(guard: &mut Guard, timeout: Millis) -> bool {
    let request = Request::get("/healthz", timeout);
    let response = guard.connection_mut().send(&request).await;
    response.is_ok_and(|response| response.status == 200)
}

/// Converts a response into the result of the attempt.
fn interpret(pool: &Pool, guard: Guard, attempt: &Attempt, response: &Response) -> Report {
    let address = pool.address();
    let task_id = response.header("Task-Id");
    if task_id.is_some_and(|id| id != attempt.name) {
        return Report::Lost(format!(
            "the target at {address} responded to task {} with the id of another task{REMEDY}",
            attempt.name
        ));
    }
    match response.status {
        200 if task_id.is_none() => Report::Lost(format!(
            "the target at {address} responded to task {} without a Task-Id header{REMEDY}",
            attempt.name
        )),
        200 => {
            let report = parse_result(address, &response.body);
            guard.put_back();
            report
        }
        503 if response.header("Not-Started") == Some("true") => {
            guard.put_back();
            Report::Full
        }
        status => {
            guard.put_back();
            Report::Failed(format!(
                "the target at {address} responded with status {status}; see its log for task {}",
                attempt.name
            ))
        }
    }
}

/// Checks that the body is JSON and returns it as the task's result.
fn parse_result(address: SocketAddr, body: &[u8]) -> Report {
    match contain::json::<&RawValue>(body) {
        Ok(value) => Report::Done(Arc::from(value.get())),
        Err(error) => Report::Failed(format!(
            "the response of the target at {address} is not JSON: {error}; correct the target"
        )),
    }
}
