//! Tells a long task from a slow target.
//!
//! Durations of some queues have a long tail: a few tasks last many times as long as the others, wherever they run. Such a
//! task looks like one on a slow target, but stopping it throws its work away, and ejecting its target wastes sound
//! capacity. How often a task that looks slow turns out to be long is learnt by queue.

use std::collections::HashMap;
use std::sync::Arc;

/// The weight that an observation keeps when the next one is made, so that about the last 50 count.
const DECAY: f64 = 0.98;

/// The observations before which a task that looks slow counts as on a slow target.
const OBSERVATIONS_MIN: f64 = 2.5;

/// The share of long tasks among those that look slow from which such a task gets the benefit of the doubt.
const LONG_SHARE_MIN: f64 = 0.5;

/// What tasks of one queue that looked slow turned out to be.
#[derive(Clone, Copy, Debug, Default)]
struct Observations {
    /// The task was long.
    long: f64,
    /// Its target was slow.
    slow: f64,
}

/// Which queues have a long tail of durations.
#[derive(Debug, Default)]
pub(super) struct Tails {
    queues: HashMap<Arc<str>, Observations>,
}

impl Tails {
    /// Records that a task of `queue` that looked slow was long, as it looked slow elsewhere too or its target was sound.
    pub fn record_long(&mut self, queue: &Arc<str>) {
        self.observe(queue).long += 1.0;
    }

    /// Records that a task of `queue` that looked slow was not long, as it was usual on another target.
    pub fn record_slow_target(&mut self, queue: &Arc<str>) {
        self.observe(queue).slow += 1.0;
    }

    /// Whether a task of `queue` that looks slow is more likely long than on a slow target.
    pub fn is_likely_long(&self, queue: &str) -> bool {
        let Some(Observations { long, slow }) = self.queues.get(queue) else { return false };
        let count = long + slow;
        count >= OBSERVATIONS_MIN && *long >= LONG_SHARE_MIN * count
    }

    fn observe(&mut self, queue: &Arc<str>) -> &mut Observations {
        let observations = self.queues.entry(Arc::clone(queue)).or_default();
        observations.long *= DECAY;
        observations.slow *= DECAY;
        observations
    }
}
