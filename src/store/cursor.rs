//! The pace of a task that follows something in the store by one waiting call after another.

use std::fmt;

use smol::Timer;

use crate::clock::Millis;
use crate::event;

use super::Index;

/// How long one watch waits. A watch whose connection went silent is remade after it, and of several VMs
/// that watch the same, one is always sooner and tells the others.
pub const WATCH_WAIT: Millis = Millis::from_secs(10);

/// The pause after a call that failed or gave an older answer, before jitter of as much again.
const PAUSE: Millis = Millis(500);

/// The index to watch from, and whether the last call failed.
#[derive(Debug)]
pub struct Cursor {
    what: &'static str,
    index: Index,
    failing: bool,
}

impl Cursor {
    /// Starts to follow `what`, which names it in log lines.
    pub const fn new(what: &'static str) -> Self {
        Self { what, index: 0, failing: false }
    }

    /// The index to watch from; 0 to read at once.
    pub const fn index(&self) -> Index {
        self.index
    }

    /// Takes what a call gave, and pauses if the next one should not follow at once.
    pub async fn advance<E: fmt::Display>(&mut self, given: Result<Index, E>) {
        match given {
            Ok(index) => {
                if self.failing {
                    event!(info, "store-back", watch = self.what);
                }
                self.failing = false;
                let older = index < self.index;
                self.index = index;
                if older {
                    pause().await;
                }
            }
            Err(error) => {
                if !self.failing {
                    event!(warn, "store-out", watch = self.what, reason = error);
                }
                self.failing = true;
                self.index = 0;
                pause().await;
            }
        }
    }
}

async fn pause() {
    let jitter = Millis(fastrand::u64(0..=PAUSE.0));
    Timer::after((PAUSE + jitter).duration()).await;
}
