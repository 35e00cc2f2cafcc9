//! What follows from the end of an attempt: for the job, for the target, for the next attempt.

use crate::clock::Millis;
use crate::job::{self, Execution, Failure, Reason};

use super::engine::{AttemptState, Engine, Site};
use super::estimate;
use super::event::{Action, AttemptId, Report};
use super::over::WINDOW_MAX;
use super::queue::Source;
use super::timer::Timer;

/// Targets on which a job's tasks fail before the job counts as bad itself.
const POISON_TARGETS: usize = 3;
/// The longest pause of a target that refuses, and of a peer.
const BLOCK_MAX: Millis = Millis::from_secs(1);
/// Doublings of a pause at most.
const DOUBLINGS_MAX: u32 = 7;

impl Engine {
    pub(super) fn report(
        &mut self,
        now: Millis,
        start: AttemptId,
        report: Report,
        actions: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.open.remove(&start) else { return };
        if let Some(at) = attempt.spare_at {
            self.timers.remove(at, Timer::Hedge(start));
        }
        match &report {
            Report::Done(_) => {}
            Report::Full => self.counts.full += 1,
            Report::Unsent(_) => self.counts.unsent += 1,
            Report::Failed(_) => self.counts.failed += 1,
            Report::Lost(_) => self.counts.lost += 1,
        }
        match attempt.site {
            Site::Target(number) => self.learn(now, number, &attempt, &report),
            Site::Peer(peer) => self.learn_of_peer(now, peer, &report),
        }
        match attempt.source {
            Source::Job(id) => self.settle(now, id, &attempt, report, actions),
            Source::Delegated(adopted) => self.adopted_ended(now, adopted, report, actions),
        }
    }

    fn settle(
        &mut self,
        now: Millis,
        id: job::Id,
        attempt: &AttemptState,
        report: Report,
        actions: &mut Vec<Action>,
    ) {
        let index = attempt.index;
        match report {
            Report::Done(answer) => self.change(id, actions, |job| job.done(index, answer)),
            Report::Full | Report::Unsent(_) => {
                self.change(id, actions, |job| job.unstarted(index));
                let Some(flight) = self.jobs.get(&id) else { return };
                if flight.job.may_send(index) && flight.job.open(index) == 0 {
                    self.requeue(Source::Job(id), index);
                }
            }
            Report::Failed(detail) => self.fail(now, id, attempt, true, &detail, actions),
            Report::Lost(detail) => self.fail(now, id, attempt, false, &detail, actions),
        }
    }

    fn fail(
        &mut self,
        now: Millis,
        id: job::Id,
        attempt: &AttemptState,
        known: bool,
        detail: &str,
        actions: &mut Vec<Action>,
    ) {
        let index = attempt.index;
        if let (Site::Target(number), Some(flight)) = (attempt.site, self.jobs.get_mut(&id))
            && !flight.failed_on.contains(&number)
        {
            flight.failed_on.push(number);
        }
        let again = self.next_try(now, id, index);
        self.change(id, actions, |job| job.failed(index, known, again.is_some(), detail));
        if let Some(at) = again {
            self.timers.add(at, Timer::Retry(id, index));
        }
    }

    /// When a task that failed may be attempted again, if at all: it is repeatable, the job is not
    /// bad itself, there is time, and the budget has an attempt left.
    fn next_try(&mut self, now: Millis, id: job::Id, index: usize) -> Option<Millis> {
        let rules = &self.document.limits.retries;
        let flight = self.jobs.get(&id)?;
        let job = &flight.job;
        let tries = job.tries(index);
        let others_open = job.open(index) > 1;
        if !job.spec().repeatable || !job.may_send(index) || others_open {
            return None;
        }
        if tries >= rules.attempts_max || flight.failed_on.len() >= POISON_TARGETS {
            return None;
        }
        let at = now + jittered(rules.backoff, tries.saturating_sub(1), &mut self.random);
        (at < job.deadline() && self.retries.spend()).then_some(at)
    }

    /// Ends a job whose time is up.
    pub(super) fn expire(&mut self, now: Millis, id: job::Id, actions: &mut Vec<Action>) {
        let open = self.describe_open(now, id);
        self.change(id, actions, |job| job.expire(&open));
    }

    /// Ends a job that would not end in its time.
    pub(super) fn give_up(&mut self, now: Millis, id: job::Id, actions: &mut Vec<Action>) {
        let Some(flight) = self.jobs.get(&id) else { return };
        if flight.job.execution() != Execution::NotRun {
            return self.expire(now, id, actions);
        }
        let detail =
            "the queue left too little of the job's time; submit again later under a new key";
        let failure = Failure::new(Reason::Expired, Execution::NotRun, detail);
        self.change(id, actions, |job| job.refuse(failure));
    }

    /// What a job waits for: its attempts without an end, where they are and for how long.
    fn describe_open(&self, now: Millis, id: job::Id) -> String {
        let open = self.open.values().filter(|attempt| attempt.job() == Some(id));
        let open = open.map(|attempt| {
            let place = attempt.site.destination(&self.fleet);
            format!("with task {} on {place} for {}", attempt.index, now - attempt.started)
        });
        let open = open.collect::<Vec<_>>();
        if open.is_empty() { "with no task under way".to_owned() } else { open.join(", ") }
    }

    /// Takes what the end of an attempt says about its target.
    fn learn(&mut self, now: Millis, number: usize, attempt: &AttemptState, report: &Report) {
        let target = &mut self.fleet.targets[number];
        target.busy -= 1;
        let service = &mut self.services.list[attempt.service];
        match report {
            Report::Done(_) => {
                // A time that spans a freeze of this process says nothing of the target.
                if attempt.started >= self.awake_since {
                    let measured = estimate::log(now - attempt.started);
                    let slowness = target.speed.slowness;
                    let expected = service.size.expected(attempt.declared);
                    target.speed.add(now, measured - expected);
                    service.size.add(measured - slowness, attempt.declared);
                }
                service.tally.done += 1;
                target.refusal_streak = 0;
                target.health.record_success(attempt.started);
            }
            Report::Full => self.block(now, number),
            Report::Unsent(_) => {
                let unreachable = target.health.record_unreached(&self.document.limits.ejection);
                self.block(now, number);
                if unreachable && (attempt.trial || !self.is_ejected(number)) {
                    self.eject(now, number);
                }
            }
            Report::Failed(_) | Report::Lost(_) => {
                target.health.record_failure(now, attempt.service, attempt.job(), service.tally);
                service.tally.failed += 1;
                self.judge(now, number, attempt.trial);
            }
        }
        self.fleet.refresh(now, number);
        let free = self.fleet.free(now, number);
        self.slots.return_recalled(number, free, &mut self.fleet);
        self.fleet.refresh(now, number);
    }

    /// Gives a target that refused a pause that doubles, with jitter, so that nothing spins.
    fn block(&mut self, now: Millis, number: usize) {
        let target = &mut self.fleet.targets[number];
        let backoff = self.document.limits.retries.backoff;
        let pause = jittered(backoff, target.refusal_streak, &mut self.random);
        target.refusal_streak += 1;
        target.blocked_until = now + pause.min(BLOCK_MAX);
        self.timers.add(target.blocked_until, Timer::Target(number));
    }

    /// Ejects a target whose row of failures says so, unless most targets fail at once.
    fn judge(&mut self, now: Millis, number: usize, trial: bool) {
        let rules = &self.document.limits.ejection;
        let services = &self.services.list;
        let health = &self.fleet.targets[number].health;
        let bad = health.should_eject(rules, |service| services[service].tally);
        if !bad {
            self.fleet.targets[number].health.reinstate();
            return;
        }
        if health.is_ejected() && !trial {
            return;
        }
        if self.fleet.suspect_share(number) > rules.share_max {
            self.reinstate_all(now);
            return;
        }
        self.eject(now, number);
    }

    fn is_ejected(&self, number: usize) -> bool {
        self.fleet.targets[number].health.is_ejected()
    }

    fn eject(&mut self, now: Millis, number: usize) {
        let health = &mut self.fleet.targets[number].health;
        health.eject(now, &self.document.limits.ejection);
        let trial = health.next_trial_at().unwrap_or(now);
        self.timers.add(trial, Timer::Target(number));
    }

    fn reinstate_all(&mut self, now: Millis) {
        for number in 0..self.fleet.targets.len() {
            if self.fleet.targets[number].health.is_ejected() {
                self.fleet.targets[number].health.reinstate();
                self.fleet.refresh(now, number);
            }
        }
    }

    fn learn_of_peer(&mut self, now: Millis, peer: job::Incarnation, report: &Report) {
        let Some(other) = self.others.get_mut(&peer) else { return };
        other.open = other.open.saturating_sub(1);
        match report {
            Report::Done(_) | Report::Failed(_) => {
                other.refusals = 0;
                other.window = (other.window + 1).min(WINDOW_MAX);
            }
            Report::Full | Report::Unsent(_) | Report::Lost(_) => {
                let pause = jittered(Millis(50), other.refusals, &mut self.random);
                other.refusals += 1;
                other.window = (other.window / 2).max(1);
                other.blocked_until = now + pause.min(BLOCK_MAX * 5);
                self.timers.add(other.blocked_until, Timer::Pools);
            }
        }
    }
}

/// A pause of `base` doubled `doublings` times, of which a random half is taken off.
fn jittered(base: Millis, doublings: u32, random: &mut fastrand::Rng) -> Millis {
    let full = base * (1 << doublings.min(DOUBLINGS_MAX));
    Millis(full.0 - random.u64(..=full.0 / 2))
}
