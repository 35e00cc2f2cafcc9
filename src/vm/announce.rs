//! Announcements to the other VMs: which targets this VM owns and how loaded they are.

use std::sync::Arc;

use smol::Timer;

use crate::clock::Millis;
use crate::peer::Link;
use crate::wire::{Notification, Ownership, Utilization};

use super::node::Node;

/// The interval at which a VM announces the load of its targets if it has changed.
const LOAD_EVERY: Millis = Millis(100);

/// The change of free processor capacity, in percent of the total, above which the load is announced again.
const CHANGE_PERCENT: u64 = 5;

impl Node {
    fn ownership_announcement(&self) -> Notification {
        let core = self.lock();
        let targets = core.engine.owned().map(ToString::to_string).collect();
        let (round, draining) = (core.engine.round().max(core.round), self.is_draining());
        Notification::Ownership(Ownership { targets, round, draining })
    }

    fn load_announcement(&self) -> Utilization {
        let load = self.lock().engine.load(self.clock.now());
        Utilization { load, routes: self.routes.version() }
    }

    /// Announces to all linked VMs which targets this VM owns and how loaded they are.
    pub(super) fn announce_ownership(&self) {
        let (ownership, utilization) = (self.ownership_announcement(), self.load_announcement());
        for link in self.links.up().values() {
            link.notify(ownership.clone());
            link.notify(Notification::Utilization(utilization));
        }
    }

    /// Announces ownership and load to a VM whose link has just come up.
    pub(super) fn announce_to(&self, link: &Link) {
        link.notify(self.ownership_announcement());
        link.notify(Notification::Utilization(self.load_announcement()));
        self.announce_evacuation(link);
    }

    /// Announces the load of the targets whenever it has changed, until the process ends.
    pub(super) async fn announce_load(self: Arc<Self>) {
        let mut announced = None::<Utilization>;
        loop {
            Timer::after(LOAD_EVERY.duration()).await;
            let utilization = self.load_announcement();
            if announced.is_some_and(|announced| !has_changed(&announced, &utilization)) {
                continue;
            }
            announced = Some(utilization);
            for link in self.links.up().values() {
                link.notify(Notification::Utilization(utilization));
            }
        }
    }
}

/// Whether a load differs enough from the announced one to announce it.
fn has_changed(announced: &Utilization, utilization: &Utilization) -> bool {
    let change = announced.load.free_cpu.abs_diff(utilization.load.free_cpu).saturating_mul(100);
    announced.routes != utilization.routes
        || announced.load.total_cpu != utilization.load.total_cpu
        || announced.load.backlog != utilization.load.backlog
        || change > utilization.load.total_cpu.saturating_mul(CHANGE_PERCENT)
}
