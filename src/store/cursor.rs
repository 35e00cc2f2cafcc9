//! The state of a loop that watches part of the store by one waiting read after another.

use std::fmt;

use smol::Timer;

use crate::clock::Millis;
use crate::event;

use super::Index;

/// How long one watch waits. This bounds how long a watch on an unreachable connection misses changes. Of several
/// VMs that watch the same keys, the first to see a change announces it to the others.
pub const WATCH_WAIT: Millis = Millis::from_secs(10);

/// The shortest pause after a read that failed again or went back to an older index; up to as much jitter is added.
const PAUSE_MIN: Millis = Millis(500);

/// The longest pause after a first failure, most of which concern one connection only. Shorter pauses are as likely.
pub const FIRST_PAUSE_MAX: Millis = Millis(50);

/// The index from which a loop watches the store, and whether its last read failed.
#[derive(Debug)]
pub struct Cursor {
    what: &'static str,
    index: Index,
    failing: bool,
}

impl Cursor {
    /// Creates a cursor at index 0. `what` names the watched data in log lines.
    pub const fn new(what: &'static str) -> Self {
        Self { what, index: 0, failing: false }
    }

    /// The index to pass to the next read; 0 makes it return at once.
    pub const fn index(&self) -> Index {
        self.index
    }

    /// Records the index that a read returned, or starts over at 0 after an error. Pauses after an error, at most
    /// [`FIRST_PAUSE_MAX`] after a first one, and when the store went back to an older index.
    pub async fn advance<E: fmt::Display>(&mut self, result: Result<Index, E>) {
        match result {
            Ok(index) => {
                if self.failing {
                    event!(info, "store-back", watch = self.what);
                }
                self.failing = false;
                let went_back = index < self.index;
                self.index = index;
                if went_back {
                    pause(PAUSE_MIN, PAUSE_MIN).await;
                }
            }
            Err(error) => {
                let is_first = !self.failing;
                self.failing = true;
                self.index = 0;
                if is_first {
                    event!(warn, "store-out", watch = self.what, reason = error);
                    pause(Millis::ZERO, FIRST_PAUSE_MAX).await;
                } else {
                    pause(PAUSE_MIN, PAUSE_MIN).await;
                }
            }
        }
    }
}

/// Waits for `least`, and up to `jitter_max` longer.
async fn pause(least: Millis, jitter_max: Millis) {
    let jitter = Millis(fastrand::u64(0..=jitter_max.0));
    Timer::after((least + jitter).duration()).await;
}
