//! The arrival rate of work.

use crate::clock::Millis;

use super::queue::Work;

/// The averaging time of the arrival rate: long compared with the gaps between batches, short compared with a burst.
const SPAN: Millis = Millis(500);

/// The arrival rate of work, as the cores that the work keeps busy. Work that arrived [`SPAN`] ago counts for a third.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Arrivals {
    /// Thousandths of cores at the time `updated_at`.
    cpu: f64,
    updated_at: Millis,
}

impl Arrivals {
    /// Adds work.
    pub fn add(&mut self, now: Millis, work: Work) {
        self.cpu = self.cpu(now) + work as f64 / SPAN.0 as f64;
        self.updated_at = now;
    }

    /// Thousandths of cores that the arriving work keeps busy.
    pub fn cpu(&self, now: Millis) -> f64 {
        let elapsed = (now - self.updated_at).0 as f64 / SPAN.0 as f64;
        self.cpu * (-elapsed).exp()
    }
}
