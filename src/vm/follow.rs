//! Follows the configuration and the targets in the store, each by one waiting call.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use smol::Timer;

use crate::clock::Millis;
use crate::event;
use crate::membership;
use crate::metrics::Gauge;
use crate::store::{Entry, Index, Pace};
use crate::wire::{Call, Reply};

use crate::job::Incarnation;

use super::adapter::{Adapter, Site};
use super::node::Node;

/// How long a watch waits. A watch whose connection went silent is remade after it, and a change has to be in
/// force within two to three seconds.
const WATCH_WAIT: Millis = Millis(3000);

/// The pause between two looks at the targets of a VM that owns some: one that leaves must get no tasks two
/// seconds after it has said so.
const TARGETS_PAUSE_OWNER: Millis = Millis(900);

/// The same of a VM that owns none.
const TARGETS_PAUSE: Millis = Millis(2000);

impl Node {
    /// Follows the configuration for ever.
    pub(super) async fn follow_routes(self: Arc<Self>) {
        let mut pace = Pace::new("routes");
        loop {
            let read = self.store.watch(self.adapter.routes_key(), pace.index(), WATCH_WAIT).await;
            let given = read.map(|read| {
                if let Some(entry) = read.value.filter(|_| read.index != pace.index()) {
                    self.offer_routes(&entry.value, "store");
                }
                read.index
            });
            self.note_store(given.is_ok());
            pace.settle(given).await;
        }
    }

    /// Follows the targets for ever. Each target writes its entry again and again as a sign of life, so a watch
    /// returns at once; the pause between bounds the calls, and each brings all changes since the last.
    pub(super) async fn follow_targets(self: Arc<Self>) {
        let mut pace = Pace::new("targets");
        let mut known = Vec::<Site>::new();
        let mut decoded = Decoded::default();
        loop {
            let prefix = self.adapter.targets_prefix();
            let read = self.store.list(prefix, pace.index(), WATCH_WAIT).await;
            let given = read.map(|read| {
                let sites =
                    read.value.iter().filter_map(|entry| decoded.site(&*self.adapter, entry));
                let sites = sites.collect::<Vec<_>>();
                decoded.forget(&read.value);
                if sites != known {
                    known.clone_from(&sites);
                    self.set_targets(sites);
                }
                self.targets_since.store(self.now().0, Ordering::Relaxed);
                read.index
            });
            self.note_store(given.is_ok());
            pace.settle(given).await;
            let pause = if self.lock().ownership.owned().is_empty() {
                TARGETS_PAUSE
            } else {
                TARGETS_PAUSE_OWNER
            };
            Timer::after(pause.duration()).await;
        }
    }

    fn note_store(self: &Arc<Self>, is_up: bool) {
        self.with_core(|core, now, _| core.ownership.record_store_status(now, is_up));
    }

    /// Follows the other VMs' registrations for ever.
    pub(super) async fn follow_members(self: Arc<Self>) {
        let prefix = &self.settings.prefix;
        membership::watch_members(&self.membership, &*self.store, prefix, WATCH_WAIT).await;
    }

    /// Dials VMs that are new, and looks at who owns what after each change.
    pub(super) async fn follow_view(self: Arc<Self>) {
        let mut versions = membership::Versions::default();
        loop {
            let view = self.membership.newer_than(versions).await;
            versions = view.versions();
            let handler = Arc::clone(&self) as Arc<dyn crate::peer::Handler>;
            for member in view.members.value.values() {
                self.links.know(member.peer_address, &handler);
            }
            self.review();
        }
    }

    /// Takes a configuration if it is newer than what is in force.
    pub(super) fn offer_routes(&self, text: &[u8], source: &str) {
        let table = match self.adapter.routes(text) {
            Ok(table) => table,
            Err(reason) => {
                event!(warn, "routes-unreadable", source = source, reason = reason);
                return;
            }
        };
        let version = table.version;
        let known = self.routes.load();
        if version <= known.version {
            return;
        }
        event!(
            info,
            "routes-applied",
            version = version,
            was = known.version,
            source = source,
            routes = table.len()
        );
        self.routes_text.store(Arc::new(text.to_vec()));
        self.routes.store(Arc::new(table));
        self.routes_since.store(self.now().0, Ordering::Relaxed);
        self.metrics.set(Gauge::RoutesVersion, version);
    }

    /// Asks a VM that has newer routes for them.
    pub(super) async fn fetch_routes(self: Arc<Self>, from: Incarnation) {
        let Some(link) = self.links.get(from) else { return };
        if let Ok(Reply::Routes(text)) = link.call(Call::Routes).await
            && !text.is_empty()
        {
            self.offer_routes(&text, &link.hello.vm);
        }
    }
}

/// Targets' entries as they were decoded last, so that each version of one is read, and complained of, once.
#[derive(Debug, Default)]
struct Decoded(HashMap<String, (Index, Option<Site>)>);

impl Decoded {
    fn site(&mut self, adapter: &dyn Adapter, entry: &Entry) -> Option<Site> {
        if let Some((index, site)) = self.0.get(&entry.key)
            && *index == entry.index
        {
            return site.clone();
        }
        let site = adapter.target(entry);
        self.0.insert(entry.key.clone(), (entry.index, site.clone()));
        site
    }

    /// Forgets entries that are no longer there.
    fn forget(&mut self, entries: &[Entry]) {
        if self.0.len() > entries.len() {
            self.0.retain(|key, _| entries.iter().any(|entry| entry.key == *key));
        }
    }
}
