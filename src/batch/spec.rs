//! Specifications of batches, as callers submit them.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;

/// The maximum number of tasks of a batch.
pub const TASKS_MAX: u32 = 10_000;

/// The maximum number of steps of a batch.
pub const STEPS_MAX: usize = 1_000;

/// The memory of a task that is queued or runs, with its attempts, in bytes.
const TASK_BYTES: usize = 256;

/// A batch as submitted, with the terms of its queue.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Spec {
    /// The id that the caller gave the batch.
    pub id: Arc<str>,
    /// The instructions for each task, which only targets interpret.
    pub text: Arc<str>,
    /// The name of the queue.
    pub queue: Arc<str>,
    /// The service whose targets run the batch.
    pub service: Arc<str>,
    /// The steps, each with at least one task.
    pub steps: Vec<Step>,
    /// The terms of the queue.
    pub terms: Terms,
}

/// The terms under which a queue runs its batches.
///
/// A batch's objective is the duration of its critical path times `stretch`, plus `allowance`.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Terms {
    /// The priority; 0 is the highest.
    pub priority: u32,
    /// The number of failures of one task at which its batch fails.
    pub attempts: u32,
    /// The factor by which the objective exceeds the duration of the critical path.
    pub stretch: f64,
    /// The time that is added to the stretched critical path.
    pub allowance: Millis,
}

/// A step: tasks that have the same requirements.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Step {
    /// The number of tasks, at least 1.
    pub count: u32,
    /// The resources that one task takes.
    pub need: Resources,
    /// The duration of one task, as the caller estimates it.
    pub estimate: Millis,
    /// The indices of the earlier steps whose tasks must all be done first.
    pub after: Vec<u32>,
    /// The label that a target must have to run the step.
    pub required_label: Option<String>,
    /// The rack where the data is; tasks last longer on other racks.
    pub near_rack: Option<String>,
    /// The maximum number of the step's tasks on one target at once.
    pub per_target_max: Option<u32>,
}

impl Step {
    /// The memory that the step and its tasks take, in bytes, approximately.
    fn size(&self) -> usize {
        let labels = [&self.required_label, &self.near_rack].into_iter().flatten();
        let labels = labels.map(String::len).sum::<usize>();
        let after = self.after.len() * size_of::<u32>();
        size_of::<Self>() + labels + after + self.count as usize * TASK_BYTES
    }
}

/// Resources that a target has or a task takes.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Resources {
    /// Thousandths of a core.
    pub cpu: u64,
    /// Memory in megabytes.
    pub memory: u64,
    /// The number of accelerators.
    pub gpu: u64,
}

impl Resources {
    /// Whether `need` fits into these resources.
    pub const fn fits(&self, need: &Self) -> bool {
        need.cpu <= self.cpu && need.memory <= self.memory && need.gpu <= self.gpu
    }

    /// The resources that are left without `part`; each saturates at 0.
    #[must_use]
    pub const fn without(&self, part: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(part.cpu),
            memory: self.memory.saturating_sub(part.memory),
            gpu: self.gpu.saturating_sub(part.gpu),
        }
    }
}

/// Why a batch is invalid.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Invalid {
    /// A step has no task, or the batch has no steps, too many steps or too many tasks.
    Size,
    /// A step waits for itself, for a later step or for a step that does not exist.
    Order {
        /// The index of the step.
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
    /// Checks the number of steps and tasks, and the order of the steps.
    pub fn check(&self) -> Result<(), Invalid> {
        let tasks = self.steps.iter().map(|step| u64::from(step.count)).sum::<u64>();
        let has_empty = self.steps.iter().any(|step| step.count == 0);
        if has_empty || tasks == 0 || tasks > u64::from(TASKS_MAX) || self.steps.len() > STEPS_MAX {
            return Err(Invalid::Size);
        }
        let is_misplaced = |(index, step): &(usize, &Step)| {
            step.after.iter().any(|&before| before as usize >= *index)
        };
        match self.steps.iter().enumerate().find(is_misplaced) {
            Some((step, _)) => Err(Invalid::Order { step }),
            None => Ok(()),
        }
    }

    /// The memory that the batch takes while it is run, in bytes, approximately.
    pub fn size(&self) -> usize {
        let steps = self.steps.iter().map(Step::size).sum::<usize>();
        size_of::<Self>() + self.text.len() + steps
    }

    /// The duration of the critical path: of the longest sequence of steps that wait for each other, if a task of a
    /// step lasts `duration`. Tasks of one step are taken to run all at once.
    pub fn critical_path(&self, duration: impl Fn(&Step) -> Millis) -> Millis {
        let mut ends = Vec::<Millis>::with_capacity(self.steps.len());
        for step in &self.steps {
            let start = step.after.iter().map(|&before| ends[before as usize]).max();
            ends.push(start.unwrap_or_default() + duration(step));
        }
        ends.into_iter().max().unwrap_or_default()
    }
}
