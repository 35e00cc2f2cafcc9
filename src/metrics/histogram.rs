//! A thread-safe histogram of times, reset at each reading.

use std::sync::{Mutex, PoisonError};

use hdrhistogram as hdr;

use crate::clock::Millis;

/// The longest time that the histogram resolves, about seven weeks. Longer ones count as this.
const TIME_MAX: Millis = Millis(1 << 32);

/// The precision of a time in decimal digits.
const SIGNIFICANT_DIGITS: u8 = 2;

/// The distribution of the times since the last reading.
#[derive(Debug)]
pub struct Histogram(Mutex<hdr::Histogram<u32>>);

/// Statistics of the times that were added between two readings.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Summary {
    /// The number of times.
    pub count: u64,
    /// The median.
    pub p50: Millis,
    /// The 99th percentile.
    pub p99: Millis,
    /// The longest time.
    pub max: Millis,
}

impl Histogram {
    /// Creates an empty histogram.
    pub fn new() -> Self {
        let times = hdr::Histogram::new_with_max(TIME_MAX.0, SIGNIFICANT_DIGITS);
        Self(Mutex::new(times.expect("the bounds of the histogram are valid")))
    }

    /// Adds one time.
    pub fn add(&self, time: Millis) {
        let mut times = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        times.saturating_record(time.0);
    }

    /// Returns the statistics of the times since the last reading and resets the histogram.
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
