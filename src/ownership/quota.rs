//! How many targets a VM may own.

use serde::{Deserialize, Serialize};

/// The quota of a VM whose bandwidth sets no lower one. One scheduler with many targets packs tasks better than many
/// schedulers with few targets each; a quarter of a core suffices for this many.
const QUOTA_MAX: u32 = 24;

/// The most targets that a VM owns if its domain has enough VMs; at least 1.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Quota(u32);

impl Quota {
    /// The quota of a VM whose link carries the calls to `targets` targets under full load.
    pub const fn for_link(targets: u32) -> Self {
        match targets {
            0 => Self(1),
            targets if targets < QUOTA_MAX => Self(targets),
            _ => Self(QUOTA_MAX),
        }
    }

    /// The number of targets.
    pub const fn targets(self) -> usize {
        self.0 as usize
    }

    /// The quota as a share of the largest one.
    pub fn share(self) -> f64 {
        f64::from(self.0) / f64::from(QUOTA_MAX)
    }

    /// Whether this is the largest quota, which is not written, as older releases don't know others.
    pub fn is_largest(&self) -> bool {
        *self == Self::default()
    }
}

impl Default for Quota {
    fn default() -> Self {
        Self(QUOTA_MAX)
    }
}
