//! The outcome of a job: the answers of all tasks, or one failure that says what is known of the execution.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;

/// The answer to one task: the JSON text that the target returned.
pub type Answer = Arc<str>;

/// What is known of the execution of a job that did not complete.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Execution {
    /// No task was started, and none will be started under the same key.
    NotRun,
    /// At least one task was started, and how it ended is known.
    Ran,
    /// A task may have been started; nothing more is known.
    Unknown,
}

impl fmt::Display for Execution {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not-run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        })
    }
}

/// The kind of a failure. Each kind has one HTTP status.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// 400: the request is malformed or refers to something that does not exist.
    Invalid,
    /// 404: nothing is known under this key or path.
    Missing,
    /// 405: the path does not support the request's method.
    Method,
    /// 408: the request did not arrive in time.
    Slow,
    /// 409: the job was cancelled or has already ended.
    Cancelled,
    /// 410: the key's window or incarnation, or the job's answer, is no longer kept.
    Gone,
    /// 413: the request exceeds a size limit.
    Large,
    /// 422: the key was used before with a different body.
    Mismatch,
    /// 429: a queue or budget is full.
    Limited,
    /// 502: a task ran and failed, or its outcome was lost.
    Failed,
    /// 503: the VM can't serve the request now, or the process that the key names can't be reached.
    Unavailable,
    /// 504: the job did not end before its deadline.
    Expired,
}

impl Reason {
    /// The HTTP status of the reason.
    pub const fn status(self) -> u16 {
        match self {
            Self::Invalid => 400,
            Self::Missing => 404,
            Self::Method => 405,
            Self::Slow => 408,
            Self::Cancelled => 409,
            Self::Gone => 410,
            Self::Large => 413,
            Self::Mismatch => 422,
            Self::Limited => 429,
            Self::Failed => 502,
            Self::Unavailable => 503,
            Self::Expired => 504,
        }
    }
}

/// Why a job or request failed, returned to the caller as a problem document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Failure {
    /// The kind of failure.
    pub reason: Reason,
    /// What is known of the job's execution.
    pub execution: Execution,
    /// What happened and the remedy, in one sentence.
    pub detail: String,
    /// How long the caller should wait before a retry, if a retry can help.
    pub retry_after: Option<Millis>,
}

impl Failure {
    /// A failure without a time to wait before a retry.
    pub fn new(reason: Reason, execution: Execution, detail: impl Into<String>) -> Self {
        Self { reason, execution, detail: detail.into(), retry_after: None }
    }

    /// Sets the time that the caller should wait before a retry.
    #[must_use]
    pub fn retry_after(mut self, wait: Millis) -> Self {
        self.retry_after = Some(wait);
        self
    }
}

/// Approximate memory that a kept outcome takes besides its text and answers, in bytes.
const KEPT_BYTES: usize = 256;

/// Approximate memory that a kept answer takes besides its text, in bytes.
const KEPT_ANSWER_BYTES: usize = 48;

/// How a job ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// The answers of all tasks, in the order of the tasks.
    Complete(Vec<Answer>),
    /// The failure of the job; answers of single tasks are dropped.
    Failed(Failure),
}

impl Outcome {
    /// The length of all answers, or of the failure's detail, in bytes.
    pub fn bytes(&self) -> usize {
        match self {
            Self::Complete(answers) => answers.iter().map(|answer| answer.len()).sum(),
            Self::Failed(failure) => failure.detail.len(),
        }
    }

    /// Approximate memory that the outcome takes while it is kept, in bytes.
    pub fn kept_bytes(&self) -> usize {
        let answers = match self {
            Self::Complete(answers) => answers.len(),
            Self::Failed(_) => 0,
        };
        self.bytes() + answers * KEPT_ANSWER_BYTES + KEPT_BYTES
    }
}
