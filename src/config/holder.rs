//! The configuration in force on this VM, whose version never decreases.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use arc_swap::ArcSwap;
use event_listener::Event;
use serde::{Deserialize, Serialize};

use crate::audit;
use crate::event;

use super::snapshot::{Refusal, Snapshot, Update};

/// The current snapshot. Readers take it without a lock; an update replaces it by one pointer swap.
#[derive(Debug, Default)]
pub struct Holder {
    current: ArcSwap<Snapshot>,
    /// Serializes updates.
    update_lock: Mutex<()>,
    changed: Event,
    applied: AtomicU64,
    stale: AtomicU64,
    refused: AtomicU64,
}

/// The result of offering an update.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Offer {
    /// The update is in force.
    Applied,
    /// This version or a later one was in force already.
    Old,
}

/// Counts of this VM's configuration updates since the start of the process.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// How many versions came into force.
    pub applied: u64,
    /// How many responses and updates were older than the version in force.
    pub stale: u64,
    /// How many updates were refused as damaged or invalid.
    pub refused: u64,
}

impl Holder {
    /// Starts with `snapshot` in force.
    pub fn new(snapshot: Snapshot) -> Self {
        Self { current: ArcSwap::from_pointee(snapshot), ..Self::default() }
    }

    /// The version in force; 0 before any is known.
    pub fn version(&self) -> u64 {
        self.current.load().version
    }

    /// The snapshot in force.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.current.load_full()
    }

    /// Applies an update, from the store or from a peer, if it leads to a later version.
    pub fn offer(&self, update: Update) -> Result<Offer, Refusal> {
        let guard = self.update_lock.lock().unwrap_or_else(PoisonError::into_inner);
        let current = self.snapshot();
        if update.version <= current.version {
            if update.version < current.version {
                self.count_stale();
            }
            return Ok(Offer::Old);
        }
        let next = current.apply(update).inspect_err(|refusal| self.count_refusal(refusal))?;
        audit::log_applied(&current, &next);
        self.current.store(Arc::new(next));
        drop(guard);
        self.applied.fetch_add(1, Ordering::Relaxed);
        self.changed.notify(usize::MAX);
        Ok(Offer::Applied)
    }

    /// Waits until a version later than `version` is in force, and returns its snapshot.
    pub async fn newer_than(&self, version: u64) -> Arc<Snapshot> {
        loop {
            let changed = self.changed.listen();
            let snapshot = self.snapshot();
            if snapshot.version > version {
                return snapshot;
            }
            changed.await;
        }
    }

    /// The counts since the start of the process.
    pub fn counts(&self) -> Counts {
        Counts {
            applied: self.applied.load(Ordering::Relaxed),
            stale: self.stale.load(Ordering::Relaxed),
            refused: self.refused.load(Ordering::Relaxed),
        }
    }

    pub(super) fn count_stale(&self) {
        self.stale.fetch_add(1, Ordering::Relaxed);
    }

    fn count_refusal(&self, refusal: &Refusal) {
        // The update isn't at fault: it starts from a version that this VM doesn't have yet.
        if matches!(refusal, Refusal::Gap { .. }) {
            return;
        }
        self.refused.fetch_add(1, Ordering::Relaxed);
        event!(error, "config-refused", version = self.version(), reason = refusal);
    }
}
