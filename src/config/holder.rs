//! The configuration in force on this VM. Its version only goes up.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use arc_swap::ArcSwap;
use event_listener::Event;
use serde::{Deserialize, Serialize};

use crate::audit;
use crate::event;

use super::snapshot::{Refusal, Snapshot, Update};

/// Readers take the present snapshot without a lock; a new one is put in by one pointer swap.
#[derive(Debug, Default)]
pub struct Holder {
    current: ArcSwap<Snapshot>,
    turn: Mutex<()>,
    changed: Event,
    applied: AtomicU64,
    stale: AtomicU64,
    refused: AtomicU64,
}

/// What became of an update that was taken or left.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Offer {
    /// It is in force.
    Applied,
    /// This or a later version was in force already.
    Old,
}

/// What has happened to the configuration of this VM since its start.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Versions that came into force.
    pub applied: u64,
    /// Answers and news older than the version in force.
    pub stale: u64,
    /// News that could not be taken.
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

    /// What is in force now.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.current.load_full()
    }

    /// Takes an update, from the store or from a peer, if it leads to a later version.
    pub fn offer(&self, update: Update) -> Result<Offer, Refusal> {
        let turn = self.turn.lock().unwrap_or_else(PoisonError::into_inner);
        let held = self.snapshot();
        if update.version <= held.version {
            if update.version < held.version {
                self.count_stale();
            }
            return Ok(Offer::Old);
        }
        let next = held.apply(update).inspect_err(|refusal| self.refuse(refusal))?;
        audit::log_applied(&held, &next);
        self.current.store(Arc::new(next));
        drop(turn);
        self.applied.fetch_add(1, Ordering::Relaxed);
        self.changed.notify(usize::MAX);
        Ok(Offer::Applied)
    }

    /// Waits until a version after `version` is in force, and gives what is then.
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

    /// The counts since the start.
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

    fn refuse(&self, refusal: &Refusal) {
        if matches!(refusal, Refusal::Gap { .. }) {
            return;
        }
        self.refused.fetch_add(1, Ordering::Relaxed);
        event!(error, "config-refused", version = self.version(), reason = refusal);
    }
}
