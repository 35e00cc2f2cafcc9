//! The response time of targets to start calls.

use crate::clock::Millis;

/// The weight of a new sample. A few slow samples raise the mean when the VM is short of processor time.
const GAIN: f64 = 1.0 / 16.0;

/// A mean above this shows that the VM itself is slow, so an overdue response says nothing about its target.
const PROMPT_MAX: Millis = Millis(12);

/// Longer samples are cut to this, so that one freeze of the VM counts as a single slow response.
const SAMPLE_MAX: Millis = Millis(60);

/// A running mean of response times.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Latency {
    /// Milliseconds.
    mean: f64,
}

impl Latency {
    /// Adds the time between a start call and its response.
    pub fn record(&mut self, elapsed: Millis) {
        let elapsed = elapsed.min(SAMPLE_MAX);
        self.mean += GAIN * (elapsed.0 as f64 - self.mean);
    }

    /// Whether responses are usually prompt.
    pub fn is_prompt(self) -> bool {
        self.mean <= PROMPT_MAX.0 as f64
    }
}
