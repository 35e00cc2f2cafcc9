//! The engine: takes events, keeps the state that one VM's decisions depend on, and returns actions.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;

use crate::batch::{Outcome, Spec, Step};
use crate::clock::Millis;

use super::arrivals::Arrivals;
use super::batch::Batch;
use super::call::Call;
use super::capacity::Leases;
use super::event::{Account, Action, BatchId, CallId, Event, Load, Rules};
use super::fence::Fence;
use super::history::History;
use super::latency::Latency;
use super::queue::{Queue, time_for};
use super::share::Shares;
use super::speed::Speeds;
use super::tail::Tails;
use super::target::{Phase, Target};

/// The time between ticks while anything waits or runs.
const TICK: Millis = Millis(50);

/// How much slower than this VM's clock a target's clock may run, in percent.
const CLOCK_LOSS_PERCENT: u64 = 2;

/// How long nothing is started after a standstill, so that connections that were closed meanwhile are noticed first.
const RESUME_HOLD: Millis = Millis(100);

/// The margin after which a lease has surely lapsed, for the target's own rounding and timers.
const LAPSE_SLACK: Millis = Millis(60);

/// The decisions of one VM about the targets that it owns.
#[derive(Debug)]
pub struct Engine {
    pub(super) rules: Rules,
    pub(super) token: Fence,
    pub(super) targets: Vec<Target>,
    pub(super) index_by_id: HashMap<Arc<str>, usize>,
    /// The failure domains on whose targets nothing may start.
    pub(super) evacuated: BTreeSet<Arc<str>>,
    pub(super) batches: BTreeMap<BatchId, Batch>,
    pub(super) history: History,
    pub(super) queue: Queue,
    /// The arrival rate of batches that can meet their objective.
    pub(super) arrivals: Arrivals,
    /// What queues may take while they demand more than there is.
    pub(super) shares: Shares,
    pub(super) speeds: Speeds,
    /// The queues whose tasks are long at times.
    pub(super) tails: Tails,
    pub(super) calls: HashMap<CallId, Call>,
    /// The response time of targets to start calls.
    pub(super) start_latency: Latency,
    next_call: CallId,
    /// When the event that is being handled came.
    pub(super) now: Millis,
    /// The event sequence, which tells what was sent before what.
    pub(super) sequence: u64,
    pub(super) draining: bool,
    /// Until when no task is started, since this VM has stood still.
    held_until: Millis,
    pub(super) leases: Leases,
    /// Whether anything has changed that may let a waiting task start.
    pub(super) needs_placement: bool,
}

impl Engine {
    /// An engine without targets. The low bits of `process` identify it in fencing tokens.
    pub fn new(process: u128, rules: Rules) -> Self {
        Self {
            rules,
            token: Fence::new(process),
            targets: Vec::new(),
            index_by_id: HashMap::new(),
            evacuated: BTreeSet::new(),
            batches: BTreeMap::new(),
            history: History::default(),
            queue: Queue::default(),
            arrivals: Arrivals::default(),
            shares: Shares::default(),
            speeds: Speeds::default(),
            tails: Tails::default(),
            calls: HashMap::new(),
            start_latency: Latency::default(),
            next_call: 1,
            now: Millis::ZERO,
            sequence: 0,
            draining: false,
            held_until: Millis::ZERO,
            leases: Leases::default(),
            needs_placement: false,
        }
    }

    /// Handles one event at the time `now`, and appends the actions to take to `actions`.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        self.sequence += 1;
        self.now = now;
        match event {
            Event::Submit { batch, spec, age, time_left } => {
                self.submit(now, batch, spec, age, time_left, actions);
            }
            Event::Abandon { batch } => {
                self.abandon(batch, actions);
            }
            Event::Targets(listings) => self.update_targets(now, listings, actions),
            Event::Evacuated(domains) => self.evacuate(now, domains, actions),
            Event::Acquire { target, round } => self.acquire(now, &target, round, actions),
            Event::CancelAcquire { target } => self.cancel_acquire(&target, actions),
            Event::Reply { call, reply } => self.handle_reply(now, call, reply, actions),
            Event::Overdue { call } => self.handle_overdue(now, call, actions),
            Event::Rules(rules) => self.rules = rules,
            Event::Resume => self.resume(now, actions),
            Event::Drain => self.drain(now, actions),
            Event::Tick => self.tick(now, actions),
        }
        if self.needs_placement && now >= self.held_until {
            self.needs_placement = false;
            self.place(now, actions);
        }
    }

    /// When the engine needs the next [`Event::Tick`]; `None` if it needs none until another event.
    pub fn next_wakeup(&self, now: Millis) -> Option<Millis> {
        let is_busy = !self.batches.is_empty()
            || self.targets.iter().any(|target| {
                target.phase == Phase::Acquiring || target.unsynced || !target.attempts.is_empty()
            });
        is_busy.then_some(now + TICK)
    }

    /// The load of the healthy targets.
    pub fn load(&self, now: Millis) -> Load {
        let healthy = self.targets.iter().filter(|target| target.is_healthy(now));
        let (total, free) = healthy.fold((0, 0), |(total, free), target| {
            let capacity = target.listing.capacity.cpu;
            (capacity.saturating_add(total), target.free().cpu.saturating_add(free))
        });
        let backlog = time_for(self.queue.backlog(), total);
        Load { total_cpu: total, free_cpu: free, backlog }
    }

    /// The ids of the owned targets.
    pub fn owned(&self) -> impl Iterator<Item = &Arc<str>> {
        let owned = self.targets.iter().filter(|target| target.phase == Phase::Owned);
        owned.map(|target| &target.listing.id)
    }

    /// The ids of the targets that are being acquired.
    pub fn acquiring(&self) -> Vec<Arc<str>> {
        let acquiring = self.targets.iter().filter(|target| target.phase == Phase::Acquiring);
        acquiring.map(|target| Arc::clone(&target.listing.id)).collect()
    }

    /// The highest round of the tokens of targets that are owned or being acquired; 0 if there are none.
    pub fn round(&self) -> u64 {
        let targets = self.targets.iter().filter(|target| target.phase != Phase::Unowned);
        targets.map(|target| target.fence.round).max().unwrap_or_default()
    }

    /// The number of batches that have not ended.
    pub fn unfinished(&self) -> usize {
        self.batches.len()
    }

    /// Whether any attempt of a batch that has not ended was sent.
    pub fn has_started(&self, batch: BatchId) -> bool {
        self.batches.get(&batch).is_some_and(|batch| batch.started)
    }

    /// The number of batches that have not started.
    pub fn waiting(&self) -> usize {
        self.batches.values().filter(|batch| !batch.started).count()
    }

    /// Counts of endangered and lapsed leases since the start.
    pub const fn leases(&self) -> Leases {
        self.leases
    }

    /// The number of batches of `queue` that have not started.
    pub fn pending(&self, queue: &str) -> usize {
        self.batches.values().filter(|batch| !batch.started && &*batch.spec.queue == queue).count()
    }

    /// Gives a call its id, under which its reply is expected.
    pub(super) fn register_call(&mut self, call: Call) -> CallId {
        let id = self.next_call;
        self.next_call += 1;
        self.calls.insert(id, call);
        id
    }

    /// When a lease that is granted or renewed now has surely lapsed.
    pub(super) fn lapse_time(&self, now: Millis) -> Millis {
        let lease = self.rules.lease_max;
        now + lease + Millis(lease.0 * CLOCK_LOSS_PERCENT / 100) + LAPSE_SLACK
    }

    /// The expected duration of a step's task on a target of slowness 1.
    pub(super) fn expected(&self, spec: &Spec, step: &Step) -> Millis {
        self.speeds.expected(&spec.queue, step.estimate)
    }

    /// Removes a batch, stops its attempts, and returns what it took.
    fn abandon(&mut self, id: BatchId, actions: &mut Vec<Action>) -> Option<Account> {
        let batch = self.batches.remove(&id)?;
        if batch.started {
            self.history.record(&batch.spec.id, batch.highest_attempt());
        }
        self.queue.remove(id);
        self.orphan_attempts(id, actions);
        Some(batch.account)
    }

    /// Ends a batch with an outcome, and stops its attempts.
    pub(super) fn end(&mut self, id: BatchId, outcome: Outcome, actions: &mut Vec<Action>) {
        if let Some(account) = self.abandon(id, actions) {
            actions.push(Action::End { batch: id, outcome, account });
        }
    }

    /// Holds starts back for a moment, and ends the batches whose callers have stopped waiting.
    fn resume(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.held_until = now + RESUME_HOLD;
        self.expire(now, actions);
    }

    fn drain(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.draining = true;
        let waiting = self.batches.iter().filter(|(_, batch)| !batch.started);
        for id in waiting.map(|(&id, _)| id).collect::<Vec<_>>() {
            self.end(id, Outcome::Moved, actions);
        }
        self.tick(now, actions);
    }

    fn tick(&mut self, now: Millis, actions: &mut Vec<Action>) {
        for index in 0..self.targets.len() {
            self.update_slowness(now, index);
            self.drop_lapsed(now, index);
            self.release_unlisted(now, index, actions);
            self.release_idle(index, actions);
            self.poll_for_completions(now, index, actions);
            self.reconcile(now, index, actions);
        }
        self.expire(now, actions);
        self.needs_placement |= !self.queue.is_empty();
    }

    /// Ends the batches that are past their deadline, and those that have no attempt running while no target is left.
    pub(super) fn expire(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let may_start = |target: &Target| target.phase != Phase::Unowned && !target.evacuated;
        let has_targets = self.targets.iter().any(may_start);
        let attempts = self.targets.iter().flat_map(|target| &target.attempts);
        let running = attempts.map(|attempt| attempt.batch).collect::<HashSet<_>>();
        let mut ended = Vec::new();
        for (&id, batch) in &self.batches {
            let is_useless = !batch.started && now >= batch.deadline;
            let is_expired = now >= batch.caller_deadline || is_useless;
            if !has_targets && !running.contains(&id) {
                ended.push((id, if batch.started { Outcome::Interrupted } else { Outcome::Moved }));
            } else if is_expired && batch.started {
                ended.push((id, Outcome::Expired));
            } else if is_expired {
                ended.push((id, self.overload(now)));
            }
        }
        for (id, outcome) in ended {
            self.end(id, outcome, actions);
        }
    }
}

/// Whether a target has the label that a step requires, if any.
pub(super) fn has_label(target: &Target, step: &Step) -> bool {
    step.required_label.as_ref().is_none_or(|label| target.listing.labels.contains(label))
}

/// A duration multiplied by a factor.
pub(super) fn scaled(time: Millis, factor: f64) -> Millis {
    Millis((time.0 as f64 * factor) as u64)
}
