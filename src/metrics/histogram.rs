//! A histogram of times that many threads add to, emptied at each reading.

use std::sync::{Mutex, PoisonError};

use hdrhistogram as hdr;

use crate::clock::Millis;

/// The longest time that is told apart, about seven weeks; longer ones count as this.
const LONGEST: Millis = Millis(1 << 32);

/// Significant decimal digits of a time.
const DIGITS: u8 = 2;

/// Counts of times by size.
#[derive(Debug)]
pub struct Histogram(Mutex<hdr::Histogram<u32>>);

/// What a histogram held since the last reading.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Summary {
    /// How many times were added.
    pub count: u64,
    /// The time that half of them stayed within.
    pub p50: Millis,
    /// The time that 99 of 100 stayed within.
    pub p99: Millis,
    /// The longest.
    pub max: Millis,
}

impl Histogram {
    /// An empty histogram.
    pub fn new() -> Self {
        let times = hdr::Histogram::new_with_max(LONGEST.0, DIGITS);
        Self(Mutex::new(times.expect("the bounds of the histogram are valid")))
    }

    /// Adds one time.
    pub fn add(&self, time: Millis) {
        let mut times = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        times.saturating_record(time.0);
    }

    /// Empties the histogram and says what was in it.
    pub fn take(&self) -> Summary {
        let mut times = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let summary = Summary {
            count: times.len(),
            p50: Millis(times.value_at_quantile(0.5)),
            p99: Millis(times.value_at_quantile(0.99)),
            max: Millis(times.max()),
        };
        times.reset();
        summary
    }
}

impl Default for Histogram {
    fn default() -> Self {
        Self::new()
    }
}
