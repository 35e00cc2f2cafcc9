//! Stalled and slow tasks: they are stopped so that they can run elsewhere, and their target is ejected.

use crate::batch::Name;
use crate::clock::Millis;

use super::engine::{Engine, scaled};
use super::event::{Action, BatchId, Running, Trouble};
use super::target::{Attempt, Phase, State, Target};

/// A task whose projected duration exceeds the expected one by this factor shows that its target has become slow.
/// Declared durations are off by half either way, so a smaller factor proves little.
const SLOW_FACTOR: f64 = 3.0;

/// The run time before which a task's progress proves nothing.
const SLOW_MIN: Millis = Millis(200);

/// A task whose projected duration exceeds the expected one by less than this factor shows that its target is sound.
const SOUND_FACTOR: f64 = 2.0;

/// The progress in percent from which a projected duration can show that a target is sound.
const SOUND_PERCENT: u32 = 20;

/// Slow tasks of different batches, with no usual one between, that show a slow target although tasks of their queues are
/// known to be long at times.
const SLOW_STREAK_MAX: usize = 3;

/// The shortest time without progress after which a task counts as stalled.
const STALL_MIN: Millis = Millis(300);

/// The same limit as a share of the expected duration, since progress is reported in whole percents.
const STALL_FACTOR: f64 = 0.3;

/// The progress of a task, as last reported by its target.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Progress {
    pub percent: u32,
    /// When `percent` was first reported.
    pub reached_at: Millis,
    /// Whether the task has looked slow.
    pub looked_slow: bool,
}

/// What the progress of an attempt shows. It must be current, so judge only just after a poll.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Pace {
    /// It is too early to tell, or neither is clear.
    Unclear,
    /// The attempt is about as fast as expected.
    Sound,
    /// It will last far longer than expected.
    Slow,
    /// It has made no progress for too long.
    Stalled,
}

impl Pace {
    fn of(now: Millis, attempt: &Attempt) -> Self {
        let elapsed = now - attempt.sent_at;
        let Progress { percent, reached_at, .. } = attempt.progress;
        let unchanged = now - reached_at.max(attempt.sent_at);
        let projected = Millis(elapsed.0 * 100 / u64::from(percent.max(1)));
        if unchanged > STALL_MIN.max(scaled(attempt.expected, STALL_FACTOR)) {
            Self::Stalled
        } else if elapsed > SLOW_MIN && is_slow(projected, attempt.expected) {
            Self::Slow
        } else if percent >= SOUND_PERCENT && projected < scaled(attempt.expected, SOUND_FACTOR) {
            Self::Sound
        } else {
            Self::Unclear
        }
    }
}

/// Whether a duration is far longer than expected.
pub(super) fn is_slow(duration: Millis, expected: Millis) -> bool {
    duration > scaled(expected, SLOW_FACTOR) + SLOW_MIN
}

impl Engine {
    /// Records the progress of the tasks that a target lists.
    pub(super) fn record_progress(&mut self, now: Millis, index: usize, running: &[Running]) {
        let target = &mut self.targets[index];
        for listed in running {
            let Some(percent) = listed.progress else { continue };
            let Some(position) = target.find(&listed.name, listed.attempt) else { continue };
            let progress = &mut target.attempts[position].progress;
            if percent > progress.percent {
                *progress = Progress { percent, reached_at: now, ..*progress };
            }
        }
    }

    /// Stops the stalled and slow tasks of a target if there is another healthy target.
    pub(super) fn stop_stalled(&mut self, now: Millis, index: usize, actions: &mut Vec<Action>) {
        let target = &self.targets[index];
        if target.phase != Phase::Owned || target.unsynced {
            return;
        }
        let running = target.attempts.iter().filter(|attempt| attempt.state == State::Running);
        let mut stalled = Vec::new();
        let mut slow = Vec::new();
        let mut is_sound = false;
        for attempt in running {
            match Pace::of(now, attempt) {
                Pace::Stalled => stalled.push((attempt.name.clone(), attempt.number)),
                Pace::Slow if !attempt.is_orphan() => slow.push((attempt.batch, attempt.task)),
                Pace::Sound => is_sound = true,
                Pace::Slow | Pace::Unclear => {}
            }
        }
        if (stalled.is_empty() && slow.is_empty()) || !self.has_other(now, index) {
            return;
        }
        if stalled.is_empty() && !target.warmup.is_cold(now) {
            stalled = self.slowed_by_target(index, &slow, is_sound);
        }
        if stalled.is_empty() {
            return;
        }
        self.targets[index].health.record_stall(now);
        for (name, number) in stalled {
            self.report_unhealthy(now, index, (&name, number), Trouble::Stalled, actions);
            self.stop(index, &name, number, actions);
        }
    }

    fn has_other(&self, now: Millis, index: usize) -> bool {
        let is_other = |(other, target): (usize, &Target)| other != index && target.is_healthy(now);
        self.targets.iter().enumerate().any(is_other)
    }

    /// The attempts, of those at `slow` tasks, that are slow because of their target. The others are at long tasks, which
    /// would be as long elsewhere. If `is_sound`, another attempt shows that the target is sound.
    fn slowed_by_target(
        &mut self,
        index: usize,
        slow: &[(BatchId, usize)],
        is_sound: bool,
    ) -> Vec<(Name, u32)> {
        for &(id, task) in slow {
            self.record_slow(index, id, task, is_sound);
        }
        let target = &self.targets[index];
        let is_slow_target = target.slow_batches.len() >= SLOW_STREAK_MAX && !is_sound;
        let mut stopped = Vec::new();
        for &(id, task) in slow {
            let Some(batch) = self.batches.get_mut(&id) else { continue };
            let was_slow_elsewhere = batch.tasks[task].slow_on.is_some_and(|other| other != index);
            let is_long = is_sound
                || was_slow_elsewhere
                || (self.tails.is_likely_long(&batch.spec.queue) && !is_slow_target);
            let found = self.targets[index]
                .attempts
                .iter()
                .find(|attempt| attempt.batch == id && attempt.task == task);
            if let Some(found) = found.filter(|_| !is_long) {
                batch.tasks[task].slow_on = Some(index);
                stopped.push((found.name.clone(), found.number));
            }
        }
        stopped
    }

    /// Records that an attempt looks slow. Learns that its task is long if it looked slow elsewhere too, or if its target is
    /// sound.
    fn record_slow(&mut self, index: usize, id: BatchId, task: usize, is_sound: bool) {
        let target = &mut self.targets[index];
        let attempt =
            target.attempts.iter_mut().find(|known| known.batch == id && known.task == task);
        let Some(attempt) = attempt.filter(|attempt| !attempt.progress.looked_slow) else { return };
        attempt.progress.looked_slow = true;
        if target.slow_batches.len() < SLOW_STREAK_MAX && !target.slow_batches.contains(&id) {
            target.slow_batches.push(id);
        }
        let Some(batch) = self.batches.get(&id) else { return };
        let was_slow_elsewhere = batch.tasks[task].slow_on.is_some_and(|other| other != index);
        if was_slow_elsewhere || is_sound {
            self.tails.record_long(&batch.spec.queue);
        }
    }

    /// Records the duration of an attempt that is done. A usual one shows that its target is sound, and, if its task looked
    /// slow on another target, that the other one was slow.
    pub(super) fn record_pace(&mut self, index: usize, attempt: &Attempt, duration: Millis) {
        let is_slow = attempt.progress.looked_slow || is_slow(duration, attempt.expected);
        if is_slow {
            return;
        }
        self.targets[index].slow_batches.clear();
        let Some(batch) = self.batches.get(&attempt.batch) else { return };
        if batch.tasks[attempt.task].slow_on.is_some() {
            self.tails.record_slow_target(&batch.spec.queue);
        }
    }
}
