//! A histogram that many threads add to without a lock.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::clock::Millis;

/// Steps within each power of two; a value is told apart to within an eighth.
const STEPS: u64 = 8;

/// The number of buckets: enough for 2^32 ms, about seven weeks.
const BUCKETS: usize = 8 * 30;

/// Counts of times by size.
#[derive(Debug)]
pub struct Histogram {
    buckets: [AtomicU64; BUCKETS],
}

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
    pub const fn new() -> Self {
        Self { buckets: [const { AtomicU64::new(0) }; BUCKETS] }
    }

    /// Adds one time.
    pub fn add(&self, time: Millis) {
        self.buckets[bucket(time.0)].fetch_add(1, Ordering::Relaxed);
    }

    /// Empties the histogram and says what was in it.
    pub fn take(&self) -> Summary {
        let counts = self.buckets.each_ref().map(|bucket| bucket.swap(0, Ordering::Relaxed));
        let count = counts.iter().sum();
        Summary {
            count,
            p50: Millis(quantile(&counts, count.div_ceil(2))),
            p99: Millis(quantile(&counts, (count * 99).div_ceil(100))),
            max: Millis(quantile(&counts, count)),
        }
    }
}

impl Default for Histogram {
    fn default() -> Self {
        Self::new()
    }
}

fn bucket(value: u64) -> usize {
    if value < STEPS {
        return value as usize;
    }
    let shift = u64::from(value.ilog2() - STEPS.ilog2());
    let index = (shift + 1) * STEPS + (value >> shift) - STEPS;
    (index as usize).min(BUCKETS - 1)
}

/// The largest value of a bucket.
const fn upper(bucket: usize) -> u64 {
    let bucket = bucket as u64;
    if bucket < STEPS {
        return bucket;
    }
    let shift = bucket / STEPS - 1;
    ((bucket % STEPS + STEPS + 1) << shift) - 1
}

fn quantile(counts: &[u64; BUCKETS], rank: u64) -> u64 {
    let mut seen = 0;
    let found = counts.iter().position(|count| {
        seen += count;
        seen >= rank
    });
    if rank == 0 { 0 } else { found.map_or(0, upper) }
}
