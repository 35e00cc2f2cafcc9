//! Admission: whether a batch is accepted, and its place in the queue.

use std::sync::Arc;

use crate::batch::{Outcome, Refusal, Spec};
use crate::clock::Millis;

use super::batch::{Batch, Times};
use super::engine::{Engine, has_label, scaled};
use super::event::{Action, BatchId};
use super::placement::PACKED_SHARE;
use super::queue::{Class, Rank, Work, time_for};
use super::target::{Attempt, Phase};

/// The shortest time after which a refused caller is told to retry.
const RETRY_AFTER_MIN: Millis = Millis(1000);

/// The longest time after which a refused caller is told to retry, whatever the waiting batches declare.
const RETRY_AFTER_MAX: Millis = Millis::from_secs(60);

impl Engine {
    pub(super) fn submit(
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
        let load = self.load(now);
        batch.account.backlog = load.backlog;
        let work = self.work(&batch, 0..batch.tasks.len());
        let capacity = load.total_cpu as f64 * PACKED_SHARE;
        batch.cover = self.shares.charge(now, &batch.spec, work, capacity);
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

    /// Whether the owned targets that are not evacuated could run all tasks of a batch if they were idle.
    pub(super) fn could_run(&self, batch: &Batch) -> bool {
        batch.spec.steps.iter().all(|step| {
            self.targets.iter().any(|target| {
                target.phase == Phase::Owned
                    && !target.evacuated
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
                (attempt.is_orphan() || attempt.batch != own) && &*attempt.name.job == id
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
}
