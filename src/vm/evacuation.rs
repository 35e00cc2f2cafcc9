//! The evacuated failure domains: what the store says, and what other VMs say while this VM can't read the store.
//!
//! A VM passes on each change that it reads in the store, and what it knows to each VM whose link comes up. A VM that
//! receives an older state than its own replies with its own.

use std::sync::Arc;

use crate::evacuation::Evacuation;
use crate::event;
use crate::job::Incarnation;
use crate::peer::Link;
use crate::schedule::Event;
use crate::wire::Notification;

use super::core::Effects;
use super::node::Node;

impl Node {
    /// Records the evacuated domains that the store lists, and tells the other VMs of a change.
    pub(super) fn record_evacuation(self: &Arc<Self>, evacuation: &Evacuation) {
        if !self.adopt_evacuation(evacuation, "store") {
            return;
        }
        for link in self.links.up().values() {
            link.notify(Notification::Evacuation(evacuation.clone()));
        }
    }

    /// Records the evacuated domains that another VM knows.
    pub(super) fn receive_evacuation(self: &Arc<Self>, from: Incarnation, evacuation: &Evacuation) {
        self.adopt_evacuation(evacuation, &self.name_of_peer(from));
        let known = self.lock().evacuation.clone();
        if known.supersedes(evacuation)
            && let Some(link) = self.links.get(from)
        {
            link.notify(Notification::Evacuation(known));
        }
    }

    /// Tells a VM whose link has come up which domains are evacuated, if any are.
    pub(super) fn announce_evacuation(&self, link: &Link) {
        let known = self.lock().evacuation.clone();
        if !known.domains.is_empty() {
            link.notify(Notification::Evacuation(known));
        }
    }

    /// Returns whether the evacuated domains have changed.
    fn adopt_evacuation(self: &Arc<Self>, evacuation: &Evacuation, source: &str) -> bool {
        let has_changed = self.with_core(|core, now, effects: &mut Effects| {
            let has_changed = core.evacuation.update(evacuation);
            if has_changed {
                let domains = core.evacuation.domains.clone();
                core.handle(now, Event::Evacuated(domains), effects);
            }
            has_changed
        });
        if has_changed {
            let domains = evacuation.domains.iter().map(|domain| &**domain).collect::<Vec<_>>();
            let domains = domains.join(",");
            event!(warn, "domains-evacuated", domains = domains, source = source);
            self.owners_changed.notify(usize::MAX);
            self.announce_ownership();
        }
        has_changed
    }
}
