//! The callers' side: one request to an entry VM, and the tools made of it.

pub mod status;
pub mod submit;

use std::fmt;
use std::net::SocketAddr;

use serde::Deserialize;

use crate::clock::Millis;
use crate::http::{Connection, Error, Request, Response};
use crate::job::Execution;

/// How long a tool waits for a connection before it tries another entry VM.
const CONNECT_TIMEOUT: Millis = Millis::from_secs(1);

/// A refusal or failure as an entry VM tells it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Problem {
    /// The HTTP status.
    pub status: u16,
    /// The kind.
    pub title: String,
    /// What happened, and the remedy.
    pub detail: String,
    /// What is known of the execution.
    pub execution: Execution,
    /// How long to wait before another try, where that helps.
    pub retry_after_ms: Option<Millis>,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}: {} (execution: {})", self.status, self.title, self.detail, self.execution)
    }
}

/// What came of one request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// A 200 with its body.
    Ok(String),
    /// A problem document.
    Problem(Problem),
    /// Nothing was sent.
    Unsent(String),
    /// Something was sent, and nothing that can be understood came back.
    Lost(String),
}

/// Makes one request on a connection of its own.
pub async fn ask(entry: SocketAddr, question: &Request<'_>) -> Reply {
    let connect_timeout = CONNECT_TIMEOUT.min(question.timeout);
    let answered = match Connection::open(entry, connect_timeout).await {
        Ok(mut connection) => {
            let answered = connection.send(question).await;
            connection.close();
            answered
        }
        Err(error) => Err(error),
    };
    match answered {
        Ok(answer) => understand(&answer),
        Err(Error::Unsent(why)) => Reply::Unsent(format!("{entry}: {why}")),
        Err(Error::Lost(why)) => Reply::Lost(format!("{entry}: {why}")),
    }
}

fn understand(answer: &Response) -> Reply {
    if answer.status == 200 {
        return match std::str::from_utf8(&answer.body) {
            Ok(body) => Reply::Ok(body.to_owned()),
            Err(error) => Reply::Lost(format!("the answer is not UTF-8: {error}")),
        };
    }
    match serde_json::from_slice(&answer.body) {
        Ok(problem) => Reply::Problem(problem),
        Err(_) => Reply::Lost(format!("status {} without a problem document", answer.status)),
    }
}
