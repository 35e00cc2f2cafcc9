//! Slots lent between two VMs, and which VM is a slot's home.

use crate::clock::Millis;
use crate::job::Incarnation;

/// Slots of one target lent between two VMs; the totals only grow.
#[derive(Clone, Copy, Debug, Default)]
pub struct Account {
    /// All that were ever lent.
    pub lent: u32,
    /// All that are to be given back.
    pub due: u32,
    /// All that were given back.
    pub returned: u32,
    /// When it last changed or was told, on the lending side.
    pub touched: Millis,
}

impl Account {
    /// The slots that are lent now.
    pub const fn held(self) -> u32 {
        self.lent - self.returned
    }
}

/// The weight of a VM for a target, by which they are ranked.
pub fn weight(vm: Incarnation, target: u32) -> u64 {
    let seed = (vm.0 as u64) ^ ((vm.0 >> 64) as u64) ^ (u64::from(target) << 20);
    let mixed = (seed ^ (seed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
