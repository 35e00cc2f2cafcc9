//! The numbers of the starts of tasks. A target refuses a start whose number is not above those it has seen of that
//! task, also when the same batch comes again after its end.

use std::collections::HashMap;
use std::mem;
use std::sync::Arc;

/// How many batches are remembered in each of the two generations: minutes of a busy VM's batches, in a few hundred
/// kilobytes.
const GENERATION: usize = 2048;

/// The highest start number of the batches that ended on this VM lately, by the callers' ids.
#[derive(Debug, Default)]
pub(super) struct Attempts {
    recent: HashMap<Arc<str>, u32>,
    older: HashMap<Arc<str>, u32>,
}

impl Attempts {
    /// Remembers that no task of a batch was started under a higher number than `highest`.
    pub fn remember(&mut self, batch: &Arc<str>, highest: u32) {
        let highest = highest.max(self.highest(batch));
        self.recent.insert(Arc::clone(batch), highest);
        if self.recent.len() >= GENERATION {
            self.older = mem::take(&mut self.recent);
        }
    }

    /// The highest number that is remembered of a batch; 0 if none is.
    pub fn highest(&self, batch: &str) -> u32 {
        let known = self.recent.get(batch).or_else(|| self.older.get(batch));
        known.copied().unwrap_or_default()
    }
}

/// The number to go on from after a target refused `refused` as too low; `None` if there is none above. Another VM
/// has started the task there, nobody knows how often, so the search doubles.
pub(super) const fn raised(refused: u32) -> Option<u32> {
    match refused {
        u32::MAX => None,
        _ => Some(refused.saturating_mul(2)),
    }
}
