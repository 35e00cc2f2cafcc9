//! Counts of the calls made to the store.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::{Deserialize, Serialize};

/// How many calls were made, by kind.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Calls {
    /// Reads that did not wait.
    pub reads: u64,
    /// Writes and deletions of keys, and all calls about sessions.
    pub writes: u64,
    /// Reads that waited for a change.
    pub watches: u64,
}

impl Calls {
    /// All calls together.
    pub const fn total(&self) -> u64 {
        self.reads + self.writes + self.watches
    }
}

/// The running counts behind [`Calls`].
#[derive(Debug, Default)]
pub struct Counter {
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
}

impl Counter {
    /// Counts a read.
    pub fn read(&self) {
        self.reads.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a write.
    pub fn write(&self) {
        self.writes.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a read that waits.
    pub fn watch(&self) {
        self.watches.fetch_add(1, Ordering::Relaxed);
    }

    /// The counts so far.
    pub fn calls(&self) -> Calls {
        Calls {
            reads: self.reads.load(Ordering::Relaxed),
            writes: self.writes.load(Ordering::Relaxed),
            watches: self.watches.load(Ordering::Relaxed),
        }
    }
}
