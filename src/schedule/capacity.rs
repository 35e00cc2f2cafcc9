//! What the targets of a VM could do, by what stands in the way.

use crate::clock::Millis;

use super::engine::Engine;
use super::target::{Phase, Target};

/// The cores of the targets that a VM owns, in thousandths; each counts in one place only.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Capacity {
    /// On sound targets, without a task.
    pub free: u64,
    /// Taken by tasks.
    pub used: u64,
    /// On targets that get nothing for a while, since tasks failed or stood still there or they can't be reached.
    pub ejected: u64,
    /// On targets of which it is not known what runs there.
    pub unsynced: u64,
    /// On targets that leave.
    pub draining: u64,
}

/// What a VM saw of the leases on its targets, since its start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Leases {
    /// Renewals that were sent when over half of the lease was gone.
    pub late: u64,
    /// Tasks that were given up since the lease on their target had lapsed.
    pub lapsed: u64,
}

impl Engine {
    /// How the cores of the owned targets stand.
    pub fn capacity(&self, now: Millis) -> Capacity {
        let mut capacity = Capacity::default();
        for target in self.targets.iter().filter(|target| target.phase == Phase::Owned) {
            let free = target.free().cpu;
            capacity.used += target.listing.capacity.cpu - free;
            *place_of(target, now, &mut capacity) += free;
        }
        capacity
    }
}

fn place_of<'a>(target: &Target, now: Millis, capacity: &'a mut Capacity) -> &'a mut u64 {
    if target.listing.draining {
        &mut capacity.draining
    } else if target.health.rests_until > now {
        &mut capacity.ejected
    } else if target.is_sound(now) {
        &mut capacity.free
    } else {
        &mut capacity.unsynced
    }
}
