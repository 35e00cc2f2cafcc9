//! Failures as problem documents of RFC 9457.

use http_types::{Response, StatusCode};
use serde::Serialize;

use crate::clock::Millis;
use crate::job::{Execution, Failure, Reason};

/// The media type of a problem document.
const MEDIA_TYPE: &str = "application/problem+json";

#[derive(Serialize)]
struct Problem<'a> {
    r#type: &'static str,
    title: &'static str,
    status: u16,
    detail: &'a str,
    execution: Execution,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<Millis>,
}

/// Creates the response that reports a failure.
pub fn response(failure: &Failure) -> Response {
    let status = failure.reason.status();
    let status = StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError);
    let mut response = Response::new(status);
    response.set_body(body(failure));
    response.insert_header("Content-Type", MEDIA_TYPE);
    if let Some(wait) = failure.retry_after {
        response.insert_header("Retry-After", seconds(wait).to_string());
    }
    response
}

/// The response as bytes, for a connection whose request could not be read. It announces that the connection closes.
pub fn raw(failure: &Failure) -> Vec<u8> {
    let body = body(failure);
    let (status, title) = (failure.reason.status(), title(failure.reason));
    let length = body.len();
    format!(
        "HTTP/1.1 {status} {title}\r\nContent-Type: {MEDIA_TYPE}\r\nContent-Length: {length}\r\n\
         Connection: close\r\n\r\n{body}"
    )
    .into_bytes()
}

fn body(failure: &Failure) -> String {
    let problem = Problem {
        r#type: type_of(failure.reason),
        title: title(failure.reason),
        status: failure.reason.status(),
        detail: &failure.detail,
        execution: failure.execution,
        retry_after_ms: failure.retry_after,
    };
    serde_json::to_string(&problem).expect("a problem document serializes to JSON")
}

const fn seconds(wait: Millis) -> u64 {
    wait.0.div_ceil(1000)
}

const fn type_of(reason: Reason) -> &'static str {
    match reason {
        Reason::Invalid => "urn:gypsumkeel:invalid",
        Reason::Missing => "urn:gypsumkeel:missing",
        Reason::Method => "urn:gypsumkeel:method",
        Reason::Slow => "urn:gypsumkeel:slow",
        Reason::Cancelled => "urn:gypsumkeel:cancelled",
        Reason::Gone => "urn:gypsumkeel:gone",
        Reason::Large => "urn:gypsumkeel:large",
        Reason::Mismatch => "urn:gypsumkeel:mismatch",
        Reason::Limited => "urn:gypsumkeel:limited",
        Reason::Failed => "urn:gypsumkeel:failed",
        Reason::Unavailable => "urn:gypsumkeel:unavailable",
        Reason::Expired => "urn:gypsumkeel:expired",
    }
}

const fn title(reason: Reason) -> &'static str {
    match reason {
        Reason::Invalid => "Invalid request",
        Reason::Missing => "Nothing known",
        Reason::Method => "Method not allowed",
        Reason::Slow => "Request too slow",
        Reason::Cancelled => "Cancelled or ended",
        Reason::Gone => "Gone",
        Reason::Large => "Request too large",
        Reason::Mismatch => "Key used with another body",
        Reason::Limited => "Limit reached",
        Reason::Failed => "Task failed",
        Reason::Unavailable => "Unavailable",
        Reason::Expired => "Out of time",
    }
}
