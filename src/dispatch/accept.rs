//! Accepts tasks from VMs of other failure domains. Each starts here at most once, and its result
//! is kept for a while.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::job::Incarnation;

use super::delegate::DELEGATE_WAIT;
use super::engine::Engine;
use super::event::{Action, Delegation, DelegationId, Report};
use super::queue::Source;
use super::timer::Timer;

/// How long the result of a task is kept for its coordinator.
const RESULT_TTL: Millis = Millis::from_secs(60);
/// The most tasks in the table.
const TASKS_MAX: usize = 50_000;

/// The progress of a delegated task.
#[derive(Debug)]
pub enum Stage {
    /// Waits in the queue.
    Waiting,
    /// Runs on a target.
    Running,
    /// Has ended or was fenced.
    Ended(Report),
}

/// A task delegated to this VM.
#[derive(Debug)]
pub struct Entry {
    /// The task as its coordinator sent it.
    pub delegation: Delegation,
    /// The index of the task's service.
    pub service: usize,
    /// The deadline of the task's job.
    pub deadline: Millis,
    stage: Stage,
}

/// The tasks that VMs of other failure domains have delegated to this one.
#[derive(Debug, Default)]
pub struct Table {
    known: BTreeMap<DelegationId, Entry>,
    /// By coordinator, the highest id of an attempt that was forgotten.
    forgotten: BTreeMap<Incarnation, u64>,
}

impl Table {
    /// A known task.
    pub fn get(&self, id: DelegationId) -> Option<&Entry> {
        self.known.get(&id)
    }

    /// The index of a known task's service.
    pub fn service(&self, id: DelegationId) -> Option<usize> {
        self.known.get(&id).map(|entry| entry.service)
    }

    /// Records that a task runs on a target.
    pub fn set_running(&mut self, id: DelegationId) {
        if let Some(entry) = self.known.get_mut(&id) {
            entry.stage = Stage::Running;
        }
    }

    /// Forgets a task that has ended long ago.
    pub fn forget(&mut self, id: DelegationId) {
        self.known.remove(&id);
        let forgotten = self.forgotten.entry(id.coordinator).or_default();
        *forgotten = (*forgotten).max(id.attempt);
    }

    /// Whether an unknown task may have been forgotten after it ran.
    fn may_be_forgotten(&self, id: DelegationId) -> bool {
        self.forgotten.get(&id.coordinator).is_some_and(|&last| id.attempt <= last)
    }
}

impl Engine {
    /// Accepts a delegated task, or refuses it if it would wait too long here. Each is started at
    /// most once.
    pub(super) fn accept(
        &mut self,
        now: Millis,
        id: DelegationId,
        delegation: Delegation,
        actions: &mut Vec<Action>,
    ) {
        if let Some(entry) = self.accepted.get(id) {
            if let Stage::Ended(report) = &entry.stage {
                actions.push(Action::Report { id, report: report.clone() });
            }
            return;
        }
        if self.accepted.may_be_forgotten(id) {
            actions.push(Action::Report { id, report: forgotten() });
            return;
        }
        let service = self.services.find(&delegation.service);
        let Some(service) = service.filter(|&service| self.can_accept(service)) else {
            actions.push(Action::Report { id, report: Report::Full });
            return;
        };
        self.counts.accepted += 1;
        let deadline = now + delegation.remaining;
        let declared = delegation.expected;
        let entry = Entry { delegation, service, deadline, stage: Stage::Waiting };
        self.accepted.known.insert(id, entry);
        self.timers.add(deadline, Timer::DelegatedDeadline(id));
        if let Some((pool, entry)) = self.queue_entry(Source::Delegated(id), declared) {
            self.queues[pool].push(&entry, 0..1);
        }
    }

    /// Reports a task's result to its coordinator, now or when it ends. A task that has not started
    /// is fenced.
    pub(super) fn report_or_fence(
        &mut self,
        now: Millis,
        id: DelegationId,
        actions: &mut Vec<Action>,
    ) {
        let Some(entry) = self.accepted.get(id) else {
            let report = if self.accepted.may_be_forgotten(id) { forgotten() } else { fenced() };
            self.accepted.known.insert(id, Entry::fence(now, report.clone()));
            self.timers.add(now + RESULT_TTL, Timer::ForgetDelegated(id));
            actions.push(Action::Report { id, report });
            return;
        };
        match &entry.stage {
            Stage::Running => {}
            Stage::Ended(report) => {
                actions.push(Action::Report { id, report: report.clone() });
            }
            Stage::Waiting => self.end_accepted(now, id, fenced(), actions),
        }
    }

    /// Handles the result of an attempt at a delegated task.
    pub(super) fn record_accepted_report(
        &mut self,
        now: Millis,
        id: DelegationId,
        report: Report,
        actions: &mut Vec<Action>,
    ) {
        let not_started = matches!(report, Report::Full | Report::Unsent(_));
        let Some(entry) = self.accepted.known.get_mut(&id) else { return };
        if not_started && entry.deadline > now {
            entry.stage = Stage::Waiting;
            self.requeue(Source::Delegated(id), 0);
        } else {
            self.end_accepted(now, id, report, actions);
        }
    }

    /// Ends a delegated task that still waits at its deadline.
    pub(super) fn expire_accepted(
        &mut self,
        now: Millis,
        id: DelegationId,
        actions: &mut Vec<Action>,
    ) {
        let is_waiting = |entry: &Entry| matches!(entry.stage, Stage::Waiting);
        if self.accepted.get(id).is_some_and(is_waiting) {
            let report = Report::Unsent("no slot became free before the job's deadline".to_owned());
            self.end_accepted(now, id, report, actions);
        }
    }

    /// Ends a delegated task and reports its result to its coordinator.
    fn end_accepted(
        &mut self,
        now: Millis,
        id: DelegationId,
        report: Report,
        actions: &mut Vec<Action>,
    ) {
        let Some(entry) = self.accepted.known.get_mut(&id) else { return };
        entry.stage = Stage::Ended(report.clone());
        let pool = self.services.list[entry.service].pool;
        self.timers.remove(entry.deadline, Timer::DelegatedDeadline(id));
        self.queues[pool].remove(Source::Delegated(id));
        self.timers.add(now + RESULT_TTL, Timer::ForgetDelegated(id));
        actions.push(Action::Report { id, report });
    }

    /// Whether a delegated task would start soon here.
    fn can_accept(&self, service: usize) -> bool {
        let pool = self.services.list[service].pool;
        let wait = self.expected_wait(pool);
        self.accepted.known.len() < TASKS_MAX && wait.is_some_and(|wait| wait * 2 < DELEGATE_WAIT)
    }
}

impl Entry {
    /// The entry of a task that must never start.
    fn fence(now: Millis, report: Report) -> Self {
        let delegation = Delegation {
            name: String::new(),
            service: String::new(),
            payload: "".into(),
            expected: None,
            repeatable: false,
            remaining: Millis::ZERO,
        };
        Self { delegation, service: 0, deadline: now, stage: Stage::Ended(report) }
    }
}

fn fenced() -> Report {
    Report::Unsent("the task was not started and never will be".to_owned())
}

fn forgotten() -> Report {
    Report::Lost("the task's result is no longer known".to_owned())
}
