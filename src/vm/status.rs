//! What `gypsumkeel status` shows of a VM: who owns what, how busy they are, and how old each piece of that is.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::Serialize;

use crate::clock::Millis;
use crate::job::Incarnation;
use crate::schedule::Load;
use crate::store::Calls;

use super::core::Core;
use super::node::Node;

/// A VM as it sees itself and the others.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    vm: String,
    domain: String,
    incarnation: Incarnation,
    ready: bool,
    draining: bool,
    /// Batches without an end.
    batches: usize,
    load: Load,
    routes: Routes,
    /// How long ago the list of targets was read.
    targets_age: Millis,
    store: Calls,
    peers: Vec<Peer>,
    targets: Vec<Target>,
}

/// The configuration in force.
#[derive(Clone, Copy, Debug, Serialize)]
struct Routes {
    version: u64,
    count: usize,
    age: Millis,
}

/// Another VM.
#[derive(Clone, Debug, Serialize)]
struct Peer {
    vm: Arc<str>,
    domain: Arc<str>,
    registered: bool,
    linked: bool,
    draining: bool,
    /// How many targets it says that it owns.
    targets: usize,
    said: Option<Said>,
}

/// What a VM said last of its load, and how long ago.
#[derive(Clone, Copy, Debug, Serialize)]
struct Said {
    load: Load,
    routes: u64,
    age: Millis,
}

/// A target and the VM that owns it.
#[derive(Clone, Debug, Serialize)]
struct Target {
    id: Arc<str>,
    domain: Arc<str>,
    owner: Option<Arc<str>>,
}

impl Node {
    /// How this VM is.
    pub fn status(&self) -> Status {
        let (now, routes) = (self.now(), self.routes());
        let core = self.lock();
        Status {
            vm: self.settings.vm.clone(),
            domain: self.settings.domain.clone(),
            incarnation: self.incarnation,
            ready: self.is_ready(),
            draining: self.is_draining(),
            batches: core.engine.unfinished(),
            load: core.engine.load(now),
            routes: Routes {
                version: routes.version,
                count: routes.len(),
                age: self.age(&self.routes_since),
            },
            targets_age: self.age(&self.targets_since),
            store: self.store.calls(),
            peers: peers(&core, now),
            targets: self.targets(&core, now),
        }
    }

    fn targets(&self, core: &Core, now: Millis) -> Vec<Target> {
        let own = Arc::<str>::from(self.settings.vm.as_str());
        let places = self.places.load();
        let owner = |id: &Arc<str>| {
            if core.ownership.owned().contains(id) {
                return Some(Arc::clone(&own));
            }
            let owner = core.ownership.owner(now, id)?;
            core.ownership
                .alive(now)
                .find(|(vm, _)| *vm == owner)
                .map(|(_, peer)| Arc::clone(&peer.vm))
        };
        let targets = places.domains.iter();
        targets
            .map(|(id, domain)| Target {
                id: Arc::clone(id),
                domain: Arc::clone(domain),
                owner: owner(id),
            })
            .collect()
    }
}

fn peers(core: &Core, now: Millis) -> Vec<Peer> {
    let peers = core.ownership.alive(now);
    peers
        .map(|(id, peer)| Peer {
            vm: Arc::clone(&peer.vm),
            domain: Arc::clone(&peer.domain),
            registered: peer.presence.registered,
            linked: peer.presence.linked,
            draining: peer.draining,
            targets: peer.owns.as_ref().map_or(0, BTreeSet::len),
            said: core.said.get(&id).map(|said| Said {
                load: said.busy.load,
                routes: said.busy.routes,
                age: now - said.at,
            }),
        })
        .collect()
}
