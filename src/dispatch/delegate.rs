//! Delegates tasks to VMs of other failure domains when the local targets are gone, unhealthy or
//! full.

use crate::clock::Millis;
use crate::job::Incarnation;

use super::engine::{Engine, Site};
use super::event::Action;
use super::queue::Source;

/// The expected wait for a local slot beyond which tasks are delegated.
pub const DELEGATE_WAIT: Millis = Millis(500);
/// The most open tasks on a VM of another domain at first, until its results show how many it can
/// take.
pub const WINDOW_FIRST: u32 = 4;
/// The most open tasks on a VM of another domain.
pub const WINDOW_MAX: u32 = 64;

impl Engine {
    /// The expected time until all queued tasks of a pool have started; `None` without a healthy
    /// target.
    pub(super) fn expected_wait(&self, pool: usize) -> Option<Millis> {
        let capacity = self.fleet.pools[pool].capacity();
        let work = self.queues[pool].work().0 as f64;
        (capacity > 0.0).then(|| Millis((work / capacity) as u64))
    }

    /// Delegates queued tasks while the expected wait is too long and a remote VM can take them.
    pub(super) fn delegate_waiting(&mut self, now: Millis, pool: usize, actions: &mut Vec<Action>) {
        while self.expected_wait(pool).is_none_or(|wait| wait > DELEGATE_WAIT) {
            let Some((Source::Job(id), task)) = self.queues[pool].peek() else { return };
            let Some(job_state) = self.jobs.get(&id) else { return };
            let Some(peer) = self.choose_remote_vm(now, job_state.service) else { return };
            self.queues[pool].pop();
            self.start(now, Source::Job(id), task, Site::Peer(peer), actions);
        }
    }

    /// The reachable VM with the fewest tasks delegated to it. A scan will do, with some ten such
    /// VMs.
    fn choose_remote_vm(&self, now: Millis, service: usize) -> Option<Incarnation> {
        let domains = &self.services.list[service].domains;
        let candidates = self.remote_vms.iter().filter(|(_, vm)| {
            vm.blocked_until <= now && vm.open < vm.window && domains.contains(&vm.domain)
        });
        candidates.min_by_key(|(_, vm)| vm.open).map(|(&id, _)| id)
    }
}
