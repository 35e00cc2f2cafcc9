//! What a VM wants of the others' slots, and when they are told.

use crate::clock::Millis;

/// The least time between two changes of a request.
const REQUEST_EVERY: Millis = Millis(10);
/// A request that still stands is told again after this long, since the last one may be used up.
const REQUEST_AGAIN: Millis = Millis(50);

/// What this VM wants for one pool.
#[derive(Clone, Copy, Debug, Default)]
pub struct Own {
    /// How many slots would be used now.
    pub waiting: u32,
    /// The class of speed of the own free slots.
    pub class: u8,
    /// What the others were told last.
    pub told: u32,
    /// When.
    pub told_at: Option<Millis>,
    /// When lent slots were asked back last.
    pub recalled_at: Option<Millis>,
}

impl Own {
    /// When the request is to be told, unless it changes before.
    pub fn due_at(&self, now: Millis) -> Option<Millis> {
        if self.waiting == 0 && self.told == 0 {
            return None;
        }
        let ends = self.waiting == 0 || self.told == 0;
        let doubled = self.waiting >= self.told * 2 || self.told >= self.waiting * 2;
        let pause = if ends || doubled { REQUEST_EVERY } else { REQUEST_AGAIN };
        Some(self.told_at.map_or(now, |at| at + pause))
    }

    /// Whether the request is to be told now.
    pub fn is_due(&self, now: Millis) -> bool {
        self.due_at(now).is_some_and(|at| at <= now)
    }
}
