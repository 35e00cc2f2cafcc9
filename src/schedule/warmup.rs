//! Cold targets: their first tasks last longer than usual, which shows neither a fault nor a slow target.
//!
//! A cold target gets one task at a time, and the durations of its tasks are learnt apart from those of others.

use crate::clock::Millis;

use super::engine::Engine;
use super::event::Listing;

/// What is known of a target's warm-up.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Warmup {
    /// When the target is warm, by its own account.
    ends_at: Millis,
    /// Whether the target may have become cold while it got no tasks. One that succeeds shows that it is warm.
    unproven: bool,
}

impl Warmup {
    /// Records how much longer the target is cold by its listing.
    pub fn record_listing(&mut self, now: Millis, listing: &Listing) {
        self.ends_at = if listing.cold_left > Millis::ZERO {
            now + listing.cold_left
        } else {
            self.ends_at.min(now)
        };
    }

    /// Records that the target gets tasks again after a time without any.
    pub const fn record_return(&mut self) {
        self.unproven = true;
    }

    /// Records that a task has succeeded.
    pub const fn record_success(&mut self) {
        self.unproven = false;
    }

    /// Whether the target is, or may be, cold.
    pub fn is_cold(&self, now: Millis) -> bool {
        self.unproven || now < self.ends_at
    }

    /// Whether the target reports that it is cold.
    pub fn is_listed_cold(&self, now: Millis) -> bool {
        now < self.ends_at
    }
}

impl Engine {
    /// Updates how much longer than declared tasks last on a target.
    pub(super) fn update_slowness(&mut self, now: Millis, index: usize) {
        let target = &self.targets[index];
        let warm = self.speeds.slowness(&target.speed, target.kind());
        let factor =
            if target.warmup.is_listed_cold(now) { self.speeds.cold_factor() } else { 1.0 };
        self.targets[index].slowness = warm * factor;
    }
}
