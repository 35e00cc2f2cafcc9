//! Time in whole milliseconds: one type for durations and instants, and a monotonic clock that also counts the time for
//! which the machine was suspended.

use std::fmt;
use std::ops::{Add, Mul, Sub};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

use serde::{Deserialize, Serialize};

/// A duration, or an instant on a [`Clock`], in milliseconds. Arithmetic saturates.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// The zero duration, and the instant at which a [`Clock`] starts.
    pub const ZERO: Self = Self(0);

    /// Creates a duration from seconds.
    pub const fn from_secs(seconds: u64) -> Self {
        Self(seconds.saturating_mul(1000))
    }

    /// Returns the wall-clock time since the Unix epoch. It is only for records that people read: no decision
    /// depends on it.
    pub fn since_epoch() -> Self {
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().into()
    }

    /// Converts to the standard library's type.
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

/// A monotonic clock that starts at zero. It goes on while the machine is suspended, as others go on meanwhile.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// The time from the boot of the machine to the start of the clock.
    origin: Duration,
}

impl Clock {
    /// Starts a clock. Its time is now [`Millis::ZERO`].
    pub fn start() -> Self {
        Self { origin: since_boot() }
    }

    /// Returns the time since the clock was started.
    pub fn now(&self) -> Millis {
        since_boot().saturating_sub(self.origin).into()
    }
}

/// The time since the boot of the machine, suspended time included.
fn since_boot() -> Duration {
    clock_gettime(ClockId::Boottime).try_into().unwrap_or_default()
}
