//! What one VM knows of one target: its slots, its measured speed, its health.

use std::sync::Arc;

use crate::clock::Millis;

use super::health::Health;
use super::pool::{SUSPECT, class_of};

/// The weight of a new sample in a target's speed, once it has several.
const GAIN: f64 = 1.0 / 8.0;
/// The weight of a sample after a long time without one.
const GAIN_AFTER_PAUSE: f64 = 1.0 / 4.0;
/// Samples before a target counts as measured.
const SAMPLES_MIN: u32 = 2;
/// After this long without a sample a target gets one task whatever its speed was.
pub const LOOK_AFTER: Millis = Millis::from_secs(20);

/// How slow a target is, as the logarithm of its run times against the mean of all targets.
#[derive(Debug, Default)]
pub struct Speed {
    /// The logarithm.
    pub slowness: f64,
    samples: u32,
    last: Millis,
}

impl Speed {
    /// Takes a run time as its logarithm over what the task lasts on a mean target.
    pub fn add(&mut self, now: Millis, ratio: f64) {
        self.samples = self.samples.saturating_add(1);
        // One more than the samples, as if one had shown the mean speed.
        let usual = (1.0 / (f64::from(self.samples) + 1.0)).max(GAIN);
        let gain = if self.is_stale(now) { usual.max(GAIN_AFTER_PAUSE) } else { usual };
        self.slowness += gain * (ratio - self.slowness);
        self.last = now;
    }

    /// Whether the last sample is too old to go by.
    pub fn is_stale(&self, now: Millis) -> bool {
        self.last + LOOK_AFTER <= now
    }

    /// Whether nothing much is known.
    pub const fn is_unknown(&self) -> bool {
        self.samples < SAMPLES_MIN
    }
}

/// Where a target stands in a pool.
#[derive(Clone, Copy, Debug)]
pub struct Listing {
    /// The pool.
    pub pool: usize,
    /// The position in the class, while the target is listed.
    pub position: usize,
}

/// A target of the own domain.
#[derive(Debug)]
pub struct Target {
    /// Its id.
    pub id: Arc<str>,
    /// A short name that is the same on every VM.
    pub hash: u32,
    /// All its slots.
    pub slots: u32,
    /// Whether it is in the configuration and not leaving.
    pub wanted: bool,
    /// The slots whose home is this VM.
    pub home: u32,
    /// The home slots that other VMs hold.
    pub lent: u32,
    /// The other VMs' slots that this one holds.
    pub borrowed: u32,
    /// Attempts without an end.
    pub busy: u32,
    /// What its tasks' run times say.
    pub speed: Speed,
    /// What its tasks' ends say.
    pub health: Health,
    /// No starts before this point, after a refusal or a failed connection.
    pub blocked_until: Millis,
    /// Refusals and failed connections in a row.
    pub refusals: u32,
    /// Whether the next task goes here whatever the speed, to measure it.
    pub look: bool,
    /// Since when a borrowed slot is idle.
    pub idle_since: Option<Millis>,
    /// Its pools.
    pub listings: Vec<Listing>,
    /// The class under which it is listed in all of them.
    pub listed: Option<usize>,
    /// What it adds to the pools' usable slots: the class and the number.
    pub counted: (usize, u32),
}

impl Target {
    /// A target of which nothing is known.
    pub fn new(id: &str, hash: u32) -> Self {
        Self {
            id: Arc::from(id),
            hash,
            slots: 0,
            wanted: false,
            home: 0,
            lent: 0,
            borrowed: 0,
            busy: 0,
            speed: Speed::default(),
            health: Health::default(),
            blocked_until: Millis::ZERO,
            refusals: 0,
            look: false,
            idle_since: None,
            listings: Vec::new(),
            listed: None,
            counted: (0, 0),
        }
    }

    /// The class of speed under which the target is chosen.
    pub fn class(&self) -> usize {
        if self.health.is_suspect() && !self.health.is_ejected() {
            SUSPECT
        } else if self.look || self.speed.is_unknown() {
            0
        } else {
            class_of(self.speed.slowness).max(1)
        }
    }

    /// The class of its measured speed, by which its slots count.
    pub fn speed_class(&self) -> usize {
        class_of(self.speed.slowness)
    }

    /// The slots that this VM may lend: home slots that are idle.
    pub const fn lendable(&self, free: u32) -> u32 {
        let home = self.home.saturating_sub(self.lent);
        if home < free { home } else { free }
    }
}
