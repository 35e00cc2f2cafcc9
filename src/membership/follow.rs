//! Follows the VMs' registrations and the platform's list of targets, each by one blocking read at a time.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::{Clock, Millis};
use crate::contain;
use crate::event;
use crate::store::{Cursor, Decoder, Entry, Error, Index, Read, Store, Vm};

use super::view::{Registration, Version, Versioned, View};
use super::{Membership, lease};

/// How long the store must return lower indexes before that counts as a new epoch.
///
/// A store that lags catches up within this time. One that was set up again starts from index 1.
const NEW_EPOCH_AFTER: Millis = Millis::from_secs(60);

/// Follows the VMs' registrations below `prefix` and never returns. Each read waits up to `wait` for a change.
pub async fn watch_members(membership: &Membership, store: &dyn Store, prefix: &str, wait: Millis) {
    let (mut cursor, mut epochs) = (Cursor::new("members"), Epochs::default());
    let mut decoder = Decoder::default();
    let clock = Clock::start();
    let key = lease::key_prefix(prefix);
    loop {
        let read = store.list(&key, cursor.index(), wait).await;
        let index = read.map(|read| {
            let members = decoder.decode(&read.value, parse_registration);
            apply_members(membership, &mut epochs, clock.now(), members, read.index)
        });
        cursor.advance(index).await;
    }
}

/// Follows the platform's list `name` of targets and never returns. Each read waits up to `wait` for a change.
pub async fn watch_targets(membership: &Membership, store: &dyn Store, name: &str, wait: Millis) {
    let (mut cursor, mut epochs) = (Cursor::new("list"), Epochs::default());
    let clock = Clock::start();
    loop {
        let read = store.vms(name, cursor.index(), wait).await;
        let index = read.map(|read| apply_targets(membership, &mut epochs, clock.now(), &read));
        cursor.advance::<Error>(index).await;
    }
}

fn apply_members(
    membership: &Membership,
    epochs: &mut Epochs,
    now: Millis,
    members: Vec<Registration>,
    index: Index,
) -> Index {
    let known = membership.view().members.version;
    if let Some(version) = epochs.version(now, known, index) {
        let members = members.into_iter().map(|member| (member.incarnation, member));
        let value = members.collect::<BTreeMap<_, _>>();
        let members = Versioned { version, value };
        membership.offer(&View { members, ..View::default() });
    }
    index
}

fn apply_targets(
    membership: &Membership,
    epochs: &mut Epochs,
    now: Millis,
    read: &Read<Vec<Vm>>,
) -> Index {
    let known = membership.view().leaving.version;
    if let Some(version) = epochs.version(now, known, read.index) {
        let leaving = read.value.iter().filter(|vm| vm.leaving);
        let value = leaving.map(|vm| vm.id.clone()).collect::<BTreeSet<_>>();
        let leaving = Versioned { version, value };
        membership.offer(&View { leaving, ..View::default() });
    }
    read.index
}

fn parse_registration(entry: &Entry) -> Option<Registration> {
    let registration = contain::json(&entry.value);
    if let Err(error) = &registration {
        event!(warn, "registration-unreadable", key = entry.key, reason = error);
    }
    registration.ok()
}

/// Distinguishes a stale response of the store from one of a store that was set up again.
#[derive(Clone, Copy, Debug, Default)]
pub struct Epochs {
    /// When the index of the responses fell below the known one; `None` while it is not below.
    lower_since: Option<Millis>,
}

impl Epochs {
    /// The version of a read at `index`; `None` if it isn't newer than the version `known`.
    pub fn version(&mut self, now: Millis, known: Version, index: Index) -> Option<Version> {
        if index >= known.index {
            self.lower_since = None;
            return (index > known.index).then_some(Version { epoch: known.epoch, index });
        }
        let since = *self.lower_since.get_or_insert(now);
        if now - since < NEW_EPOCH_AFTER {
            return None;
        }
        self.lower_since = None;
        event!(warn, "store-epoch", index = index, known = known.index);
        Some(Version { epoch: known.epoch + 1, index })
    }
}
