//! A target's health: failure streaks, ejection and trial attempts.

use crate::clock::Millis;
use crate::config::Ejection;
use crate::job;

/// Results from other targets that are enough to tell a bad target from bad tasks.
const OTHER_RESULTS_MIN: u64 = 3;
/// The jobs that a streak remembers, to count each job's failures once.
const JOBS_MAX: usize = 8;
/// The maximum time between trials of an unreachable target.
const UNREACHABLE_TIME_MAX: Millis = Millis::from_secs(2);

/// The results of a service's attempts so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Tally {
    /// Attempts that were answered.
    pub done: u64,
    /// Attempts that failed or were lost.
    pub failed: u64,
}

/// Failures without a success between them.
#[derive(Debug)]
struct Streak {
    /// The service of the first failed task.
    service: usize,
    started_at: Millis,
    /// The service's tally before the first failure.
    tally_before: Tally,
    /// Failures, counting each remembered job once.
    failures: u32,
    /// All failures.
    failures_total: u64,
    /// The jobs whose failures were counted.
    jobs: Vec<job::Id>,
}

/// The ejection of a target.
#[derive(Clone, Copy, Debug)]
struct Ejected {
    /// When the next trial attempt may be made.
    until: Millis,
    /// The time between trials.
    time: Millis,
}

/// A target's health by the results of its recent attempts.
#[derive(Debug, Default)]
pub struct Health {
    streak: Option<Streak>,
    /// Consecutive attempts that did not reach the target.
    unreached: u32,
    ejected: Option<Ejected>,
}

impl Health {
    /// Whether the last attempt failed or did not reach the target.
    pub const fn is_suspect(&self) -> bool {
        self.streak.is_some() || self.unreached > 0
    }

    /// Whether the target gets trial attempts only.
    pub const fn is_ejected(&self) -> bool {
        self.ejected.is_some()
    }

    /// The tasks that the target may run at once, out of the `slots` that it may use when healthy.
    pub fn allowance(&self, now: Millis, slots: u32, rules: &Ejection) -> u32 {
        if let Some(ejected) = self.ejected {
            return u32::from(ejected.until <= now).min(slots);
        }
        if !self.is_suspect() {
            return slots;
        }
        let failures = self.streak.as_ref().map_or(0, |streak| streak.failures_total);
        let failures = failures + u64::from(self.unreached);
        let left = u64::from(rules.failures).saturating_sub(failures) as u32;
        slots.min(left.max(1))
    }

    /// When the next trial attempt may be made, if the target is ejected.
    pub fn next_trial_at(&self) -> Option<Millis> {
        self.ejected.map(|ejected| ejected.until)
    }

    /// Records a success: the target is healthy, or was when the task started. A task that started
    /// before a streak of several failures doesn't end the streak.
    pub fn record_success(&mut self, started: Millis) {
        let predates = |streak: &Streak| streak.failures > 1 && started < streak.started_at;
        if !self.streak.as_ref().is_some_and(predates) {
            *self = Self::default();
        }
    }

    /// Records an attempt that did not reach the target. Returns whether there were enough in a row
    /// for ejection. Other targets' results don't matter, since this can't be the task's fault.
    pub fn record_unreached(&mut self, rules: &Ejection) -> bool {
        self.unreached += 1;
        self.unreached >= rules.failures
    }

    /// Records a failure. Further ones of the same job don't count: the job itself may be bad.
    pub fn record_failure(
        &mut self,
        now: Millis,
        service: usize,
        job: Option<job::Id>,
        tally_before: Tally,
    ) {
        self.unreached = 0;
        let streak = self.streak.get_or_insert_with(|| Streak {
            service,
            started_at: now,
            tally_before,
            failures: 0,
            failures_total: 0,
            jobs: Vec::new(),
        });
        streak.failures_total += 1;
        if job.is_some_and(|job| streak.jobs.contains(&job)) {
            return;
        }
        streak.failures += 1;
        if let Some(job) = job.filter(|_| streak.jobs.len() < JOBS_MAX) {
            streak.jobs.push(job);
        }
    }

    /// Whether the streak is long enough for ejection and the service's tasks don't fail on most
    /// other targets as well.
    pub fn should_eject(&self, rules: &Ejection, tally: impl Fn(usize) -> Tally) -> bool {
        let Some(streak) = self.streak.as_ref().filter(|streak| streak.failures >= rules.failures)
        else {
            return false;
        };
        let tally = tally(streak.service);
        let done = tally.done - streak.tally_before.done;
        let failed = tally.failed - streak.tally_before.failed;
        // What is left are the failures on other targets.
        let failed = failed.saturating_sub(streak.failures_total);
        done + failed < OTHER_RESULTS_MIN || failed < done
    }

    /// Ejects the target, or doubles the ejection time of one that failed its trial.
    pub fn eject(&mut self, now: Millis, rules: &Ejection) {
        let time = self.ejected.map_or(rules.pause, |ejected| ejected.time * 2);
        // A trial that can't reach the target costs no task.
        let time_max = if self.unreached > 0 { UNREACHABLE_TIME_MAX } else { rules.pause_max };
        let time = time.min(rules.pause_max).min(time_max);
        self.ejected = Some(Ejected { until: now + time, time });
    }

    /// Ends the ejection without a trial.
    pub fn reinstate(&mut self) {
        self.ejected = None;
    }

    /// Puts off the next trial when one starts.
    pub fn start_trial(&mut self, now: Millis) {
        if let Some(ejected) = &mut self.ejected {
            ejected.until = now + ejected.time;
        }
    }
}
