//! This VM's demand for other VMs' slots, and when to announce it.

use crate::clock::Millis;

/// The minimum time between announcements of a demand that has started, ended, doubled or halved.
const CHANGE_INTERVAL: Millis = Millis(10);
/// The time between announcements of a demand that persists: the peers may have served the last one
/// in full.
const REPEAT_INTERVAL: Millis = Millis(50);

/// This VM's demand for slots of one pool.
#[derive(Clone, Copy, Debug, Default)]
pub struct LocalDemand {
    /// The slots that each peer is asked for now: an equal share of the waiting tasks.
    pub slots: u32,
    /// The speed class of this VM's own free slots.
    pub speed_class: u8,
    /// The slots last announced.
    pub announced: u32,
    /// When they were announced.
    pub announced_at: Option<Millis>,
    /// When this VM last recalled slots that it has lent.
    pub recalled_at: Option<Millis>,
}

impl LocalDemand {
    /// When the demand is next announced, if it doesn't change; `None` if it is and was zero.
    pub fn next_announcement(&self, now: Millis) -> Option<Millis> {
        if self.slots == 0 && self.announced == 0 {
            return None;
        }
        let starts_or_ends = self.slots == 0 || self.announced == 0;
        let changed = self.slots >= self.announced * 2 || self.announced >= self.slots * 2;
        let interval = if starts_or_ends || changed { CHANGE_INTERVAL } else { REPEAT_INTERVAL };
        Some(self.announced_at.map_or(now, |at| at + interval))
    }

    /// Whether the demand is due to be announced.
    pub fn is_due(&self, now: Millis) -> bool {
        self.next_announcement(now).is_some_and(|at| at <= now)
    }
}
