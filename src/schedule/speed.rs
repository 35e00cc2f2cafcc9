//! Learnt durations of tasks. Means are kept of logarithms, so that a factor and its inverse weigh the same.

use std::collections::HashMap;
use std::sync::Arc;

use crate::clock::Millis;

/// The smallest weight of a new sample of a target, so that a target that becomes slow is noticed soon.
const TARGET_GAIN_MIN: f64 = 1.0 / 8.0;

/// The smallest weight of a new sample of a kind of target or of a queue.
const SHARED_GAIN_MIN: f64 = 1.0 / 128.0;

/// The number of a target's own samples that weigh as much as the mean of its kind.
const KIND_WEIGHT: f64 = 2.0;

/// The number of samples after which a queue's learnt duration weighs as much as the caller's estimate.
const QUEUE_SAMPLES_MIN: u32 = 20;

/// The longest expected duration, whatever a caller declares, so that sums of work can't overflow.
const EXPECTED_MAX: Millis = Millis(u32::MAX as u64);

/// A running mean of logarithms.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Mean {
    pub value: f64,
    pub samples: u32,
}

impl Mean {
    fn add(&mut self, value: f64, gain_min: f64) {
        self.samples = self.samples.saturating_add(1);
        let gain = (1.0 / f64::from(self.samples)).max(gain_min);
        self.value += gain * (value - self.value);
    }
}

/// Learnt slowness of kinds of targets and learnt durations of queues' tasks.
#[derive(Debug, Default)]
pub(super) struct Speeds {
    kinds: HashMap<String, Mean>,
    queues: HashMap<Arc<str>, Mean>,
    /// The logarithms of how much longer tasks last on cold targets than on warm ones.
    cold: Mean,
}

impl Speeds {
    /// How much longer than declared tasks last on a target of `kind` with the mean `own`, as a factor.
    pub fn slowness(&self, own: &Mean, kind: Option<&String>) -> f64 {
        let kind = kind.and_then(|kind| self.kinds.get(kind)).map_or(0.0, |mean| mean.value);
        let samples = f64::from(own.samples);
        ((own.value * samples + kind * KIND_WEIGHT) / (samples + KIND_WEIGHT)).exp()
    }

    /// The expected duration of a queue's task on a target of slowness 1.
    pub fn expected(&self, queue: &str, declared: Millis) -> Millis {
        let declared = log(declared);
        let known = self.queues.get(queue).filter(|mean| mean.samples >= QUEUE_SAMPLES_MIN);
        let value = known.map_or(declared, |mean| f64::midpoint(mean.value, declared));
        Millis(value.exp().ceil() as u64).clamp(Millis(1), EXPECTED_MAX)
    }

    /// How much longer than usual tasks last on cold targets, as a factor.
    pub fn cold_factor(&self) -> f64 {
        self.cold.value.exp().max(1.0)
    }

    /// Adds the duration of a task that is done on a cold target, which was expected to take `expected`.
    pub fn learn_cold(&mut self, measured: Millis, expected: Millis) {
        let ratio = self.cold.value + log(measured) - log(expected);
        self.cold.add(ratio, TARGET_GAIN_MIN);
    }

    /// Adds the duration of a task that is done to the means of its target, of the target's kind and of its queue.
    pub fn learn(
        &mut self,
        own: &mut Mean,
        kind: Option<&String>,
        queue: &Arc<str>,
        sample: Sample,
    ) {
        let measured = log(sample.measured) - sample.far_factor.ln();
        let ratio = measured - log(sample.declared);
        own.add(ratio, TARGET_GAIN_MIN);
        if let Some(kind) = kind {
            match self.kinds.get_mut(kind) {
                Some(mean) => mean.add(ratio, SHARED_GAIN_MIN),
                None => self.kinds.entry(kind.clone()).or_default().add(ratio, SHARED_GAIN_MIN),
            }
        }
        let size = measured - sample.slowness.ln();
        match self.queues.get_mut(queue) {
            Some(mean) => mean.add(size, SHARED_GAIN_MIN),
            None => {
                self.queues.entry(Arc::clone(queue)).or_default().add(size, SHARED_GAIN_MIN);
            }
        }
    }
}

/// The measured duration of one task, with what it depends on.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sample {
    /// The time from the start call to the completion.
    pub measured: Millis,
    /// The caller's estimate.
    pub declared: Millis,
    /// The factor for running on another rack than that of the data; 1 on the same rack.
    pub far_factor: f64,
    /// The target's slowness when the task was started.
    pub slowness: f64,
}

fn log(time: Millis) -> f64 {
    (time.0.max(1) as f64).ln()
}
