//! How many targets a VM may own.

use serde::{Deserialize, Serialize};

/// The quota of a VM whose bandwidth sets no lower one. One scheduler with many targets packs tasks better than many
/// schedulers with few targets each; a quarter of a core suffices for this many.
const QUOTA_MAX: u32 = 24;

/// The most targets that a VM owns if its domain has enough VMs: from 1 to [`QUOTA_MAX`], whatever is read.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(from = "u32", into = "u32")]
pub struct Quota(u32);

impl From<u32> for Quota {
    fn from(targets: u32) -> Self {
        Self(targets.clamp(1, QUOTA_MAX))
    }
}

impl From<Quota> for u32 {
    fn from(quota: Quota) -> Self {
        quota.0
    }
}

impl Quota {
    /// The number of targets.
    pub const fn targets(self) -> usize {
        self.0 as usize
    }

    /// The quota as a share of the largest one.
    pub fn share(self) -> f64 {
        f64::from(self.0) / f64::from(QUOTA_MAX)
    }

    /// Whether this is the largest quota. It is left out where quotas are written, as older releases know none.
    pub fn is_largest(&self) -> bool {
        *self == Self::default()
    }
}

impl Default for Quota {
    fn default() -> Self {
        Self(QUOTA_MAX)
    }
}
