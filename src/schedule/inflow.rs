//! How much work comes in.

use crate::clock::Millis;

/// The time over which arrivals are averaged: long against the pauses between batches, short against a burst.
const SPAN: Millis = Millis(500);

/// The work that came lately, as the cores that it keeps busy. What came [`SPAN`] ago counts for a third.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Inflow {
    /// Thousandths of cores, at the time `at`.
    cpu: f64,
    at: Millis,
}

impl Inflow {
    /// Adds work, in thousandths of a core times milliseconds.
    pub fn add(&mut self, now: Millis, work: u64) {
        self.cpu = self.cpu(now) + work as f64 / SPAN.0 as f64;
        self.at = now;
    }

    /// The thousandths of cores that the work keeps busy.
    pub fn cpu(&self, now: Millis) -> f64 {
        let passed = (now - self.at).0 as f64 / SPAN.0 as f64;
        self.cpu * (-passed).exp()
    }
}
