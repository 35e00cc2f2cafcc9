//! The name of a task, as targets know it.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// A task of a batch: the caller's id of the job, the occurrence, the step and the index in the step.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Name {
    /// The id that the caller gave the job.
    pub job: Arc<str>,
    /// The occurrence of a job that repeats; 0 for others.
    pub occurrence: u32,
    /// The number of the step, from 0.
    pub step: u32,
    /// The number of the task in its step, from 0.
    pub index: u32,
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}

/// The text is no name of a task; such a task is none of this system's.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Unreadable;

impl fmt::Display for Unreadable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not the name of a task; expected JOB.OCCURRENCE.STEP.INDEX")
    }
}

impl std::error::Error for Unreadable {}

impl FromStr for Name {
    type Err = Unreadable;

    fn from_str(text: &str) -> Result<Self, Unreadable> {
        let mut parts = text.rsplitn(4, '.');
        let mut number = || parts.next()?.parse::<u32>().ok();
        let (index, step, occurrence) = (number(), number(), number());
        let job = parts.next().filter(|job| !job.is_empty()).ok_or(Unreadable)?;
        Ok(Self {
            job: Arc::from(job),
            occurrence: occurrence.ok_or(Unreadable)?,
            step: step.ok_or(Unreadable)?,
            index: index.ok_or(Unreadable)?,
        })
    }
}
