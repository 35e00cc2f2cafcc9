//! Tasks of other domains' VMs: each is started here at most once, and its fate stays known for a
//! while.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::job::Incarnation;

use super::engine::Engine;
use super::event::{Action, Delegation, DelegationId, Report};
use super::over::OVER_WAIT;
use super::queue::Source;
use super::timer::Timer;

/// How long the end of a task stays known.
const KEEP: Millis = Millis::from_secs(60);
/// The most tasks that are known at once.
const TASKS_MAX: usize = 50_000;

/// How far a task is.
#[derive(Debug)]
pub enum Stage {
    /// In the queue.
    Waiting,
    /// On a target.
    Running,
    /// Ended, or fenced.
    Ended(Report),
}

/// A task of another domain's VM.
#[derive(Debug)]
pub struct Entry {
    /// What it is.
    pub adoption: Delegation,
    /// Its service.
    pub service: usize,
    /// When its job's time is up.
    pub deadline: Millis,
    stage: Stage,
}

/// All tasks of other domains' VMs.
#[derive(Debug, Default)]
pub struct Table {
    known: BTreeMap<DelegationId, Entry>,
    /// Per coordinator, the highest number that was known and is forgotten.
    forgotten: BTreeMap<Incarnation, u64>,
}

impl Table {
    /// A task that is known.
    pub fn get(&self, adopted: DelegationId) -> Option<&Entry> {
        self.known.get(&adopted)
    }

    /// The service of a task that is known.
    pub fn service(&self, adopted: DelegationId) -> Option<usize> {
        self.known.get(&adopted).map(|entry| entry.service)
    }

    /// Notes that a task is on a target.
    pub fn run(&mut self, adopted: DelegationId) {
        if let Some(entry) = self.known.get_mut(&adopted) {
            entry.stage = Stage::Running;
        }
    }

    /// Forgets a task that ended long ago.
    pub fn drop_ended(&mut self, adopted: DelegationId) {
        self.known.remove(&adopted);
        let forgotten = self.forgotten.entry(adopted.coordinator).or_default();
        *forgotten = (*forgotten).max(adopted.attempt);
    }

    /// Whether a task that is not known may have been, and may have run.
    fn may_be_forgotten(&self, adopted: DelegationId) -> bool {
        self.forgotten.get(&adopted.coordinator).is_some_and(|&last| adopted.attempt <= last)
    }
}

impl Engine {
    pub(super) fn adopt(
        &mut self,
        now: Millis,
        adopted: DelegationId,
        adoption: Delegation,
        actions: &mut Vec<Action>,
    ) {
        if let Some(entry) = self.adopted.get(adopted) {
            if let Stage::Ended(report) = &entry.stage {
                actions.push(Action::Report { id: adopted, report: report.clone() });
            }
            return;
        }
        if self.adopted.may_be_forgotten(adopted) {
            actions.push(Action::Report { id: adopted, report: forgotten() });
            return;
        }
        let service = self.services.find(&adoption.service);
        let Some(service) = service.filter(|&service| self.has_room(service)) else {
            actions.push(Action::Report { id: adopted, report: Report::Full });
            return;
        };
        self.counts.accepted += 1;
        let deadline = now + adoption.remaining;
        let declared = adoption.expected;
        let entry = Entry { adoption, service, deadline, stage: Stage::Waiting };
        self.adopted.known.insert(adopted, entry);
        self.timers.add(deadline, Timer::DelegatedDeadline(adopted));
        if let Some((pool, entry)) = self.entry(Source::Delegated(adopted), declared) {
            self.queues[pool].push(&entry, 0..1);
        }
    }

    /// Tells how a task ended, now or at its end; one that is not on a target never will be.
    pub(super) fn fate(&mut self, now: Millis, adopted: DelegationId, actions: &mut Vec<Action>) {
        let Some(entry) = self.adopted.get(adopted) else {
            let report =
                if self.adopted.may_be_forgotten(adopted) { forgotten() } else { fenced() };
            self.adopted.known.insert(adopted, Entry::fence(now, report.clone()));
            self.timers.add(now + KEEP, Timer::ForgetDelegated(adopted));
            actions.push(Action::Report { id: adopted, report });
            return;
        };
        match &entry.stage {
            Stage::Running => {}
            Stage::Ended(report) => {
                actions.push(Action::Report { id: adopted, report: report.clone() });
            }
            Stage::Waiting => self.end_adopted(now, adopted, fenced(), actions),
        }
    }

    pub(super) fn adopted_ended(
        &mut self,
        now: Millis,
        adopted: DelegationId,
        report: Report,
        actions: &mut Vec<Action>,
    ) {
        let not_started = matches!(report, Report::Full | Report::Unsent(_));
        let Some(entry) = self.adopted.known.get_mut(&adopted) else { return };
        if not_started && entry.deadline > now {
            entry.stage = Stage::Waiting;
            self.requeue(Source::Delegated(adopted), 0);
        } else {
            self.end_adopted(now, adopted, report, actions);
        }
    }

    pub(super) fn adopted_expired(
        &mut self,
        now: Millis,
        adopted: DelegationId,
        actions: &mut Vec<Action>,
    ) {
        let waits = |entry: &Entry| matches!(entry.stage, Stage::Waiting);
        if self.adopted.get(adopted).is_some_and(waits) {
            let report = Report::Unsent("its time was up before a slot was free".to_owned());
            self.end_adopted(now, adopted, report, actions);
        }
    }

    fn end_adopted(
        &mut self,
        now: Millis,
        adopted: DelegationId,
        report: Report,
        actions: &mut Vec<Action>,
    ) {
        let Some(entry) = self.adopted.known.get_mut(&adopted) else { return };
        entry.stage = Stage::Ended(report.clone());
        let pool = self.services.list[entry.service].pool;
        self.timers.remove(entry.deadline, Timer::DelegatedDeadline(adopted));
        self.queues[pool].remove(Source::Delegated(adopted));
        self.timers.add(now + KEEP, Timer::ForgetDelegated(adopted));
        actions.push(Action::Report { id: adopted, report });
    }

    /// Whether a task of another domain would start soon here.
    fn has_room(&self, service: usize) -> bool {
        let pool = self.services.list[service].pool;
        let wait = self.expected_wait(pool);
        self.adopted.known.len() < TASKS_MAX && wait.is_some_and(|wait| wait * 2 < OVER_WAIT)
    }
}

impl Entry {
    fn fence(now: Millis, report: Report) -> Self {
        let adoption = Delegation {
            name: String::new(),
            service: String::new(),
            payload: "".into(),
            expected: None,
            repeatable: false,
            remaining: Millis::ZERO,
        };
        Self { adoption, service: 0, deadline: now, stage: Stage::Ended(report) }
    }
}

fn fenced() -> Report {
    Report::Unsent("it was not started and never will be".to_owned())
}

fn forgotten() -> Report {
    Report::Lost("its end is no longer known".to_owned())
}
