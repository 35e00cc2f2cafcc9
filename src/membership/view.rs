//! The VMs and the leaving targets, as last read from the store.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::job::Incarnation;
use crate::ownership::Quota;
use crate::store::Index;

/// What a VM publishes about itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Registration {
    /// The VM's name.
    pub vm: String,
    /// The VM's failure domain.
    pub domain: String,
    /// The VM's region.
    pub region: String,
    /// The incarnation of the VM's process.
    pub incarnation: Incarnation,
    /// The address for callers.
    #[serde(rename = "callers")]
    pub caller_address: SocketAddr,
    /// The address for other VMs.
    #[serde(rename = "peers")]
    pub peer_address: SocketAddr,
    /// Whether the VM is draining: it is about to stop and accepts no new jobs.
    pub draining: bool,
    /// The CPU that the VM may use, in thousandths of a core; 0 if unknown.
    #[serde(default)]
    pub cpu: u32,
    /// How many targets the VM may own.
    #[serde(default, skip_serializing_if = "Quota::is_largest")]
    pub quota: Quota,
}

/// The version of a part of the view, ordered by epoch and then by index.
///
/// A store that was set up again counts its index from 1 again. A VM that reads lower indexes for long enough
/// begins the next epoch.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Version {
    /// How many times the store was found to be set up again.
    pub epoch: u64,
    /// The store's index of the read.
    pub index: Index,
}

/// A value read from the store, with its version.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Versioned<T> {
    /// The version of the value.
    pub version: Version,
    /// The value as read at this version.
    pub value: T,
}

impl<T: Clone> Versioned<T> {
    /// Replaces this value by the other one if that is newer; false if it isn't.
    fn merge(&mut self, other: &Self) -> bool {
        let newer = other.version > self.version;
        if newer {
            *self = other.clone();
        }
        newer
    }
}

/// The versions of a view's parts.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Versions {
    /// The version of the list of VMs.
    pub members: Version,
    /// The version of the set of leaving targets.
    pub leaving: Version,
}

impl Versions {
    /// Whether any part is newer than in `other`.
    pub fn is_ahead_of(&self, other: &Self) -> bool {
        self.members > other.members || self.leaving > other.leaving
    }
}

/// The VMs and the leaving targets. The version of each part never decreases.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct View {
    /// The VMs whose leases have not lapsed.
    pub members: Versioned<BTreeMap<Incarnation, Registration>>,
    /// The ids of the targets that the platform's list marks as leaving.
    pub leaving: Versioned<BTreeSet<String>>,
}

impl View {
    /// The versions of the parts.
    pub const fn versions(&self) -> Versions {
        Versions { members: self.members.version, leaving: self.leaving.version }
    }

    /// Merges the newer parts of another view; false if there are none.
    pub fn merge(&mut self, other: &Self) -> bool {
        let members = self.members.merge(&other.members);
        let leaving = self.leaving.merge(&other.leaving);
        members || leaving
    }
}
