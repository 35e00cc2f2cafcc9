//! Stalled and slow tasks: they are stopped so that they can run elsewhere, and their target is ejected.

use crate::clock::Millis;

use super::engine::{Engine, scaled};
use super::event::{Action, Running, Trouble};
use super::target::{Attempt, Phase, State, Target};

/// A task whose projected duration exceeds the expected one by this factor shows that its target has become slow.
/// Declared durations are off by half either way, so a smaller factor proves little.
const SLOW_FACTOR: f64 = 3.0;

/// The run time before which a task's progress proves nothing.
const SLOW_MIN: Millis = Millis(200);

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
                *progress = Progress { percent, reached_at: now };
            }
        }
    }

    /// Stops the stalled and slow tasks of a target if there is another healthy target.
    pub(super) fn stop_stalled(&mut self, now: Millis, index: usize, actions: &mut Vec<Action>) {
        let target = &self.targets[index];
        if target.phase != Phase::Owned || target.unsynced {
            return;
        }
        let is_cold = target.warmup.is_cold(now);
        let is_stalled = |attempt: &&Attempt| {
            attempt.state == State::Running && is_stalled(now, attempt, is_cold)
        };
        let stalled = target.attempts.iter().filter(is_stalled);
        let stalled =
            stalled.map(|attempt| (attempt.name.clone(), attempt.number)).collect::<Vec<_>>();
        let is_other = |(other, target): (usize, &Target)| other != index && target.is_healthy(now);
        let has_other = self.targets.iter().enumerate().any(is_other);
        if stalled.is_empty() || !has_other {
            return;
        }
        self.targets[index].health.record_stall(now);
        for (name, number) in stalled {
            self.report_unhealthy(now, index, (&name, number), Trouble::Stalled, actions);
            self.stop(index, &name, number, actions);
        }
    }
}

/// Whether an attempt has made no progress for too long, or is projected to last far longer than expected, as it may on a
/// cold target. The progress must be current, so call this only just after a poll.
fn is_stalled(now: Millis, attempt: &Attempt, is_cold: bool) -> bool {
    let elapsed = now - attempt.sent_at;
    let unchanged = now - attempt.progress.reached_at.max(attempt.sent_at);
    let has_stalled = unchanged > STALL_MIN.max(scaled(attempt.expected, STALL_FACTOR));
    let projected = elapsed.0 * 100 / u64::from(attempt.progress.percent.max(1));
    let is_slow =
        elapsed > SLOW_MIN && Millis(projected) > scaled(attempt.expected, SLOW_FACTOR) + SLOW_MIN;
    has_stalled || (is_slow && !is_cold)
}
