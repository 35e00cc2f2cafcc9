//! The routes in force on this VM, whose version never decreases.

use std::sync::Arc;

use arc_swap::ArcSwap;

use super::Table;

/// The routes in force together with the text that they were decoded from. Readers take both without a lock.
#[derive(Debug, Default)]
pub struct Holder {
    current: ArcSwap<Snapshot>,
}

/// The routes of one version and the text that they were decoded from.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The routes.
    pub table: Arc<Table>,
    /// The encoded configuration.
    pub text: Arc<Vec<u8>>,
}

impl Holder {
    /// The version in force; 0 before any is known.
    pub fn version(&self) -> u64 {
        self.current.load().table.version
    }

    /// The routes in force.
    pub fn table(&self) -> Arc<Table> {
        Arc::clone(&self.current.load().table)
    }

    /// The routes in force and their text.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.current.load_full()
    }

    /// Puts `table` in force if its version is later than the one in force, and returns the version that it replaced;
    /// `None` if it isn't later.
    pub fn offer(&self, table: Table, text: &[u8]) -> Option<u64> {
        let version = table.version;
        if version <= self.version() {
            return None;
        }
        let offered = Arc::new(Snapshot { table: Arc::new(table), text: Arc::new(text.to_vec()) });
        // The closure runs again if another offer was faster, so that of two the later version stays.
        let previous = self.current.rcu(|current| {
            let is_later = version > current.table.version;
            Arc::clone(if is_later { &offered } else { current })
        });
        Some(previous.table.version).filter(|previous| version > *previous)
    }
}
