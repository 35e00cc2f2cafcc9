//! What a caller asks for in a batch.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;

/// The most tasks of one batch.
pub const TASKS_MAX: u32 = 10_000;

/// The most steps of one batch.
pub const STEPS_MAX: usize = 1_000;

/// A batch as it was submitted, with what its queue says of it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Spec {
    /// The id that the caller gave it.
    pub id: Arc<str>,
    /// What each task is told to do; opaque here.
    pub text: Arc<str>,
    /// The name of its queue.
    pub queue: Arc<str>,
    /// The service whose targets run it.
    pub service: Arc<str>,
    /// Its steps, of which none is empty.
    pub steps: Vec<Step>,
    /// What its queue promises.
    pub terms: Terms,
}

/// What a queue promises its batches.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Terms {
    /// 0 comes first.
    pub priority: u32,
    /// How often a task may fail before its batch has failed.
    pub attempts: u32,
    /// The factor between the longest chain of tasks and the time that the batch may take.
    pub stretch: f64,
    /// What is added to that.
    pub allowance: Millis,
}

/// Tasks that are alike.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Step {
    /// How many there are, at least 1.
    pub count: u32,
    /// What one of them takes.
    pub need: Resources,
    /// How long the caller thinks that one lasts.
    pub estimate: Millis,
    /// The earlier steps whose tasks must all be done first.
    pub after: Vec<u32>,
    /// The label that a target must have.
    pub required_label: Option<String>,
    /// The rack where its data is; it takes longer elsewhere.
    pub near_rack: Option<String>,
    /// The most of its tasks on one target at once.
    pub per_target_max: Option<u32>,
}

/// What a target has or a task takes.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Resources {
    /// Thousandths of a core.
    pub cpu: u64,
    /// Megabytes of memory.
    pub memory: u64,
    /// Accelerators.
    pub gpu: u64,
}

impl Resources {
    /// Whether `need` fits.
    pub const fn fits(&self, need: &Self) -> bool {
        need.cpu <= self.cpu && need.memory <= self.memory && need.gpu <= self.gpu
    }

    /// What is left without `part`; never below nothing.
    #[must_use]
    pub const fn without(&self, part: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(part.cpu),
            memory: self.memory.saturating_sub(part.memory),
            gpu: self.gpu.saturating_sub(part.gpu),
        }
    }
}

/// Why a batch makes no sense.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Invalid {
    /// It has no task, or too many tasks or steps.
    Size,
    /// A step waits for itself, for a later one or for one that does not exist.
    Order {
        /// The number of the step.
        step: usize,
    },
}

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Size => write!(
                f,
                "a job has 1 to {STEPS_MAX} steps of at least one task, and at most {TASKS_MAX} tasks; split it"
            ),
            Self::Order { step } => {
                write!(f, "step {step} waits for a step that is not before it; reorder the steps")
            }
        }
    }
}

impl std::error::Error for Invalid {}

impl Spec {
    /// Checks that the batch can be run at all.
    pub fn check(&self) -> Result<(), Invalid> {
        let tasks = self.steps.iter().map(|step| u64::from(step.count)).sum::<u64>();
        let has_empty = self.steps.iter().any(|step| step.count == 0);
        if has_empty || tasks == 0 || tasks > u64::from(TASKS_MAX) || self.steps.len() > STEPS_MAX {
            return Err(Invalid::Size);
        }
        let misplaced = |(number, step): &(usize, &Step)| {
            step.after.iter().any(|&before| before as usize >= *number)
        };
        match self.steps.iter().enumerate().find(misplaced) {
            Some((step, _)) => Err(Invalid::Order { step }),
            None => Ok(()),
        }
    }

    /// The longest chain of steps that wait for each other, given how long a task of a step lasts.
    pub fn critical_path(&self, duration: impl Fn(&Step) -> Millis) -> Millis {
        let mut ends = Vec::<Millis>::with_capacity(self.steps.len());
        for step in &self.steps {
            let begin = step.after.iter().map(|&before| ends[before as usize]).max();
            ends.push(begin.unwrap_or_default() + duration(step));
        }
        ends.into_iter().max().unwrap_or_default()
    }
}
