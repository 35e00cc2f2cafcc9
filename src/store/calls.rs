//! Counts of the calls to the store.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::{Deserialize, Serialize};

/// Numbers of calls to the store since the client was created.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Calls {
    /// Reads that return at once.
    pub reads: u64,
    /// Writes and deletions of keys, and session calls.
    pub writes: u64,
    /// Reads that wait for a change.
    pub watches: u64,
    /// Calls of any kind without a response.
    pub unanswered: u64,
    /// Calls of any kind that the store rejected with status 429 or 5xx: rate limit or outage.
    pub refused: u64,
}

impl Calls {
    /// The number of calls of all kinds.
    pub const fn total(&self) -> u64 {
        self.reads + self.writes + self.watches
    }
}

/// Counts calls from several threads; read as [`Calls`].
#[derive(Debug, Default)]
pub struct Counter {
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
    unanswered: AtomicU64,
    refused: AtomicU64,
}

impl Counter {
    /// Counts a read that returns at once.
    pub fn read(&self) {
        self.reads.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a write, deletion or session call.
    pub fn write(&self) {
        self.writes.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a read that waits for a change.
    pub fn watch(&self) {
        self.watches.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a failed call by its HTTP status, `None` without a response.
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
