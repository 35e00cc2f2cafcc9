//! A job as callers submit it.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;

use crate::batch::{Invalid, Resources, Spec, Step};
use crate::clock::Millis;
use crate::route::Route;

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Job {
    spec: Arc<str>,
    steps: Vec<Tasks>,
    #[serde(default)]
    best_effort: bool,
    #[serde(default)]
    persistent: bool,
    #[serde(default)]
    times: u64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Tasks {
    #[serde(default)]
    count: u32,
    /// Thousandths of a core.
    #[serde(default)]
    cpu: u64,
    #[serde(default)]
    mem_mb: u64,
    #[serde(default)]
    gpu: u64,
    #[serde(default)]
    est_ms: Millis,
    #[serde(default)]
    after: Vec<u32>,
    #[serde(default)]
    gang: bool,
    #[serde(default)]
    fills: bool,
    required_label: Option<String>,
    /// The rack where the data is; the name says nothing of racks.
    affinity: Option<String>,
    max_per_server: Option<u32>,
}

/// Why a job can't be taken.
#[derive(Debug)]
pub enum Error {
    /// It can't be read.
    Unreadable(serde_json::Error),
    /// It makes no sense.
    Invalid(Invalid),
    /// It asks for something that is not built; holds the field.
    Unsupported(&'static str),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(error) => write!(f, "the job can't be read: {error}; correct it"),
            Self::Invalid(error) => write!(f, "{error}"),
            Self::Unsupported(field) => write!(f, "{field} is not served; submit the job without"),
        }
    }
}

impl std::error::Error for Error {}

/// Reads a job that was submitted as `id` on a route.
pub fn decode(id: &str, route: &Route, body: &[u8]) -> Result<Spec, Error> {
    let job = serde_json::from_slice::<Job>(body).map_err(Error::Unreadable)?;
    check(&job)?;
    let spec = Spec {
        id: Arc::from(id),
        text: job.spec,
        queue: Arc::clone(&route.name),
        service: Arc::clone(&route.service),
        steps: job.steps.into_iter().map(Step::from).collect(),
        terms: route.terms,
    };
    spec.check().map_err(Error::Invalid)?;
    Ok(spec)
}

/// Only jobs whose answer waits for their end are built, and of them only what is cheap to place.
fn check(job: &Job) -> Result<(), Error> {
    let unsupported = [
        (!job.best_effort, "a job without bestEffort"),
        (job.persistent, "persistent"),
        (job.times > 0, "times"),
        (job.steps.iter().any(|step| step.gang), "gang"),
        (job.steps.iter().any(|step| step.fills), "fills"),
    ];
    match unsupported.into_iter().find(|(asked, _)| *asked) {
        Some((_, field)) => Err(Error::Unsupported(field)),
        None => Ok(()),
    }
}

impl From<Tasks> for Step {
    fn from(tasks: Tasks) -> Self {
        Self {
            count: tasks.count,
            need: Resources { cpu: tasks.cpu, memory: tasks.mem_mb, gpu: tasks.gpu },
            estimate: tasks.est_ms,
            after: tasks.after,
            required_label: tasks.required_label.filter(|label| !label.is_empty()),
            near_rack: tasks.affinity.filter(|rack| !rack.is_empty()),
            per_target_max: tasks.max_per_server.filter(|&most| most > 0),
        }
    }
}
