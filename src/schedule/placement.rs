//! Placement: which task goes to which target.
//!
//! Targets differ in size and speed, and data is on one rack. A task goes where it is expected to end soonest; among
//! equals, to the target that it fills best. A task that would miss its batch's objective on every free target waits
//! for a better one for as long as that can still come in time.

use crate::clock::Millis;

use super::batch::Batch;
use super::call::is_far;
use super::engine::{Engine, has_label, scaled};
use super::event::{Action, BatchId};
use super::queue::{Class, Rank};
use super::target::Target;

/// The share of the cores that tasks can fill: the rest of a target is often too small for another task.
pub(super) const PACKED_SHARE: f64 = 0.85;

/// The share of a batch's slack that its tasks spend waiting for a target on the rack of the data.
const NEAR_WAIT_SHARE: f64 = 0.5;

impl Engine {
    /// Starts all tasks that can start, in the order of the queue.
    pub(super) fn place(&mut self, now: Millis, actions: &mut Vec<Action>) {
        for rank in self.queue.ranks() {
            let id = rank.batch;
            if !self.may_start(now, id, actions) {
                continue;
            }
            let mut has_started = false;
            while let Some((task, target)) = self.next_start(now, id) {
                if let Some(batch) = self.batches.get_mut(&id) {
                    batch.ready.retain(|&ready| ready != task);
                }
                self.start(now, id, task, target, actions);
                has_started = true;
            }
            if has_started || rank.class != Class::Overdue {
                self.enqueue(now, id);
            }
        }
    }

    /// Whether a batch may start tasks now. A batch that has not started and can't end by its deadline is refused.
    fn may_start(&mut self, now: Millis, id: BatchId, actions: &mut Vec<Action>) -> bool {
        let Some(batch) = self.batches.get(&id) else { return false };
        if batch.awaits_duplicate {
            let has_duplicate = self.has_duplicate(id, &batch.spec.id);
            if let Some(batch) = self.batches.get_mut(&id) {
                batch.awaits_duplicate = has_duplicate;
            }
            return !has_duplicate;
        }
        let Some(factor) = self.best_factor(now, batch) else { return false };
        let remaining = scaled(batch.critical_path, factor);
        let is_hopeless = match Class::of(batch, now + remaining) {
            Class::Timely => false,
            Class::Late => {
                let wait = self.late_wait(now, id, batch);
                wait.is_none_or(|wait| now + wait + remaining > batch.deadline)
            }
            Class::Overdue => true,
        };
        if is_hopeless && !batch.started {
            let outcome = self.overload(now);
            self.end(id, outcome, actions);
            return false;
        }
        true
    }

    /// How long a batch that can't meet its objective has to wait for capacity that the others leave; `None` if they
    /// leave none.
    fn late_wait(&self, now: Millis, id: BatchId, batch: &Batch) -> Option<Millis> {
        if !self.queue.has_timely() && self.next_start(now, id).is_some() {
            return Some(Millis::ZERO);
        }
        let left = self.load(now).total_cpu as f64 * PACKED_SHARE - self.arrivals.cpu(now);
        let ahead = self.queue.ahead_of(&Rank::of(id, batch, Class::Late));
        (left > 0.0).then(|| Millis((ahead as f64 / left) as u64))
    }

    /// The next task of a batch that can start, and the index of the target for it.
    fn next_start(&self, now: Millis, id: BatchId) -> Option<(usize, usize)> {
        let batch = self.batches.get(&id)?;
        let &task = batch.ready.front()?;
        Some((task, self.choose(now, batch, task)?))
    }

    fn choose(&self, now: Millis, batch: &Batch, task: usize) -> Option<usize> {
        let step = &batch.spec.steps[batch.tasks[task].step];
        let expected = self.expected(&batch.spec, step);
        let factor = self.best_factor(now, batch)?;
        let class = Class::of(batch, now + scaled(batch.critical_path, factor));
        let limit = class.limit(batch);
        let slack = batch.latest_start() - now;
        let may_be_far =
            class != Class::Timely || scaled(batch.slack, 1.0 - NEAR_WAIT_SHARE) >= slack;
        let failed_on = batch.tasks[task].failed_on;
        let mut best = None;
        for (index, target) in self.targets.iter().enumerate() {
            let far = is_far(step.near_rack.as_deref(), target.listing.rack.as_deref());
            if !self.admits(now, target, batch, batch.tasks[task].step) || (far && !may_be_far) {
                continue;
            }
            let duration = scaled(expected, self.factor(target, far));
            if now + duration > limit {
                continue;
            }
            let left = target.free().without(&step.need).cpu;
            let rating = (failed_on == Some(index), duration, left);
            if best.is_none_or(|(known, _)| rating < known) {
                best = Some((rating, index));
            }
        }
        best.map(|(_, index)| index)
    }

    /// Whether a task of a step may go to a target now.
    fn admits(&self, now: Millis, target: &Target, batch: &Batch, step_index: usize) -> bool {
        let step = &batch.spec.steps[step_index];
        let is_listed =
            target.unlisted_since.is_none_or(|since| now - since < self.rules.unlisted_max);
        if !is_listed || !target.is_usable(now) || target.listing.service != batch.spec.service {
            return false;
        }
        let running_of_step = || {
            let attempts = &target.attempts;
            let of_batch = attempts.iter().filter(|attempt| attempt.name.job == batch.spec.id);
            of_batch.filter(|attempt| attempt.name.step as usize == step_index).count()
        };
        let is_below_max = step.per_target_max.is_none_or(|max| running_of_step() < max as usize);
        target.free().fits(&step.need) && has_label(target, step) && is_below_max
    }

    /// How much longer than expected a task lasts on a target, as a factor.
    fn factor(&self, target: &Target, far: bool) -> f64 {
        if far { target.slowness * self.rules.far_factor } else { target.slowness }
    }

    /// The smallest factor of any healthy target, busy ones included, for the next task of a batch.
    pub(super) fn best_factor(&self, now: Millis, batch: &Batch) -> Option<f64> {
        let &task = batch.ready.front()?;
        let step = &batch.spec.steps[batch.tasks[task].step];
        let candidates = self.targets.iter().filter(|target| {
            target.is_healthy(now)
                && target.listing.service == batch.spec.service
                && target.listing.capacity.fits(&step.need)
                && has_label(target, step)
        });
        let factors = candidates.map(|target| {
            self.factor(target, is_far(step.near_rack.as_deref(), target.listing.rack.as_deref()))
        });
        factors.min_by(f64::total_cmp)
    }
}
