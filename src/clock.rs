//! Time in whole milliseconds: one type for points and spans, and the source that reads it.

use std::fmt;
use std::ops::{Add, Mul, Sub};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

/// A span of time, or a point on a [`Clock`], in milliseconds. Arithmetic saturates.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// The zero span, and the point at which a [`Clock`] starts.
    pub const ZERO: Self = Self(0);

    /// The span of `seconds`.
    pub const fn from_secs(seconds: u64) -> Self {
        Self(seconds.saturating_mul(1000))
    }

    /// The present time since the Unix epoch, for records that people read. No decision rests on it.
    pub fn since_epoch() -> Self {
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().into()
    }

    /// The span as the standard library's type.
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl Add for Millis {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl Sub for Millis {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl Mul<u64> for Millis {
    type Output = Self;

    fn mul(self, factor: u64) -> Self {
        Self(self.0.saturating_mul(factor))
    }
}

impl From<Duration> for Millis {
    fn from(duration: Duration) -> Self {
        Self(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}

/// A monotonic clock that counts from its creation.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Starts a clock at [`Millis::ZERO`].
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// The time since the clock was started.
    pub fn now(&self) -> Millis {
        self.origin.elapsed().into()
    }
}
