//! Names of tasks, as targets know them.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// The name of a task, written `JOB.OCCURRENCE.STEP.INDEX`.
///
/// Only the job's id may contain dots.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Name {
    /// The id that the caller gave the job.
    pub job: Arc<str>,
    /// The occurrence of a job that repeats; 0 for others.
    pub occurrence: u32,
    /// The index of the step, from 0.
    pub step: u32,
    /// The index of the task in its step, from 0.
    pub index: u32,
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}

/// The error for a text that is not the name of a task, so the task was not started by this system.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ParseError;

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not the name of a task; expected JOB.OCCURRENCE.STEP.INDEX")
    }
}

impl std::error::Error for ParseError {}

impl FromStr for Name {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let mut parts = text.rsplitn(4, '.');
        let mut number = || parts.next()?.parse::<u32>().ok();
        let (index, step, occurrence) = (number(), number(), number());
        let job = parts.next().filter(|job| !job.is_empty()).ok_or(ParseError)?;
        Ok(Self {
            job: Arc::from(job),
            occurrence: occurrence.ok_or(ParseError)?,
            step: step.ok_or(ParseError)?,
            index: index.ok_or(ParseError)?,
        })
    }
}
