//! What a caller asks for: the body of a submission, checked.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use sha2::{Digest, Sha256};

use crate::clock::Millis;

/// A digest of everything in a [`Spec`], to tell a resubmission from another body under the same key.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Fingerprint(pub [u8; 16]);

/// One task of a job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Task {
    /// The JSON text that is sent to the target.
    pub payload: Arc<str>,
    /// The run time that the caller expects; a hint that is often far off.
    pub expected: Option<Millis>,
}

/// A job as it was asked for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Spec {
    /// The service of the configuration that says which targets may run the tasks.
    pub service: String,
    /// The team whose share of the slots the job uses.
    pub team: String,
    /// Whether a task may be started again after its outcome was lost.
    pub repeatable: bool,
    /// How long the caller waits; the service's default where the caller names none.
    pub timeout: Option<Millis>,
    /// The tasks, in the order of the answers.
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
    /// Reads the JSON body of a submission with at most `tasks_max` tasks. Unknown fields are ignored.
    pub fn parse(body: &[u8], tasks_max: usize) -> Result<Self, SpecError> {
        let body: Body<'_> =
            serde_json::from_slice(body).map_err(|error| SpecError::Json(error.to_string()))?;
        if body.tasks.is_empty() {
            return Err(SpecError::Empty);
        }
        if body.tasks.len() > tasks_max {
            return Err(SpecError::Tasks { asked: body.tasks.len(), most: tasks_max });
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

    /// The digest of all fields, each with its length so that no two specs share a text.
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
        let mut short = [0; 16];
        short.copy_from_slice(&digest.finalize()[..16]);
        Fingerprint(short)
    }
}

impl BodyTask<'_> {
    fn to_task(&self) -> Task {
        Task { payload: Arc::from(self.payload.get()), expected: self.expected_ms }
    }
}

/// Why a body is not a job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SpecError {
    /// Not JSON of the expected shape.
    Json(String),
    /// No tasks.
    Empty,
    /// More tasks than the limit.
    Tasks {
        /// How many the body holds.
        asked: usize,
        /// How many a job may hold.
        most: usize,
    },
    /// A timeout of zero.
    Timeout,
}

impl fmt::Display for SpecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Json(error) => {
                write!(f, "the body is no job: {error}; send the JSON that docs/API.md shows")
            }
            Self::Empty => write!(f, "the job has no tasks; send at least one"),
            Self::Tasks { asked, most } => {
                write!(f, "the job has {asked} tasks and the limit is {most}; split it")
            }
            Self::Timeout => {
                write!(f, "timeout_ms is 0; leave it out or give the time you can wait")
            }
        }
    }
}

impl std::error::Error for SpecError {}
