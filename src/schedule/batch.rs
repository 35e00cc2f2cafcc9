//! The batches that this VM runs, with the states of their tasks.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::batch::{Name, Spec};
use crate::clock::Millis;

use super::event::Account;
use super::share::Cover;

/// How many times its objective a batch may take before its result is of no use to the caller.
const DEADLINE_FACTOR: u64 = 3;

/// A batch.
#[derive(Debug)]
pub(super) struct Batch {
    pub spec: Arc<Spec>,
    /// When the batch should end, by its queue's terms.
    pub objective_at: Millis,
    /// When the result of the batch is of no use any longer.
    pub deadline: Millis,
    /// The expected duration of the critical path on targets of the rack that holds the data.
    pub critical_path: Millis,
    pub tasks: Vec<Task>,
    /// Indices of the tasks whose earlier steps are all done and that have no attempt under way.
    pub ready: VecDeque<usize>,
    /// When the caller stops waiting.
    pub caller_deadline: Millis,
    /// How long the first task could be delayed, on arrival, without missing the objective.
    pub slack: Millis,
    /// Whether the batch could no longer meet its objective when it arrived.
    pub demoted: bool,
    /// Whether the batch goes beyond its queue's share.
    pub cover: Cover,
    /// Whether attempts of another submission under the same id have to end first.
    pub awaits_duplicate: bool,
    /// When the batch arrived at this VM.
    pub received_at: Millis,
    /// What the batch took so far.
    pub account: Account,
    /// Whether any attempt was sent.
    pub started: bool,
    /// The number of unfinished tasks of each step.
    open_steps: Vec<u32>,
    done: usize,
}

/// A task.
#[derive(Clone, Copy, Debug)]
pub(super) struct Task {
    pub step: usize,
    pub index: u32,
    /// The number of the last attempt.
    pub attempt: u32,
    pub failures: u32,
    /// The index of the target on which the task failed last.
    pub failed_on: Option<usize>,
    /// The index of the target on which the task was stopped as slow.
    pub slow_on: Option<usize>,
    pub done: bool,
}

/// The times of a batch.
#[derive(Clone, Copy, Debug)]
pub(super) struct Times {
    /// When the caller sent the batch.
    pub sent_at: Millis,
    /// When the batch arrived at this VM.
    pub received_at: Millis,
    /// When the caller stops waiting.
    pub caller_deadline: Millis,
    /// The expected duration of the critical path.
    pub critical_path: Millis,
}

impl Batch {
    pub fn new(spec: Arc<Spec>, times: Times) -> Self {
        let stretched = (times.critical_path.0 as f64 * spec.terms.stretch) as u64;
        let objective = Millis(stretched) + spec.terms.allowance;
        let mut tasks = Vec::new();
        let mut ready = VecDeque::new();
        for (step_index, step) in spec.steps.iter().enumerate() {
            for index in 0..step.count {
                if step.after.is_empty() {
                    ready.push_back(tasks.len());
                }
                let task = Task {
                    step: step_index,
                    index,
                    attempt: 0,
                    failures: 0,
                    failed_on: None,
                    slow_on: None,
                    done: false,
                };
                tasks.push(task);
            }
        }
        Self {
            objective_at: times.sent_at + objective,
            deadline: (times.sent_at + objective * DEADLINE_FACTOR).min(times.caller_deadline),
            critical_path: times.critical_path,
            caller_deadline: times.caller_deadline,
            slack: objective - times.critical_path,
            awaits_duplicate: false,
            demoted: false,
            cover: Cover::Within,
            received_at: times.received_at,
            account: Account::default(),
            open_steps: spec.steps.iter().map(|step| step.count).collect(),
            spec,
            tasks,
            ready,
            started: false,
            done: 0,
        }
    }

    /// The name of the task with the index `task`.
    pub fn name(&self, task: usize) -> Name {
        let Task { step, index, .. } = self.tasks[task];
        Name { job: Arc::clone(&self.spec.id), occurrence: 0, step: step as u32, index }
    }

    /// Makes the attempts at all tasks get numbers above `highest`.
    pub fn number_above(&mut self, highest: u32) {
        for task in &mut self.tasks {
            task.attempt = highest;
        }
    }

    /// The highest attempt number of any task.
    pub fn highest_attempt(&self) -> u32 {
        self.tasks.iter().map(|task| task.attempt).max().unwrap_or_default()
    }

    /// When the next task must start for the batch to meet its objective.
    pub fn latest_start(&self) -> Millis {
        self.objective_at - self.critical_path
    }

    /// Records that a task is done; true if it was the last.
    pub fn complete(&mut self, task: usize) -> bool {
        if self.tasks[task].done {
            return false;
        }
        self.tasks[task].done = true;
        self.done += 1;
        let step = self.tasks[task].step;
        self.open_steps[step] -= 1;
        if self.open_steps[step] == 0 {
            self.unblock(step);
        }
        self.done == self.tasks.len()
    }

    /// Makes a task that is not done ready again, ahead of the others.
    pub fn requeue(&mut self, task: usize) {
        if !self.tasks[task].done && !self.ready.contains(&task) {
            self.ready.push_front(task);
        }
    }

    /// Makes the tasks ready whose last unfinished dependency was the step `completed`.
    fn unblock(&mut self, completed: usize) {
        for (step_index, step) in self.spec.steps.iter().enumerate() {
            let is_dependent = step.after.contains(&(completed as u32));
            let is_blocked = step.after.iter().any(|&before| self.open_steps[before as usize] > 0);
            if is_dependent && !is_blocked {
                let tasks =
                    self.tasks.iter().enumerate().filter(|(_, task)| task.step == step_index);
                self.ready.extend(tasks.map(|(task, _)| task));
            }
        }
    }
}
