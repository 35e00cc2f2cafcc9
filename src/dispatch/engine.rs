//! The engine: takes events, keeps the state of one VM's decisions, and gives out actions.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use fastrand::Rng;

use crate::clock::Millis;
use crate::config::{Document, SlotMode};
use crate::job::{self, Incarnation, Job, Outcome};

use super::adopted;
use super::budget::Budget;
use super::event::{Action, AttemptId, Counts, Destination, Event, Member};
use super::fleet::{CLEARLY_FASTER, Fleet};
use super::over::WINDOW_FIRST;
use super::pool::SUSPECT;
use super::queue::{Entry, Queue, Source};
use super::service::Services;
use super::slots::Slots;
use super::timer::{Timer, Timers};

/// How often speeds are centred and unused targets looked at.
const REVIEW_EVERY: Millis = Millis::from_secs(1);

/// A pause between events of which a review was due in the meantime: the process was stopped or
/// starved.
const FREEZE_MIN: Millis = Millis(2500);

/// The decisions of one VM.
#[derive(Debug)]
pub struct Engine {
    pub(super) own: Incarnation,
    /// The text of `own`, which starts the name of every attempt.
    pub(super) own_text: String,
    pub(super) domain: String,
    pub(super) random: Rng,
    pub(super) document: Arc<Document>,
    leaving: Arc<BTreeSet<String>>,
    pub(super) services: Services,
    pub(super) fleet: Fleet,
    pub(super) queues: Vec<Queue>,
    /// By pool, until when its head waits for a slot that is faster than the free ones.
    pub(super) held: Vec<Option<Millis>>,
    pub(super) jobs: BTreeMap<job::Id, JobState>,
    pub(super) adopted: adopted::Table,
    pub(super) open: BTreeMap<AttemptId, AttemptState>,
    pub(super) slots: Slots,
    /// VMs of other domains.
    pub(super) others: BTreeMap<Incarnation, Other>,
    pub(super) retries: Budget,
    pub(super) timers: Timers,
    pub(super) next_start: AttemptId,
    pub(super) counts: Counts,
    /// When the last event came.
    last_event: Millis,
    /// Since when the process has run without standing still.
    pub(super) awake_since: Millis,
}

/// A job of this VM.
#[derive(Debug)]
pub(super) struct JobState {
    pub job: Job,
    pub service: usize,
    pub team: usize,
    /// The targets on which its tasks failed.
    pub failed_on: Vec<usize>,
}

/// An attempt without an end.
#[derive(Debug)]
pub(super) struct AttemptState {
    pub source: Source,
    pub index: usize,
    pub service: usize,
    pub site: Site,
    pub started: Millis,
    pub declared: Option<Millis>,
    /// When a spare copy is due.
    pub spare_at: Option<Millis>,
    /// Whether the target was ejected and this is its trial.
    pub trial: bool,
}

/// Where an attempt is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Site {
    Target(usize),
    Peer(Incarnation),
}

/// A VM of another domain that can be reached.
#[derive(Debug)]
pub(super) struct Other {
    pub domain: String,
    /// Tasks that it was handed and that have no end.
    pub open: u32,
    pub blocked_until: Millis,
    /// Refusals in a row.
    pub refusals: u32,
    /// The most tasks without an end that it is handed: grows with answers, halves with refusals.
    pub window: u32,
}

impl Engine {
    /// An engine without targets, for the VM `own` in `domain`. All its chance comes from `seed`.
    pub fn new(own: Incarnation, domain: &str, seed: u64) -> Self {
        Self {
            own,
            own_text: own.to_string(),
            domain: domain.to_owned(),
            random: Rng::with_seed(seed),
            document: Arc::default(),
            leaving: Arc::default(),
            services: Services::default(),
            fleet: Fleet::default(),
            queues: Vec::new(),
            held: Vec::new(),
            jobs: BTreeMap::new(),
            adopted: adopted::Table::default(),
            open: BTreeMap::new(),
            slots: Slots::new(own),
            others: BTreeMap::new(),
            retries: Budget::default(),
            timers: Timers::default(),
            next_start: 1,
            counts: Counts::default(),
            last_event: Millis::ZERO,
            awake_since: Millis::ZERO,
        }
    }

    /// Takes one event at the time `now` and appends what is to be done to `actions`.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        self.note_freeze(now);
        self.run_timers(now, actions);
        match event {
            Event::Configure(document) => self.configure(now, document),
            Event::Leaving(leaving) => {
                self.leaving = leaving;
                self.configure(now, Arc::clone(&self.document));
            }
            Event::Members(members) => self.members(now, &members),
            Event::Submit { job, spec } => self.submit(now, job, spec, actions),
            Event::Cancel { job } => self.change(job, actions, Job::cancel),
            Event::Report { attempt, report } => self.report(now, attempt, report, actions),
            Event::Delegate { id, delegation } => self.adopt(now, id, delegation, actions),
            Event::Fate { id } => self.fate(now, id, actions),
            Event::Slots { from, message } => {
                let mut changed = Vec::new();
                self.slots.receive(now, from, message, &mut self.fleet, &mut changed);
                self.refresh_all(now, &changed);
            }
            Event::Tick => {}
        }
        self.run_pools(now, actions);
        self.share_slots(now, actions);
    }

    /// Notes that the process has stood still, when an event comes long after the review that was
    /// due.
    fn note_freeze(&mut self, now: Millis) {
        let had_review = self.timers.next().is_some();
        if had_review && now - self.last_event > FREEZE_MIN {
            self.awake_since = now;
        }
        self.last_event = now;
    }

    /// When the engine wants a [`Event::Tick`] at the latest.
    pub fn next_wakeup(&self) -> Option<Millis> {
        self.timers.next()
    }

    /// What happened so far.
    pub fn counts(&self) -> Counts {
        let ejected = self.fleet.targets.iter().filter(|target| target.health.is_ejected());
        Counts {
            jobs: self.jobs.len() as u64,
            waiting: self.queues.iter().map(|queue| queue.len() as u64).sum(),
            open: self.open.len() as u64,
            ejected: ejected.count() as u64,
            ..self.counts
        }
    }

    fn configure(&mut self, now: Millis, document: Arc<Document>) {
        self.document = document;
        self.fleet.configure(&self.document, &self.domain, &self.leaving);
        let moved = self.services.configure(&self.document, &self.leaving, &mut self.fleet);
        self.queues.resize_with(self.fleet.pools.len(), Queue::default);
        self.held.resize(self.fleet.pools.len(), None);
        self.slots.limit_traffic(self.document.limits.slots.traffic_max);
        self.slots.recount_loans(&mut self.fleet);
        self.settle_homes(now);
        if moved {
            self.queue_anew();
        }
        self.timers.add(now + REVIEW_EVERY, Timer::Review);
    }

    fn members(&mut self, now: Millis, members: &[Member]) {
        let usable = members.iter().filter(|vm| vm.reachable && vm.incarnation != self.own);
        let (here, there) = usable.partition::<Vec<_>, _>(|vm| vm.domain == self.domain);
        let here = here.iter().map(|vm| vm.incarnation).collect();
        let changed = self.slots.set_peers(&here, &mut self.fleet);
        self.slots.forget(&members.iter().map(|vm| vm.incarnation).collect());
        let there = there.iter().map(|vm| (vm.incarnation, vm.domain.as_str()));
        let there = there.collect::<BTreeMap<_, _>>();
        self.others.retain(|id, _| there.contains_key(id));
        for (id, domain) in there {
            self.others.entry(id).or_insert_with(|| Other::new(domain));
        }
        if changed {
            self.settle_homes(now);
        }
    }

    /// Counts every target's home slots anew.
    fn settle_homes(&mut self, now: Millis) {
        for number in 0..self.fleet.targets.len() {
            let target = &mut self.fleet.targets[number];
            target.home = self.slots.home_slots(target.hash, target.slots);
            self.fleet.refresh(now, number);
        }
    }

    pub(super) fn refresh_all(&mut self, now: Millis, targets: &[usize]) {
        for &target in targets {
            self.fleet.refresh(now, target);
        }
    }

    /// Moves what waits to the pools that the services use now.
    fn queue_anew(&mut self) {
        for pool in 0..self.queues.len() {
            for source in self.queues[pool].list() {
                let tasks = self.queues[pool].remove(source);
                let Some((pool, entry)) = self.entry(source, None) else { continue };
                self.queues[pool].push(&entry, tasks.into_iter());
            }
        }
    }

    /// How tasks of a source are to be queued, and in which pool.
    pub(super) fn entry(&self, source: Source, declared: Option<Millis>) -> Option<(usize, Entry)> {
        let (service, team) = match source {
            Source::Job(id) => {
                let flight = self.jobs.get(&id)?;
                (flight.service, flight.team)
            }
            Source::Delegated(adopted) => (self.adopted.service(adopted)?, 0),
        };
        let service = &self.services.list[service];
        let size = super::estimate::time(service.size.mean(declared));
        let share = self.services.share(team);
        let order = self.document.limits.queue.order;
        Some((service.pool, Entry { source, team, share, size, order }))
    }

    /// Changes a job and gives out its outcome if it has just got one.
    pub(super) fn change(
        &mut self,
        id: job::Id,
        actions: &mut Vec<Action>,
        change: impl FnOnce(&mut Job),
    ) {
        let Some(flight) = self.jobs.get_mut(&id) else { return };
        let had_ended = flight.job.outcome().is_some();
        change(&mut flight.job);
        let Some(outcome) = flight.job.outcome() else { return };
        if !had_ended {
            actions.push(Action::End { job: id, outcome: outcome.clone() });
            if matches!(outcome, Outcome::Failed(_)) {
                self.counts.wasted += flight.job.attempts();
            }
            self.timers.remove(flight.job.deadline(), Timer::Deadline(id));
            let pool = self.services.list[flight.service].pool;
            self.queues[pool].remove(Source::Job(id));
        }
        if !self.jobs[&id].job.is_open() {
            self.jobs.remove(&id);
        }
    }

    fn run_timers(&mut self, now: Millis, actions: &mut Vec<Action>) {
        while let Some(timer) = self.timers.pop(now) {
            match timer {
                Timer::Deadline(id) => self.expire(now, id, actions),
                Timer::Retry(id, index) => self.retry(id, index),
                Timer::Target(number) => self.fleet.refresh(now, number),
                Timer::Hedge(start) => self.spare(now, start, actions),
                Timer::DelegatedDeadline(adopted) => self.adopted_expired(now, adopted, actions),
                Timer::ForgetDelegated(adopted) => self.adopted.drop_ended(adopted),
                Timer::Review => self.review(now),
                Timer::Pools | Timer::Slots => {}
            }
        }
    }

    /// Centres the speeds, and picks targets that had no task for long for one.
    fn review(&mut self, now: Millis) {
        self.timers.add(now + REVIEW_EVERY, Timer::Review);
        self.slots.confirm(now);
        let targets = &mut self.fleet.targets;
        let measured = targets.iter().filter(|target| target.active && !target.speed.is_unknown());
        let (sum, count) = measured
            .fold((0.0, 0_u32), |(sum, count), target| (sum + target.speed.slowness, count + 1));
        let mean = sum / f64::from(count.max(1));
        self.services.list.iter_mut().for_each(|service| service.size.shift(mean));
        for target in targets.iter_mut() {
            target.speed.slowness -= mean;
            target.needs_sample |= target.active && target.busy == 0 && target.speed.is_stale(now);
        }
        for number in 0..self.fleet.targets.len() {
            self.fleet.refresh(now, number);
        }
    }

    /// Lends, wants, asks back and gives back slots.
    fn share_slots(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.document.limits.slots.mode != SlotMode::Grants {
            return;
        }
        let hold = self.document.limits.slots.hold;
        let idle = self.slots.return_idle(now, hold, &mut self.fleet);
        self.refresh_all(now, &idle);
        for pool in 0..self.queues.len() {
            let waiting = self.queues[pool].len();
            let full = self.fleet.pools[pool].is_full();
            let class = if full {
                SUSPECT + CLEARLY_FASTER
            } else {
                self.fleet.pools[pool].best_free_class()
            };
            self.slots.request(now, pool, waiting, class, &self.fleet);
            let mut wanted = waiting == 0 && self.slots.has_demand();
            while wanted {
                wanted = !self.slots.lend(now, pool, &mut self.fleet).is_empty();
            }
        }
        self.counts.slot_messages += self.slots.flush(now, actions);
        if let Some(at) = self.slots.next_wakeup(now, hold) {
            self.timers.set_slots(at);
        }
    }
}

impl Other {
    fn new(domain: &str) -> Self {
        let domain = domain.to_owned();
        Self { domain, open: 0, blocked_until: Millis::ZERO, refusals: 0, window: WINDOW_FIRST }
    }
}

impl Site {
    /// The same as it goes out to the host.
    pub fn destination(self, fleet: &Fleet) -> Destination {
        match self {
            Self::Target(number) => Destination::Target(Arc::clone(&fleet.targets[number].id)),
            Self::Peer(peer) => Destination::Peer(peer),
        }
    }
}

impl AttemptState {
    /// The job's number, for an attempt of this VM's own.
    pub const fn job(&self) -> Option<job::Id> {
        match self.source {
            Source::Job(id) => Some(id),
            Source::Delegated(_) => None,
        }
    }
}
