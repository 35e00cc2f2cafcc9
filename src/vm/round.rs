//! Keeps the highest round of the fencing tokens in the store, so that VMs that start after the loss of all others know
//! which rounds the targets have seen.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use smol::Timer;

use crate::clock::Millis;
use crate::event;
use crate::schedule::Fence;
use crate::store::{Condition, Entry, Error};

use super::node::Node;

/// The pause between two comparisons of the round in use with the stored one, without jitter.
const CHECK_INTERVAL: Millis = Millis(200);

impl Node {
    /// Reads the stored round, then stores each higher one of this VM's tokens, until the process ends.
    ///
    /// No acquisition waits for a write: if the stored round is too low, the targets deny the first tokens.
    pub(super) async fn keep_round(self: Arc<Self>) {
        let key = format!("{}/round", self.settings.prefix);
        let mut stored = None;
        loop {
            if stored.is_none_or(|stored| stored < self.round_in_use()) {
                match self.sync_round(&key).await {
                    Ok(round) => stored = Some(round),
                    Err(error) => event!(debug, "round-not-stored", reason = error),
                }
            }
            if stored.is_some() && !self.round_is_known.swap(true, Ordering::Relaxed) {
                self.update_ownership();
            }
            let jitter = Millis(fastrand::u64(0..=CHECK_INTERVAL.0 / 2));
            Timer::after((CHECK_INTERVAL + jitter).duration()).await;
        }
    }

    /// The highest round of this VM's tokens.
    fn round_in_use(&self) -> u64 {
        self.lock().engine.round()
    }

    /// Learns the stored round, or stores that of this VM if it is higher. Returns the stored round.
    async fn sync_round(&self, key: &str) -> Result<u64, Error> {
        let entry = self.store.get(key).await?;
        let stored = entry.as_ref().map_or(0, round_of);
        let in_use = self.round_in_use();
        if in_use <= stored {
            let mut core = self.lock();
            core.round = core.round.max(stored);
            return Ok(stored);
        }
        let condition = entry.map_or(Condition::Absent, |entry| Condition::Unchanged(entry.index));
        let is_written = self.store.put(key, in_use.to_string().into_bytes(), condition).await?;
        Ok(if is_written { in_use } else { stored })
    }
}

/// The round in an entry; 0 if it is no round that a token can carry.
fn round_of(entry: &Entry) -> u64 {
    match serde_json::from_slice(&entry.value) {
        Ok(round) if Fence::can_carry(round) => round,
        _ => {
            event!(warn, "round-unreadable", key = entry.key);
            0
        }
    }
}
