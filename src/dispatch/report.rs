//! Handles the results of attempts: updates the job, the target's speed and health, and retries.

use crate::clock::Millis;
use crate::job::{self, Execution, Failure, Reason};

use super::delegate::WINDOW_MAX;
use super::engine::{AttemptState, Engine, Site};
use super::estimate;
use super::event::{Action, AttemptId, Report};
use super::queue::Source;
use super::timer::Timer;

/// A job whose tasks failed on this many targets counts as bad itself and isn't retried.
const POISON_TARGETS: usize = 3;
/// The longest that a target is blocked after a refusal.
const BLOCK_MAX: Millis = Millis::from_secs(1);
/// The longest that a VM of another domain is blocked after a refusal or a lost attempt.
const PEER_BLOCK_MAX: Millis = Millis::from_secs(5);
/// The first backoff of a VM of another domain.
const PEER_BACKOFF: Millis = Millis(50);
/// The most times that a backoff doubles.
const DOUBLINGS_MAX: u32 = 7;

impl Engine {
    /// Handles the result of an attempt.
    pub(super) fn report(
        &mut self,
        now: Millis,
        id: AttemptId,
        report: Report,
        actions: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.open.remove(&id) else { return };
        if let Some(at) = attempt.hedge_at {
            self.timers.remove(at, Timer::Hedge(id));
        }
        match &report {
            Report::Done(_) => {}
            Report::Full => self.counts.full += 1,
            Report::Unsent(_) => self.counts.unsent += 1,
            Report::Failed(_) => self.counts.failed += 1,
            Report::Lost(_) => self.counts.lost += 1,
        }
        match attempt.site {
            Site::Target(index) => self.record_target_report(now, index, &attempt, &report),
            Site::Peer(peer) => self.record_peer_report(now, peer, &report),
        }
        match attempt.source {
            Source::Job(id) => self.record_job_report(now, id, &attempt, report, actions),
            Source::Delegated(id) => self.record_accepted_report(now, id, report, actions),
        }
    }

    /// Updates a job by the result of an attempt at one of its tasks.
    fn record_job_report(
        &mut self,
        now: Millis,
        id: job::Id,
        attempt: &AttemptState,
        report: Report,
        actions: &mut Vec<Action>,
    ) {
        let task = attempt.task;
        match report {
            Report::Done(answer) => {
                self.update_job(id, actions, |job| job.complete_attempt(task, answer));
            }
            Report::Full | Report::Unsent(_) => {
                self.update_job(id, actions, |job| job.undo_attempt(task));
                let Some(job_state) = self.jobs.get(&id) else { return };
                if job_state.job.may_attempt(task) && job_state.job.open_attempts(task) == 0 {
                    self.requeue(Source::Job(id), task);
                }
            }
            Report::Failed(detail) => self.record_failure(now, id, attempt, true, &detail, actions),
            Report::Lost(detail) => self.record_failure(now, id, attempt, false, &detail, actions),
        }
    }

    /// Records a failed or lost attempt and schedules a retry if one is allowed. `known` tells
    /// whether the task ran and failed; otherwise its outcome is lost.
    fn record_failure(
        &mut self,
        now: Millis,
        id: job::Id,
        attempt: &AttemptState,
        known: bool,
        detail: &str,
        actions: &mut Vec<Action>,
    ) {
        let task = attempt.task;
        if let (Site::Target(index), Some(job_state)) = (attempt.site, self.jobs.get_mut(&id))
            && !job_state.failed_on.contains(&index)
        {
            job_state.failed_on.push(index);
        }
        let retry_at = self.retry_at(now, id, task);
        self.update_job(id, actions, |job| {
            job.fail_attempt(task, known, retry_at.is_some(), detail);
        });
        if let Some(at) = retry_at {
            self.timers.add(at, Timer::Retry(id, task));
        }
    }

    /// When a task that failed may be attempted again, if at all: it is repeatable, the job is not
    /// bad itself, there is time, and the budget has an attempt left.
    fn retry_at(&mut self, now: Millis, id: job::Id, task: usize) -> Option<Millis> {
        let rules = &self.document.limits.retries;
        let job_state = self.jobs.get(&id)?;
        let job = &job_state.job;
        let attempts = job.attempts(task);
        let has_other_attempt = job.open_attempts(task) > 1;
        if !job.spec().repeatable || !job.may_attempt(task) || has_other_attempt {
            return None;
        }
        if attempts >= rules.attempts_max || job_state.failed_on.len() >= POISON_TARGETS {
            return None;
        }
        let at = now + jittered(rules.backoff, attempts.saturating_sub(1), &mut self.random);
        (at < job.deadline() && self.retries.spend()).then_some(at)
    }

    /// Ends a job whose deadline has passed.
    pub(super) fn expire(&mut self, now: Millis, id: job::Id, actions: &mut Vec<Action>) {
        let open = self.describe_open(now, id);
        self.update_job(id, actions, |job| job.expire(&open));
    }

    /// Ends a job that is expected to miss its deadline.
    pub(super) fn refuse_late(&mut self, now: Millis, id: job::Id, actions: &mut Vec<Action>) {
        let Some(job_state) = self.jobs.get(&id) else { return };
        if job_state.job.execution() != Execution::NotRun {
            return self.expire(now, id, actions);
        }
        let detail =
            "the queue left too little of the job's time; submit again later under a new key";
        let failure = Failure::new(Reason::Expired, Execution::NotRun, detail);
        self.update_job(id, actions, |job| job.fail(failure));
    }

    /// Describes a job's open attempts: their destinations and how long they have run.
    fn describe_open(&self, now: Millis, id: job::Id) -> String {
        let open = self.open.values().filter(|attempt| attempt.job() == Some(id));
        let open = open.map(|attempt| {
            let destination = attempt.site.destination(&self.fleet);
            format!("with task {} on {destination} for {}", attempt.task, now - attempt.started_at)
        });
        let open = open.collect::<Vec<_>>();
        if open.is_empty() { "with no task under way".to_owned() } else { open.join(", ") }
    }

    /// Updates a target's speed, health and slots by the result of an attempt.
    fn record_target_report(
        &mut self,
        now: Millis,
        index: usize,
        attempt: &AttemptState,
        report: &Report,
    ) {
        let target = &mut self.fleet.targets[index];
        target.busy -= 1;
        let service = &mut self.services.list[attempt.service];
        match report {
            Report::Done(_) => {
                // A run time that spans a freeze of this process says nothing about the target.
                if attempt.started_at >= self.running_since {
                    let measured = estimate::log(now - attempt.started_at);
                    let slowness = target.speed.slowness;
                    let expected = service.size.expected(attempt.declared);
                    target.speed.add(now, measured - expected);
                    service.size.add(measured - slowness, attempt.declared);
                }
                service.tally.done += 1;
                target.refusal_streak = 0;
                target.health.record_success(attempt.started_at);
            }
            Report::Full => self.block(now, index),
            Report::Unsent(_) => {
                let is_unreachable = target.health.record_unreached(&self.document.limits.ejection);
                self.block(now, index);
                if is_unreachable && (attempt.trial || !self.is_ejected(index)) {
                    self.eject(now, index);
                }
            }
            Report::Failed(_) | Report::Lost(_) => {
                target.health.record_failure(now, attempt.service, attempt.job(), service.tally);
                service.tally.failed += 1;
                self.update_ejection(now, index, attempt.trial);
            }
        }
        self.fleet.refresh(now, index);
        let free = self.fleet.free(now, index);
        self.slots.return_recalled(index, free, &mut self.fleet);
        self.fleet.refresh(now, index);
    }

    /// Blocks a target after a refusal for a jittered exponential backoff, so that the queue
    /// doesn't spin.
    fn block(&mut self, now: Millis, index: usize) {
        let target = &mut self.fleet.targets[index];
        let backoff = self.document.limits.retries.backoff;
        let backoff = jittered(backoff, target.refusal_streak, &mut self.random);
        target.refusal_streak += 1;
        target.blocked_until = now + backoff.min(BLOCK_MAX);
        self.timers.add(target.blocked_until, Timer::Target(index));
    }

    /// Ejects a target whose failure streak is long enough, unless too many targets of its pool
    /// fail at once.
    fn update_ejection(&mut self, now: Millis, index: usize, trial: bool) {
        let rules = &self.document.limits.ejection;
        let services = &self.services.list;
        let health = &self.fleet.targets[index].health;
        let should_eject = health.should_eject(rules, |service| services[service].tally);
        if !should_eject {
            self.fleet.targets[index].health.reinstate();
            return;
        }
        if health.is_ejected() && !trial {
            return;
        }
        if self.fleet.suspect_share(index) > rules.share_max {
            self.reinstate_all(now);
            return;
        }
        self.eject(now, index);
    }

    fn is_ejected(&self, index: usize) -> bool {
        self.fleet.targets[index].health.is_ejected()
    }

    fn eject(&mut self, now: Millis, index: usize) {
        let health = &mut self.fleet.targets[index].health;
        health.eject(now, &self.document.limits.ejection);
        let next_trial_at = health.next_trial_at().unwrap_or(now);
        self.timers.add(next_trial_at, Timer::Target(index));
    }

    /// Ends the ejection of all targets.
    fn reinstate_all(&mut self, now: Millis) {
        for index in 0..self.fleet.targets.len() {
            if self.fleet.targets[index].health.is_ejected() {
                self.fleet.targets[index].health.reinstate();
                self.fleet.refresh(now, index);
            }
        }
    }

    /// Updates a remote VM's window and backoff by the result of a delegated task.
    fn record_peer_report(&mut self, now: Millis, peer: job::Incarnation, report: &Report) {
        let Some(vm) = self.remote_vms.get_mut(&peer) else { return };
        vm.open = vm.open.saturating_sub(1);
        match report {
            Report::Done(_) | Report::Failed(_) => {
                vm.refusal_streak = 0;
                vm.window = (vm.window + 1).min(WINDOW_MAX);
            }
            Report::Full | Report::Unsent(_) | Report::Lost(_) => {
                let backoff = jittered(PEER_BACKOFF, vm.refusal_streak, &mut self.random);
                vm.refusal_streak += 1;
                vm.window = (vm.window / 2).max(1);
                vm.blocked_until = now + backoff.min(PEER_BLOCK_MAX);
                self.timers.add(vm.blocked_until, Timer::Pools);
            }
        }
    }
}

/// `base` doubled `doublings` times, less a random part of up to half of it.
fn jittered(base: Millis, doublings: u32, random: &mut fastrand::Rng) -> Millis {
    let full = base * (1 << doublings.min(DOUBLINGS_MAX));
    Millis(full.0 - random.u64(..=full.0 / 2))
}
