//! This VM's state of one target: its slots, measured speed and health.

use std::sync::Arc;

use crate::clock::Millis;

use super::health::Health;
use super::pool::{SUSPECT, class_of};

/// The minimum weight of a new sample in a target's slowness.
const GAIN_MIN: f64 = 1.0 / 8.0;
/// The minimum weight of a sample if the last one is stale.
const GAIN_MIN_STALE: f64 = 1.0 / 4.0;
/// Samples after which a target's speed counts as known.
const SAMPLES_MIN: u32 = 2;
/// The age at which the last sample is stale: the target then gets one task whatever its speed was.
const SAMPLE_AGE_MAX: Millis = Millis::from_secs(20);

/// A target's measured speed.
#[derive(Debug, Default)]
pub struct Speed {
    /// The logarithm of the target's run times over those on a target of mean speed.
    pub slowness: f64,
    samples: u32,
    last_sample_at: Millis,
}

impl Speed {
    /// Adds a sample: the logarithm of a run time over the expected one on a target of mean speed.
    pub fn add(&mut self, now: Millis, ratio: f64) {
        self.samples = self.samples.saturating_add(1);
        // Counts one sample more, as if a first one had shown the mean speed.
        let gain = (1.0 / (f64::from(self.samples) + 1.0)).max(GAIN_MIN);
        let gain = if self.is_stale(now) { gain.max(GAIN_MIN_STALE) } else { gain };
        self.slowness += gain * (ratio - self.slowness);
        self.last_sample_at = now;
    }

    /// Whether the last sample is too old to rely on.
    pub fn is_stale(&self, now: Millis) -> bool {
        self.last_sample_at + SAMPLE_AGE_MAX <= now
    }

    /// Whether there are too few samples to rely on.
    pub const fn is_unknown(&self) -> bool {
        self.samples < SAMPLES_MIN
    }
}

/// A target's membership in a pool.
#[derive(Clone, Copy, Debug)]
pub struct Listing {
    /// The index of the pool.
    pub pool: usize,
    /// The target's position in its class, while it has free slots.
    pub position: usize,
}

/// A target of the local domain.
#[derive(Debug)]
pub struct Target {
    /// The target's id.
    pub id: Arc<str>,
    /// The hash of the id, which is the same on every VM.
    pub hash: u32,
    /// The target's slots in total.
    pub slots: u32,
    /// Whether the target is configured and not leaving.
    pub active: bool,
    /// The slots whose home is this VM.
    pub home: u32,
    /// The home slots lent to other VMs.
    pub lent: u32,
    /// The slots borrowed from other VMs.
    pub borrowed: u32,
    /// This VM's attempts on the target that have not ended.
    pub busy: u32,
    /// The speed by the tasks' run times.
    pub speed: Speed,
    /// The health by the attempts' results.
    pub health: Health,
    /// The target gets no tasks until this time, after a refusal or a failed connection.
    pub blocked_until: Millis,
    /// Consecutive refusals and failed connections.
    pub refusal_streak: u32,
    /// Whether the target gets the next task whatever its speed, to measure it again.
    pub needs_sample: bool,
    /// When a borrowed slot became idle, if one is.
    pub idle_since: Option<Millis>,
    /// The pools that the target belongs to.
    pub listings: Vec<Listing>,
    /// The class in which the target is listed in every pool, while it has free slots.
    pub listed_class: Option<usize>,
    /// The speed class and the slots that the target adds to the pools' usable slots.
    pub counted: (usize, u32),
}

impl Target {
    /// Creates a target without slots and measurements.
    pub fn new(id: &str, hash: u32) -> Self {
        Self {
            id: Arc::from(id),
            hash,
            slots: 0,
            active: false,
            home: 0,
            lent: 0,
            borrowed: 0,
            busy: 0,
            speed: Speed::default(),
            health: Health::default(),
            blocked_until: Millis::ZERO,
            refusal_streak: 0,
            needs_sample: false,
            idle_since: None,
            listings: Vec::new(),
            listed_class: None,
            counted: (0, 0),
        }
    }

    /// The class by which the target is chosen: suspect ones are last, unmeasured ones first.
    pub fn class(&self) -> usize {
        if self.health.is_suspect() && !self.health.is_ejected() {
            SUSPECT
        } else if self.needs_sample || self.speed.is_unknown() {
            0
        } else {
            class_of(self.speed.slowness).max(1)
        }
    }

    /// The class of the measured speed, by which the slots count for the capacity.
    pub fn speed_class(&self) -> usize {
        class_of(self.speed.slowness)
    }

    /// The idle home slots, which this VM may lend, given its `free` slots.
    pub const fn lendable(&self, free: u32) -> u32 {
        let home = self.home.saturating_sub(self.lent);
        if home < free { home } else { free }
    }
}
