//! Whether a target may be trusted with tasks: failures in a row, ejection, trial starts.

use crate::clock::Millis;
use crate::config::Ejection;
use crate::job;

/// Ends of other targets' tasks that are enough to tell a bad target from bad tasks.
const EVIDENCE_MIN: u64 = 3;
/// Jobs that a target remembers for not counting one job's failures twice.
const JOBS_REMEMBERED: usize = 8;

/// The longest pause between trials of a target that can't be reached.
const UNREACHED_PAUSE_MAX: Millis = Millis::from_secs(2);

/// Ends of a service's tasks so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Tally {
    /// Answered.
    pub done: u64,
    /// Failed or lost.
    pub failed: u64,
}

/// A row of failures without a success between.
#[derive(Debug)]
struct Row {
    service: usize,
    since: Millis,
    /// What the service's tally was before the first one.
    before: Tally,
    failures: u32,
    /// All failures, those of remembered jobs among them.
    ends: u64,
    jobs: Vec<job::Id>,
}

/// The pauses of a target that is ejected.
#[derive(Clone, Copy, Debug)]
struct Pause {
    until: Millis,
    length: Millis,
}

/// What one target's recent starts say about it.
#[derive(Debug, Default)]
pub struct Health {
    row: Option<Row>,
    /// Attempts in a row that did not reach the target.
    unreached: u32,
    pause: Option<Pause>,
}

impl Health {
    /// Whether the last task that ended here failed.
    pub const fn is_suspect(&self) -> bool {
        self.row.is_some() || self.unreached > 0
    }

    /// Whether the target gets trial starts only.
    pub const fn is_ejected(&self) -> bool {
        self.pause.is_some()
    }

    /// How many tasks the target may have at once, given what it may have when sound.
    pub fn allowance(&self, now: Millis, sound: u32, rules: &Ejection) -> u32 {
        if let Some(pause) = self.pause {
            return u32::from(pause.until <= now).min(sound);
        }
        if !self.is_suspect() {
            return sound;
        }
        let ends = self.row.as_ref().map_or(0, |row| row.ends) + u64::from(self.unreached);
        let left = u64::from(rules.failures).saturating_sub(ends) as u32;
        sound.min(left.max(1))
    }

    /// When a trial start may be made.
    pub fn trial(&self) -> Option<Millis> {
        self.pause.map(|pause| pause.until)
    }

    /// Notes an answer: the target is sound, or was when it started the task. A task that was
    /// started before a row of failures says nothing against the row.
    pub fn succeed(&mut self, started: Millis) {
        let outdated = |row: &Row| row.failures > 1 && started < row.since;
        if !self.row.as_ref().is_some_and(outdated) {
            *self = Self::default();
        }
    }

    /// Notes an attempt that did not reach the target. Returns whether it deserves ejection for
    /// them, whatever the others do: that can't be the task's fault.
    pub fn miss(&mut self, rules: &Ejection) -> bool {
        self.unreached += 1;
        self.unreached >= rules.failures
    }

    /// Notes a failure. Further ones of the same job don't count, since the job itself may be bad.
    pub fn fail(&mut self, now: Millis, service: usize, job: Option<job::Id>, before: Tally) {
        self.unreached = 0;
        let row = self.row.get_or_insert_with(|| Row {
            service,
            since: now,
            before,
            failures: 0,
            ends: 0,
            jobs: Vec::new(),
        });
        row.ends += 1;
        if job.is_some_and(|job| row.jobs.contains(&job)) {
            return;
        }
        row.failures += 1;
        if let Some(job) = job.filter(|_| row.jobs.len() < JOBS_REMEMBERED) {
            row.jobs.push(job);
        }
    }

    /// Whether the row is long enough for ejection, and it is not the service's tasks that fail
    /// everywhere.
    pub fn deserves_ejection(&self, rules: &Ejection, tally: impl Fn(usize) -> Tally) -> bool {
        let Some(row) = self.row.as_ref().filter(|row| row.failures >= rules.failures) else {
            return false;
        };
        let now = tally(row.service);
        let done = now.done - row.before.done;
        let failed = (now.failed - row.before.failed).saturating_sub(row.ends);
        done + failed < EVIDENCE_MIN || failed < done
    }

    /// Ejects the target, or makes the pause of one that failed its trial longer.
    pub fn eject(&mut self, now: Millis, rules: &Ejection) {
        let length = self.pause.map_or(rules.pause, |pause| pause.length * 2);
        // A trial of a target that can't be reached costs no task.
        let most = if self.unreached > 0 { UNREACHED_PAUSE_MAX } else { rules.pause_max };
        let length = length.min(rules.pause_max).min(most);
        self.pause = Some(Pause { until: now + length, length });
    }

    /// Takes the target back without a trial.
    pub fn reinstate(&mut self) {
        self.pause = None;
    }

    /// Puts off the next trial while one is under way.
    pub fn trying(&mut self, now: Millis) {
        if let Some(pause) = &mut self.pause {
            pause.until = now + pause.length;
        }
    }
}
