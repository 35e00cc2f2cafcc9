//! How long targets take to answer starts.

use crate::clock::Millis;

/// The weight of a new sample: slow answers of a VM that is short of processor time show after a few.
const GAIN: f64 = 1.0 / 16.0;

/// Answers slower than this say that the VM itself is slow: that one is missing then says nothing of its target.
const USUAL_MAX: Millis = Millis(12);

/// What a sample counts at the most: a freeze of the VM is no more than a slow answer.
const SAMPLE_MAX: Millis = Millis(60);

/// A running mean.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Answers {
    /// Milliseconds.
    mean: f64,
}

impl Answers {
    /// Takes the time from a start to its answer.
    pub fn note(&mut self, took: Millis) {
        let took = took.min(SAMPLE_MAX);
        self.mean += GAIN * (took.0 as f64 - self.mean);
    }

    /// Whether answers usually come at once.
    pub fn are_quick(self) -> bool {
        self.mean <= USUAL_MAX.0 as f64
    }
}
