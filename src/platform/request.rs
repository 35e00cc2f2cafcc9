//! The body of a job submission.

use std::fmt;
use std::marker::PhantomData;
use std::sync::Arc;

use serde::de::{Error as _, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};

use crate::batch::{self, Invalid, Resources, STEPS_MAX, Spec};
use crate::clock::Millis;
use crate::contain;
use crate::route::Route;

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Job {
    spec: Arc<str>,
    #[serde(deserialize_with = "bounded_steps")]
    steps: Vec<Step>,
    #[serde(default)]
    best_effort: bool,
    #[serde(default)]
    persistent: bool,
    #[serde(default)]
    times: u64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Step {
    #[serde(default)]
    count: u32,
    /// Thousandths of a core.
    #[serde(default)]
    cpu: u64,
    #[serde(default)]
    mem_mb: u64,
    #[serde(default)]
    gpu: u64,
    /// The caller's estimate of how long one task runs.
    #[serde(default)]
    est_ms: Millis,
    #[serde(default, deserialize_with = "bounded_after")]
    after: Vec<u32>,
    #[serde(default)]
    gang: bool,
    #[serde(default)]
    fills: bool,
    required_label: Option<String>,
    /// The rack that holds the data of the tasks.
    affinity: Option<String>,
    /// The most tasks of the step on one target at a time.
    max_per_server: Option<u32>,
}

/// Decodes at most [`STEPS_MAX`] steps, so that a short text can't take much memory.
fn bounded_steps<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<Step>, D::Error> {
    deserializer.deserialize_seq(Bounded(PhantomData))
}

/// Decodes the indices of at most [`STEPS_MAX`] steps.
fn bounded_after<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u32>, D::Error> {
    deserializer.deserialize_seq(Bounded(PhantomData))
}

/// Visits a list of at most [`STEPS_MAX`] items.
struct Bounded<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de>> Visitor<'de> for Bounded<T> {
    type Value = Vec<T>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a list of at most {STEPS_MAX} items")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<Vec<T>, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = list.next_element()? {
            if items.len() >= STEPS_MAX {
                return Err(A::Error::invalid_length(items.len() + 1, &self));
            }
            items.push(item);
        }
        Ok(items)
    }
}

/// An error that makes a submission unacceptable.
#[derive(Debug)]
pub enum Error {
    /// The body is not valid JSON of this form.
    Unreadable(serde_json::Error),
    /// The job's steps are invalid.
    Invalid(Invalid),
    /// The job uses a feature that is not implemented; holds the field that asks for it.
    Unsupported(&'static str),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(error) => write!(f, "invalid job: {error}; correct the request body"),
            Self::Invalid(error) => write!(f, "{error}"),
            Self::Unsupported(field) => {
                write!(f, "{field} is not supported; submit the job without it")
            }
        }
    }
}

impl std::error::Error for Error {}

/// Decodes the body of a job that a caller submitted as `id` on `route`.
pub fn decode(id: &str, route: &Route, body: &[u8]) -> Result<Spec, Error> {
    let job = contain::json::<Job>(body).map_err(Error::Unreadable)?;
    check(&job)?;
    let spec = Spec {
        id: Arc::from(id),
        text: job.spec,
        queue: Arc::clone(&route.name),
        service: Arc::clone(&route.service),
        steps: job.steps.into_iter().map(batch::Step::from).collect(),
        terms: route.terms,
    };
    spec.check().map_err(Error::Invalid)?;
    Ok(spec)
}

/// Rejects jobs that use an unsupported feature. The response to a submission waits for the outcome, so only
/// `bestEffort` jobs are supported, and of these only what is cheap to place.
fn check(job: &Job) -> Result<(), Error> {
    let unsupported = [
        (!job.best_effort, "a job without bestEffort"),
        (job.persistent, "persistent"),
        (job.times > 0, "times"),
        (job.steps.iter().any(|step| step.gang), "gang"),
        (job.steps.iter().any(|step| step.fills), "fills"),
    ];
    match unsupported.into_iter().find(|(is_used, _)| *is_used) {
        Some((_, field)) => Err(Error::Unsupported(field)),
        None => Ok(()),
    }
}

impl From<Step> for batch::Step {
    fn from(step: Step) -> Self {
        Self {
            count: step.count,
            need: Resources { cpu: step.cpu, memory: step.mem_mb, gpu: step.gpu },
            estimate: step.est_ms,
            after: step.after,
            required_label: step.required_label.filter(|label| !label.is_empty()),
            near_rack: step.affinity.filter(|rack| !rack.is_empty()),
            per_target_max: step.max_per_server.filter(|&max| max > 0),
        }
    }
}
