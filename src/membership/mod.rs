//! Which VMs there are, which targets leave, and what VMs leave behind in the store for each other.

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
pub use view::{Listed, Registration, Version, Versions, View};

/// This VM's registration and its view of the others.
///
/// The view comes from the store and from peers. Without news everything known stays.
#[derive(Debug)]
pub struct Membership {
    incarnation: Incarnation,
    own: ArcSwap<Registration>,
    view: ArcSwap<View>,
    turn: Mutex<()>,
    changed: Event,
    own_changed: Event,
}

impl Membership {
    /// Knows only of this VM.
    pub fn new(own: Registration) -> Self {
        Self {
            incarnation: own.incarnation,
            own: ArcSwap::from_pointee(own),
            view: ArcSwap::default(),
            turn: Mutex::default(),
            changed: Event::new(),
            own_changed: Event::new(),
        }
    }

    /// What this VM tells of itself.
    pub fn own(&self) -> Arc<Registration> {
        self.own.load_full()
    }

    /// What is known now.
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Takes the newer parts of a view, from the store or from a peer; false if there were none.
    pub fn offer(&self, other: &View) -> bool {
        let turn = self.turn.lock().unwrap_or_else(PoisonError::into_inner);
        let mut view = View::clone(&self.view.load());
        let newer = view.merge(other);
        if newer {
            self.view.store(Arc::new(view));
        }
        drop(turn);
        if newer {
            self.changed.notify(usize::MAX);
        }
        newer
    }

    /// Waits until the view has a part newer than in `versions`, and gives it.
    pub async fn newer_than(&self, versions: Versions) -> Arc<View> {
        loop {
            let changed = self.changed.listen();
            let view = self.view();
            if view.versions().is_ahead_of(&versions) {
                return view;
            }
            changed.await;
        }
    }

    /// Notes that this VM is being stopped, and tells the others at its lease's next step, at once.
    pub fn drain(&self) {
        let mut own = Registration::clone(&self.own.load());
        own.draining = true;
        self.own.store(Arc::new(own));
        self.own_changed.notify(usize::MAX);
    }

    /// Whether the store shows this VM's registration as it is.
    pub fn is_registered(&self) -> bool {
        self.view.load().members.value.get(&self.incarnation) == Some(&**self.own.load())
    }
}
