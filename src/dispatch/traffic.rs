//! The limit on control traffic: a bucket of bytes that fills at a fixed rate.

use crate::clock::Millis;

/// How much of its rate the bucket holds.
const SAVED_MAX: Millis = Millis(500);

/// What may be sent.
#[derive(Debug)]
pub struct Traffic {
    /// The rate, in bytes a second, which is thousandths of bytes a millisecond.
    rate: u64,
    /// What may be sent now, in thousandths of bytes.
    saved: u64,
    at: Millis,
}

impl Traffic {
    /// A bucket that is empty and does not fill.
    pub const fn new() -> Self {
        Self { rate: 0, saved: 0, at: Millis::ZERO }
    }

    /// Sets the rate, in bytes a second.
    pub fn limit(&mut self, rate: u64) {
        if self.rate == 0 {
            self.saved = rate * SAVED_MAX.0;
        }
        self.rate = rate;
    }

    /// Whether a message of this size may be sent.
    pub fn allows(&mut self, now: Millis, bytes: u64) -> bool {
        self.saved = self.level(now);
        self.at = now;
        self.saved >= bytes * 1000
    }

    /// Takes a message out.
    pub const fn spend(&mut self, bytes: u64) {
        self.saved = self.saved.saturating_sub(bytes * 1000);
    }

    /// Whether half of what can be saved is there.
    pub fn is_ample(&self, now: Millis) -> bool {
        self.level(now) * 2 >= self.rate * SAVED_MAX.0
    }

    /// How long until a message of this size may be sent, from the last look on.
    pub fn pause(&self, bytes: u64) -> Millis {
        let lacking = (bytes * 1000).saturating_sub(self.saved);
        Millis(lacking.div_ceil(self.rate.max(1)))
    }

    fn level(&self, now: Millis) -> u64 {
        (self.saved + (now - self.at).0 * self.rate).min(self.rate * SAVED_MAX.0)
    }
}
