//! Watches the configuration, the evacuations, the targets and the other VMs' registrations in the store.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use smol::Timer;

use crate::clock::Millis;
use crate::evacuation::Evacuation;
use crate::event;
use crate::membership;
use crate::metrics::Gauge;
use crate::store::{Cursor, Decoder, Entry, Index, Read};

use super::adapter::Site;
use super::node::Node;

/// The longest wait of a watch of the configuration. A watch on a connection that went silent is noticed only after
/// this time and the timeout of a call.
pub const ROUTES_WAIT: Millis = Millis(1000);

/// The longest wait of a watch of the target list, like [`ROUTES_WAIT`].
pub const TARGETS_WAIT: Millis = Millis(500);

/// The longest wait of a watch of the registrations. Links show changes of the VMs sooner.
const MEMBERS_WAIT: Millis = Millis(3000);

/// The pause between two reads of the target list by a VM that owns targets. A target that starts to drain must get
/// no more tasks two seconds later.
pub const TARGETS_PAUSE_OWNER: Millis = Millis(900);

/// The pause between two reads of the target list by a VM that owns no target, which may become an owner at any time.
pub const TARGETS_PAUSE: Millis = Millis(1200);

impl Node {
    /// Watches what the operator writes, the configuration and the evacuations, until the process ends.
    pub(super) async fn follow_operator(self: Arc<Self>) {
        let mut cursor = Cursor::new("routes");
        let prefix = self.adapter.operator_prefix();
        let mut routes_index = 0;
        loop {
            let read = self.store.list(prefix, cursor.index(), ROUTES_WAIT).await;
            let index = read.map(|read| {
                self.apply_operator_entries(&read, &mut routes_index);
                self.routes_read_at.store(self.now().0, Ordering::Relaxed);
                read.index
            });
            self.record_store_status(index.is_ok());
            cursor.advance(index).await;
        }
    }

    /// Applies the operator's entries. A configuration is decoded only if its entry has changed since `routes_index`, as
    /// the index of a read rises with every change in the store.
    fn apply_operator_entries(self: &Arc<Self>, read: &Read<Vec<Entry>>, routes_index: &mut Index) {
        let mut domains = BTreeSet::new();
        for entry in &read.value {
            if entry.key == self.adapter.routes_key() && entry.index != *routes_index {
                *routes_index = entry.index;
                self.apply_routes(&entry.value, "store");
            }
            domains.extend(self.adapter.evacuated_domain(&entry.key).map(Arc::from));
        }
        self.record_evacuation(&Evacuation { index: read.index, domains });
    }

    /// Watches the target list until the process ends.
    ///
    /// Each target rewrites its entry regularly as a heartbeat, so a watch returns almost at once. The pause between
    /// two watches bounds the number of calls; a watch reports all changes since the previous one.
    pub(super) async fn follow_targets(self: Arc<Self>) {
        let mut cursor = Cursor::new("targets");
        let mut known = Vec::<Site>::new();
        let mut decoder = Decoder::<Site>::default();
        loop {
            let prefix = self.adapter.targets_prefix();
            let read = self.store.list(prefix, cursor.index(), TARGETS_WAIT).await;
            let index = read.map(|read| {
                let sites = decoder.decode(&read.value, |entry| self.adapter.decode_target(entry));
                if sites != known {
                    known.clone_from(&sites);
                    self.set_targets(sites);
                }
                self.targets_read_at.store(self.now().0, Ordering::Relaxed);
                read.index
            });
            let is_up = index.is_ok();
            self.record_store_status(is_up);
            cursor.advance(index).await;
            if !is_up {
                continue;
            }
            let pause = if self.lock().ownership.owned().is_empty() {
                TARGETS_PAUSE
            } else {
                TARGETS_PAUSE_OWNER
            };
            Timer::after(pause.duration()).await;
        }
    }

    fn record_store_status(self: &Arc<Self>, is_up: bool) {
        self.with_core(|core, now, _| core.ownership.record_store_status(now, is_up));
    }

    /// Watches the other VMs' registrations until the process ends.
    pub(super) async fn follow_members(self: Arc<Self>) {
        let prefix = &self.settings.prefix;
        membership::watch_members(&self.membership, &*self.store, prefix, MEMBERS_WAIT).await;
    }

    /// Dials new VMs and updates the ownership of targets after each change of the registrations.
    pub(super) async fn follow_view(self: Arc<Self>) {
        let mut versions = membership::Versions::default();
        loop {
            let view = self.membership.newer_than(versions).await;
            versions = view.versions();
            let handler = Arc::clone(&self) as Arc<dyn crate::peer::Handler>;
            for member in view.members.value.values() {
                self.links.connect(member.peer_address, &handler);
            }
            self.update_ownership();
        }
    }

    /// Applies a configuration if its version is higher than the one in force.
    pub(super) fn apply_routes(&self, text: &[u8], source: &str) {
        let table = match self.adapter.decode_routes(text) {
            Ok(table) => table,
            Err(reason) => {
                event!(warn, "routes-unreadable", source = source, reason = reason);
                return;
            }
        };
        let (version, count) = (table.version, table.len());
        let Some(previous) = self.routes.offer(table, text) else { return };
        event!(
            info,
            "routes-applied",
            version = version,
            was = previous,
            source = source,
            read_age_ms = self.age(&self.routes_read_at).0,
            routes = count
        );
        self.routes_applied_at.store(self.now().0, Ordering::Relaxed);
        self.metrics.set(Gauge::RoutesVersion, self.routes.version());
    }
}
