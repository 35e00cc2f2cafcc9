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
    /// Those of all that got no answer.
    pub unanswered: u64,
    /// Those of all that the store refused: it is out, or too many calls were made.
    pub refused: u64,
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
    unanswered: AtomicU64,
    refused: AtomicU64,
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

    /// Counts how a call ended, by the status of its answer.
    pub fn record_status(&self, status: Option<u16>) {
        match status {
            None => self.unanswered.fetch_add(1, Ordering::Relaxed),
            Some(429 | 500..) => self.refused.fetch_add(1, Ordering::Relaxed),
            Some(_) => 0,
        };
    }

    /// The counts so far.
    pub fn calls(&self) -> Calls {
        Calls {
            reads: self.reads.load(Ordering::Relaxed),
            writes: self.writes.load(Ordering::Relaxed),
            watches: self.watches.load(Ordering::Relaxed),
            unanswered: self.unanswered.load(Ordering::Relaxed),
            refused: self.refused.load(Ordering::Relaxed),
        }
    }
}
