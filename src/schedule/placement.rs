//! Placement: which task goes to which target.
//!
//! It answers targets that differ in size and speed, and data that is on one rack. A task goes where it is
//! expected to end soonest; of targets that are equal in that, to the one that it fills best. A task that would
//! miss its batch's objective on all free targets waits for a better one as long as that can still come in time.

use crate::clock::Millis;

use super::batch::Job;
use super::engine::{Engine, has_label, scaled};
use super::event::{Action, BatchId};
use super::order::is_far;
use super::queue::{Class, Rank};
use super::target::Target;

/// The share of the cores that tasks can fill: what is left on a target is often too little for another one.
const PACKED_SHARE: f64 = 0.85;

/// The share of its slack that a task waits for a target on the rack of its data.
const NEAR_WAIT_SHARE: f64 = 0.5;

impl Engine {
    /// Starts what can start, the first in the queue first.
    pub(super) fn place(&mut self, now: Millis, actions: &mut Vec<Action>) {
        for rank in self.queue.order() {
            let id = rank.job;
            if !self.is_served(now, id, actions) {
                continue;
            }
            let mut has_started = false;
            while let Some((task, target)) = self.next_start(now, id) {
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.ready.retain(|&ready| ready != task);
                }
                self.start(now, id, task, target, actions);
                has_started = true;
            }
            if has_started || rank.class != Class::Overdue {
                self.enqueue(now, id);
            }
        }
    }

    /// Whether a batch may start tasks now. One that can't be of use any longer is refused instead.
    fn is_served(&mut self, now: Millis, id: BatchId, actions: &mut Vec<Action>) -> bool {
        let Some(job) = self.jobs.get(&id) else { return false };
        if job.awaits_remains {
            let remains = self.has_remains(id, &job.spec.id);
            if let Some(job) = self.jobs.get_mut(&id) {
                job.awaits_remains = remains;
            }
            return !remains;
        }
        let Some(factor) = self.best_factor(now, job) else { return false };
        let lasts = scaled(job.chain, factor);
        let is_hopeless = match Class::of(job, now + lasts) {
            Class::Timely => false,
            Class::Late => {
                let wait = self.late_wait(now, id, job);
                wait.is_none_or(|wait| now + wait + lasts > job.useful_until)
            }
            Class::Overdue => true,
        };
        if is_hopeless && !job.started {
            let outcome = self.overload(now);
            self.end(id, outcome, actions);
            return false;
        }
        true
    }

    /// How long a batch that can't be on time any longer has to wait for what the others leave; `None` if they leave
    /// nothing.
    fn late_wait(&self, now: Millis, id: BatchId, job: &Job) -> Option<Millis> {
        if !self.queue.has_timely() && self.next_start(now, id).is_some() {
            return Some(Millis::ZERO);
        }
        let left = self.load(now).total_cpu as f64 * PACKED_SHARE - self.inflow.cpu(now);
        let ahead = self.queue.ahead_of(&Rank::of(id, job, Class::Late));
        (left > 0.0).then(|| Millis((ahead as f64 / left) as u64))
    }

    /// The next task of a batch that can start, and the target for it.
    fn next_start(&self, now: Millis, id: BatchId) -> Option<(usize, usize)> {
        let job = self.jobs.get(&id)?;
        let &task = job.ready.front()?;
        Some((task, self.choose(now, job, task)?))
    }

    fn choose(&self, now: Millis, job: &Job, task: usize) -> Option<usize> {
        let step = &job.spec.steps[job.tasks[task].step];
        let expected = self.expected(&job.spec, step);
        let factor = self.best_factor(now, job)?;
        let class = Class::of(job, now + scaled(job.chain, factor));
        let limit = class.limit(job);
        let slack = job.latest_start() - now;
        let may_be_far =
            class != Class::Timely || scaled(job.slack, 1.0 - NEAR_WAIT_SHARE) >= slack;
        let failed_on = job.tasks[task].failed_on;
        let mut best = None;
        for (number, target) in self.targets.iter().enumerate() {
            let far = is_far(step.near_rack.as_deref(), target.listing.rack.as_deref());
            if !self.admits(now, target, job, job.tasks[task].step) || (far && !may_be_far) {
                continue;
            }
            let lasts = scaled(expected, self.factor(target, far));
            if now + lasts > limit {
                continue;
            }
            let left = target.free().without(&step.need).cpu;
            let rating = (failed_on == Some(number), lasts, left);
            if best.is_none_or(|(known, _)| rating < known) {
                best = Some((rating, number));
            }
        }
        best.map(|(_, number)| number)
    }

    /// Whether a task of a step may go to a target now.
    fn admits(&self, now: Millis, target: &Target, job: &Job, number: usize) -> bool {
        let step = &job.spec.steps[number];
        let is_listed =
            target.unlisted_since.is_none_or(|since| now - since < self.rules.unlisted_max);
        if !is_listed || !target.is_usable(now) || target.listing.service != job.spec.service {
            return false;
        }
        let of_step = || {
            let runs = target.runs.iter().filter(|run| run.name.job == job.spec.id);
            runs.filter(|run| run.name.step as usize == number).count()
        };
        let has_share = step.per_target_max.is_none_or(|most| of_step() < most as usize);
        target.free().fits(&step.need) && has_label(target, step) && has_share
    }

    /// How much longer than expected a task lasts on a target.
    fn factor(&self, target: &Target, far: bool) -> f64 {
        if far { target.slowness * self.rules.far_factor } else { target.slowness }
    }

    /// The smallest factor of any sound target for the next task of a batch, busy ones too.
    pub(super) fn best_factor(&self, now: Millis, job: &Job) -> Option<f64> {
        let &task = job.ready.front()?;
        let step = &job.spec.steps[job.tasks[task].step];
        let sound = self.targets.iter().filter(|target| {
            target.is_sound(now)
                && target.listing.service == job.spec.service
                && target.listing.capacity.fits(&step.need)
                && has_label(target, step)
        });
        let factors = sound.map(|target| {
            self.factor(target, is_far(step.near_rack.as_deref(), target.listing.rack.as_deref()))
        });
        factors.min_by(f64::total_cmp)
    }
}
