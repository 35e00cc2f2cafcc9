//! Follows the VMs' registrations and the platform's list, each by one waiting call.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::{Clock, Millis};
use crate::event;
use crate::store::{Entry, Error, Index, Pace, Read, Store, Vm};

use super::view::{Listed, Registration, Version, View};
use super::{Membership, lease};

/// How long the store must go on answering with lower indexes until that counts as a new epoch.
///
/// A store that merely lags has caught up by then; one that was set up anew never will.
const NEW_EPOCH_AFTER: Millis = Millis::from_secs(60);

/// Follows the registrations below `prefix` for ever.
pub async fn watch_members(membership: &Membership, store: &dyn Store, prefix: &str, wait: Millis) {
    let (mut pace, mut epochs) = (Pace::new("members"), Epochs::default());
    let clock = Clock::start();
    let key = lease::key_prefix(prefix);
    loop {
        let read = store.list(&key, pace.index(), wait).await;
        let given = read.map(|read| take_members(membership, &mut epochs, clock.now(), &read));
        pace.settle(given).await;
    }
}

/// Follows the platform's list `name` for ever.
pub async fn watch_targets(membership: &Membership, store: &dyn Store, name: &str, wait: Millis) {
    let (mut pace, mut epochs) = (Pace::new("list"), Epochs::default());
    let clock = Clock::start();
    loop {
        let read = store.vms(name, pace.index(), wait).await;
        let given = read.map(|read| take_list(membership, &mut epochs, clock.now(), &read));
        pace.settle::<Error>(given).await;
    }
}

fn take_members(
    membership: &Membership,
    epochs: &mut Epochs,
    now: Millis,
    read: &Read<Vec<Entry>>,
) -> Index {
    let known = membership.view().members.version;
    if let Some(version) = epochs.version(now, known, read.index) {
        let members = read.value.iter().filter_map(registration);
        let value = members.map(|member| (member.incarnation, member)).collect::<BTreeMap<_, _>>();
        let members = Listed { version, value };
        membership.offer(&View { members, ..View::default() });
    }
    read.index
}

fn take_list(
    membership: &Membership,
    epochs: &mut Epochs,
    now: Millis,
    read: &Read<Vec<Vm>>,
) -> Index {
    let known = membership.view().leaving.version;
    if let Some(version) = epochs.version(now, known, read.index) {
        let leaving = read.value.iter().filter(|vm| vm.leaving);
        let value = leaving.map(|vm| vm.id.clone()).collect::<BTreeSet<_>>();
        let leaving = Listed { version, value };
        membership.offer(&View { leaving, ..View::default() });
    }
    read.index
}

fn registration(entry: &Entry) -> Option<Registration> {
    let registration = serde_json::from_slice(&entry.value);
    if let Err(error) = &registration {
        event!(warn, "registration-unreadable", key = entry.key, reason = error);
    }
    registration.ok()
}

/// Tells an older answer from a store that was set up anew.
#[derive(Clone, Copy, Debug, Default)]
pub struct Epochs {
    lower_since: Option<Millis>,
}

impl Epochs {
    /// The version of a read at `index`, against the one `known`; `None` if it is no news.
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
