//! `gypsumkeel status`: how one entry VM is.

use std::fmt::Write as _;

use serde_json::Value;

use super::{Reply, ask};
use crate::cli;
use crate::clock::Millis;
use crate::exit::{self, Exit};
use crate::http::Request;

/// How long to wait for the answer.
const TIMEOUT: Millis = Millis::from_secs(5);

/// Asks the entry VM that the words name, and prints its answer.
pub fn run(words: &cli::Status) -> Exit {
    let question = Request::get("/v1/status", TIMEOUT);
    let body = match smol::block_on(ask(words.entry, &question)) {
        Reply::Ok(body) => body,
        Reply::Problem(problem) => return Exit::Failed.because(problem),
        Reply::Unsent(why) | Reply::Lost(why) => {
            return Exit::Failed
                .because(format_args!("{why}; check --entry and that the VM is up"));
        }
    };
    if words.json {
        return exit::print(&format!("{body}\n"));
    }
    match serde_json::from_str::<Value>(&body) {
        Ok(status) => exit::print(&table(&status)),
        Err(error) => Exit::Failed.because(format_args!("no status: {error}; check --entry")),
    }
}

/// One line for each field; lists as their length and, below, their items.
fn table(status: &Value) -> String {
    let mut text = String::new();
    let Some(fields) = status.as_object() else { return text };
    let width = fields.keys().map(String::len).max().unwrap_or(0);
    for (name, value) in fields {
        let line = match value {
            Value::Array(items) => items.len().to_string(),
            value => flat(value),
        };
        let _ = writeln!(text, "{name:width$}  {line}");
        for item in value.as_array().into_iter().flatten() {
            let _ = writeln!(text, "{:width$}  - {}", "", flat(item));
        }
    }
    text
}

/// A value in one line, fields as key=value, and fields of fields as key.key=value.
fn flat(value: &Value) -> String {
    match value {
        Value::Object(fields) => {
            let pairs = fields.iter().map(|(name, value)| match value {
                Value::Object(_) => {
                    let inner = flat(value);
                    let inner = inner.split(' ').map(|pair| format!("{name}.{pair}"));
                    inner.collect::<Vec<_>>().join(" ")
                }
                value => format!("{name}={}", flat(value)),
            });
            pairs.collect::<Vec<_>>().join(" ")
        }
        Value::String(text) => text.clone(),
        value => value.to_string(),
    }
}
