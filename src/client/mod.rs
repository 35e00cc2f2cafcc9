//! The client side of entry VMs: a single request, and the commands built on it.

pub mod status;
pub mod submit;

use std::fmt;
use std::net::SocketAddr;

use serde::Deserialize;

use crate::clock::Millis;
use crate::http::{Connection, Error, Request, Response};
use crate::job::Execution;

/// How long opening a connection to an entry VM may take.
const CONNECT_TIMEOUT: Millis = Millis::from_secs(1);

/// A problem document: why an entry VM refused a request, or how a job failed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Problem {
    /// The HTTP status code.
    pub status: u16,
    /// The kind of problem in a few words.
    pub title: String,
    /// The cause and the remedy.
    pub detail: String,
    /// Whether a task of the job was executed, as far as is known.
    pub execution: Execution,
    /// How long to wait before another attempt, if one may succeed.
    pub retry_after_ms: Option<Millis>,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}: {} (execution: {})", self.status, self.title, self.detail, self.execution)
    }
}

/// The result of a request to an entry VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// Status 200. Holds the body.
    Ok(String),
    /// Another status, with a problem document.
    Problem(Problem),
    /// Nothing was sent. Holds the reason.
    Unsent(String),
    /// The request was sent and no valid response came back. Holds the reason.
    Lost(String),
}

/// Sends a request to an entry VM on a new connection, which is closed afterwards.
pub async fn send(entry: SocketAddr, request: &Request<'_>) -> Reply {
    let connect_timeout = CONNECT_TIMEOUT.min(request.timeout);
    let result = match Connection::open(entry, connect_timeout).await {
        Ok(mut connection) => {
            let result = connection.send(request).await;
            connection.close();
            result
        }
        Err(error) => Err(error),
    };
    match result {
        Ok(response) => parse(entry, &response),
        Err(Error::Unsent(why)) => Reply::Unsent(format!("{entry}: {why}")),
        Err(Error::Lost(why) | Error::Closed(why)) => Reply::Lost(format!("{entry}: {why}")),
    }
}

fn parse(entry: SocketAddr, response: &Response) -> Reply {
    if response.status == 200 {
        return match std::str::from_utf8(&response.body) {
            Ok(body) => Reply::Ok(body.to_owned()),
            Err(error) => Reply::Lost(format!("{entry}: the response is not UTF-8: {error}")),
        };
    }
    match serde_json::from_slice(&response.body) {
        Ok(problem) => Reply::Problem(problem),
        Err(_) => {
            Reply::Lost(format!("{entry}: status {} without a problem document", response.status))
        }
    }
}
