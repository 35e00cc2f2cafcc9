//! The job aggregate: the only place where the state of a task changes.

use std::sync::Arc;

use crate::clock::Millis;
use crate::invariant;

use super::{Answer, Execution, Failure, Outcome, Reason, Spec};

/// The state of one task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// Not started, or every start of it is proved not to have happened.
    Pending,
    /// Handed to a target at least once; no end is known yet.
    Sent,
    /// Answered.
    Done,
    /// It ran and failed for good.
    Failed,
    /// It may have run; its outcome is lost.
    Unknown,
}

#[derive(Clone, Debug)]
struct Progress {
    state: State,
    /// Attempts that are neither answered nor given up.
    open: u32,
    /// Attempts that are not proved unstarted.
    started: u32,
    /// All attempts, those proved unstarted among them.
    tries: u32,
    answer: Option<Answer>,
}

/// A job in flight: what was asked, and how far each task is.
///
/// A job that is not repeatable has at most one attempt of each task that is not proved unstarted.
/// Once [`Job::outcome`] is set nothing of it is started any more.
#[derive(Clone, Debug)]
pub struct Job {
    spec: Arc<Spec>,
    deadline: Millis,
    tasks: Vec<Progress>,
    unanswered: usize,
    /// Open attempts of all tasks.
    open: u32,
    outcome: Option<Outcome>,
}

impl Job {
    /// A job none of whose tasks is started, and whose time is up at `deadline`.
    pub fn new(spec: Arc<Spec>, deadline: Millis) -> Self {
        let idle = Progress { state: State::Pending, open: 0, started: 0, tries: 0, answer: None };
        let unanswered = spec.tasks.len();
        let tasks = vec![idle; unanswered];
        Self { spec, deadline, tasks, unanswered, open: 0, outcome: None }
    }

    /// What was asked.
    pub fn spec(&self) -> &Arc<Spec> {
        &self.spec
    }

    /// The point at which the job fails for want of time.
    pub const fn deadline(&self) -> Millis {
        self.deadline
    }

    /// How the job ended, once it has.
    pub const fn outcome(&self) -> Option<&Outcome> {
        self.outcome.as_ref()
    }

    /// The state of the task at `index`.
    pub fn state(&self, index: usize) -> State {
        self.tasks[index].state
    }

    /// How many attempts of the task at `index` are not proved unstarted.
    pub fn possible_starts(&self, index: usize) -> u32 {
        self.tasks[index].started
    }

    /// How many attempts of the task at `index` were made in all.
    pub fn attempts(&self, index: usize) -> u32 {
        self.tasks[index].tries
    }

    /// How many attempts of all tasks were made.
    pub fn total_attempts(&self) -> u64 {
        self.tasks.iter().map(|task| u64::from(task.tries)).sum()
    }

    /// How many attempts of the task at `index` have no end yet.
    pub fn open_attempts(&self, index: usize) -> u32 {
        self.tasks[index].open
    }

    /// Whether an attempt of any task has no end yet.
    pub const fn has_open_attempts(&self) -> bool {
        self.open > 0
    }

    /// Whether another attempt of the task may be started now.
    pub fn may_attempt(&self, index: usize) -> bool {
        let task = &self.tasks[index];
        let state_allows = match task.state {
            State::Pending => true,
            State::Sent => self.spec.repeatable,
            State::Done | State::Failed | State::Unknown => false,
        };
        self.outcome.is_none() && state_allows
    }

    /// Notes that an attempt of the task is about to be handed to a target.
    pub fn begin_attempt(&mut self, index: usize) {
        invariant!(
            self.may_attempt(index),
            "task {index} is {:?} and may not be sent",
            self.state(index)
        );
        let repeatable = self.spec.repeatable;
        let task = &mut self.tasks[index];
        task.state = State::Sent;
        task.open += 1;
        task.started += 1;
        task.tries += 1;
        self.open += 1;
        invariant!(
            repeatable || task.started == 1,
            "task {index} is not repeatable and has {} starts",
            task.started
        );
    }

    /// Notes that an attempt is proved not to have started.
    pub fn undo_attempt(&mut self, index: usize) {
        let task = &mut self.tasks[index];
        invariant!(task.open > 0 && task.started > 0, "task {index} has no attempt to take back");
        task.open -= 1;
        task.started -= 1;
        self.open -= 1;
        if task.open == 0 && task.state == State::Sent {
            task.state = State::Pending;
        }
    }

    /// Takes an answer. The first one for a task counts; the last missing one completes the job.
    pub fn complete_attempt(&mut self, index: usize, answer: Answer) {
        self.close_attempt(index);
        let ended = self.outcome.is_some();
        let task = &mut self.tasks[index];
        if ended || task.state == State::Done {
            return;
        }
        task.state = State::Done;
        task.answer = Some(answer);
        self.unanswered -= 1;
        if self.unanswered == 0 {
            let answers =
                self.tasks.iter_mut().filter_map(|task| task.answer.take()).collect::<Vec<_>>();
            invariant!(answers.len() == self.tasks.len(), "a complete job lacks answers");
            self.outcome = Some(Outcome::Complete(answers));
        }
    }

    /// Notes that an attempt ran and failed, or that its outcome is lost (`known` false).
    ///
    /// `retry` asks for another attempt, which only a repeatable job allows. Without one, and with no
    /// other attempt open, the job fails with `detail`.
    pub fn fail_attempt(&mut self, index: usize, known: bool, retry: bool, detail: &str) {
        self.close_attempt(index);
        let repeatable = self.spec.repeatable;
        let task = &mut self.tasks[index];
        if self.outcome.is_some() || task.state == State::Done || task.open > 0 {
            return;
        }
        if retry && repeatable {
            task.state = State::Pending;
            return;
        }
        task.state = if known { State::Failed } else { State::Unknown };
        let execution = if known { Execution::Ran } else { self.execution() };
        self.end_with_failure(Reason::Failed, execution, detail);
    }

    /// Ends the job for want of time. `open` tells what it still waited for.
    pub fn expire(&mut self, open: &str) {
        let detail =
            format!("the job's time was up, {open}; give a longer timeout_ms or fewer tasks");
        self.end_with_failure(Reason::Expired, self.execution(), &detail);
    }

    /// Ends the job at its caller's wish.
    pub fn cancel(&mut self) {
        let detail = "the job was cancelled; submit it under a new key if it is still wanted";
        self.end_with_failure(Reason::Cancelled, self.execution(), detail);
    }

    /// Ends a job with a failure decided elsewhere, for example a refusal at the queue.
    pub fn fail(&mut self, failure: Failure) {
        if self.outcome.is_some() {
            return;
        }
        let not_run = failure.execution == Execution::NotRun;
        invariant!(
            !not_run || self.execution() == Execution::NotRun,
            "a started job was called not run"
        );
        self.outcome = Some(Outcome::Failed(failure));
    }

    /// What is known of the execution so far.
    pub fn execution(&self) -> Execution {
        let ended = |task: &Progress| matches!(task.state, State::Done | State::Failed);
        let unsure = |task: &Progress| !ended(task) && task.started > 0;
        if self.tasks.iter().any(unsure) {
            Execution::Unknown
        } else if self.tasks.iter().any(|task| task.started > 0) {
            Execution::Ran
        } else {
            Execution::NotRun
        }
    }

    fn end_with_failure(&mut self, reason: Reason, execution: Execution, detail: &str) {
        if self.outcome.is_none() {
            self.fail(Failure::new(reason, execution, detail));
        }
    }

    fn close_attempt(&mut self, index: usize) {
        let task = &mut self.tasks[index];
        invariant!(task.open > 0, "task {index} has no open attempt");
        task.open -= 1;
        self.open -= 1;
    }
}
