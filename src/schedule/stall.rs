//! Tasks that stand still, or crawl: they are stopped, so that they can run elsewhere, and their target rests.

use crate::clock::Millis;

use super::engine::{Engine, scaled};
use super::event::{Action, Running, Trouble};
use super::target::{Phase, Run, State, Target};

/// A task that will last this many times what is expected shows that its target has turned slow. Declared
/// times are off by half either way, so less says little.
const SLOW_FACTOR: f64 = 3.0;

/// What a task may last before its progress says anything.
const SLOW_MIN: Millis = Millis(200);

/// A task without any progress for so long stands still.
const STILL_MIN: Millis = Millis(300);

/// The same in parts of what it is expected to last: progress comes in whole percents.
const STILL_FACTOR: f64 = 0.3;

/// How far a task is, as its target said.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Progress {
    pub percent: u32,
    /// When it got that far.
    pub since: Millis,
}

impl Engine {
    /// Notes how far the tasks of a target are.
    pub(super) fn note_progress(&mut self, now: Millis, number: usize, running: &[Running]) {
        let target = &mut self.targets[number];
        for listed in running {
            let Some(percent) = listed.progress else { continue };
            let Some(index) = target.find(&listed.name, listed.attempt) else { continue };
            let progress = &mut target.runs[index].progress;
            if percent > progress.percent {
                *progress = Progress { percent, since: now };
            }
        }
    }

    /// Stops the tasks of a target that stand still or crawl, if there is another target to run them.
    pub(super) fn stop_stalled(&mut self, now: Millis, number: usize, actions: &mut Vec<Action>) {
        let target = &self.targets[number];
        if target.phase != Phase::Owned || target.unsure {
            return;
        }
        let is_stalled = |run: &&Run| run.state == State::Running && is_stalled(now, run);
        let stalled = target.runs.iter().filter(is_stalled);
        let stalled = stalled.map(|run| (run.name.clone(), run.attempt)).collect::<Vec<_>>();
        let is_other = |(other, target): (usize, &Target)| other != number && target.is_sound(now);
        let has_other = self.targets.iter().enumerate().any(is_other);
        if stalled.is_empty() || !has_other {
            return;
        }
        self.targets[number].health.stall(now);
        for (name, run) in stalled {
            self.distrust(now, number, (&name, run), Trouble::Stalled, actions);
            self.stop(number, &name, run, actions);
        }
    }
}

/// Whether a task made no progress since an earlier look, or will last far longer than expected. To be asked
/// just after a look.
fn is_stalled(now: Millis, run: &Run) -> bool {
    let lasted = now - run.sent;
    let still = now - run.progress.since.max(run.sent);
    let stands_still = still > STILL_MIN.max(scaled(run.expected, STILL_FACTOR));
    let will_last = lasted.0 * 100 / u64::from(run.progress.percent.max(1));
    let crawls =
        lasted > SLOW_MIN && Millis(will_last) > scaled(run.expected, SLOW_FACTOR) + SLOW_MIN;
    stands_still || crawls
}
