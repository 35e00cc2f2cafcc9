//! A token bucket that limits control traffic.

use crate::clock::Millis;

/// The bucket's capacity, as the time in which it fills.
const FILL_TIME: Millis = Millis(500);

/// A token bucket of bytes.
#[derive(Debug)]
pub struct Limiter {
    /// Bytes per second, which equals thousandths of a byte per millisecond.
    rate: u64,
    /// The tokens as of `refilled_at`, in thousandths of a byte.
    tokens: u64,
    refilled_at: Millis,
}

impl Limiter {
    /// Creates an empty bucket that does not fill.
    pub const fn new() -> Self {
        Self { rate: 0, tokens: 0, refilled_at: Millis::ZERO }
    }

    /// Sets the rate, in bytes per second. The first rate fills the bucket.
    pub fn set_rate(&mut self, rate: u64) {
        if self.rate == 0 {
            self.tokens = rate * FILL_TIME.0;
        }
        self.rate = rate;
    }

    /// Refills the bucket and returns whether a message of `bytes` may be sent.
    pub fn allows(&mut self, now: Millis, bytes: u64) -> bool {
        self.tokens = self.level(now);
        self.refilled_at = now;
        self.tokens >= bytes * 1000
    }

    /// Takes the tokens of a message.
    pub const fn spend(&mut self, bytes: u64) {
        self.tokens = self.tokens.saturating_sub(bytes * 1000);
    }

    /// Whether the bucket is at least half full.
    pub fn is_ample(&self, now: Millis) -> bool {
        self.level(now) * 2 >= self.rate * FILL_TIME.0
    }

    /// How long after the last refill a message of `bytes` may be sent.
    pub fn pause(&self, bytes: u64) -> Millis {
        let lacking = (bytes * 1000).saturating_sub(self.tokens);
        Millis(lacking.div_ceil(self.rate.max(1)))
    }

    fn level(&self, now: Millis) -> u64 {
        (self.tokens + (now - self.refilled_at).0 * self.rate).min(self.rate * FILL_TIME.0)
    }
}
