//! What is known of the VMs and of the targets that leave, as the store said it last.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::job::Incarnation;
use crate::store::Index;

/// What a VM tells of itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Registration {
    /// Its name.
    pub vm: String,
    /// Its failure domain.
    pub domain: String,
    /// Its region.
    pub region: String,
    /// Its run.
    pub incarnation: Incarnation,
    /// Where callers reach it.
    #[serde(rename = "callers")]
    pub caller_address: SocketAddr,
    /// Where other VMs reach it.
    #[serde(rename = "peers")]
    pub peer_address: SocketAddr,
    /// Whether it is being stopped and takes no new work.
    pub draining: bool,
    /// Thousandths of a core that it may use; 0 if it does not say.
    #[serde(default)]
    pub cpu: u32,
}

/// How new a part of the view is.
///
/// Within an epoch the store's index counts. A store that was set up anew counts from 1 again; who sees
/// that for long enough begins the next epoch.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Version {
    /// Grows when the store was set up anew.
    pub epoch: u64,
    /// The store's index.
    pub index: Index,
}

/// A list of the store with its version.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Listed<T> {
    /// How new it is.
    pub version: Version,
    /// What the store said then.
    pub value: T,
}

impl<T: Clone> Listed<T> {
    /// Takes the other list if it is newer.
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
    /// Of the VMs.
    pub members: Version,
    /// Of the targets that leave.
    pub leaving: Version,
}

impl Versions {
    /// Whether any part is newer than in `other`.
    pub fn is_ahead_of(&self, other: &Self) -> bool {
        self.members > other.members || self.leaving > other.leaving
    }
}

/// The VMs and the targets that leave. Parts only ever get newer.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct View {
    /// The VMs whose leases had not lapsed.
    pub members: Listed<BTreeMap<Incarnation, Registration>>,
    /// The ids of the targets that the platform's list marks as leaving.
    pub leaving: Listed<BTreeSet<String>>,
}

impl View {
    /// The versions of the parts.
    pub const fn versions(&self) -> Versions {
        Versions { members: self.members.version, leaving: self.leaving.version }
    }

    /// Takes the newer parts of another view; false if there were none.
    pub fn merge(&mut self, other: &Self) -> bool {
        let members = self.members.merge(&other.members);
        let leaving = self.leaving.merge(&other.leaving);
        members || leaving
    }
}
