//! How long tasks last, learnt from those that ended, as logarithms so that a factor both ways weighs the same.

use std::collections::HashMap;
use std::sync::Arc;

use crate::clock::Millis;

/// The smallest weight of a new sample of a target, so that a target that turns slow is noticed soon.
const TARGET_GAIN_MIN: f64 = 1.0 / 8.0;

/// The smallest weight of a new sample of a kind of target or of a queue.
const SHARED_GAIN_MIN: f64 = 1.0 / 128.0;

/// The samples of a target that weigh as much as what is known of its kind.
const KIND_WEIGHT: f64 = 2.0;

/// The samples after which what a queue's tasks last counts as much as what a caller declares.
const QUEUE_KNOWN_SAMPLES: u32 = 20;

/// A running mean of logarithms.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Track {
    pub mean: f64,
    pub samples: u32,
}

impl Track {
    fn add(&mut self, value: f64, gain_min: f64) {
        self.samples = self.samples.saturating_add(1);
        let gain = (1.0 / f64::from(self.samples)).max(gain_min);
        self.mean += gain * (value - self.mean);
    }
}

/// What is known of kinds of targets and of queues.
#[derive(Debug, Default)]
pub(super) struct Speeds {
    kinds: HashMap<String, Track>,
    queues: HashMap<Arc<str>, Track>,
}

impl Speeds {
    /// How much longer than declared tasks last on a target, as a factor.
    pub fn slowness(&self, own: &Track, kind: Option<&String>) -> f64 {
        let kind = kind.and_then(|kind| self.kinds.get(kind)).map_or(0.0, |track| track.mean);
        let samples = f64::from(own.samples);
        ((own.mean * samples + kind * KIND_WEIGHT) / (samples + KIND_WEIGHT)).exp()
    }

    /// How long a task of a queue is expected to last where the slowness is 1.
    pub fn expected(&self, queue: &str, declared: Millis) -> Millis {
        let declared = log(declared);
        let known = self.queues.get(queue).filter(|track| track.samples >= QUEUE_KNOWN_SAMPLES);
        let value = known.map_or(declared, |track| f64::midpoint(track.mean, declared));
        Millis(value.exp().ceil().max(1.0) as u64)
    }

    /// Takes the time of a task that is done. `slowness` is the target's, as it was expected.
    pub fn learn(
        &mut self,
        own: &mut Track,
        kind: Option<&String>,
        queue: &Arc<str>,
        sample: Sample,
    ) {
        let measured = log(sample.measured) - sample.far_factor.ln();
        let ratio = measured - log(sample.declared);
        own.add(ratio, TARGET_GAIN_MIN);
        if let Some(kind) = kind {
            match self.kinds.get_mut(kind) {
                Some(track) => track.add(ratio, SHARED_GAIN_MIN),
                None => self.kinds.entry(kind.clone()).or_default().add(ratio, SHARED_GAIN_MIN),
            }
        }
        let size = measured - sample.slowness.ln();
        match self.queues.get_mut(queue) {
            Some(track) => track.add(size, SHARED_GAIN_MIN),
            None => {
                self.queues.entry(Arc::clone(queue)).or_default().add(size, SHARED_GAIN_MIN);
            }
        }
    }
}

/// One measured time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sample {
    /// From the order to the end.
    pub measured: Millis,
    /// What the caller declared.
    pub declared: Millis,
    /// The factor for being away from its data; 1 for none.
    pub far_factor: f64,
    /// The target's slowness, as it was expected.
    pub slowness: f64,
}

fn log(time: Millis) -> f64 {
    (time.0.max(1) as f64).ln()
}
