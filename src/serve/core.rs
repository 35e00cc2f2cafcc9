//! The state behind one lock: the table of keys, the engine, and the callers that wait for jobs and tasks.

use std::collections::HashMap;
use std::sync::Arc;

use smol::channel::{self, Receiver, Sender};

use crate::clock::Millis;
use crate::dispatch::{Action, Attempt, DelegationId, Engine, Event, Report, SlotMessage};
use crate::job::{self, Admission, Fingerprint, Incarnation, Key, Outcome, Spec, Table, Windows};
use crate::wire::KeyStatus;

/// What a change of the core requires to be done after the lock is released.
#[derive(Debug, Default)]
pub struct Effects {
    /// Attempts to make.
    pub attempts: Vec<Attempt>,
    /// Slot messages, each with the VM to send it to.
    pub messages: Vec<(Incarnation, SlotMessage)>,
}

/// The outcome of a submission, now or later.
#[derive(Debug)]
pub enum Ticket {
    /// The job has ended or was refused.
    Ready(Arc<Outcome>),
    /// The job runs; receives its outcome.
    Wait(Receiver<Arc<Outcome>>),
}

/// All state that changes while jobs run.
#[derive(Debug)]
pub struct Core {
    table: Table,
    engine: Engine,
    windows: Windows,
    running: HashMap<job::Id, Running>,
    /// The calls that wait for the end of each task of another domain's job.
    delegated: HashMap<DelegationId, Vec<Sender<Report>>>,
    /// An empty buffer for the engine's actions, kept to save allocations.
    actions: Vec<Action>,
}

/// A job without an outcome.
#[derive(Debug)]
struct Running {
    key: Key,
    callers: Vec<Sender<Arc<Outcome>>>,
}

impl Core {
    /// Creates a core without keys and jobs.
    pub fn new(engine: Engine, windows: Windows) -> Self {
        Self {
            table: Table::new(),
            engine,
            windows,
            running: HashMap::new(),
            delegated: HashMap::new(),
            actions: Vec::new(),
        }
    }

    /// The table of keys.
    pub const fn table(&self) -> &Table {
        &self.table
    }

    /// The engine.
    pub const fn engine(&self) -> &Engine {
        &self.engine
    }

    /// The number of unfinished jobs, plus that of unfinished tasks of other domains.
    pub fn unfinished(&self) -> usize {
        self.running.len() + self.delegated.len()
    }

    /// Sets how many windows of keys the table keeps, how long each is, and how much it holds.
    pub const fn set_windows(&mut self, windows: Windows) {
        self.windows = windows;
    }

    /// Stops accepting keys, for good.
    pub fn close(&mut self) {
        self.table.close();
    }

    /// Handles an event in the engine and adds what follows from it to `effects`.
    pub fn handle(&mut self, now: Millis, event: Event, effects: &mut Effects) {
        let mut actions = std::mem::take(&mut self.actions);
        self.engine.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.apply(action, effects);
        }
        self.actions = actions;
    }

    /// Admits a submission, and starts its job if the key is new.
    pub fn submit(
        &mut self,
        now: Millis,
        key: &Key,
        spec: &Arc<Spec>,
        fingerprint: Fingerprint,
        effects: &mut Effects,
    ) -> Ticket {
        self.table.advance(now, &self.windows);
        let admission =
            self.table.admit(key.prefix.window, &key.suffix, fingerprint, &self.windows);
        match admission {
            Admission::New(job) => {
                let (sender, receiver) = channel::bounded(1);
                self.running.insert(job, Running { key: key.clone(), callers: vec![sender] });
                self.handle(now, Event::Submit { job, spec: Arc::clone(spec) }, effects);
                Ticket::Wait(receiver)
            }
            Admission::Join(job) => self.join(job),
            Admission::Ended(outcome) => Ticket::Ready(outcome),
            Admission::Refused(failure) => Ticket::Ready(Arc::new(Outcome::Failed(failure))),
        }
    }

    /// Looks up a key that names this VM.
    pub fn lookup(&self, key: &Key) -> KeyStatus {
        match self.table.lookup(key.prefix.window, &key.suffix) {
            None => KeyStatus::NeverSubmitted,
            Some(Admission::New(_) | Admission::Join(_)) => KeyStatus::Running,
            Some(Admission::Ended(outcome)) => KeyStatus::Ended(Outcome::clone(&outcome)),
            Some(Admission::Refused(failure)) => KeyStatus::Ended(Outcome::Failed(failure)),
        }
    }

    /// Cancels the job of a key, or ensures that no job will ever start under a key that was not submitted.
    pub fn cancel(&mut self, now: Millis, key: &Key, effects: &mut Effects) -> KeyStatus {
        self.table.advance(now, &self.windows);
        match self.table.lookup(key.prefix.window, &key.suffix) {
            Some(Admission::Join(job)) => {
                self.handle(now, Event::Cancel { job }, effects);
                KeyStatus::Cancelling
            }
            None if self.table.fence(key.prefix.window, &key.suffix, &self.windows) => {
                KeyStatus::Cancelling
            }
            _ => self.lookup(key),
        }
    }

    /// Advances the windows of keys to the present.
    pub fn advance(&mut self, now: Millis) {
        self.table.advance(now, &self.windows);
    }

    /// Handles `event`, which delegates the task `id` to this VM or asks for its fate. Receives the task's report.
    pub fn run_delegated(
        &mut self,
        now: Millis,
        id: DelegationId,
        event: Event,
        effects: &mut Effects,
    ) -> Receiver<Report> {
        let (sender, receiver) = channel::bounded(1);
        self.delegated.entry(id).or_default().push(sender);
        self.handle(now, event, effects);
        receiver
    }

    fn join(&mut self, job: job::Id) -> Ticket {
        let (sender, receiver) = channel::bounded(1);
        if let Some(running) = self.running.get_mut(&job) {
            running.callers.push(sender);
        }
        Ticket::Wait(receiver)
    }

    fn apply(&mut self, action: Action, effects: &mut Effects) {
        match action {
            Action::Start(attempt) => effects.attempts.push(attempt),
            Action::Send { to, message } => effects.messages.push((to, message)),
            Action::End { job, outcome } => self.complete_job(job, outcome),
            Action::Report { id, report } => self.report_delegated(id, &report),
        }
    }

    fn complete_job(&mut self, job: job::Id, outcome: Outcome) {
        let Some(running) = self.running.remove(&job) else { return };
        let outcome = Arc::new(outcome);
        let Key { prefix, suffix } = &running.key;
        self.table.end(prefix.window, suffix, Arc::clone(&outcome), &self.windows);
        for caller in running.callers {
            drop(caller.try_send(Arc::clone(&outcome)));
        }
    }

    fn report_delegated(&mut self, id: DelegationId, report: &Report) {
        for caller in self.delegated.remove(&id).unwrap_or_default() {
            drop(caller.try_send(report.clone()));
        }
    }
}
