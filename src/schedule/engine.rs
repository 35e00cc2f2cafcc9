//! The engine: takes events, keeps the state of one VM's decisions, and gives out actions.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use crate::batch::{Outcome, Refusal, Spec, Step};
use crate::clock::Millis;

use super::answers::Answers;
use super::attempts::Attempts;
use super::batch::{Job, Times};
use super::capacity::Leases;
use super::event::{Account, Action, BatchId, CallId, Event, Listing, Load, Loss, Rules};
use super::fence::Fence;
use super::inflow::Inflow;
use super::order::Order;
use super::queue::{Class, Queue, Rank, time_for};
use super::speed::Speeds;
use super::target::{Phase, Target};

/// The time between two looks at what waits and runs.
const TICK: Millis = Millis(50);

/// The shortest time after which a refused caller is told to come back.
const RETRY_AFTER_MIN: Millis = Millis(1000);

/// What a target's clock may lose on this VM's, in percent.
const CLOCK_LOSS_PERCENT: u64 = 2;

/// What is added to a lease before its end counts as certain: the target's own rounding and timers.
const LAPSE_SLACK: Millis = Millis(60);

/// The decisions of one VM about the targets that it owns.
#[derive(Debug)]
pub struct Engine {
    pub(super) rules: Rules,
    token: Fence,
    pub(super) targets: Vec<Target>,
    by_id: HashMap<Arc<str>, usize>,
    pub(super) jobs: BTreeMap<BatchId, Job>,
    attempts: Attempts,
    pub(super) queue: Queue,
    /// What can be on time, of all that comes.
    pub(super) inflow: Inflow,
    pub(super) speeds: Speeds,
    pub(super) orders: HashMap<CallId, Order>,
    /// How long targets take to answer starts.
    pub(super) answers: Answers,
    next_order: CallId,
    /// Counts events, to tell what was sent before what.
    pub(super) turn: u64,
    draining: bool,
    pub(super) leases: Leases,
    /// Whether anything has changed that may let a waiting task start.
    pub(super) changed: bool,
}

impl Engine {
    /// An engine without targets. The low bits of `process` name it to the targets.
    pub fn new(process: u128, rules: Rules) -> Self {
        Self {
            rules,
            token: Fence::new(process),
            targets: Vec::new(),
            by_id: HashMap::new(),
            jobs: BTreeMap::new(),
            attempts: Attempts::default(),
            queue: Queue::default(),
            inflow: Inflow::default(),
            speeds: Speeds::default(),
            orders: HashMap::new(),
            answers: Answers::default(),
            next_order: 1,
            turn: 0,
            draining: false,
            leases: Leases::default(),
            changed: false,
        }
    }

    /// Takes one event at the time `now` and appends what is to be done to `actions`.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        self.turn += 1;
        match event {
            Event::Submit { batch, spec, age, time_left: patience } => {
                self.submit(now, batch, spec, age, patience, actions);
            }
            Event::Abandon { batch: job } => {
                self.abandon(job, actions);
            }
            Event::Targets(listings) => self.list(now, listings, actions),
            Event::Acquire { target, round } => self.take(now, &target, round, actions),
            Event::CancelAcquire { target } => self.stop_taking(&target, actions),
            Event::Reply { call, reply } => self.answer(now, call, reply, actions),
            Event::Overdue { call: order } => self.overdue(now, order, actions),
            Event::Rules(rules) => self.rules = rules,
            Event::Drain => self.drain(now, actions),
            Event::Tick => self.tick(now, actions),
        }
        if self.changed {
            self.changed = false;
            self.place(now, actions);
        }
    }

    /// When the engine wants an [`Event::Tick`] at the latest.
    pub fn next_wakeup(&self, now: Millis) -> Option<Millis> {
        let busy = !self.jobs.is_empty()
            || self.targets.iter().any(|target| {
                target.phase == Phase::Taking || target.unsure || !target.runs.is_empty()
            });
        busy.then_some(now + TICK)
    }

    /// How busy the targets are.
    pub fn load(&self, now: Millis) -> Load {
        let sound = self.targets.iter().filter(|target| target.is_sound(now));
        let (total, free) = sound.fold((0, 0), |(total, free), target| {
            (total + target.listing.capacity.cpu, free + target.free().cpu)
        });
        let backlog = time_for(self.queue.backlog(), total);
        Load { total_cpu: total, free_cpu: free, backlog }
    }

    /// The ids of the targets that are owned.
    pub fn owned(&self) -> impl Iterator<Item = &Arc<str>> {
        let owned = self.targets.iter().filter(|target| target.phase == Phase::Owned);
        owned.map(|target| &target.listing.id)
    }

    /// The ids of the targets that are being taken over.
    pub fn acquiring(&self) -> Vec<Arc<str>> {
        let taking = self.targets.iter().filter(|target| target.phase == Phase::Taking);
        taking.map(|target| Arc::clone(&target.listing.id)).collect()
    }

    /// The highest round of any token that was sent.
    pub fn round(&self) -> u64 {
        let owned = self.targets.iter().filter(|target| target.phase != Phase::Free);
        owned.map(|target| target.fence.round).max().unwrap_or_default()
    }

    /// How many batches have no end yet.
    pub fn unfinished(&self) -> usize {
        self.jobs.len()
    }

    /// How many batches have not started.
    pub fn waiting(&self) -> usize {
        self.jobs.values().filter(|job| !job.started).count()
    }

    /// What became of the leases on the targets.
    pub const fn leases(&self) -> Leases {
        self.leases
    }

    /// How many batches of `queue` have not started.
    pub fn pending(&self, queue: &str) -> usize {
        self.jobs.values().filter(|job| !job.started && &*job.spec.queue == queue).count()
    }

    pub(super) fn number_order(&mut self, order: Order) -> CallId {
        let number = self.next_order;
        self.next_order += 1;
        self.orders.insert(number, order);
        number
    }

    /// When a lease that is granted or renewed now has surely lapsed.
    pub(super) fn lapse(&self, now: Millis) -> Millis {
        let lease = self.rules.lease_max;
        now + lease + Millis(lease.0 * CLOCK_LOSS_PERCENT / 100) + LAPSE_SLACK
    }

    /// How long a task of a step is expected to last where the slowness is 1.
    pub(super) fn expected(&self, spec: &Spec, step: &Step) -> Millis {
        self.speeds.expected(&spec.queue, step.estimate)
    }

    fn submit(
        &mut self,
        now: Millis,
        id: BatchId,
        spec: Arc<Spec>,
        age: Millis,
        patience: Millis,
        actions: &mut Vec<Action>,
    ) {
        let chain = spec.critical_path(|step| self.expected(&spec, step));
        let times = Times { sent: now - age, came: now, leaves: now + patience, chain };
        let mut job = Job::new(spec, times);
        job.start_above(self.attempts.highest(&job.spec.id));
        job.awaits_remains = self.has_remains(id, &job.spec.id);
        if self.draining || !self.could_run(&job) {
            let account = job.account;
            actions.push(Action::End { batch: id, outcome: Outcome::Moved, account });
            return;
        }
        job.account.backlog = self.load(now).backlog;
        if let Some(outcome) = self.refusal(now, id, &mut job) {
            let account = job.account;
            actions.push(Action::End { batch: id, outcome, account });
            return;
        }
        if !job.demoted {
            let tasks = 0..job.tasks.len();
            self.inflow.add(now, self.work(&job, tasks));
        }
        self.jobs.insert(id, job);
        self.enqueue(now, id);
        self.changed = true;
    }

    /// The work of some tasks of a batch, in thousandths of a core times milliseconds.
    fn work(&self, job: &Job, tasks: impl IntoIterator<Item = usize>) -> u64 {
        let work = tasks.into_iter().map(|task| {
            let step = &job.spec.steps[job.tasks[task].step];
            step.need.cpu.max(1) * self.expected(&job.spec, step).0.max(1)
        });
        work.sum()
    }

    /// Refuses a batch that can't end in time behind what waits already.
    fn refusal(&self, now: Millis, id: BatchId, job: &mut Job) -> Option<Outcome> {
        let factor = self.best_factor(now, job)?;
        let class = Class::of(job, now + scaled(job.chain, factor));
        let end = self.expected_end(now, id, job, class, factor);
        let class = class.max(Class::of(job, end));
        let end = self.expected_end(now, id, job, class, factor);
        job.demoted = class != Class::Timely;
        (end > job.useful_until).then(|| self.overload(now))
    }

    /// When a batch of a class would end behind what waits ahead of it.
    fn expected_end(
        &self,
        now: Millis,
        id: BatchId,
        job: &Job,
        class: Class,
        factor: f64,
    ) -> Millis {
        let ahead = self.queue.ahead_of(&Rank::of(id, job, class));
        let wait = time_for(ahead, self.load(now).total_cpu);
        now + wait + scaled(job.chain, factor)
    }

    pub(super) fn overload(&self, now: Millis) -> Outcome {
        let retry_after = self.load(now).backlog.max(RETRY_AFTER_MIN);
        Outcome::Refused { reason: Refusal::Overload, retry_after }
    }

    /// Whether the targets that are owned could ever run all tasks of a batch.
    fn could_run(&self, job: &Job) -> bool {
        job.spec.steps.iter().all(|step| {
            self.targets.iter().any(|target| {
                target.phase == Phase::Owned
                    && target.listing.service == job.spec.service
                    && target.listing.capacity.fits(&step.need)
                    && has_label(target, step)
            })
        })
    }

    /// Whether tasks of another submission under the same id may still run here.
    pub(super) fn has_remains(&self, own: BatchId, id: &str) -> bool {
        self.targets.iter().any(|target| {
            target.runs.iter().any(|run| (run.orphan || run.job != own) && &*run.name.job == id)
                || target.foreign.iter().any(|(name, _)| &*name.job == id)
        })
    }

    /// Puts a batch where it belongs among those that wait.
    pub(super) fn enqueue(&mut self, now: Millis, id: BatchId) {
        let Some(job) = self.jobs.get(&id) else { return };
        let factor = self.best_factor(now, job).unwrap_or(1.0);
        let class = Class::of(job, now + scaled(job.chain, factor));
        let work = self.work(job, job.ready.iter().copied());
        self.queue.put(Rank::of(id, job, class), work);
    }

    /// Forgets a batch and stops what still runs of it; gives what became of it.
    fn abandon(&mut self, id: BatchId, actions: &mut Vec<Action>) -> Option<Account> {
        let job = self.jobs.remove(&id)?;
        if job.started {
            self.attempts.remember(&job.spec.id, job.highest_attempt());
        }
        self.queue.remove(id);
        self.orphan(id, actions);
        Some(job.account)
    }

    /// Ends a batch and stops what still runs of it.
    pub(super) fn end(&mut self, id: BatchId, outcome: Outcome, actions: &mut Vec<Action>) {
        if let Some(account) = self.abandon(id, actions) {
            actions.push(Action::End { batch: id, outcome, account });
        }
    }

    fn list(&mut self, now: Millis, listings: Vec<Listing>, actions: &mut Vec<Action>) {
        let listed = listings.iter().map(|listing| Arc::clone(&listing.id)).collect::<HashSet<_>>();
        for target in &mut self.targets {
            if !listed.contains(&target.listing.id) {
                target.unlisted_since.get_or_insert(now);
            }
        }
        for listing in listings {
            if let Some(&number) = self.by_id.get(&listing.id) {
                self.relist(now, number, listing, actions);
            } else {
                self.by_id.insert(Arc::clone(&listing.id), self.targets.len());
                self.targets.push(Target::new(listing, self.token));
            }
        }
        self.changed = true;
    }

    fn relist(&mut self, now: Millis, number: usize, listing: Listing, actions: &mut Vec<Action>) {
        let target = &mut self.targets[number];
        target.unlisted_since = None;
        let born_again = listing.incarnation > target.life;
        let life = listing.incarnation;
        target.listing = listing;
        if born_again {
            self.born_again(now, number, life, actions);
        }
    }

    /// Another life of the target has begun: nothing of before runs any longer.
    pub(super) fn born_again(
        &mut self,
        now: Millis,
        number: usize,
        life: u64,
        actions: &mut Vec<Action>,
    ) {
        let target = &mut self.targets[number];
        target.life = life;
        target.seen = 0;
        target.waiting_hold = None;
        target.clock = None;
        target.foreign.clear();
        target.health = super::target::Health::default();
        target.track = super::speed::Track::default();
        target.slowness = self.speeds.slowness(&target.track, target.kind());
        target.unsure = true;
        self.drop_runs(now, number);
        self.tend(now, number, actions);
    }

    fn take(&mut self, now: Millis, id: &str, round: u64, actions: &mut Vec<Action>) {
        let Some(&number) = self.by_id.get(id) else { return };
        let target = &mut self.targets[number];
        if target.phase != Phase::Free || self.draining {
            return;
        }
        target.phase = Phase::Taking;
        target.fence = target.fence.at(round.max(target.fence.round) + 1);
        target.hold_due = now;
        target.unreached = false;
        self.tend(now, number, actions);
    }

    fn stop_taking(&mut self, id: &str, actions: &mut Vec<Action>) {
        let Some(&number) = self.by_id.get(id) else { return };
        if self.targets[number].phase == Phase::Taking {
            self.leave(number, Loss::Released, actions);
        }
    }

    fn drain(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.draining = true;
        let waiting = self.jobs.iter().filter(|(_, job)| !job.started);
        for id in waiting.map(|(&id, _)| id).collect::<Vec<_>>() {
            self.end(id, Outcome::Moved, actions);
        }
        self.tick(now, actions);
    }

    fn tick(&mut self, now: Millis, actions: &mut Vec<Action>) {
        for number in 0..self.targets.len() {
            let target = &mut self.targets[number];
            target.slowness = self.speeds.slowness(&target.track, target.kind());
            self.lapse_runs(now, number);
            self.drop_unlisted(now, number, actions);
            self.release_idle(number, actions);
            self.look_for_ends(now, number, actions);
            self.tend(now, number, actions);
        }
        self.expire(now, actions);
        self.changed |= !self.queue.is_empty();
    }

    /// Ends batches whose time is up, and those that have no target left.
    fn expire(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let has_targets = self.targets.iter().any(|target| target.phase != Phase::Free);
        let running = self.targets.iter().flat_map(|target| &target.runs);
        let running = running.map(|run| run.job).collect::<HashSet<_>>();
        let mut over = Vec::new();
        for (&id, job) in &self.jobs {
            let is_useless = !job.started && now >= job.useful_until;
            let is_out = now >= job.leaves || is_useless;
            if !has_targets && !running.contains(&id) {
                over.push((id, if job.started { Outcome::Interrupted } else { Outcome::Moved }));
            } else if is_out && job.started {
                over.push((id, Outcome::Expired));
            } else if is_out {
                over.push((id, self.overload(now)));
            }
        }
        for (id, outcome) in over {
            self.end(id, outcome, actions);
        }
    }

    /// Gives up a target that has been gone from the list for too long.
    fn drop_unlisted(&mut self, now: Millis, number: usize, actions: &mut Vec<Action>) {
        let target = &self.targets[number];
        let Some(since) = target.unlisted_since else { return };
        let is_gone = now - since > self.rules.unlisted_max && target.runs.is_empty();
        if is_gone && target.phase != Phase::Free {
            self.leave(number, Loss::Released, actions);
        }
    }

    /// Releases an idle target of a VM that is being stopped, unless a batch that has started needs it.
    fn release_idle(&mut self, number: usize, actions: &mut Vec<Action>) {
        let target = &self.targets[number];
        let is_idle = target.runs.is_empty() && target.phase != Phase::Free;
        if self.draining && is_idle && self.queue.is_empty() {
            self.leave(number, Loss::Released, actions);
        }
    }

    /// Stops being the owner of a target. What runs there lapses unless the next owner stops it first.
    pub(super) fn leave(&mut self, number: usize, loss: Loss, actions: &mut Vec<Action>) {
        let target = &mut self.targets[number];
        target.phase = Phase::Free;
        target.waiting_hold = None;
        target.quick_hold = None;
        target.unsure = false;
        target.foreign.clear();
        actions.push(Action::Lost { target: Arc::clone(&target.listing.id), loss });
    }
}

/// Whether a target has the label that a step asks for, if any.
pub(super) fn has_label(target: &Target, step: &Step) -> bool {
    step.required_label.as_ref().is_none_or(|label| target.listing.labels.contains(label))
}

/// A time stretched by a factor.
pub(super) fn scaled(time: Millis, factor: f64) -> Millis {
    Millis((time.0 as f64 * factor) as u64)
}
