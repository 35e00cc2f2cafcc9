//! How many lines may be written in a second, and which were left out.

use std::collections::BTreeMap;

/// How much a line matters where not all can be written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// A refusal, a failure, or anything else that needs a look.
    Severe,
    /// Anything else.
    Usual,
}

/// The lines of one second. Severe ones have a share of their own, so that no number of usual ones displaces them.
#[derive(Debug)]
pub struct Budget {
    lines: u64,
    second: u64,
    severe: u64,
    usual: u64,
    omitted: BTreeMap<String, u64>,
}

impl Budget {
    /// `lines` of each kind a second.
    pub const fn new(lines: u64) -> Self {
        Self { lines, second: 0, severe: 0, usual: 0, omitted: BTreeMap::new() }
    }

    /// Whether a line may be written in `second`.
    pub fn admits(&mut self, second: u64, kind: Kind) -> bool {
        if second != self.second {
            self.second = second;
            self.severe = 0;
            self.usual = 0;
        }
        let used = match kind {
            Kind::Severe => &mut self.severe,
            Kind::Usual => &mut self.usual,
        };
        *used += 1;
        *used <= self.lines
    }

    /// Counts a line of an event that was left out.
    pub fn omit(&mut self, event: &str) {
        match self.omitted.get_mut(event) {
            Some(count) => *count += 1,
            None => {
                self.omitted.insert(event.to_owned(), 1);
            }
        }
    }

    /// How many lines of each event were left out since this was asked last.
    pub fn take_omitted(&mut self) -> BTreeMap<String, u64> {
        std::mem::take(&mut self.omitted)
    }
}
