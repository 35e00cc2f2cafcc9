//! The specification of a job, parsed from the body of a submission.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use sha2::{Digest, Sha256};

use crate::clock::Millis;
use crate::contain;

/// A digest of a [`Spec`], which tells a resubmission from a different job under the same key.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Fingerprint(pub [u8; 16]);

/// One task of a job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Task {
    /// JSON text to send to the target.
    pub payload: Arc<str>,
    /// Run time that the caller expects; an estimate that is often far off.
    pub expected: Option<Millis>,
}

/// A job as submitted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Spec {
    /// Name of the configured service whose targets may run the tasks.
    pub service: String,
    /// Name of the team whose share of the slots the job uses.
    pub team: String,
    /// Whether a task may be attempted again after it failed or its outcome was lost.
    pub repeatable: bool,
    /// How long the caller waits; `None` for the default of the service.
    pub timeout: Option<Millis>,
    /// The tasks; answers are returned in the same order.
    pub tasks: Vec<Task>,
}

#[derive(Deserialize)]
struct Body<'a> {
    service: String,
    #[serde(default)]
    team: String,
    #[serde(default)]
    repeatable: bool,
    timeout_ms: Option<Millis>,
    #[serde(borrow)]
    tasks: Vec<BodyTask<'a>>,
}

#[derive(Deserialize)]
struct BodyTask<'a> {
    #[serde(borrow)]
    payload: &'a RawValue,
    expected_ms: Option<Millis>,
}

impl Spec {
    /// Parses the JSON body of a submission and ignores unknown fields. Fails if the JSON is malformed, the
    /// timeout is zero, or there are no tasks or more than `tasks_max`.
    pub fn parse(body: &[u8], tasks_max: usize) -> Result<Self, SpecError> {
        let body: Body<'_> =
            contain::json(body).map_err(|error| SpecError::Json(error.to_string()))?;
        if body.tasks.is_empty() {
            return Err(SpecError::Empty);
        }
        if body.tasks.len() > tasks_max {
            return Err(SpecError::Tasks { count: body.tasks.len(), max: tasks_max });
        }
        if body.timeout_ms == Some(Millis::ZERO) {
            return Err(SpecError::Timeout);
        }
        let tasks = body.tasks.iter().map(BodyTask::to_task).collect();
        Ok(Self {
            service: body.service,
            team: body.team,
            repeatable: body.repeatable,
            timeout: body.timeout_ms,
            tasks,
        })
    }

    /// The digest of all fields. Each is preceded by its length, so that different specifications never yield
    /// the same digest input.
    pub fn fingerprint(&self) -> Fingerprint {
        let mut digest = Sha256::new();
        let mut field = |bytes: &[u8]| {
            digest.update((bytes.len() as u64).to_be_bytes());
            digest.update(bytes);
        };
        field(self.service.as_bytes());
        field(self.team.as_bytes());
        field(&[u8::from(self.repeatable)]);
        field(format!("{:?}", self.timeout).as_bytes());
        for task in &self.tasks {
            field(task.payload.as_bytes());
            field(format!("{:?}", task.expected).as_bytes());
        }
        let mut truncated = [0; 16];
        truncated.copy_from_slice(&digest.finalize()[..16]);
        Fingerprint(truncated)
    }
}

impl BodyTask<'_> {
    fn to_task(&self) -> Task {
        Task { payload: Arc::from(self.payload.get()), expected: self.expected_ms }
    }
}

/// Why the body of a submission was rejected.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SpecError {
    /// The body isn't JSON of the expected form; holds the parser's message.
    Json(String),
    /// The job has no tasks.
    Empty,
    /// The job has more tasks than the limit.
    Tasks {
        /// Number of tasks in the body.
        count: usize,
        /// Maximum number of tasks in a job.
        max: usize,
    },
    /// The timeout is zero.
    Timeout,
}

impl fmt::Display for SpecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Json(error) => {
                write!(
                    f,
                    "the body is not a job: {error}; send the JSON that docs/API.md describes"
                )
            }
            Self::Empty => write!(f, "the job has no tasks; send at least one"),
            Self::Tasks { count, max } => {
                write!(f, "the job has {count} tasks and the limit is {max}; split it")
            }
            Self::Timeout => {
                write!(f, "timeout_ms is 0; omit it or set how long you can wait")
            }
        }
    }
}

impl std::error::Error for SpecError {}
