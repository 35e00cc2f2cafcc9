//! The engine: the state of one VM's dispatch decisions.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use fastrand::Rng;

use crate::clock::Millis;
use crate::config::{Document, SlotMode};
use crate::job::{self, Incarnation, Job, Outcome};

use super::accept;
use super::budget::Budget;
use super::delegate::WINDOW_FIRST;
use super::event::{Action, AttemptId, Counts, Destination, Event, Member};
use super::fleet::{CLEARLY_FASTER, Fleet};
use super::pool::SUSPECT;
use super::queue::{Entry, Queue, Source};
use super::service::Services;
use super::slots::Slots;
use super::timer::{Timer, Timers};

/// The interval at which speeds are centred and targets without recent samples are found.
const REVIEW_INTERVAL: Millis = Millis::from_secs(1);

/// A gap between events, despite a review due within it, that shows that the process was stopped or
/// starved.
const FREEZE_MIN: Millis = Millis(2500);

/// The dispatch engine of one VM.
#[derive(Debug)]
pub struct Engine {
    /// The incarnation of this VM.
    pub(super) local: Incarnation,
    /// The text of `local`, the prefix of every attempt's name.
    pub(super) local_name: String,
    pub(super) domain: String,
    pub(super) random: Rng,
    pub(super) document: Arc<Document>,
    leaving: Arc<BTreeSet<String>>,
    pub(super) services: Services,
    pub(super) fleet: Fleet,
    /// The queues by pool.
    pub(super) queues: Vec<Queue>,
    /// By pool, until when the next task waits for a faster slot than the free ones.
    pub(super) held_until: Vec<Option<Millis>>,
    pub(super) jobs: BTreeMap<job::Id, JobState>,
    pub(super) accepted: accept::Table,
    /// The attempts that have not ended.
    pub(super) open: BTreeMap<AttemptId, AttemptState>,
    pub(super) slots: Slots,
    /// The reachable VMs of other failure domains.
    pub(super) remote_vms: BTreeMap<Incarnation, RemoteVm>,
    pub(super) retries: Budget,
    pub(super) timers: Timers,
    pub(super) next_attempt: AttemptId,
    pub(super) counts: Counts,
    /// The time of the last event.
    last_event_at: Millis,
    /// The end of the last freeze of the process.
    pub(super) running_since: Millis,
}

/// A job of this VM.
#[derive(Debug)]
pub(super) struct JobState {
    pub job: Job,
    /// The index of the job's service.
    pub service: usize,
    /// The index of the job's team.
    pub team: usize,
    /// The indexes of the targets on which the job's tasks failed.
    pub failed_on: Vec<usize>,
}

/// An attempt that has not ended.
#[derive(Debug)]
pub(super) struct AttemptState {
    pub source: Source,
    /// The index of the task in its job.
    pub task: usize,
    /// The index of the task's service.
    pub service: usize,
    pub site: Site,
    pub started_at: Millis,
    /// The run time that the caller declared.
    pub declared: Option<Millis>,
    /// When a hedge is due.
    pub hedge_at: Option<Millis>,
    /// Whether this is the trial attempt of an ejected target.
    pub trial: bool,
}

/// Where an attempt was sent: a target by its index or a VM of another failure domain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Site {
    Target(usize),
    Peer(Incarnation),
}

/// A reachable VM of another failure domain.
#[derive(Debug)]
pub(super) struct RemoteVm {
    pub domain: String,
    /// The tasks delegated to the VM that have not ended.
    pub open: u32,
    /// The VM gets no tasks until this time.
    pub blocked_until: Millis,
    /// Consecutive refusals and lost attempts.
    pub refusal_streak: u32,
    /// The most tasks that may be open on the VM: grows with results, halves with refusals.
    pub window: u32,
}

impl Engine {
    /// Creates an engine without targets for the VM `local` in `domain`. All randomness comes from
    /// `seed`.
    pub fn new(local: Incarnation, domain: &str, seed: u64) -> Self {
        Self {
            local,
            local_name: local.to_string(),
            domain: domain.to_owned(),
            random: Rng::with_seed(seed),
            document: Arc::default(),
            leaving: Arc::default(),
            services: Services::default(),
            fleet: Fleet::default(),
            queues: Vec::new(),
            held_until: Vec::new(),
            jobs: BTreeMap::new(),
            accepted: accept::Table::default(),
            open: BTreeMap::new(),
            slots: Slots::new(local),
            remote_vms: BTreeMap::new(),
            retries: Budget::default(),
            timers: Timers::default(),
            next_attempt: 1,
            counts: Counts::default(),
            last_event_at: Millis::ZERO,
            running_since: Millis::ZERO,
        }
    }

    /// Handles one event at the time `now` and appends the resulting actions.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        self.detect_freeze(now);
        self.run_timers(now, actions);
        match event {
            Event::Configure(document) => self.configure(now, document),
            Event::Leaving(leaving) => {
                self.leaving = leaving;
                self.configure(now, Arc::clone(&self.document));
            }
            Event::Members(members) => self.set_members(now, &members),
            Event::Submit { job, spec } => self.submit(now, job, spec, actions),
            Event::Cancel { job } => self.update_job(job, actions, Job::cancel),
            Event::Report { attempt, report } => self.report(now, attempt, report, actions),
            Event::Delegate { id, delegation } => self.accept(now, id, delegation, actions),
            Event::Fate { id } => self.report_or_fence(now, id, actions),
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

    /// Records the end of a freeze if an event comes long after the last one despite a pending
    /// timer.
    fn detect_freeze(&mut self, now: Millis) {
        let had_timer = self.timers.next().is_some();
        if had_timer && now - self.last_event_at > FREEZE_MIN {
            self.running_since = now;
        }
        self.last_event_at = now;
    }

    /// When the next timer is due: the latest time for the next [`Event::Tick`].
    pub fn next_wakeup(&self) -> Option<Millis> {
        self.timers.next()
    }

    /// The engine's counters and gauges.
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
        self.held_until.resize(self.fleet.pools.len(), None);
        self.slots.limit_traffic(self.document.limits.slots.traffic_max);
        self.slots.recount_loans(&mut self.fleet);
        self.assign_home_slots(now);
        if moved {
            self.requeue_all();
        }
        self.timers.add(now + REVIEW_INTERVAL, Timer::Review);
    }

    fn set_members(&mut self, now: Millis, members: &[Member]) {
        let usable = members.iter().filter(|vm| vm.reachable && vm.incarnation != self.local);
        let (local, remote) = usable.partition::<Vec<_>, _>(|vm| vm.domain == self.domain);
        let peers = local.iter().map(|vm| vm.incarnation).collect();
        let changed = self.slots.set_peers(&peers, &mut self.fleet);
        self.slots.forget(&members.iter().map(|vm| vm.incarnation).collect());
        let remote = remote.iter().map(|vm| (vm.incarnation, vm.domain.as_str()));
        let remote = remote.collect::<BTreeMap<_, _>>();
        self.remote_vms.retain(|id, _| remote.contains_key(id));
        for (id, domain) in remote {
            self.remote_vms.entry(id).or_insert_with(|| RemoteVm::new(domain));
        }
        if changed {
            self.assign_home_slots(now);
        }
    }

    /// Sets every target's home slots from the reachable VMs of the domain.
    fn assign_home_slots(&mut self, now: Millis) {
        for index in 0..self.fleet.targets.len() {
            let target = &mut self.fleet.targets[index];
            target.home = self.slots.home_slots(target.hash, target.slots);
            self.fleet.refresh(now, index);
        }
    }

    pub(super) fn refresh_all(&mut self, now: Millis, targets: &[usize]) {
        for &target in targets {
            self.fleet.refresh(now, target);
        }
    }

    /// Moves the queued tasks to the pools that their services use now.
    fn requeue_all(&mut self) {
        for pool in 0..self.queues.len() {
            for source in self.queues[pool].list() {
                let tasks = self.queues[pool].remove(source);
                let Some((pool, entry)) = self.queue_entry(source, None) else { continue };
                self.queues[pool].push(&entry, tasks.into_iter());
            }
        }
    }

    /// The pool in which a source's tasks are queued, and how. `declared` is the run time that the
    /// caller declared.
    pub(super) fn queue_entry(
        &self,
        source: Source,
        declared: Option<Millis>,
    ) -> Option<(usize, Entry)> {
        let (service, team) = match source {
            Source::Job(id) => {
                let job_state = self.jobs.get(&id)?;
                (job_state.service, job_state.team)
            }
            Source::Delegated(id) => (self.accepted.service(id)?, 0),
        };
        let service = &self.services.list[service];
        let size = super::estimate::time(service.size.mean(declared));
        let share = self.services.share(team);
        let order = self.document.limits.queue.order;
        Some((service.pool, Entry { source, team, share, size, order }))
    }

    /// Applies `change` to a job and returns its outcome to the callers if it has just got one.
    pub(super) fn update_job(
        &mut self,
        id: job::Id,
        actions: &mut Vec<Action>,
        change: impl FnOnce(&mut Job),
    ) {
        let Some(job_state) = self.jobs.get_mut(&id) else { return };
        let had_outcome = job_state.job.outcome().is_some();
        change(&mut job_state.job);
        let Some(outcome) = job_state.job.outcome() else { return };
        if !had_outcome {
            actions.push(Action::End { job: id, outcome: outcome.clone() });
            if matches!(outcome, Outcome::Failed(_)) {
                self.counts.wasted += job_state.job.total_attempts();
            }
            self.timers.remove(job_state.job.deadline(), Timer::Deadline(id));
            let pool = self.services.list[job_state.service].pool;
            self.queues[pool].remove(Source::Job(id));
        }
        if !self.jobs[&id].job.has_open_attempts() {
            self.jobs.remove(&id);
        }
    }

    fn run_timers(&mut self, now: Millis, actions: &mut Vec<Action>) {
        while let Some(timer) = self.timers.pop(now) {
            match timer {
                Timer::Deadline(id) => self.expire(now, id, actions),
                Timer::Retry(id, task) => self.retry(id, task),
                Timer::Target(index) => self.fleet.refresh(now, index),
                Timer::Hedge(attempt) => self.hedge(now, attempt, actions),
                Timer::DelegatedDeadline(id) => self.expire_accepted(now, id, actions),
                Timer::ForgetDelegated(id) => self.accepted.forget(id),
                Timer::Review => self.review(now),
                Timer::Pools | Timer::Slots => {}
            }
        }
    }

    /// Centres the speeds around their mean, announces unchanged loans again, and marks targets
    /// whose last sample is stale.
    fn review(&mut self, now: Millis) {
        self.timers.add(now + REVIEW_INTERVAL, Timer::Review);
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
        for index in 0..self.fleet.targets.len() {
            self.fleet.refresh(now, index);
        }
    }

    /// Lends, requests, recalls and returns slots.
    fn share_slots(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.document.limits.slots.mode != SlotMode::Grants {
            return;
        }
        let idle_max = self.document.limits.slots.hold;
        let idle = self.slots.return_idle(now, idle_max, &mut self.fleet);
        self.refresh_all(now, &idle);
        for pool in 0..self.queues.len() {
            let waiting = self.queues[pool].len();
            let is_full = self.fleet.pools[pool].is_full();
            let speed_class = if is_full {
                SUSPECT + CLEARLY_FASTER
            } else {
                self.fleet.pools[pool].best_free_class()
            };
            self.slots.request(now, pool, waiting, speed_class, &self.fleet);
            let mut may_lend = waiting == 0 && self.slots.has_demand();
            while may_lend {
                may_lend = !self.slots.lend(now, pool, &mut self.fleet).is_empty();
            }
        }
        self.counts.slot_messages += self.slots.flush(now, actions);
        if let Some(at) = self.slots.next_wakeup(now, idle_max) {
            self.timers.set_slots(at);
        }
    }
}

impl RemoteVm {
    fn new(domain: &str) -> Self {
        let domain = domain.to_owned();
        Self {
            domain,
            open: 0,
            blocked_until: Millis::ZERO,
            refusal_streak: 0,
            window: WINDOW_FIRST,
        }
    }
}

impl Site {
    /// The destination, as the host gets it.
    pub fn destination(self, fleet: &Fleet) -> Destination {
        match self {
            Self::Target(index) => Destination::Target(Arc::clone(&fleet.targets[index].id)),
            Self::Peer(peer) => Destination::Peer(peer),
        }
    }
}

impl AttemptState {
    /// The id of the job, unless the task was delegated to this VM.
    pub const fn job(&self) -> Option<job::Id> {
        match self.source {
            Source::Job(id) => Some(id),
            Source::Delegated(_) => None,
        }
    }
}
