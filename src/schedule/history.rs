//! Attempt numbers of recent batches. A target refuses a start whose attempt number is not above every number that
//! it has seen for the task, even if the batch is submitted again after its end.

use std::collections::HashMap;
use std::mem;
use std::sync::Arc;

/// Batches kept in each of the two generations: minutes of a busy VM's batches, in a few hundred kilobytes.
const GENERATION: usize = 2048;

/// The highest attempt number of each batch that ended on this VM recently, by the caller's id.
#[derive(Debug, Default)]
pub(super) struct History {
    recent: HashMap<Arc<str>, u32>,
    older: HashMap<Arc<str>, u32>,
}

impl History {
    /// Records that no task of the batch had an attempt number above `highest`.
    pub fn record(&mut self, batch: &Arc<str>, highest: u32) {
        let highest = highest.max(self.highest(batch));
        self.recent.insert(Arc::clone(batch), highest);
        if self.recent.len() >= GENERATION {
            self.older = mem::take(&mut self.recent);
        }
    }

    /// The highest attempt number recorded for a batch; 0 if none is.
    pub fn highest(&self, batch: &str) -> u32 {
        let known = self.recent.get(batch).or_else(|| self.older.get(batch));
        known.copied().unwrap_or_default()
    }
}

/// The number to continue from after a target refused the attempt number `refused` as too low; `None` if no higher
/// one exists. Another VM has made attempts at the task, an unknown number of them, so the search doubles.
pub(super) const fn raised(refused: u32) -> Option<u32> {
    match refused {
        u32::MAX => None,
        _ => Some(refused.saturating_mul(2)),
    }
}
