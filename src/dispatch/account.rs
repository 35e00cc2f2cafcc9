//! The account of slots lent between two VMs, and the VMs' rendezvous weights.

use crate::clock::Millis;
use crate::job::Incarnation;

/// The slots of one target that one VM has lent to another. All counts are running totals.
#[derive(Clone, Copy, Debug, Default)]
pub struct Account {
    /// Slots lent so far.
    pub lent: u32,
    /// Slots recalled so far.
    pub recalled: u32,
    /// Slots returned so far.
    pub returned: u32,
    /// When the lender last changed or announced the account.
    pub updated_at: Millis,
}

impl Account {
    /// The slots on loan now.
    pub const fn on_loan(self) -> u32 {
        self.lent - self.returned
    }
}

/// The rendezvous weight of a VM for a target, by which the VMs of a domain are ranked.
pub fn weight(vm: Incarnation, target: u32) -> u64 {
    let seed = (vm.0 as u64) ^ ((vm.0 >> 64) as u64) ^ (u64::from(target) << 20);
    let mixed = (seed ^ (seed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
