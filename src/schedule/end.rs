//! Ends of runs: what they mean for the batch, for what is known of the target, and for the trust in it.

use std::sync::Arc;

use crate::batch::{Name, Outcome};
use crate::clock::Millis;

use super::engine::Engine;
use super::event::{Action, BatchId, Ending, Trouble};
use super::speed::Sample;
use super::target::{Phase, Run};

impl Engine {
    /// Takes the end of a run. One that is not fresh came at an unknown time before, and says nothing of how long tasks last.
    pub(super) fn ended(
        &mut self,
        now: Millis,
        number: usize,
        (name, run): (&Name, u32),
        ending: Ending,
        is_fresh: bool,
        actions: &mut Vec<Action>,
    ) {
        let target = &mut self.targets[number];
        target.foreign.retain(|known| (&known.0, known.1) != (name, run));
        self.changed = true;
        let Some(index) = target.find(name, run) else { return };
        let run = target.runs.swap_remove(index);
        if run.orphan {
            return;
        }
        match ending {
            Ending::Done => {
                if is_fresh {
                    self.learn(now, number, &run);
                }
                self.task_done(now, number, &run, actions);
            }
            Ending::Failed => {
                self.targets[number].health.fail(now, run.job);
                self.distrust(now, number, (&run.name, run.attempt), Trouble::Failed, actions);
                self.fail_task(now, run.job, run.task, number, actions);
            }
            Ending::Aborted => self.put_back(now, &run),
        }
    }

    /// Learns from how long a run took.
    fn learn(&mut self, now: Millis, number: usize, run: &Run) {
        let Some(job) = self.jobs.get(&run.job) else { return };
        let far_factor = if run.far { self.rules.far_factor } else { 1.0 };
        let measured = now - run.sent;
        let sample =
            Sample { measured, declared: run.declared, far_factor, slowness: run.slowness };
        let target = &mut self.targets[number];
        let kind = target.listing.labels.first();
        self.speeds.learn(&mut target.track, kind, &job.spec.queue, sample);
        target.slowness = self.speeds.slowness(&target.track, target.kind());
    }

    fn task_done(&mut self, now: Millis, number: usize, run: &Run, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&run.job) else { return };
        self.targets[number].health.succeed();
        if job.finish(run.task) {
            self.end(run.job, Outcome::Done, actions);
        } else {
            self.enqueue(now, run.job);
        }
    }

    /// Tells of a task that may have found its target at fault.
    pub(super) fn distrust(
        &self,
        now: Millis,
        number: usize,
        (name, run): (&Name, u32),
        trouble: Trouble,
        actions: &mut Vec<Action>,
    ) {
        let target = &self.targets[number];
        actions.push(Action::Unhealthy {
            target: Arc::clone(&target.listing.id),
            name: name.clone(),
            attempt: run,
            trouble,
            ejection: target.health.rest_left(now),
        });
    }

    /// Notes that a task has failed; after its last attempt its batch has failed.
    pub(super) fn fail_task(
        &mut self,
        now: Millis,
        id: BatchId,
        task: usize,
        number: usize,
        actions: &mut Vec<Action>,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.account.failures += 1;
        job.tasks[task].failures += 1;
        job.tasks[task].failed_on = Some(number);
        if job.tasks[task].failures >= job.spec.terms.attempts {
            self.end(id, Outcome::Failed, actions);
            return;
        }
        job.put_back(task);
        self.enqueue(now, id);
        self.changed = true;
    }

    /// Forgets all runs of a target: they have surely ended.
    pub(super) fn drop_runs(&mut self, now: Millis, number: usize) {
        for run in std::mem::take(&mut self.targets[number].runs) {
            self.put_back(now, &run);
        }
    }

    /// Forgets the runs of a target on which no lease was renewed for so long that all have lapsed.
    pub(super) fn lapse_runs(&mut self, now: Millis, number: usize) {
        let target = &mut self.targets[number];
        let renews = target.phase == Phase::Owned && !target.unsure;
        if renews || target.runs.is_empty() || now <= target.lapse_by {
            return;
        }
        target.health.unwell(now);
        self.leases.lapsed += target.runs.len() as u64;
        self.drop_runs(now, number);
    }

    /// Notes that a start was not executed and never will be.
    pub(super) fn refute(&mut self, now: Millis, number: usize, name: &Name, run: u32) {
        let target = &mut self.targets[number];
        let Some(index) = target.find(name, run) else { return };
        let run = target.runs.swap_remove(index);
        self.put_back(now, &run);
    }

    /// Lets the task of a run that is gone wait again.
    pub(super) fn put_back(&mut self, now: Millis, run: &Run) {
        self.changed = true;
        if run.orphan {
            return;
        }
        if let Some(job) = self.jobs.get_mut(&run.job) {
            job.account.aborted += 1;
            job.put_back(run.task);
            self.enqueue(now, run.job);
        }
    }
}
