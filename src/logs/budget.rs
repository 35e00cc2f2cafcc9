//! A limit on the log lines of each second, and counts of the lines that it omits.

use std::collections::BTreeMap;

/// The importance of a log line where not all can be written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// A warning or an error.
    Severe,
    /// Any less severe line.
    Usual,
}

/// The limit on log lines in one second. Severe and usual lines are limited separately, so that usual lines never
/// displace severe ones.
#[derive(Debug)]
pub struct Budget {
    /// The maximum number of lines of each kind a second.
    lines: u64,
    /// The second that `severe` and `usual` count, as a number of seconds since logging started.
    second: u64,
    /// Severe lines asked for in this second.
    severe: u64,
    /// Usual lines asked for in this second.
    usual: u64,
    /// Omitted lines by event since the last [`Budget::take_omitted`].
    omitted: BTreeMap<String, u64>,
}

impl Budget {
    /// Creates a budget of `lines` a second for each kind.
    pub const fn new(lines: u64) -> Self {
        Self { lines, second: 0, severe: 0, usual: 0, omitted: BTreeMap::new() }
    }

    /// Counts a line and returns whether it may be written in `second`.
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

    /// Counts a line of `event` that was omitted.
    pub fn omit(&mut self, event: &str) {
        match self.omitted.get_mut(event) {
            Some(count) => *count += 1,
            None => {
                self.omitted.insert(event.to_owned(), 1);
            }
        }
    }

    /// Returns the number of omitted lines by event and resets the counts.
    pub fn take_omitted(&mut self) -> BTreeMap<String, u64> {
        std::mem::take(&mut self.omitted)
    }
}
