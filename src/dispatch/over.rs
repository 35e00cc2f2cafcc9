//! Handing tasks over to VMs of other domains, when the own targets are gone, unfit or full.

use crate::clock::Millis;
use crate::job::Incarnation;

use super::engine::{Engine, Site};
use super::event::Action;
use super::queue::Source;

/// The expected wait for an own slot beyond which tasks go over.
pub const OVER_WAIT: Millis = Millis(500);
/// Tasks without an end that a VM of another domain is handed at first, to see whether it has room.
pub const WINDOW_FIRST: u32 = 4;
/// The most tasks without an end that one VM of another domain is handed.
pub const WINDOW_MAX: u32 = 64;

impl Engine {
    /// The time in which a pool would start all that waits; `None` if it has no sound target.
    pub(super) fn expected_wait(&self, pool: usize) -> Option<Millis> {
        let capacity = self.fleet.pools[pool].capacity();
        let work = self.queues[pool].work().0 as f64;
        (capacity > 0.0).then(|| Millis((work / capacity) as u64))
    }

    /// Hands over what would wait too long here.
    pub(super) fn send_over(&mut self, now: Millis, pool: usize, actions: &mut Vec<Action>) {
        while self.expected_wait(pool).is_none_or(|wait| wait > OVER_WAIT) {
            let Some((Source::Job(id), index)) = self.queues[pool].peek() else { return };
            let Some(flight) = self.jobs.get(&id) else { return };
            let Some(peer) = self.peer_for(now, flight.service) else { return };
            self.queues[pool].pop();
            self.start(now, Source::Job(id), index, Site::Peer(peer), actions);
        }
    }

    /// The VM in reach with the fewest of this VM's tasks; there are some ten of them.
    fn peer_for(&self, now: Millis, service: usize) -> Option<Incarnation> {
        let domains = &self.services.list[service].domains;
        let fit = self.others.iter().filter(|(_, vm)| {
            vm.blocked_until <= now && vm.open < vm.window && domains.contains(&vm.domain)
        });
        fit.min_by_key(|(_, vm)| vm.open).map(|(&id, _)| id)
    }
}
