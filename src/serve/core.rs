//! The state behind one lock: the table of keys, the engine, and who waits for what.

use std::collections::HashMap;
use std::sync::Arc;

use smol::channel::{self, Receiver, Sender};

use crate::clock::Millis;
use crate::dispatch::{Action, Attempt, DelegationId, Engine, Event, Report, SlotMessage};
use crate::job::{self, Admission, Fingerprint, Incarnation, Key, Outcome, Spec, Table, Windows};
use crate::wire::KeyStatus;

/// What is to be done outside the lock.
#[derive(Debug, Default)]
pub struct Work {
    /// Attempts to make.
    pub starts: Vec<Attempt>,
    /// News on slots, and for whom.
    pub tells: Vec<(Incarnation, SlotMessage)>,
}

/// What a caller gets at once, or waits for.
#[derive(Debug)]
pub enum Ticket {
    /// The outcome.
    Ready(Arc<Outcome>),
    /// The outcome will come.
    Wait(Receiver<Arc<Outcome>>),
}

/// All that changes while jobs run.
#[derive(Debug)]
pub struct Core {
    table: Table,
    engine: Engine,
    windows: Windows,
    running: HashMap<job::Id, Running>,
    adopted: HashMap<DelegationId, Vec<Sender<Report>>>,
    actions: Vec<Action>,
}

#[derive(Debug)]
struct Running {
    key: Key,
    callers: Vec<Sender<Arc<Outcome>>>,
}

impl Core {
    /// A core without keys and jobs.
    pub fn new(engine: Engine, windows: Windows) -> Self {
        Self {
            table: Table::new(),
            engine,
            windows,
            running: HashMap::new(),
            adopted: HashMap::new(),
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

    /// The number of jobs without an outcome and of other domains' tasks without an end.
    pub fn running(&self) -> usize {
        self.running.len() + self.adopted.len()
    }

    /// Changes how the table keeps keys.
    pub const fn keep(&mut self, windows: Windows) {
        self.windows = windows;
    }

    /// Stops accepting keys for good.
    pub fn close(&mut self) {
        self.table.close();
    }

    /// Takes one event and appends what is to be done outside the lock.
    pub fn handle(&mut self, now: Millis, event: Event, work: &mut Work) {
        let mut actions = std::mem::take(&mut self.actions);
        self.engine.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.act(action, work);
        }
        self.actions = actions;
    }

    /// Admits a submission with its digest, and starts its job if the key is new.
    pub fn submit(
        &mut self,
        now: Millis,
        key: &Key,
        spec: &Arc<Spec>,
        fingerprint: Fingerprint,
        work: &mut Work,
    ) -> Ticket {
        self.table.advance(now, &self.windows);
        let admission =
            self.table.admit(key.prefix.window, &key.suffix, fingerprint, &self.windows);
        match admission {
            Admission::New(job) => {
                let (sender, receiver) = channel::bounded(1);
                self.running.insert(job, Running { key: key.clone(), callers: vec![sender] });
                self.handle(now, Event::Submit { job, spec: Arc::clone(spec) }, work);
                Ticket::Wait(receiver)
            }
            Admission::Join(job) => self.join(job),
            Admission::Ended(outcome) => Ticket::Ready(outcome),
            Admission::Refused(failure) => Ticket::Ready(Arc::new(Outcome::Failed(failure))),
        }
    }

    /// What is known of a key.
    pub fn look(&self, key: &Key) -> KeyStatus {
        match self.table.lookup(key.prefix.window, &key.suffix) {
            None => KeyStatus::NeverSubmitted,
            Some(Admission::New(_) | Admission::Join(_)) => KeyStatus::Running,
            Some(Admission::Ended(outcome)) => KeyStatus::Ended(Outcome::clone(&outcome)),
            Some(Admission::Refused(failure)) => KeyStatus::Ended(Outcome::Failed(failure)),
        }
    }

    /// Cancels the job of a key, or makes sure that a key never seen will not be started.
    pub fn cancel(&mut self, now: Millis, key: &Key, work: &mut Work) -> KeyStatus {
        self.table.advance(now, &self.windows);
        match self.table.lookup(key.prefix.window, &key.suffix) {
            Some(Admission::Join(job)) => {
                self.handle(now, Event::Cancel { job }, work);
                KeyStatus::Cancelling
            }
            None if self.table.fence(key.prefix.window, &key.suffix, &self.windows) => {
                KeyStatus::Cancelling
            }
            _ => self.look(key),
        }
    }

    /// Moves the windows on.
    pub fn advance(&mut self, now: Millis) {
        self.table.advance(now, &self.windows);
    }

    /// Takes over a task of another domain, or asks for its fate; `event` says which.
    pub fn adopt(
        &mut self,
        now: Millis,
        adopted: DelegationId,
        event: Event,
        work: &mut Work,
    ) -> Receiver<Report> {
        let (sender, receiver) = channel::bounded(1);
        self.adopted.entry(adopted).or_default().push(sender);
        self.handle(now, event, work);
        receiver
    }

    fn join(&mut self, job: job::Id) -> Ticket {
        let (sender, receiver) = channel::bounded(1);
        if let Some(running) = self.running.get_mut(&job) {
            running.callers.push(sender);
        }
        Ticket::Wait(receiver)
    }

    fn act(&mut self, action: Action, work: &mut Work) {
        match action {
            Action::Start(start) => work.starts.push(start),
            Action::Send { to, message } => work.tells.push((to, message)),
            Action::End { job, outcome } => self.end(job, outcome),
            Action::Report { id, report } => self.give_back(id, &report),
        }
    }

    fn end(&mut self, job: job::Id, outcome: Outcome) {
        let Some(running) = self.running.remove(&job) else { return };
        let outcome = Arc::new(outcome);
        let Key { prefix, suffix } = &running.key;
        self.table.end(prefix.window, suffix, Arc::clone(&outcome), &self.windows);
        for caller in running.callers {
            drop(caller.try_send(Arc::clone(&outcome)));
        }
    }

    fn give_back(&mut self, adopted: DelegationId, report: &Report) {
        for caller in self.adopted.remove(&adopted).unwrap_or_default() {
            drop(caller.try_send(report.clone()));
        }
    }
}
