//! Run time estimates from measured times.
//!
//! Times are kept as natural logarithms of milliseconds, so that twice and half as long weigh the
//! same.

use crate::clock::Millis;

/// The minimum weight of a new sample in a running mean.
const GAIN_MIN: f64 = 1.0 / 64.0;
/// Samples after which the mean is known well enough to refuse jobs by it.
const KNOWN_SAMPLES: u32 = 20;
/// Samples after which declared times may be used.
const DECLARED_SAMPLES: u32 = 200;
/// Declared times are used while their variance is below this share of the plain mean's variance.
const DECLARED_VARIANCE_MAX: f64 = 0.5;
/// The mean maximum of `n` standard normal samples is about this factor times `sqrt(2 ln n)`.
const LONGEST_FACTOR: f64 = 0.7;
/// The run time assumed for a task before any was measured or declared.
const DEFAULT: Millis = Millis(100);

/// The running mean and variance of a logarithm.
#[derive(Clone, Copy, Debug, Default)]
struct Moments {
    mean: f64,
    variance: f64,
    samples: u32,
}

impl Moments {
    fn add(&mut self, value: f64) {
        self.samples = self.samples.saturating_add(1);
        let gain = (1.0 / f64::from(self.samples)).max(GAIN_MIN);
        let deviation = value - self.mean;
        self.mean += gain * deviation;
        self.variance += gain * (deviation * deviation - self.variance);
    }
}

/// The run time of a service's tasks on a target of mean speed.
///
/// Declared times are used once they predict the measured ones better than the plain mean does.
#[derive(Clone, Copy, Debug, Default)]
pub struct Size {
    plain: Moments,
    /// The measured times relative to the declared ones.
    declared: Moments,
}

impl Size {
    /// Adds the logarithm of a measured time, less the target's slowness.
    pub fn add(&mut self, measured: f64, declared: Option<Millis>) {
        self.plain.add(measured);
        if let Some(declared) = declared {
            self.declared.add(measured - log(declared));
        }
    }

    /// The logarithm of a task's typical (median) run time.
    pub fn expected(&self, declared: Option<Millis>) -> f64 {
        match declared {
            Some(declared) if self.uses_declared() => self.declared.mean + log(declared),
            _ if self.plain.samples > 0 => self.plain.mean,
            declared => log(declared.unwrap_or(DEFAULT)),
        }
    }

    /// The logarithm of the mean run time, which long tasks raise above the typical one.
    pub fn mean(&self, declared: Option<Millis>) -> f64 {
        self.expected(declared) + self.variance() / 2.0
    }

    /// The logarithm of the expected run time of the longest of `count` tasks.
    pub fn longest(&self, declared: Option<Millis>, count: usize) -> f64 {
        let deviations = LONGEST_FACTOR * (2.0 * (count.max(1) as f64).ln()).sqrt();
        self.expected(declared) + deviations * self.variance().sqrt()
    }

    /// The logarithm of a run time that few tasks exceed: two standard deviations above the typical
    /// one.
    pub fn upper_bound(&self, declared: Option<Millis>) -> f64 {
        self.expected(declared) + 2.0 * self.variance().sqrt().max(0.2)
    }

    /// Moves the means by `offset`, which was taken from every target's slowness.
    pub fn shift(&mut self, offset: f64) {
        self.plain.mean += offset;
        self.declared.mean += offset;
    }

    /// Whether enough run times were measured to refuse jobs by the estimate.
    pub const fn is_known(&self) -> bool {
        self.plain.samples >= KNOWN_SAMPLES
    }

    fn variance(&self) -> f64 {
        if self.uses_declared() { self.declared.variance } else { self.plain.variance }
    }

    fn uses_declared(&self) -> bool {
        let variance_max = self.plain.variance * DECLARED_VARIANCE_MAX;
        self.declared.samples >= DECLARED_SAMPLES && self.declared.variance < variance_max
    }
}

/// The logarithm of a time in milliseconds; times below one millisecond count as one.
pub fn log(time: Millis) -> f64 {
    (time.0.max(1) as f64).ln()
}

/// The time whose logarithm is `value`, rounded up to at least one millisecond.
pub fn time(value: f64) -> Millis {
    Millis(value.exp().ceil().max(1.0) as u64)
}
