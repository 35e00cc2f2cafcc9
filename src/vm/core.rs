//! The state behind the VM's lock: the scheduler, the view of target ownership, and the waiters for batches.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::sync::Arc;

use smol::channel::{self, Receiver, Sender};

use crate::batch::{Outcome, Spec};
use crate::clock::{Clock, Millis};
use crate::evacuation::Evacuation;
use crate::event;
use crate::job::Incarnation;
use crate::ownership::{Ownership, Presence};
use crate::schedule::{Account, Action, BatchId, Engine, Event, Loss, Trouble};
use crate::wire::Utilization;

/// The state that a VM's decisions depend on.
#[derive(Debug)]
pub(super) struct Core {
    pub engine: Engine,
    pub ownership: Ownership,
    /// The evacuated failure domains.
    pub evacuation: Evacuation,
    /// The last announced load of each other VM.
    pub loads: BTreeMap<Incarnation, PeerLoad>,
    /// The highest round of a fencing token that any VM has announced or stored.
    pub round: u64,
    waiters: HashMap<BatchId, Waiter>,
    /// Batches that other VMs forwarded to this one, by the VM and its number for the batch.
    forwarded: HashMap<(Incarnation, u64), BatchId>,
    /// The waiters for batches that were abandoned after a standstill. A VM that still waits must learn by the end of
    /// its link that the batch was cut, not by a reply.
    cut: HashMap<Incarnation, Vec<Waiter>>,
    /// When the core last handled anything.
    active_at: Millis,
    next_batch: BatchId,
    clock: Clock,
}

/// The load that another VM has announced.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerLoad {
    pub utilization: Utilization,
    /// When the announcement arrived.
    pub received_at: Millis,
}

/// The receiver of a batch's outcome.
#[derive(Debug)]
struct Waiter {
    /// The id that the caller gave the batch.
    id: Arc<str>,
    /// The name of the VM that forwarded the batch; `None` if a caller submitted it to this VM.
    from: Option<Arc<str>>,
    submitted_at: Millis,
    sender: Sender<Outcome>,
}

impl Waiter {
    /// The VM that forwarded the batch, as shown in the log.
    fn from(&self) -> &str {
        self.from.as_deref().unwrap_or("caller")
    }
}

/// A VM that forwarded a batch.
#[derive(Clone, Debug)]
pub(super) struct Forwarder {
    pub incarnation: Incarnation,
    pub vm: Arc<str>,
    /// The VM's number for the batch.
    pub number: u64,
}

/// Who or what caused a batch to be abandoned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Origin {
    /// The caller that submitted the batch to this VM left.
    Caller,
    /// The VM that forwarded the batch abandoned it.
    Vm,
    /// The link to the VM that forwarded the batch was lost.
    Link,
    /// This VM stood still.
    Standstill,
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Caller => "caller",
            Self::Vm => "vm",
            Self::Link => "link",
            Self::Standstill => "standstill",
        })
    }
}

/// A batch that was abandoned.
#[derive(Clone, Debug)]
pub(super) struct Abandoned {
    /// The id that the caller gave the batch.
    pub job: Arc<str>,
    pub origin: Origin,
    /// The VM that forwarded the batch, as shown in the log.
    pub from: Arc<str>,
    /// The time since the batch was submitted on this VM.
    pub age: Millis,
    /// Whether any of its tasks was started on this VM.
    pub started: bool,
}

/// The consequences of an event that are carried out after the lock is released.
#[derive(Debug, Default)]
pub(super) struct Effects {
    /// The calls to make to targets.
    pub calls: Vec<Action>,
    /// For each batch that ended, the time that it waited for its first attempt.
    pub waits: Vec<Millis>,
    /// Whether the set of targets that this VM owns, or its draining state, has changed.
    pub ownership_changed: bool,
    /// The targets that were acquired.
    pub acquired: Vec<Arc<str>>,
    /// The targets that are no longer owned, and why.
    pub lost: Vec<(Arc<str>, Loss)>,
    /// The standstill that has just ended, if any.
    pub standstill: Option<Standstill>,
    /// The batches that were abandoned.
    pub abandoned: Vec<Abandoned>,
    /// The acquired targets that another VM had announced as its own.
    pub taken: Vec<Taken>,
}

/// An acquired target that another VM had announced as its own.
#[derive(Clone, Debug)]
pub(super) struct Taken {
    pub target: Arc<str>,
    /// The name of the other VM.
    pub vm: Arc<str>,
    /// The evidence on whether the other VM is alive.
    pub presence: Presence,
}

/// A time for which the VM handled nothing, as its machine was frozen or suspended.
#[derive(Clone, Copy, Debug)]
pub(super) struct Standstill {
    pub duration: Millis,
    /// The number of forwarded batches that were abandoned at its end.
    pub abandoned: usize,
}

impl Core {
    pub fn new(engine: Engine, ownership: Ownership, clock: Clock) -> Self {
        Self {
            engine,
            ownership,
            evacuation: Evacuation::default(),
            loads: BTreeMap::new(),
            round: 0,
            waiters: HashMap::new(),
            forwarded: HashMap::new(),
            cut: HashMap::new(),
            active_at: clock.now(),
            next_batch: 1,
            clock,
        }
    }

    /// Whether the VM has handled nothing for longer than `timeout`. The regular ticks are far more frequent.
    pub fn has_stood_still(&self, now: Millis, timeout: Millis) -> bool {
        now - self.active_at > timeout
    }

    /// Records that the VM is active. If it was not for longer than `timeout`, the time after which its peers give a link
    /// up, all that they forwarded is abandoned before anything else is done: they run it elsewhere by now or soon.
    pub fn record_active(&mut self, now: Millis, timeout: Millis, effects: &mut Effects) {
        let has_stood_still = self.has_stood_still(now, timeout);
        let duration = now - self.active_at;
        self.active_at = now;
        if !has_stood_still {
            return;
        }
        self.handle(now, Event::Resume, effects);
        let forwarded = std::mem::take(&mut self.forwarded);
        effects.standstill = Some(Standstill { duration, abandoned: forwarded.len() });
        for ((from, _), batch) in forwarded {
            if let Some(waiter) = self.waiters.remove(&batch) {
                effects.abandoned.push(self.abandoned(now, batch, &waiter, Origin::Standstill));
                self.cut.entry(from).or_default().push(waiter);
            }
            self.handle(now, Event::Abandon { batch }, effects);
        }
    }

    /// Passes an event to the scheduler and processes the actions that follow from it.
    pub fn handle(&mut self, now: Millis, event: Event, effects: &mut Effects) {
        let mut actions = Vec::new();
        self.engine.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::End { batch, outcome, account } => {
                    effects.waits.extend(account.waited);
                    self.finish(batch, outcome, &account);
                }
                Action::Unhealthy { target, name, attempt, trouble, ejection } => {
                    let event = event_name(trouble);
                    let (job, rest_ms) = (&name.job, ejection.0);
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
                    effects.taken.extend(self.taken(&target));
                    self.ownership.record_acquired(&target);
                    effects.ownership_changed = true;
                    effects.acquired.push(target);
                }
                Action::Lost { target, loss } => {
                    self.ownership.record_lost(now, &target, loss != Loss::Released);
                    effects.ownership_changed = true;
                    effects.lost.push((target, loss));
                }
                call => effects.calls.push(call),
            }
        }
    }

    /// Describes a target that is about to be recorded as acquired, if another VM had announced it.
    fn taken(&self, target: &Arc<str>) -> Option<Taken> {
        let claimant = self.ownership.claimant(target)?;
        let (vm, presence) = (Arc::clone(&claimant.vm), claimant.presence);
        Some(Taken { target: Arc::clone(target), vm, presence })
    }

    /// Submits a batch to the scheduler. The returned channel receives its outcome, or is closed if the batch is
    /// abandoned.
    pub fn submit(
        &mut self,
        now: Millis,
        spec: Arc<Spec>,
        age: Millis,
        time_left: Millis,
        effects: &mut Effects,
    ) -> (BatchId, Receiver<Outcome>) {
        let (batch, outcome) = self.add_waiter(now, &spec, None);
        self.handle(now, Event::Submit { batch, spec, age, time_left }, effects);
        (batch, outcome)
    }

    /// As [`Self::submit`], for a batch that another VM forwarded.
    pub fn submit_forwarded(
        &mut self,
        now: Millis,
        from: Forwarder,
        spec: Arc<Spec>,
        age: Millis,
        time_left: Millis,
        effects: &mut Effects,
    ) -> Receiver<Outcome> {
        let Forwarder { incarnation, vm, number } = from;
        let (batch, outcome) = self.add_waiter(now, &spec, Some(vm));
        self.handle(now, Event::Submit { batch, spec, age, time_left }, effects);
        // The batch may have ended at once.
        if self.waiters.contains_key(&batch) {
            self.forwarded.insert((incarnation, number), batch);
        }
        outcome
    }

    fn add_waiter(
        &mut self,
        now: Millis,
        spec: &Spec,
        from: Option<Arc<str>>,
    ) -> (BatchId, Receiver<Outcome>) {
        let batch = self.next_batch;
        self.next_batch += 1;
        let (sender, outcome) = channel::bounded(1);
        let id = Arc::clone(&spec.id);
        self.waiters.insert(batch, Waiter { id, from, submitted_at: now, sender });
        (batch, outcome)
    }

    /// Removes and returns a batch that another VM forwarded.
    pub fn take_forwarded(&mut self, from: Incarnation, number: u64) -> Option<BatchId> {
        self.forwarded.remove(&(from, number))
    }

    /// Removes and returns all batches that another VM forwarded, as the link to it has ended.
    pub fn take_forwarded_by(&mut self, from: Incarnation) -> Vec<BatchId> {
        self.cut.remove(&from);
        let taken = self.forwarded.extract_if(|(vm, _), _| *vm == from);
        taken.map(|(_, batch)| batch).collect()
    }

    /// Abandons a batch, unless it has ended.
    pub fn abandon(&mut self, now: Millis, batch: BatchId, origin: Origin, effects: &mut Effects) {
        if let Some(waiter) = self.waiters.remove(&batch) {
            effects.abandoned.push(self.abandoned(now, batch, &waiter, origin));
            self.handle(now, Event::Abandon { batch }, effects);
        }
    }

    /// Describes a batch that is about to be abandoned.
    fn abandoned(&self, now: Millis, batch: BatchId, waiter: &Waiter, origin: Origin) -> Abandoned {
        Abandoned {
            job: Arc::clone(&waiter.id),
            origin,
            from: Arc::from(waiter.from()),
            age: now - waiter.submitted_at,
            started: self.engine.has_started(batch),
        }
    }

    /// Logs the end of a batch and sends its outcome to the waiter.
    fn finish(&mut self, batch: BatchId, outcome: Outcome, account: &Account) {
        self.forwarded.retain(|_, known| *known != batch);
        let Some(waiter) = self.waiters.remove(&batch) else { return };
        let Account { backlog, waited, attempts, failures, aborted } = *account;
        let wait = waited.map_or_else(|| "never".to_owned(), |waited| waited.0.to_string());
        let took = self.clock.now() - waiter.submitted_at;
        event!(
            at outcome.log_level(),
            "batch-run",
            job = waiter.id,
            from = waiter.from(),
            outcome = outcome,
            ms = took.0,
            backlog_ms = backlog.0,
            waited_ms = wait,
            starts = attempts,
            failures = failures,
            cuts = aborted,
        );
        // The receiver may have been dropped just before, as its caller left.
        drop(waiter.sender.try_send(outcome));
    }
}

const fn event_name(trouble: Trouble) -> &'static str {
    match trouble {
        Trouble::Failed => "task-failed",
        Trouble::Stalled => "task-stalled",
    }
}
