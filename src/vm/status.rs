//! The status of a VM for `gypsumkeel status`: who owns which target, how loaded the VMs are, and how old each part of
//! this information is.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::Serialize;

use crate::clock::Millis;
use crate::job::Incarnation;
use crate::schedule::Load;
use crate::store::Calls;

use super::core::Core;
use super::node::Node;

/// The state of a VM, and its view of the other VMs and the targets.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    vm: String,
    domain: String,
    incarnation: Incarnation,
    ready: bool,
    draining: bool,
    /// The number of batches without an outcome.
    batches: usize,
    load: Load,
    routes: Routes,
    /// The failure domains that the operator has evacuated.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    evacuated: Vec<Arc<str>>,
    /// The time since the list of targets was read.
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
    /// The time since this version came into force.
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
    /// The number of targets that it has announced to own.
    targets: usize,
    #[serde(rename = "said")]
    advertised: Option<Advertised>,
}

/// The last load that a VM has announced.
#[derive(Clone, Copy, Debug, Serialize)]
struct Advertised {
    load: Load,
    /// The version of the VM's routes.
    routes: u64,
    /// The time since the announcement arrived.
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
    /// The VM's current status.
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
                age: self.age(&self.routes_applied_at),
            },
            evacuated: core.evacuation.domains.iter().map(Arc::clone).collect(),
            targets_age: self.age(&self.targets_read_at),
            store: self.store.calls(),
            peers: peers(&core, now),
            targets: self.targets(&core, now),
        }
    }

    fn targets(&self, core: &Core, now: Millis) -> Vec<Target> {
        let local = Arc::<str>::from(self.settings.vm.as_str());
        let topology = self.topology.load();
        let owner = |id: &Arc<str>| {
            if core.ownership.owned().contains(id) {
                return Some(Arc::clone(&local));
            }
            let owner = core.ownership.owner(now, id)?;
            core.ownership
                .alive(now)
                .find(|(vm, _)| *vm == owner)
                .map(|(_, peer)| Arc::clone(&peer.vm))
        };
        let targets = topology.domains.iter();
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
            advertised: core.loads.get(&id).map(|load| Advertised {
                load: load.utilization.load,
                routes: load.utilization.routes,
                age: now - load.received_at,
            }),
        })
        .collect()
}
