//! The failure domains that the operator has evacuated: no task may start on their targets.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::store::Index;

/// The evacuated failure domains, as read from the store or learnt from another VM.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Evacuation {
    /// The index of the store at which `domains` was read; 0 if it was not read yet.
    pub index: Index,
    /// The evacuated domains.
    pub domains: BTreeSet<Arc<str>>,
}

impl Evacuation {
    /// Adopts `other` if it was read at a higher index. Returns whether the domains have changed.
    pub fn update(&mut self, other: &Self) -> bool {
        if other.index <= self.index {
            return false;
        }
        self.index = other.index;
        let has_changed = self.domains != other.domains;
        if has_changed {
            self.domains.clone_from(&other.domains);
        }
        has_changed
    }

    /// Whether a VM that holds `other` lacks a change that this one knows.
    pub fn supersedes(&self, other: &Self) -> bool {
        self.index > other.index && self.domains != other.domains
    }
}
