//! Starting what waits: the next task of each queue on the target that is expected to end it first.

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

/// How long a task waits at most for a slot that another VM may lend, two round trips between
/// domains.
const HELD_MAX: Millis = Millis(5);
/// Classes of speed between the fastest slots of this VM and a free one that is not used at once.
const SLOW_CLASSES: usize = 3;
/// Draws for a target on which the job has not failed yet.
const DRAWS: usize = 4;

/// What a start needs to know of its task.
struct Task {
    service: usize,
    payload: Arc<str>,
    declared: Option<Millis>,
    repeatable: bool,
    deadline: Millis,
    name: Option<String>,
}

impl Engine {
    /// Starts all that may start now.
    pub(super) fn run_pools(&mut self, now: Millis, actions: &mut Vec<Action>) {
        for pool in 0..self.queues.len() {
            while !self.is_held(now, pool) && self.run_next(now, pool, actions) {}
            self.send_over(now, pool, actions);
        }
    }

    /// Whether the next task waits a moment, since another VM may lend a clearly faster slot than
    /// the free ones here.
    fn is_held(&mut self, now: Millis, number: usize) -> bool {
        let grants = self.document.limits.slots.mode == SlotMode::Grants;
        let pool = &self.fleet.pools[number];
        let slow = !pool.is_full() && pool.best_free_class() >= pool.best_class() + SLOW_CLASSES;
        let may_request = grants && self.slots.may_request(now);
        if !slow || !may_request || self.queues[number].is_empty() {
            self.held[number] = None;
            return false;
        }
        let until = *self.held[number].get_or_insert(now + HELD_MAX);
        if until > now {
            self.timers.add(until, Timer::Pools);
        }
        until > now
    }

    fn run_next(&mut self, now: Millis, pool: usize, actions: &mut Vec<Action>) -> bool {
        if self.fleet.pools[pool].is_full() {
            return false;
        }
        let Some((source, index)) = self.queues[pool].peek() else { return false };
        let Some(target) = self.choose(pool, source) else { return false };
        if self.is_risky(pool, source, index, target) {
            return false;
        }
        self.queues[pool].pop();
        if self.is_hopeless(now, source, index, target, actions) {
            return true;
        }
        self.start(now, source, index, Site::Target(target), actions);
        true
    }

    fn choose(&mut self, pool: usize, source: Source) -> Option<usize> {
        if self.document.limits.queue.choice == Choice::Random {
            return match self.document.limits.slots.mode {
                SlotMode::Choices => self.fleet.choose_two(pool, &mut self.random),
                SlotMode::Split | SlotMode::Grants => self.fleet.pools[pool].any(&mut self.random),
            };
        }
        let failed_on = match source {
            Source::Job(id) => self.jobs.get(&id).map_or(&[][..], |flight| &flight.failed_on),
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

    /// Whether a further attempt would go to a target whose last task failed, while a sound one
    /// will have room. A target that has died accepts, fails at once and is free again: it would
    /// use up all attempts.
    fn is_risky(&self, pool: usize, source: Source, index: usize, target: usize) -> bool {
        let Source::Job(id) = source else { return false };
        let is_further = self.jobs.get(&id).is_some_and(|flight| flight.job.tries(index) > 0);
        let is_sound = |target: &Target| {
            let in_pool = target.listings.iter().any(|listing| listing.pool == pool);
            in_pool && target.active && !target.health.is_suspect() && !target.health.is_ejected()
        };
        let targets = &self.fleet.targets;
        is_further && targets[target].health.is_suspect() && targets.iter().any(is_sound)
    }

    /// Ends a job whose next task would end after the job's time, instead of starting it.
    fn is_hopeless(
        &mut self,
        now: Millis,
        source: Source,
        index: usize,
        target: usize,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Source::Job(id) = source else { return false };
        let Some(flight) = self.jobs.get(&id) else { return true };
        if self.document.limits.queue.order == Order::Arrival {
            return false;
        }
        let service = &self.services.list[flight.service];
        if !service.size.is_known() {
            return false;
        }
        let spec = flight.job.spec();
        let (declared, count) = (spec.tasks[index].expected, spec.tasks.len());
        let slowness = slowness_of(self.fleet.targets[target].speed_class());
        let mut expected = service.size.expected(declared).exp() * slowness.min(1.0);
        if index == 0 && flight.job.tries(0) == 0 {
            expected = service.size.longest(declared, count).exp() * slowness;
            // With VMs of other domains in reach, what is here does not say when the rest will
            // start.
            if self.others.is_empty() {
                let capacity = self.fleet.pools[service.pool].capacity().max(1.0);
                expected += service.size.mean(declared).exp() * count as f64 / capacity;
            }
        }
        let left = flight.job.deadline() - now;
        let hopeless = expected > left.0 as f64;
        if hopeless {
            self.give_up(now, id, actions);
        }
        hopeless
    }

    pub(super) fn start(
        &mut self,
        now: Millis,
        source: Source,
        index: usize,
        site: Site,
        actions: &mut Vec<Action>,
    ) {
        let Some(task) = self.task(source, index) else { return };
        let id = self.next_start;
        self.next_start += 1;
        self.note_first(source, index);
        let trial = self.occupy(now, site);
        let service = &self.services.list[task.service];
        let run_max = match site {
            Site::Target(_) => service.run_max(),
            Site::Peer(_) => task.deadline - now,
        };
        let spare_at = self.spare_at(now, &task, source, site);
        if let Some(at) = spare_at {
            self.timers.add(at, Timer::Hedge(id));
        }
        let attempt = AttemptState {
            source,
            index,
            service: task.service,
            site,
            started: now,
            declared: task.declared,
            spare_at,
            trial,
        };
        self.open.insert(id, attempt);
        let service = self.services.list[task.service].rules.as_ref();
        actions.push(Action::Start(Attempt {
            id,
            destination: site.destination(&self.fleet),
            name: task.name.unwrap_or_else(|| format!("{}.{id}", self.own_text)),
            service: service.map(|rules| rules.name.clone()).unwrap_or_default(),
            payload: task.payload,
            expected: task.declared,
            repeatable: task.repeatable,
            timeout: run_max,
        }));
    }

    fn task(&self, source: Source, index: usize) -> Option<Task> {
        match source {
            Source::Job(id) => {
                let flight = self.jobs.get(&id)?;
                let spec = flight.job.spec();
                Some(Task {
                    service: flight.service,
                    payload: Arc::clone(&spec.tasks[index].payload),
                    declared: spec.tasks[index].expected,
                    repeatable: spec.repeatable,
                    deadline: flight.job.deadline(),
                    name: None,
                })
            }
            Source::Delegated(adopted) => {
                let entry = self.adopted.get(adopted)?;
                Some(Task {
                    service: entry.service,
                    payload: Arc::clone(&entry.adoption.payload),
                    declared: entry.adoption.expected,
                    repeatable: entry.adoption.repeatable,
                    deadline: entry.deadline,
                    name: Some(entry.adoption.name.clone()),
                })
            }
        }
    }

    /// Counts the attempt, and lets a first one earn its share of further ones.
    fn note_first(&mut self, source: Source, index: usize) {
        match source {
            Source::Job(id) => {
                let Some(flight) = self.jobs.get_mut(&id) else { return };
                let first = flight.job.tries(index) == 0;
                flight.job.send(index);
                if first {
                    self.counts.first_attempts += 1;
                    self.retries.earn(self.document.limits.retries.share);
                    let service = &mut self.services.list[flight.service];
                    let share = service.hedge_share();
                    service.hedges.earn(share);
                } else {
                    self.counts.further_attempts += 1;
                }
            }
            Source::Delegated(adopted) => self.adopted.run(adopted),
        }
    }

    /// Takes a slot; returns whether it is a trial.
    fn occupy(&mut self, now: Millis, site: Site) -> bool {
        match site {
            Site::Target(number) => {
                let target = &mut self.fleet.targets[number];
                target.busy += 1;
                target.needs_sample = false;
                let trial = target.health.is_ejected();
                if trial {
                    target.health.start_trial(now);
                    let next = target.health.next_trial_at();
                    self.timers.add(next.unwrap_or(now), Timer::Target(number));
                    self.counts.trials += 1;
                }
                self.fleet.refresh(now, number);
                trial
            }
            Site::Peer(peer) => {
                if let Some(other) = self.others.get_mut(&peer) {
                    other.open += 1;
                }
                self.counts.delegated += 1;
                false
            }
        }
    }

    /// When the attempt will have lasted so long that a copy elsewhere would probably end sooner.
    fn spare_at(&self, now: Millis, task: &Task, source: Source, site: Site) -> Option<Millis> {
        let service = &self.services.list[task.service];
        let Site::Target(number) = site else { return None };
        let own = matches!(source, Source::Job(_));
        if !own || !task.repeatable || service.hedge_share() <= 0.0 {
            return None;
        }
        let slowness = self.fleet.targets[number].speed.slowness.max(0.0);
        Some(now + estimate::time(service.size.upper_bound(task.declared) + slowness))
    }

    /// Starts a copy of an attempt that has lasted unusually long, if the budget and the slots
    /// allow it.
    pub(super) fn spare(&mut self, now: Millis, start: AttemptId, actions: &mut Vec<Action>) {
        let Some(attempt) = self.open.get(&start) else { return };
        let Some(id) = attempt.job() else { return };
        let (index, service, site) = (attempt.index, attempt.service, attempt.site);
        let Some(flight) = self.jobs.get(&id) else { return };
        if !flight.job.may_send(index) || flight.job.open(index) > 1 {
            return;
        }
        let pool = self.services.list[service].pool;
        let target = self.fleet.pools[pool].fastest(&mut self.random);
        let Some(target) = target.filter(|&target| Site::Target(target) != site) else { return };
        if self.services.list[service].hedges.spend() {
            self.counts.hedges += 1;
            self.start(now, Source::Job(id), index, Site::Target(target), actions);
        }
    }

    /// Queues a task whose pause before another attempt is over.
    pub(super) fn retry(&mut self, id: job::Id, index: usize) {
        let Some(flight) = self.jobs.get(&id) else { return };
        if flight.job.may_send(index) && flight.job.open(index) == 0 {
            self.requeue(Source::Job(id), index);
        }
    }
}
