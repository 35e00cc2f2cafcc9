//! Completions of attempts, and their effect on the batch, on learnt durations and on the target's health.

use std::mem;
use std::sync::Arc;

use crate::batch::{Name, Outcome};
use crate::clock::Millis;

use super::engine::Engine;
use super::event::{Action, BatchId, Ending, Trouble};
use super::speed::Sample;
use super::stall::is_slow;
use super::target::{Attempt, Phase};

impl Engine {
    /// Handles the completion of an attempt. If `is_fresh` is false, the attempt ended at an unknown time before, so
    /// its duration is not learnt from.
    pub(super) fn complete(
        &mut self,
        now: Millis,
        index: usize,
        (name, number): (&Name, u32),
        ending: Ending,
        is_fresh: bool,
        actions: &mut Vec<Action>,
    ) {
        let target = &mut self.targets[index];
        target.foreign.retain(|known| (&known.0, known.1) != (name, number));
        self.needs_placement = true;
        let Some(position) = target.find(name, number) else { return };
        let attempt = target.attempts.swap_remove(position);
        if attempt.is_orphan() {
            return;
        }
        match ending {
            Ending::Done => {
                if is_fresh {
                    self.learn(now, index, &attempt);
                }
                self.complete_task(now, index, &attempt, actions);
            }
            Ending::Failed => {
                self.targets[index].health.record_failure(now, attempt.batch);
                let id = (&attempt.name, attempt.number);
                self.report_unhealthy(now, index, id, Trouble::Failed, actions);
                self.fail_task(now, attempt.batch, attempt.task, index, actions);
            }
            Ending::Aborted => self.requeue(now, &attempt),
        }
    }

    /// Learns from the duration of an attempt.
    fn learn(&mut self, now: Millis, index: usize, attempt: &Attempt) {
        let Some(batch) = self.batches.get(&attempt.batch) else { return };
        let queue = Arc::clone(&batch.spec.queue);
        let sample = Sample {
            measured: now - attempt.sent_at,
            declared: attempt.declared,
            far_factor: if attempt.far { self.rules.far_factor } else { 1.0 },
            slowness: attempt.slowness,
        };
        self.record_pace(index, attempt, sample.measured);
        let looks_slow = is_slow(sample.measured, attempt.expected);
        if looks_slow && self.tails.is_likely_long(&queue) {
            return;
        }
        if attempt.cold {
            self.speeds.learn_cold(sample.measured, attempt.expected);
        } else {
            let target = &mut self.targets[index];
            let kind = target.listing.labels.first();
            self.speeds.learn(&mut target.speed, kind, &queue, sample);
        }
        self.update_slowness(now, index);
    }

    fn complete_task(
        &mut self,
        now: Millis,
        index: usize,
        attempt: &Attempt,
        actions: &mut Vec<Action>,
    ) {
        let Some(batch) = self.batches.get_mut(&attempt.batch) else { return };
        self.targets[index].health.record_success();
        self.targets[index].warmup.record_success();
        if batch.complete(attempt.task) {
            self.end(attempt.batch, Outcome::Done, actions);
        } else {
            self.enqueue(now, attempt.batch);
        }
    }

    /// Reports a failed or stalled attempt, which may be the target's fault, for the log.
    pub(super) fn report_unhealthy(
        &self,
        now: Millis,
        index: usize,
        (name, number): (&Name, u32),
        trouble: Trouble,
        actions: &mut Vec<Action>,
    ) {
        let target = &self.targets[index];
        actions.push(Action::Unhealthy {
            target: Arc::clone(&target.listing.id),
            name: name.clone(),
            attempt: number,
            trouble,
            ejection: target.health.ejection_left(now),
        });
    }

    /// Records that a task has failed on a target. The batch fails if the task has no attempts left.
    pub(super) fn fail_task(
        &mut self,
        now: Millis,
        id: BatchId,
        task: usize,
        index: usize,
        actions: &mut Vec<Action>,
    ) {
        let Some(batch) = self.batches.get_mut(&id) else { return };
        batch.account.failures += 1;
        batch.tasks[task].failures += 1;
        batch.tasks[task].failed_on = Some(index);
        if batch.tasks[task].failures >= batch.spec.terms.attempts {
            self.end(id, Outcome::Failed, actions);
            return;
        }
        batch.requeue(task);
        self.enqueue(now, id);
        self.needs_placement = true;
    }

    /// Drops all attempts on a target, which have surely ended, and requeues their tasks.
    pub(super) fn drop_attempts(&mut self, now: Millis, index: usize) {
        for attempt in mem::take(&mut self.targets[index].attempts) {
            self.requeue(now, &attempt);
        }
    }

    /// Drops all attempts on a target if no lease was renewed there for so long that all have lapsed.
    pub(super) fn drop_lapsed(&mut self, now: Millis, index: usize) {
        let target = &mut self.targets[index];
        let renews = target.phase == Phase::Owned && !target.unsynced;
        if renews || target.attempts.is_empty() || now <= target.lapses_at {
            return;
        }
        target.health.mark_unhealthy(now);
        self.leases.lapsed += target.attempts.len() as u64;
        self.drop_attempts(now, index);
    }

    /// Drops an attempt that does not run and never will, and requeues its task.
    pub(super) fn drop_attempt(&mut self, now: Millis, index: usize, name: &Name, number: u32) {
        let target = &mut self.targets[index];
        let Some(position) = target.find(name, number) else { return };
        let attempt = target.attempts.swap_remove(position);
        self.requeue(now, &attempt);
    }

    /// Makes the task of a dropped attempt ready again, unless its batch is gone.
    pub(super) fn requeue(&mut self, now: Millis, attempt: &Attempt) {
        self.needs_placement = true;
        if attempt.is_orphan() {
            return;
        }
        if let Some(batch) = self.batches.get_mut(&attempt.batch) {
            batch.account.aborted += 1;
            batch.requeue(attempt.task);
            self.enqueue(now, attempt.batch);
        }
    }
}
