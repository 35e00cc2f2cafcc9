//! The capacity of a VM's targets, by how much of it can be used.

use crate::clock::Millis;

use super::engine::Engine;
use super::target::{Phase, Target};

/// The cores of the targets that a VM owns, in thousandths. Each core counts in exactly one field.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Capacity {
    /// Free cores of healthy targets.
    pub free: u64,
    /// Cores taken by tasks.
    pub used: u64,
    /// Free cores of ejected targets: tasks failed or stalled there, or the targets can't be reached.
    pub ejected: u64,
    /// Free cores of targets of which it is not known for sure what runs there.
    pub unsynced: u64,
    /// Free cores of targets that are draining.
    pub draining: u64,
    /// Free cores of targets in evacuated failure domains.
    pub evacuated: u64,
}

/// Counts of endangered and lapsed leases on a VM's targets, since the VM's start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Leases {
    /// Renewals that were sent when over half of the lease was gone.
    pub late: u64,
    /// Tasks that were given up because the lease on their target had lapsed.
    pub lapsed: u64,
}

impl Engine {
    /// The cores of the owned targets, by their state.
    pub fn capacity(&self, now: Millis) -> Capacity {
        let mut capacity = Capacity::default();
        for target in self.targets.iter().filter(|target| target.phase == Phase::Owned) {
            let free = target.free().cpu;
            let used = target.listing.capacity.cpu.saturating_sub(free);
            capacity.used = capacity.used.saturating_add(used);
            let field = free_field(target, now, &mut capacity);
            *field = field.saturating_add(free);
        }
        capacity
    }
}

/// The field that counts the target's free cores.
fn free_field<'a>(target: &Target, now: Millis, capacity: &'a mut Capacity) -> &'a mut u64 {
    if target.evacuated {
        &mut capacity.evacuated
    } else if target.listing.draining {
        &mut capacity.draining
    } else if target.health.ejected_until > now {
        &mut capacity.ejected
    } else if target.is_healthy(now) {
        &mut capacity.free
    } else {
        &mut capacity.unsynced
    }
}
