//! `gypsumkeel status`: shows the status of an entry VM.

use std::fmt::Write as _;

use serde_json::Value;

use super::{Reply, send};
use crate::cli;
use crate::clock::Millis;
use crate::exit::{self, Exit};
use crate::http::Request;

/// How long the request may take.
const TIMEOUT: Millis = Millis::from_secs(5);

/// Prints the status of the entry VM that the arguments name, as JSON or as a table.
pub fn run(args: &cli::Status) -> Exit {
    let request = Request::get("/v1/status", TIMEOUT);
    let body = match smol::block_on(send(args.entry, &request)) {
        Reply::Ok(body) => body,
        Reply::Problem(problem) => return Exit::Failed.because(problem),
        Reply::Unsent(why) | Reply::Lost(why) => {
            return Exit::Failed
                .because(format_args!("{why}; check --entry and that the VM is up"));
        }
    };
    if args.json {
        return exit::print(&format!("{body}\n"));
    }
    match serde_json::from_str::<Value>(&body) {
        Ok(status) => exit::print(&table(&status)),
        Err(error) => Exit::Failed.because(format_args!(
            "the response of {} is not a status: {error}; check --entry",
            args.entry
        )),
    }
}

/// Formats a line per field: for a list its length, followed by a line per item.
fn table(status: &Value) -> String {
    let mut text = String::new();
    let Some(fields) = status.as_object() else { return text };
    let width = fields.keys().map(String::len).max().unwrap_or(0);
    for (name, value) in fields {
        let line = match value {
            Value::Array(items) => items.len().to_string(),
            value => one_line(value),
        };
        let _ = writeln!(text, "{name:width$}  {line}");
        for item in value.as_array().into_iter().flatten() {
            let _ = writeln!(text, "{:width$}  - {}", "", one_line(item));
        }
    }
    text
}

/// Formats a value in one line: fields as key=value, those of nested objects as key.key=value.
fn one_line(value: &Value) -> String {
    match value {
        Value::Object(fields) => {
            let pairs = fields.iter().map(|(name, value)| match value {
                Value::Object(_) => {
                    let inner = one_line(value);
                    let inner = inner.split(' ').map(|pair| format!("{name}.{pair}"));
                    inner.collect::<Vec<_>>().join(" ")
                }
                value => format!("{name}={}", one_line(value)),
            });
            pairs.collect::<Vec<_>>().join(" ")
        }
        Value::String(text) => text.clone(),
        value => value.to_string(),
    }
}
