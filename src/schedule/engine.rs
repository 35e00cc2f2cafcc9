//! The engine: takes events, keeps the state that one VM's decisions depend on, and returns actions.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use crate::batch::{Outcome, Refusal, Spec, Step};
use crate::clock::Millis;

use super::arrivals::Arrivals;
use super::batch::{Batch, Times};
use super::call::Call;
use super::capacity::Leases;
use super::event::{Account, Action, BatchId, CallId, Event, Listing, Load, Loss, Rules};
use super::fence::Fence;
use super::history::History;
use super::latency::Latency;
use super::queue::{Class, Queue, Rank, Work, time_for};
use super::speed::{Mean, Speeds};
use super::target::{Attempt, Health, Phase, Target};

/// The time between ticks while anything waits or runs.
const TICK: Millis = Millis(50);

/// The shortest time after which a refused caller is told to retry.
const RETRY_AFTER_MIN: Millis = Millis(1000);

/// The longest time after which a refused caller is told to retry, whatever the waiting batches declare.
const RETRY_AFTER_MAX: Millis = Millis::from_secs(60);

/// How much slower than this VM's clock a target's clock may run, in percent.
const CLOCK_LOSS_PERCENT: u64 = 2;

/// The margin after which a lease has surely lapsed, for the target's own rounding and timers.
const LAPSE_SLACK: Millis = Millis(60);

/// The decisions of one VM about the targets that it owns.
#[derive(Debug)]
pub struct Engine {
    pub(super) rules: Rules,
    token: Fence,
    pub(super) targets: Vec<Target>,
    index_by_id: HashMap<Arc<str>, usize>,
    pub(super) batches: BTreeMap<BatchId, Batch>,
    history: History,
    pub(super) queue: Queue,
    /// The arrival rate of batches that can meet their objective.
    pub(super) arrivals: Arrivals,
    pub(super) speeds: Speeds,
    pub(super) calls: HashMap<CallId, Call>,
    /// The response time of targets to start calls.
    pub(super) start_latency: Latency,
    next_call: CallId,
    /// The event sequence, which tells what was sent before what.
    pub(super) sequence: u64,
    draining: bool,
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
            batches: BTreeMap::new(),
            history: History::default(),
            queue: Queue::default(),
            arrivals: Arrivals::default(),
            speeds: Speeds::default(),
            calls: HashMap::new(),
            start_latency: Latency::default(),
            next_call: 1,
            sequence: 0,
            draining: false,
            leases: Leases::default(),
            needs_placement: false,
        }
    }

    /// Handles one event at the time `now`, and appends the actions to take to `actions`.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        self.sequence += 1;
        match event {
            Event::Submit { batch, spec, age, time_left } => {
                self.submit(now, batch, spec, age, time_left, actions);
            }
            Event::Abandon { batch } => {
                self.abandon(batch, actions);
            }
            Event::Targets(listings) => self.update_targets(now, listings, actions),
            Event::Acquire { target, round } => self.acquire(now, &target, round, actions),
            Event::CancelAcquire { target } => self.cancel_acquire(&target, actions),
            Event::Reply { call, reply } => self.handle_reply(now, call, reply, actions),
            Event::Overdue { call } => self.handle_overdue(now, call, actions),
            Event::Rules(rules) => self.rules = rules,
            Event::Drain => self.drain(now, actions),
            Event::Tick => self.tick(now, actions),
        }
        if self.needs_placement {
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

    fn submit(
        &mut self,
        now: Millis,
        id: BatchId,
        spec: Arc<Spec>,
        age: Millis,
        time_left: Millis,
        actions: &mut Vec<Action>,
    ) {
        let times = Times {
            sent_at: now - age,
            received_at: now,
            caller_deadline: now + time_left,
            critical_path: spec.critical_path(|step| self.expected(&spec, step)),
        };
        let mut batch = Batch::new(spec, times);
        batch.number_above(self.history.highest(&batch.spec.id));
        batch.awaits_duplicate = self.has_duplicate(id, &batch.spec.id);
        if self.draining || !self.could_run(&batch) {
            let account = batch.account;
            actions.push(Action::End { batch: id, outcome: Outcome::Moved, account });
            return;
        }
        batch.account.backlog = self.load(now).backlog;
        if let Some(outcome) = self.refusal(now, id, &mut batch) {
            let account = batch.account;
            actions.push(Action::End { batch: id, outcome, account });
            return;
        }
        if !batch.demoted {
            let tasks = 0..batch.tasks.len();
            self.arrivals.add(now, self.work(&batch, tasks));
        }
        self.batches.insert(id, batch);
        self.enqueue(now, id);
        self.needs_placement = true;
    }

    /// The work of the given tasks of a batch.
    fn work(&self, batch: &Batch, tasks: impl IntoIterator<Item = usize>) -> Work {
        let work = tasks.into_iter().map(|task| {
            let step = &batch.spec.steps[batch.tasks[task].step];
            let duration = self.expected(&batch.spec, step);
            Work::from(step.need.cpu.max(1)) * Work::from(duration.0.max(1))
        });
        work.sum()
    }

    /// The refusal of a batch that can't end by its deadline behind the batches that wait already. Demotes the batch
    /// if it can't meet its objective.
    fn refusal(&self, now: Millis, id: BatchId, batch: &mut Batch) -> Option<Outcome> {
        let factor = self.best_factor(now, batch)?;
        let class = Class::of(batch, now + scaled(batch.critical_path, factor));
        let end = self.expected_end(now, id, batch, class, factor);
        let class = class.max(Class::of(batch, end));
        let end = self.expected_end(now, id, batch, class, factor);
        batch.demoted = class != Class::Timely;
        (end > batch.deadline).then(|| self.overload(now))
    }

    /// When a batch of a class would end behind the batches ahead of it.
    fn expected_end(
        &self,
        now: Millis,
        id: BatchId,
        batch: &Batch,
        class: Class,
        factor: f64,
    ) -> Millis {
        let ahead = self.queue.ahead_of(&Rank::of(id, batch, class));
        let wait = time_for(ahead, self.load(now).total_cpu);
        now + wait + scaled(batch.critical_path, factor)
    }

    pub(super) fn overload(&self, now: Millis) -> Outcome {
        let retry_after = self.load(now).backlog.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX);
        Outcome::Refused { reason: Refusal::Overload, retry_after }
    }

    /// Whether the owned targets could run all tasks of a batch if they were idle.
    fn could_run(&self, batch: &Batch) -> bool {
        batch.spec.steps.iter().all(|step| {
            self.targets.iter().any(|target| {
                target.phase == Phase::Owned
                    && target.listing.service == batch.spec.service
                    && target.listing.capacity.fits(&step.need)
                    && has_label(target, step)
            })
        })
    }

    /// Whether attempts of another submission under the same caller's id may still run on any target.
    pub(super) fn has_duplicate(&self, own: BatchId, id: &str) -> bool {
        self.targets.iter().any(|target| {
            let is_duplicate = |attempt: &Attempt| {
                (attempt.orphan || attempt.batch != own) && &*attempt.name.job == id
            };
            target.attempts.iter().any(is_duplicate)
                || target.foreign.iter().any(|(name, _)| &*name.job == id)
        })
    }

    /// Updates the rank of a batch in the queue and the work of its ready tasks.
    pub(super) fn enqueue(&mut self, now: Millis, id: BatchId) {
        let Some(batch) = self.batches.get(&id) else { return };
        let factor = self.best_factor(now, batch).unwrap_or(1.0);
        let class = Class::of(batch, now + scaled(batch.critical_path, factor));
        let work = self.work(batch, batch.ready.iter().copied());
        self.queue.put(Rank::of(id, batch, class), work);
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

    fn update_targets(&mut self, now: Millis, listings: Vec<Listing>, actions: &mut Vec<Action>) {
        let listed = listings.iter().map(|listing| Arc::clone(&listing.id)).collect::<HashSet<_>>();
        for target in &mut self.targets {
            if !listed.contains(&target.listing.id) {
                target.unlisted_since.get_or_insert(now);
            }
        }
        for listing in listings {
            if let Some(&index) = self.index_by_id.get(&listing.id) {
                self.update_listing(now, index, listing, actions);
            } else {
                self.index_by_id.insert(Arc::clone(&listing.id), self.targets.len());
                self.targets.push(Target::new(listing, self.token));
            }
        }
        self.needs_placement = true;
    }

    fn update_listing(
        &mut self,
        now: Millis,
        index: usize,
        listing: Listing,
        actions: &mut Vec<Action>,
    ) {
        let target = &mut self.targets[index];
        target.unlisted_since = None;
        let may_have_restarted = listing.incarnation > target.incarnation;
        target.listing = listing;
        // Another writer may have left the entry, so only the target's own report shows that its attempts are gone.
        if may_have_restarted && target.phase != Phase::Unowned {
            target.unsynced = true;
            target.next_poll_at = now;
            self.reconcile(now, index, actions);
        }
    }

    /// Resets what is known of a target whose process was restarted: no earlier attempt runs any longer.
    pub(super) fn handle_restart(
        &mut self,
        now: Millis,
        index: usize,
        incarnation: u64,
        actions: &mut Vec<Action>,
    ) {
        let target = &mut self.targets[index];
        target.incarnation = incarnation;
        target.acknowledged = 0;
        target.long_poll = None;
        target.clock = None;
        target.foreign.clear();
        target.health = Health::default();
        target.speed = Mean::default();
        target.slowness = self.speeds.slowness(&target.speed, target.kind());
        target.unsynced = true;
        self.drop_attempts(now, index);
        self.reconcile(now, index, actions);
    }

    fn acquire(&mut self, now: Millis, id: &str, round: u64, actions: &mut Vec<Action>) {
        let Some(&index) = self.index_by_id.get(id) else { return };
        let target = &mut self.targets[index];
        if target.phase != Phase::Unowned || self.draining {
            return;
        }
        target.phase = Phase::Acquiring;
        target.fence = target.fence.at(round.max(target.fence.round) + 1);
        target.next_poll_at = now;
        target.unreachable = false;
        self.reconcile(now, index, actions);
    }

    fn cancel_acquire(&mut self, id: &str, actions: &mut Vec<Action>) {
        let Some(&index) = self.index_by_id.get(id) else { return };
        if self.targets[index].phase == Phase::Acquiring {
            self.lose(index, Loss::Released, actions);
        }
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
            let target = &mut self.targets[index];
            target.slowness = self.speeds.slowness(&target.speed, target.kind());
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
    fn expire(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let has_targets = self.targets.iter().any(|target| target.phase != Phase::Unowned);
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

    /// Releases a target that the store has not listed for too long.
    fn release_unlisted(&mut self, now: Millis, index: usize, actions: &mut Vec<Action>) {
        let target = &self.targets[index];
        let Some(since) = target.unlisted_since else { return };
        let is_gone = now - since > self.rules.unlisted_max && target.attempts.is_empty();
        if is_gone && target.phase != Phase::Unowned {
            self.lose(index, Loss::Released, actions);
        }
    }

    /// Releases an idle target if this VM is draining, unless a started batch waits to use it.
    fn release_idle(&mut self, index: usize, actions: &mut Vec<Action>) {
        let target = &self.targets[index];
        let is_idle = target.attempts.is_empty() && target.phase != Phase::Unowned;
        if self.draining && is_idle && self.queue.is_empty() {
            self.lose(index, Loss::Released, actions);
        }
    }

    /// Ends the ownership of a target. Attempts that still run there lapse, unless the next owner stops them first.
    pub(super) fn lose(&mut self, index: usize, loss: Loss, actions: &mut Vec<Action>) {
        let target = &mut self.targets[index];
        target.phase = Phase::Unowned;
        target.long_poll = None;
        target.short_poll = None;
        target.unsynced = false;
        target.foreign.clear();
        actions.push(Action::Lost { target: Arc::clone(&target.listing.id), loss });
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
