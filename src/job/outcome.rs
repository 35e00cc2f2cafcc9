//! How a job ends: whole, or with one failure that says truthfully what was executed.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;

/// One task's answer: the JSON text that its target gave.
pub type Answer = Arc<str>;

/// What is known of the execution of a job that gave no complete answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Execution {
    /// No task was started, and none will be under this key.
    NotRun,
    /// A task was started and its end is known.
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

/// The kind of a failure; each stands for one HTTP status.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// 400: the request can't be read or asks for something that does not exist.
    Invalid,
    /// 404: nothing is known under this key or path.
    Missing,
    /// 405: the path does not take this method.
    Method,
    /// 408: the request did not arrive in time.
    Slow,
    /// 409: the job was cancelled, or has ended already.
    Cancelled,
    /// 410: the window or the incarnation that the key names is gone.
    Gone,
    /// 413: the request is larger than the limits allow.
    Large,
    /// 422: the key was used before with another body.
    Mismatch,
    /// 429: a queue or budget is full.
    Limited,
    /// 502: a task ran and failed, or its outcome was lost.
    Failed,
    /// 503: not now, or the process in charge can't be reached.
    Unavailable,
    /// 504: the job's time was up.
    Expired,
}

impl Reason {
    /// The HTTP status that stands for the reason.
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

/// An honest failure, told to the caller as a problem document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Failure {
    /// The kind.
    pub reason: Reason,
    /// What is known of the execution.
    pub execution: Execution,
    /// One sentence that says what happened and names the remedy.
    pub detail: String,
    /// How long to wait before another try, where that helps.
    pub retry_after: Option<Millis>,
}

impl Failure {
    /// A failure without a hint for another try.
    pub fn new(reason: Reason, execution: Execution, detail: impl Into<String>) -> Self {
        Self { reason, execution, detail: detail.into(), retry_after: None }
    }

    /// The same failure, with the time after which another try makes sense.
    #[must_use]
    pub fn retry_after(mut self, wait: Millis) -> Self {
        self.retry_after = Some(wait);
        self
    }
}

/// What keeping an outcome takes besides its text, in bytes.
const KEPT_BYTES: usize = 256;

/// What keeping one answer takes besides its text, in bytes.
const KEPT_ANSWER_BYTES: usize = 48;

/// The end of a job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// Every task's answer, in the order of the tasks.
    Complete(Vec<Answer>),
    /// One failure and no answers.
    Failed(Failure),
}

impl Outcome {
    /// The size of the answers, in bytes.
    pub fn bytes(&self) -> usize {
        match self {
            Self::Complete(answers) => answers.iter().map(|answer| answer.len()).sum(),
            Self::Failed(failure) => failure.detail.len(),
        }
    }

    /// About what keeping the outcome takes, in bytes.
    pub fn kept_bytes(&self) -> usize {
        let answers = match self {
            Self::Complete(answers) => answers.len(),
            Self::Failed(_) => 0,
        };
        self.bytes() + answers * KEPT_ANSWER_BYTES + KEPT_BYTES
    }
}
