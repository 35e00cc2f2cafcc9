//! The VMs and the leaving targets as known from the store, and what VMs record in the store for each other:
//! registrations, claims of keys and closing records.

pub mod claim;
pub mod closed;
mod follow;
mod lease;
mod view;

use std::sync::{Arc, Mutex, PoisonError};

use arc_swap::ArcSwap;
use event_listener::Event;

use crate::job::Incarnation;

pub use follow::{Epochs, watch_members, watch_targets};
pub use lease::{deregister, keep_lease};
pub use view::{Registration, Version, Versioned, Versions, View};

/// This VM's registration and its view of all VMs and leaving targets.
///
/// The view comes from the store and from peers. While neither responds, it stays as it is.
#[derive(Debug)]
pub struct Membership {
    incarnation: Incarnation,
    local: ArcSwap<Registration>,
    view: ArcSwap<View>,
    /// Serializes merges into the view.
    merge_lock: Mutex<()>,
    view_changed: Event,
    local_changed: Event,
}

impl Membership {
    /// A membership with an empty view.
    pub fn new(local: Registration) -> Self {
        Self {
            incarnation: local.incarnation,
            local: ArcSwap::from_pointee(local),
            view: ArcSwap::default(),
            merge_lock: Mutex::default(),
            view_changed: Event::new(),
            local_changed: Event::new(),
        }
    }

    /// This VM's registration.
    pub fn local(&self) -> Arc<Registration> {
        self.local.load_full()
    }

    /// The current view.
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Merges the newer parts of a view from the store or from a peer; false if there are none.
    pub fn offer(&self, other: &View) -> bool {
        let guard = self.merge_lock.lock().unwrap_or_else(PoisonError::into_inner);
        let mut view = View::clone(&self.view.load());
        let newer = view.merge(other);
        if newer {
            self.view.store(Arc::new(view));
        }
        drop(guard);
        if newer {
            self.view_changed.notify(usize::MAX);
        }
        newer
    }

    /// Waits until the view has a part newer than in `versions`, and returns the view.
    pub async fn newer_than(&self, versions: Versions) -> Arc<View> {
        loop {
            let changed = self.view_changed.listen();
            let view = self.view();
            if view.versions().is_ahead_of(&versions) {
                return view;
            }
            changed.await;
        }
    }

    /// Marks this VM as draining and makes [`keep_lease`] write its registration at once.
    pub fn drain(&self) {
        let mut local = Registration::clone(&self.local.load());
        local.draining = true;
        self.local.store(Arc::new(local));
        self.local_changed.notify(usize::MAX);
    }

    /// Whether the view holds this VM's current registration.
    pub fn is_registered(&self) -> bool {
        self.view.load().members.value.get(&self.incarnation) == Some(&**self.local.load())
    }
}
