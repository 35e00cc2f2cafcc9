//! A batch that this VM runs: the states of its tasks, and its times.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::batch::{Name, Spec};
use crate::clock::Millis;

use super::event::Account;

/// How many times its objective a batch may take and still be of use to its caller.
const USEFUL_FACTOR: u64 = 3;

/// A batch.
#[derive(Debug)]
pub(super) struct Job {
    pub spec: Arc<Spec>,
    /// When it should have ended.
    pub objective_at: Millis,
    /// When its end is of no use any longer.
    pub useful_until: Millis,
    /// How long its tasks last one after the other on a target of its data's rack.
    pub chain: Millis,
    pub tasks: Vec<Task>,
    /// Tasks whose turn has come.
    pub ready: VecDeque<usize>,
    /// When the caller leaves.
    pub leaves: Millis,
    /// How long its first task could wait when it came.
    pub slack: Millis,
    /// Whether it was too late for its objective already when it came.
    pub demoted: bool,
    /// Whether tasks of an earlier submission under the same id have to end first.
    pub awaits_remains: bool,
    /// When it came here.
    pub since: Millis,
    /// What it took so far.
    pub account: Account,
    /// Whether the start of any task was ever sent.
    pub started: bool,
    open_steps: Vec<u32>,
    done: usize,
}

/// A task.
#[derive(Clone, Copy, Debug)]
pub(super) struct Task {
    pub step: usize,
    pub index: u32,
    /// The number of its last start.
    pub run: u32,
    pub failures: u32,
    /// The target on which it failed last.
    pub failed_on: Option<usize>,
    pub done: bool,
}

/// The times of a batch.
#[derive(Clone, Copy, Debug)]
pub(super) struct Times {
    /// When the caller sent it.
    pub sent: Millis,
    /// When it came here.
    pub came: Millis,
    /// When the caller leaves.
    pub leaves: Millis,
    /// How long its longest chain lasts.
    pub chain: Millis,
}

impl Job {
    pub fn new(spec: Arc<Spec>, times: Times) -> Self {
        let chain = (times.chain.0 as f64 * spec.terms.stretch) as u64;
        let objective = Millis(chain) + spec.terms.allowance;
        let mut tasks = Vec::new();
        let mut ready = VecDeque::new();
        for (number, step) in spec.steps.iter().enumerate() {
            for index in 0..step.count {
                if step.after.is_empty() {
                    ready.push_back(tasks.len());
                }
                let task =
                    Task { step: number, index, run: 0, failures: 0, failed_on: None, done: false };
                tasks.push(task);
            }
        }
        Self {
            objective_at: times.sent + objective,
            useful_until: (times.sent + objective * USEFUL_FACTOR).min(times.leaves),
            chain: times.chain,
            leaves: times.leaves,
            slack: objective - times.chain,
            awaits_remains: false,
            demoted: false,
            since: times.came,
            account: Account::default(),
            open_steps: spec.steps.iter().map(|step| step.count).collect(),
            spec,
            tasks,
            ready,
            started: false,
            done: 0,
        }
    }

    /// The name of a task.
    pub fn name(&self, task: usize) -> Name {
        let Task { step, index, .. } = self.tasks[task];
        Name { job: Arc::clone(&self.spec.id), occurrence: 0, step: step as u32, index }
    }

    /// Lets the starts of its tasks be numbered from above `highest`.
    pub fn start_above(&mut self, highest: u32) {
        for task in &mut self.tasks {
            task.run = highest;
        }
    }

    /// The highest number of a start of any of its tasks.
    pub fn highest_attempt(&self) -> u32 {
        self.tasks.iter().map(|task| task.run).max().unwrap_or_default()
    }

    /// When its next task must start for the batch to end in time.
    pub fn latest_start(&self) -> Millis {
        self.objective_at - self.chain
    }

    /// Notes that a task is done; true if it was the last.
    pub fn finish(&mut self, task: usize) -> bool {
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

    /// Puts a task back among those whose turn has come.
    pub fn put_back(&mut self, task: usize) {
        if !self.tasks[task].done && !self.ready.contains(&task) {
            self.ready.push_front(task);
        }
    }

    /// Lets the steps begin for which `ended` was the last to wait for.
    fn unblock(&mut self, ended: usize) {
        for (number, step) in self.spec.steps.iter().enumerate() {
            let waits = step.after.contains(&(ended as u32));
            let open = step.after.iter().any(|&before| self.open_steps[before as usize] > 0);
            if waits && !open {
                let tasks = self.tasks.iter().enumerate().filter(|(_, task)| task.step == number);
                self.ready.extend(tasks.map(|(task, _)| task));
            }
        }
    }
}
