//! Applies the configuration and the membership, and exchanges both with other VMs, so that a VM stays up to date while
//! the store does not serve it.

use std::sync::Arc;

use crate::dispatch::{Event, Member};
use crate::job::Incarnation;
use crate::membership::Registration;
use crate::peer::{Handler, Link};
use crate::runtime;
use crate::wire::{Call, Notification, Reply, Versions};

use super::node::Node;

impl Node {
    /// Applies each new configuration and announces its version to the other VMs.
    pub(super) async fn follow_config(self: Arc<Self>) {
        let mut version = 0;
        loop {
            let snapshot = self.holder.newer_than(version).await;
            version = snapshot.version;
            self.configure(&snapshot.document);
            self.announce_versions();
        }
    }

    /// Applies each new view of the VMs and targets and announces its versions to the other VMs.
    pub(super) async fn follow_view(self: Arc<Self>) {
        let mut versions = self.membership.view().versions();
        loop {
            let view = self.membership.newer_than(versions).await;
            versions = view.versions();
            self.connect_to(view.members.value.values());
            self.handle(Event::Leaving(Arc::new(view.leaving.value.clone())));
            self.refresh_members();
            self.pools.configure(&self.document(), self.domain_vms());
            self.announce_versions();
        }
    }

    /// Sends the versions of the configuration and the view to all other VMs.
    fn announce_versions(&self) {
        let versions = self.versions();
        for link in self.links.up().values() {
            link.notify(Notification::Versions(versions));
        }
    }

    /// Requests the versions of a VM to which a link has come up, and what is newer there.
    ///
    /// An announcement that arrived on the peer's own link before this link was up had no effect, since there was no
    /// link to send the requests on.
    pub(super) async fn request_versions(self: Arc<Self>, link: Arc<Link>) {
        if let Ok(Reply::Versions(versions)) = link.call(Call::Versions).await {
            self.fetch_newer(link.hello.incarnation, versions);
        }
    }

    /// Requests the configuration and the view from a peer that has newer `versions` of them.
    pub(super) fn fetch_newer(self: &Arc<Self>, peer: Incarnation, versions: Versions) {
        let local = self.versions();
        if versions.config > local.config {
            self.fetch(peer, Call::ConfigSince { version: local.config });
        }
        if versions.view.is_ahead_of(&local.view) {
            self.fetch(peer, Call::View);
        }
    }

    /// Updates the members in the engine: the VMs that are linked or registered, and which of them are reachable.
    pub fn refresh_members(self: &Arc<Self>) {
        let up = self.links.up();
        let view = self.membership.view();
        let is_draining = |incarnation: &Incarnation| {
            view.members.value.get(incarnation).is_some_and(|member| member.draining)
        };
        let linked = up.values().map(|link| (link.hello.incarnation, &link.hello.domain));
        let registered =
            view.members.value.values().map(|member| (member.incarnation, &member.domain));
        let local = (self.incarnation, &self.settings.domain);
        let mut members = linked
            .chain(registered)
            .chain([local])
            .map(|(incarnation, domain)| {
                let local = incarnation == self.incarnation;
                let linked = up.contains_key(&incarnation);
                let draining = if local { self.is_draining() } else { is_draining(&incarnation) };
                Member {
                    incarnation,
                    domain: domain.clone(),
                    reachable: (local || linked) && !draining,
                }
            })
            .collect::<Vec<_>>();
        members.sort_unstable_by_key(|member| member.incarnation);
        members.dedup_by_key(|member| member.incarnation);
        self.handle(Event::Members(members.into()));
    }

    /// The number of registered VMs of the local domain, which share the connections of its targets. At least 1.
    pub(super) fn domain_vms(&self) -> u32 {
        let view = self.membership.view();
        let members = view.members.value.values();
        let local = members.filter(|member| member.domain == self.settings.domain);
        u32::try_from(local.count()).unwrap_or(u32::MAX).max(1)
    }

    /// The versions of the configuration and the view that this VM has.
    pub(super) fn versions(&self) -> Versions {
        Versions { config: self.holder.version(), view: self.membership.view().versions() }
    }

    fn connect_to<'a>(self: &Arc<Self>, members: impl Iterator<Item = &'a Registration>) {
        let handler = Arc::clone(self) as Arc<dyn Handler>;
        for member in members.filter(|member| member.incarnation != self.incarnation) {
            self.links.connect(member.peer_address, &handler);
        }
    }

    fn fetch(self: &Arc<Self>, peer: Incarnation, call: Call) {
        let Some(link) = self.links.get(peer) else { return };
        let node = Arc::clone(self);
        runtime::spawn(async move {
            match link.call(call).await {
                // The holder logs and counts a refused update. The next announcement leads to another request.
                Ok(Reply::Update(update)) => drop(node.holder.offer(update)),
                Ok(Reply::View(view)) => drop(node.membership.offer(&view)),
                _ => {}
            }
        })
        .detach();
    }
}
