//! The configuration and the membership: put in force here, and passed between VMs.

use std::sync::Arc;

use crate::dispatch::{Event, Member};
use crate::job::Incarnation;
use crate::membership::{Registration, View};
use crate::peer::{Handler, Link};
use crate::runtime;
use crate::wire::{Call, Notification, Reply, Versions};

use super::node::Node;

impl Node {
    /// Puts each new configuration in force here and tells the other VMs of it.
    pub(super) async fn follow_config(self: Arc<Self>) {
        let mut version = 0;
        loop {
            let snapshot = self.holder.newer_than(version).await;
            version = snapshot.version;
            self.configure(&snapshot.document);
            self.tell_news();
        }
    }

    /// Goes by each new view of the VMs and the targets, and tells the other VMs of it.
    pub(super) async fn follow_view(self: Arc<Self>) {
        let mut versions = self.membership.view().versions();
        loop {
            let view = self.membership.newer_than(versions).await;
            versions = view.versions();
            self.know(view.members.value.values());
            self.handle(Event::Leaving(Arc::new(view.leaving.value.clone())));
            self.refresh_members();
            self.pools.configure(&self.document(), self.sharers());
            self.tell_news();
        }
    }

    /// Tells all other VMs how new the configuration and the view are here.
    pub(super) fn tell_news(&self) {
        let news = self.news();
        for link in self.links.up().values() {
            link.notify(Notification::Versions(news));
        }
    }

    /// Asks a VM to which a link has come up how new its configuration and view are.
    ///
    /// What it told before may have been lost, since it is heard over its own link but asked over this.
    pub(super) async fn ask_news(self: Arc<Self>, link: Arc<Link>) {
        if let Ok(Reply::Versions(theirs)) = link.call(Call::Versions).await {
            self.catch_up(link.hello.incarnation, theirs);
        }
    }

    /// Asks a peer for what it has and this VM lacks.
    pub(super) fn catch_up(self: &Arc<Self>, peer: Incarnation, theirs: Versions) {
        let own = self.news();
        if theirs.config > own.config {
            self.fetch(peer, Call::ConfigSince { version: own.config });
        }
        if theirs.view.is_ahead_of(&own.view) {
            self.fetch(peer, Call::View);
        }
    }

    /// Tells the engine which VMs there are and which of them can be reached.
    pub fn refresh_members(self: &Arc<Self>) {
        let up = self.links.up();
        let view = self.membership.view();
        let is_draining = |incarnation: &Incarnation| {
            view.members.value.get(incarnation).is_some_and(|member| member.draining)
        };
        let linked = up.values().map(|link| (link.hello.incarnation, &link.hello.domain));
        let listed = view.members.value.values().map(|member| (member.incarnation, &member.domain));
        let own = (self.incarnation, &self.settings.domain);
        let mut members = linked
            .chain(listed)
            .chain([own])
            .map(|(incarnation, domain)| {
                let here = incarnation == self.incarnation;
                let linked = up.contains_key(&incarnation);
                let stopping = if here { self.is_draining() } else { is_draining(&incarnation) };
                Member {
                    incarnation,
                    domain: domain.clone(),
                    reachable: (here || linked) && !stopping,
                }
            })
            .collect::<Vec<_>>();
        members.sort_unstable_by_key(|member| member.incarnation);
        members.dedup_by_key(|member| member.incarnation);
        self.handle(Event::Members(members.into()));
    }

    /// The VMs of the own domain, which share its targets' connections.
    pub(super) fn sharers(&self) -> u32 {
        let view = self.membership.view();
        let here =
            view.members.value.values().filter(|member| member.domain == self.settings.domain);
        u32::try_from(here.count()).unwrap_or(u32::MAX).max(1)
    }

    /// How new the configuration and the view are here.
    pub(super) fn news(&self) -> Versions {
        Versions { config: self.holder.version(), view: self.membership.view().versions() }
    }

    fn know<'a>(self: &Arc<Self>, members: impl Iterator<Item = &'a Registration>) {
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
                // A refusal is logged and counted by the holder; the next news get another chance.
                Ok(Reply::Update(update)) => drop(node.holder.offer(update)),
                Ok(Reply::View(view)) => node.take_view(&view),
                _ => {}
            }
        })
        .detach();
    }

    fn take_view(&self, view: &View) {
        self.membership.offer(view);
    }
}
