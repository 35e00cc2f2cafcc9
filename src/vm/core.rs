//! What is behind the lock: the scheduler, the view of owners, and who waits for which batch.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use smol::channel::{self, Receiver, Sender};

use crate::batch::{Outcome, Spec};
use crate::clock::{Clock, Millis};
use crate::event;
use crate::job::Incarnation;
use crate::ownership::Ownership;
use crate::schedule::{Account, Action, BatchId, Engine, Event, Loss, Trouble};
use crate::wire::Busy;

/// The state that decisions are made on.
#[derive(Debug)]
pub(super) struct Core {
    pub engine: Engine,
    pub ownership: Ownership,
    /// What the other VMs said last of their load.
    pub said: BTreeMap<Incarnation, Said>,
    /// The highest round that any VM has named.
    pub round: u64,
    waiting: HashMap<BatchId, Waiter>,
    /// Batches that other VMs passed on, by the VM and its number.
    passed_on: HashMap<(Incarnation, u64), BatchId>,
    next_job: BatchId,
    clock: Clock,
}

/// What a VM said of its load, and when that came.
#[derive(Clone, Copy, Debug)]
pub(super) struct Said {
    pub busy: Busy,
    pub at: Millis,
}

/// Who waits for a batch.
#[derive(Debug)]
struct Waiter {
    /// The caller's id of the batch.
    id: Arc<str>,
    since: Millis,
    sender: Sender<Outcome>,
}

/// What is to be done outside the lock.
#[derive(Debug, Default)]
pub(super) struct Work {
    /// Calls to targets.
    pub calls: Vec<Action>,
    /// How long batches that ended had waited for their first start.
    pub waits: Vec<Millis>,
    /// Whether what this VM owns has changed.
    pub owns_changed: bool,
    /// Targets that were gained.
    pub gained: Vec<Arc<str>>,
    /// Targets that were left, and why.
    pub left: Vec<(Arc<str>, Loss)>,
}

impl Core {
    pub fn new(engine: Engine, ownership: Ownership, clock: Clock) -> Self {
        Self {
            engine,
            ownership,
            said: BTreeMap::new(),
            round: 0,
            waiting: HashMap::new(),
            passed_on: HashMap::new(),
            next_job: 1,
            clock,
        }
    }

    /// Gives one event to the scheduler and sorts out what it says.
    pub fn handle(&mut self, now: Millis, event: Event, work: &mut Work) {
        let mut actions = Vec::new();
        self.engine.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::End { batch, outcome, account } => {
                    work.waits.extend(account.waited);
                    self.finish(batch, outcome, &account);
                }
                Action::Unhealthy { target, name, attempt, trouble, ejection: rest } => {
                    let event = event_of(trouble);
                    let (job, rest_ms) = (&name.job, rest.0);
                    event!(
                        warn,
                        event,
                        job = job,
                        task = name,
                        run = attempt,
                        target = target,
                        rest_ms = rest_ms
                    );
                }
                Action::Acquired { target } => {
                    self.ownership.record_acquired(&target);
                    work.owns_changed = true;
                    work.gained.push(target);
                }
                Action::Lost { target, loss } => {
                    self.ownership.record_lost(now, &target, loss != Loss::Released);
                    work.owns_changed = true;
                    work.left.push((target, loss));
                }
                call => work.calls.push(call),
            }
        }
    }

    /// Hands a batch to the scheduler; its outcome comes on the channel.
    pub fn submit(
        &mut self,
        now: Millis,
        spec: Arc<Spec>,
        age: Millis,
        patience: Millis,
        work: &mut Work,
    ) -> (BatchId, Receiver<Outcome>) {
        let job = self.next_job;
        self.next_job += 1;
        let (sender, outcome) = channel::bounded(1);
        let id = Arc::clone(&spec.id);
        self.waiting.insert(job, Waiter { id, since: now, sender });
        self.handle(now, Event::Submit { batch: job, spec, age, time_left: patience }, work);
        (job, outcome)
    }

    /// Notes for whom a batch runs.
    pub fn pass_on(&mut self, from: Incarnation, number: u64, job: BatchId) {
        if self.waiting.contains_key(&job) {
            self.passed_on.insert((from, number), job);
        }
    }

    /// The batch that another VM passed on.
    pub fn passed_on(&mut self, from: Incarnation, number: u64) -> Option<BatchId> {
        self.passed_on.remove(&(from, number))
    }

    /// All batches that another VM passed on.
    pub fn passed_on_by(&mut self, from: Incarnation) -> Vec<BatchId> {
        let of_vm = self.passed_on.extract_if(|(vm, _), _| *vm == from);
        of_vm.map(|(_, job)| job).collect()
    }

    /// Gives a batch up.
    pub fn abandon(&mut self, now: Millis, job: BatchId, work: &mut Work) {
        if self.waiting.remove(&job).is_some() {
            self.handle(now, Event::Abandon { batch: job }, work);
        }
    }

    fn finish(&mut self, job: BatchId, outcome: Outcome, account: &Account) {
        self.passed_on.retain(|_, known| *known != job);
        let Some(caller) = self.waiting.remove(&job) else { return };
        let Account { backlog, waited, attempts, failures, aborted: cuts } = *account;
        let waited = waited.map_or_else(|| "never".to_owned(), |waited| waited.0.to_string());
        let took = self.clock.now() - caller.since;
        event!(
            at outcome.log_level(),
            "batch-run",
            job = caller.id,
            outcome = outcome,
            ms = took.0,
            backlog_ms = backlog.0,
            waited_ms = waited,
            starts = attempts,
            failures = failures,
            cuts = cuts,
        );
        // The receiver is gone if its caller has just left.
        drop(caller.sender.try_send(outcome));
    }
}

const fn event_of(trouble: Trouble) -> &'static str {
    match trouble {
        Trouble::Failed => "task-failed",
        Trouble::Stalled => "task-stalled",
    }
}
