//! Starts queued tasks, each on the fastest target with a free slot, where it is expected to end
//! first.

use std::sync::Arc;

use crate::clock::Millis;
use crate::config::{Choice, Order, SlotMode};
use crate::job;

use super::engine::{AttemptState, Engine, Site};
use super::estimate;
use super::event::{Action, Attempt, AttemptId};
use super::pool::slowness_of;
use super::queue::Source;
use super::target::Target;
use super::timer::Timer;

/// The most that a task waits for a faster slot from another VM: two round trips between domains.
const HOLD_MAX: Millis = Millis(5);
/// The difference in speed classes from this VM's fastest slots at which a free slot isn't used at
/// once.
const SLOW_CLASSES: usize = 3;
/// Random draws of another target if the job has already failed on the chosen one.
const DRAWS: usize = 4;

/// The task of an attempt.
struct Task {
    /// The index of the service.
    service: usize,
    payload: Arc<str>,
    /// The run time that the caller declared.
    declared: Option<Millis>,
    repeatable: bool,
    deadline: Millis,
    /// The name that the coordinator gave a delegated task.
    name: Option<String>,
}

impl Engine {
    /// Starts all queued tasks that may start now, and delegates those that would wait too long.
    pub(super) fn run_pools(&mut self, now: Millis, actions: &mut Vec<Action>) {
        for pool in 0..self.queues.len() {
            while !self.is_held(now, pool) && self.run_next(now, pool, actions) {}
            self.delegate_waiting(now, pool, actions);
        }
    }

    /// Whether the next task is held because another VM may lend a clearly faster slot than the
    /// free ones.
    fn is_held(&mut self, now: Millis, pool: usize) -> bool {
        let is_lending = self.document.limits.slots.mode == SlotMode::Grants;
        let targets = &self.fleet.pools[pool];
        let is_slow =
            !targets.is_full() && targets.best_free_class() >= targets.best_class() + SLOW_CLASSES;
        let may_request = is_lending && self.slots.may_request(now);
        if !is_slow || !may_request || self.queues[pool].is_empty() {
            self.held_until[pool] = None;
            return false;
        }
        let until = *self.held_until[pool].get_or_insert(now + HOLD_MAX);
        if until > now {
            self.timers.add(until, Timer::Pools);
        }
        until > now
    }

    /// Starts or ends the next task of a pool. Returns whether it took one from the queue.
    fn run_next(&mut self, now: Millis, pool: usize, actions: &mut Vec<Action>) -> bool {
        if self.fleet.pools[pool].is_full() {
            return false;
        }
        let Some((source, task)) = self.queues[pool].peek() else { return false };
        let Some(target) = self.choose(pool, source) else { return false };
        if self.should_wait(pool, source, task, target) {
            return false;
        }
        self.queues[pool].pop();
        if self.refuse_if_late(now, source, task, target, actions) {
            return true;
        }
        self.start(now, source, task, Site::Target(target), actions);
        true
    }

    /// Chooses a target with a free slot for the next task of a pool.
    fn choose(&mut self, pool: usize, source: Source) -> Option<usize> {
        if self.document.limits.queue.choice == Choice::Random {
            return match self.document.limits.slots.mode {
                SlotMode::Choices => self.fleet.choose_two(pool, &mut self.random),
                SlotMode::Split | SlotMode::Grants => self.fleet.pools[pool].any(&mut self.random),
            };
        }
        let failed_on = match source {
            Source::Job(id) => self.jobs.get(&id).map_or(&[][..], |job_state| &job_state.failed_on),
            Source::Delegated(_) => &[],
        };
        let pool = &self.fleet.pools[pool];
        let mut chosen = pool.fastest(&mut self.random)?;
        for _ in 0..DRAWS {
            if !failed_on.contains(&chosen) {
                break;
            }
            chosen = pool.any(&mut self.random)?;
        }
        Some(chosen)
    }

    /// Whether a retry should wait for a healthy target rather than go to `target`, whose last task
    /// failed. A dead target that accepts connections fails each task at once and is free again, so
    /// it would use up all attempts.
    fn should_wait(&self, pool: usize, source: Source, task: usize, target: usize) -> bool {
        let Source::Job(id) = source else { return false };
        let is_retry = self.jobs.get(&id).is_some_and(|job_state| job_state.job.attempts(task) > 0);
        let is_healthy = |target: &Target| {
            let in_pool = target.listings.iter().any(|listing| listing.pool == pool);
            in_pool && target.active && !target.health.is_suspect() && !target.health.is_ejected()
        };
        let targets = &self.fleet.targets;
        is_retry && targets[target].health.is_suspect() && targets.iter().any(is_healthy)
    }

    /// Ends a job if its next task is expected to end after the job's deadline. Returns whether the
    /// task must not start.
    fn refuse_if_late(
        &mut self,
        now: Millis,
        source: Source,
        task: usize,
        target: usize,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Source::Job(id) = source else { return false };
        let Some(job_state) = self.jobs.get(&id) else { return true };
        if self.document.limits.queue.order == Order::Arrival {
            return false;
        }
        let service = &self.services.list[job_state.service];
        if !service.size.is_known() {
            return false;
        }
        let spec = job_state.job.spec();
        let (declared, count) = (spec.tasks[task].expected, spec.tasks.len());
        let slowness = slowness_of(self.fleet.targets[target].speed_class());
        let mut expected = service.size.expected(declared).exp() * slowness.min(1.0);
        if task == 0 && job_state.job.attempts(0) == 0 {
            expected = service.size.longest(declared, count).exp() * slowness;
            // With VMs of other domains in reach, the local capacity does not tell when the rest
            // starts.
            if self.remote_vms.is_empty() {
                let capacity = self.fleet.pools[service.pool].capacity().max(1.0);
                expected += service.size.mean(declared).exp() * count as f64 / capacity;
            }
        }
        let time_left = job_state.job.deadline() - now;
        let is_late = expected > time_left.0 as f64;
        if is_late {
            self.refuse_late(now, id, actions);
        }
        is_late
    }

    /// Starts an attempt at a task.
    pub(super) fn start(
        &mut self,
        now: Millis,
        source: Source,
        task: usize,
        site: Site,
        actions: &mut Vec<Action>,
    ) {
        let Some(details) = self.task(source, task) else { return };
        let id = self.next_attempt;
        self.next_attempt += 1;
        self.record_attempt(source, task);
        let trial = self.occupy(now, site);
        let service = &self.services.list[details.service];
        let timeout = match site {
            Site::Target(_) => service.run_max(),
            Site::Peer(_) => details.deadline - now,
        };
        let hedge_at = self.hedge_at(now, &details, source, site);
        if let Some(at) = hedge_at {
            self.timers.add(at, Timer::Hedge(id));
        }
        let attempt = AttemptState {
            source,
            task,
            service: details.service,
            site,
            started_at: now,
            declared: details.declared,
            hedge_at,
            trial,
        };
        self.open.insert(id, attempt);
        let service = self.services.list[details.service].rules.as_ref();
        actions.push(Action::Start(Attempt {
            id,
            destination: site.destination(&self.fleet),
            name: details.name.unwrap_or_else(|| format!("{}.{id}", self.local_name)),
            service: service.map(|rules| rules.name.clone()).unwrap_or_default(),
            payload: details.payload,
            expected: details.declared,
            repeatable: details.repeatable,
            timeout,
        }));
    }

    /// The task with this index of a source, if the source is still known.
    fn task(&self, source: Source, task: usize) -> Option<Task> {
        match source {
            Source::Job(id) => {
                let job_state = self.jobs.get(&id)?;
                let spec = job_state.job.spec();
                Some(Task {
                    service: job_state.service,
                    payload: Arc::clone(&spec.tasks[task].payload),
                    declared: spec.tasks[task].expected,
                    repeatable: spec.repeatable,
                    deadline: job_state.job.deadline(),
                    name: None,
                })
            }
            Source::Delegated(id) => {
                let entry = self.accepted.get(id)?;
                Some(Task {
                    service: entry.service,
                    payload: Arc::clone(&entry.delegation.payload),
                    declared: entry.delegation.expected,
                    repeatable: entry.delegation.repeatable,
                    deadline: entry.deadline,
                    name: Some(entry.delegation.name.clone()),
                })
            }
        }
    }

    /// Records that an attempt starts. A first attempt earns its share of retries and hedges.
    fn record_attempt(&mut self, source: Source, task: usize) {
        match source {
            Source::Job(id) => {
                let Some(job_state) = self.jobs.get_mut(&id) else { return };
                let is_first = job_state.job.attempts(task) == 0;
                job_state.job.begin_attempt(task);
                if is_first {
                    self.counts.first_attempts += 1;
                    self.retries.earn(self.document.limits.retries.share);
                    let service = &mut self.services.list[job_state.service];
                    let share = service.hedge_share();
                    service.hedges.earn(share);
                } else {
                    self.counts.further_attempts += 1;
                }
            }
            Source::Delegated(id) => self.accepted.set_running(id),
        }
    }

    /// Takes a slot at the site; returns whether the attempt is a trial.
    fn occupy(&mut self, now: Millis, site: Site) -> bool {
        match site {
            Site::Target(index) => {
                let target = &mut self.fleet.targets[index];
                target.busy += 1;
                target.needs_sample = false;
                let trial = target.health.is_ejected();
                if trial {
                    target.health.start_trial(now);
                    let next = target.health.next_trial_at();
                    self.timers.add(next.unwrap_or(now), Timer::Target(index));
                    self.counts.trials += 1;
                }
                self.fleet.refresh(now, index);
                trial
            }
            Site::Peer(peer) => {
                if let Some(vm) = self.remote_vms.get_mut(&peer) {
                    vm.open += 1;
                }
                self.counts.delegated += 1;
                false
            }
        }
    }

    /// When a hedge would probably end sooner than the attempt, if the service allows hedges.
    fn hedge_at(&self, now: Millis, task: &Task, source: Source, site: Site) -> Option<Millis> {
        let service = &self.services.list[task.service];
        let Site::Target(target) = site else { return None };
        let is_local = matches!(source, Source::Job(_));
        if !is_local || !task.repeatable || service.hedge_share() <= 0.0 {
            return None;
        }
        let slowness = self.fleet.targets[target].speed.slowness.max(0.0);
        Some(now + estimate::time(service.size.upper_bound(task.declared) + slowness))
    }

    /// Hedges an attempt that runs unusually long, if the budget and a free slot allow it.
    pub(super) fn hedge(&mut self, now: Millis, attempt: AttemptId, actions: &mut Vec<Action>) {
        let Some(attempt) = self.open.get(&attempt) else { return };
        let Some(id) = attempt.job() else { return };
        let (task, service, site) = (attempt.task, attempt.service, attempt.site);
        let Some(job_state) = self.jobs.get(&id) else { return };
        if !job_state.job.may_attempt(task) || job_state.job.open_attempts(task) > 1 {
            return;
        }
        let pool = self.services.list[service].pool;
        let target = self.fleet.pools[pool].fastest(&mut self.random);
        let Some(target) = target.filter(|&target| Site::Target(target) != site) else { return };
        if self.services.list[service].hedges.spend() {
            self.counts.hedges += 1;
            self.start(now, Source::Job(id), task, Site::Target(target), actions);
        }
    }

    /// Queues a task for another attempt when its backoff is over.
    pub(super) fn retry(&mut self, id: job::Id, task: usize) {
        let Some(job_state) = self.jobs.get(&id) else { return };
        if job_state.job.may_attempt(task) && job_state.job.open_attempts(task) == 0 {
            self.requeue(Source::Job(id), task);
        }
    }
}
