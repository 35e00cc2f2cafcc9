//! The job aggregate, the only code that changes the state of a task.

use std::sync::Arc;

use crate::clock::Millis;
use crate::invariant;

use super::{Answer, Execution, Failure, Outcome, Reason, Spec};

/// The state of one task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// Waiting for its first or next attempt.
    Pending,
    /// Sent to a target at least once, without an answer or a final failure yet.
    Sent,
    /// Answered.
    Done,
    /// Ran and failed; it is not attempted again.
    Failed,
    /// May have run, but its outcome is lost; it is not attempted again.
    Unknown,
}

#[derive(Clone, Debug)]
struct Progress {
    state: State,
    /// Number of attempts that have not ended.
    open_attempts: u32,
    /// Number of attempts that are not proved never to have started.
    possible_starts: u32,
    /// Number of all attempts, including those that never started.
    attempts: u32,
    answer: Option<Answer>,
}

/// A job in progress: its specification and the state of each task.
///
/// Each task of a job that is not repeatable has at most one attempt that may have started. No attempt
/// begins once [`Job::outcome`] is set.
#[derive(Clone, Debug)]
pub struct Job {
    spec: Arc<Spec>,
    deadline: Millis,
    tasks: Vec<Progress>,
    /// Number of tasks without an answer.
    unanswered: usize,
    /// Number of attempts of all tasks that have not ended.
    open_attempts: u32,
    outcome: Option<Outcome>,
}

impl Job {
    /// A job without any attempts, to be ended by [`Job::expire`] at `deadline`.
    pub fn new(spec: Arc<Spec>, deadline: Millis) -> Self {
        let pending = Progress {
            state: State::Pending,
            open_attempts: 0,
            possible_starts: 0,
            attempts: 0,
            answer: None,
        };
        let unanswered = spec.tasks.len();
        let tasks = vec![pending; unanswered];
        Self { spec, deadline, tasks, unanswered, open_attempts: 0, outcome: None }
    }

    /// The specification as submitted.
    pub fn spec(&self) -> &Arc<Spec> {
        &self.spec
    }

    /// The instant at which an unfinished job expires.
    pub const fn deadline(&self) -> Millis {
        self.deadline
    }

    /// The outcome, once the job has ended.
    pub const fn outcome(&self) -> Option<&Outcome> {
        self.outcome.as_ref()
    }

    /// The state of the task at `index`.
    pub fn state(&self, index: usize) -> State {
        self.tasks[index].state
    }

    /// Number of attempts of the task at `index` that are not proved never to have started.
    pub fn possible_starts(&self, index: usize) -> u32 {
        self.tasks[index].possible_starts
    }

    /// Number of all attempts of the task at `index`, including those that never started.
    pub fn attempts(&self, index: usize) -> u32 {
        self.tasks[index].attempts
    }

    /// Number of all attempts of all tasks, including those that never started.
    pub fn total_attempts(&self) -> u64 {
        self.tasks.iter().map(|task| u64::from(task.attempts)).sum()
    }

    /// Number of attempts of the task at `index` that have not ended.
    pub fn open_attempts(&self, index: usize) -> u32 {
        self.tasks[index].open_attempts
    }

    /// Whether an attempt of any task has not ended.
    pub const fn has_open_attempts(&self) -> bool {
        self.open_attempts > 0
    }

    /// Whether another attempt of the task at `index` may begin now.
    pub fn may_attempt(&self, index: usize) -> bool {
        let task = &self.tasks[index];
        let state_allows = match task.state {
            State::Pending => true,
            State::Sent => self.spec.repeatable,
            State::Done | State::Failed | State::Unknown => false,
        };
        self.outcome.is_none() && state_allows
    }

    /// Records an attempt of the task at `index` that is about to be sent to a target.
    pub fn begin_attempt(&mut self, index: usize) {
        invariant!(
            self.may_attempt(index),
            "task {index} is {:?}, which allows no further attempt",
            self.state(index)
        );
        let repeatable = self.spec.repeatable;
        let task = &mut self.tasks[index];
        task.state = State::Sent;
        task.open_attempts += 1;
        task.possible_starts += 1;
        task.attempts += 1;
        self.open_attempts += 1;
        invariant!(
            repeatable || task.possible_starts == 1,
            "task {index} is not repeatable and may have started {} times",
            task.possible_starts
        );
    }

    /// Records that an open attempt of the task at `index` is proved never to have started.
    pub fn undo_attempt(&mut self, index: usize) {
        let task = &mut self.tasks[index];
        invariant!(
            task.open_attempts > 0 && task.possible_starts > 0,
            "task {index} has no open attempt to undo"
        );
        task.open_attempts -= 1;
        task.possible_starts -= 1;
        self.open_attempts -= 1;
        if task.open_attempts == 0 && task.state == State::Sent {
            task.state = State::Pending;
        }
    }

    /// Ends an attempt of the task at `index` with an answer. The first answer of a task is kept, and the job
    /// completes when every task has one.
    pub fn complete_attempt(&mut self, index: usize, answer: Answer) {
        self.close_attempt(index);
        let job_ended = self.outcome.is_some();
        let task = &mut self.tasks[index];
        if job_ended || task.state == State::Done {
            return;
        }
        task.state = State::Done;
        task.answer = Some(answer);
        self.unanswered -= 1;
        if self.unanswered == 0 {
            let answers =
                self.tasks.iter_mut().filter_map(|task| task.answer.take()).collect::<Vec<_>>();
            invariant!(
                answers.len() == self.tasks.len(),
                "a complete job has {} answers for {} tasks",
                answers.len(),
                self.tasks.len()
            );
            self.outcome = Some(Outcome::Complete(answers));
        }
    }

    /// Ends an attempt of the task at `index` that ran and failed or, if `known` is false, whose outcome is lost.
    ///
    /// While the task has another open attempt the job goes on. Otherwise, if `retry` is set and the job is
    /// repeatable, the task is pending again; if not, the job fails with `detail`.
    pub fn fail_attempt(&mut self, index: usize, known: bool, retry: bool, detail: &str) {
        self.close_attempt(index);
        let repeatable = self.spec.repeatable;
        let task = &mut self.tasks[index];
        if self.outcome.is_some() || task.state == State::Done || task.open_attempts > 0 {
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

    /// Ends the job at its deadline. `unfinished` describes its unfinished tasks in the failure's detail.
    pub fn expire(&mut self, unfinished: &str) {
        let detail =
            format!("the job's time was up, {unfinished}; give a longer timeout_ms or fewer tasks");
        self.end_with_failure(Reason::Expired, self.execution(), &detail);
    }

    /// Ends the job on the caller's request.
    pub fn cancel(&mut self) {
        let detail = "the job was cancelled; submit it under a new key if it is still wanted";
        self.end_with_failure(Reason::Cancelled, self.execution(), detail);
    }

    /// Ends the job with `failure`, for example a refusal by a full queue. Does nothing if it has ended already.
    pub fn fail(&mut self, failure: Failure) {
        if self.outcome.is_some() {
            return;
        }
        let not_run = failure.execution == Execution::NotRun;
        invariant!(
            !not_run || self.execution() == Execution::NotRun,
            "a job that may have started cannot fail as not run"
        );
        self.outcome = Some(Outcome::Failed(failure));
    }

    /// What is known so far of whether the job's tasks ran.
    pub fn execution(&self) -> Execution {
        let ended = |task: &Progress| matches!(task.state, State::Done | State::Failed);
        let may_have_run = |task: &Progress| !ended(task) && task.possible_starts > 0;
        if self.tasks.iter().any(may_have_run) {
            Execution::Unknown
        } else if self.tasks.iter().any(|task| task.possible_starts > 0) {
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
        invariant!(task.open_attempts > 0, "task {index} has no open attempt to end");
        task.open_attempts -= 1;
        self.open_attempts -= 1;
    }
}
