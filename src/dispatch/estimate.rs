//! Estimates from measured run times, kept as logarithms so that a factor both ways weighs the same.

use crate::clock::Millis;

/// The smallest weight of a new sample in a running mean.
const GAIN_MIN: f64 = 1.0 / 64.0;
/// Samples before the mean counts as known.
const KNOWN_SAMPLES: u32 = 20;
/// Samples before a declared time may be believed at all.
const DECLARED_SAMPLES: u32 = 200;
/// The share of the plain mean's variance that declared times must stay below to be believed.
const DECLARED_VARIANCE_MAX: f64 = 0.5;
/// Fits the mean of the largest of some normal samples to the root of twice the logarithm of their number.
const LONGEST_FACTOR: f64 = 0.7;
/// What a task is taken to last before anything was measured or declared.
const UNKNOWN: Millis = Millis(100);

/// The running mean and variance of a logarithm.
#[derive(Clone, Copy, Debug, Default)]
struct Track {
    mean: f64,
    variance: f64,
    samples: u32,
}

impl Track {
    fn add(&mut self, value: f64) {
        self.samples = self.samples.saturating_add(1);
        let gain = (1.0 / f64::from(self.samples)).max(GAIN_MIN);
        let off = value - self.mean;
        self.mean += gain * off;
        self.variance += gain * (off * off - self.variance);
    }
}

/// How long the tasks of a service last on a target of mean speed.
///
/// Declared times are used only once they have predicted the measured ones better than the plain mean.
#[derive(Clone, Copy, Debug, Default)]
pub struct Size {
    plain: Track,
    declared: Track,
}

impl Size {
    /// Takes a measured time, with the part that the target's own speed accounts for taken out.
    pub fn add(&mut self, measured: f64, declared: Option<Millis>) {
        self.plain.add(measured);
        if let Some(declared) = declared {
            self.declared.add(measured - log(declared));
        }
    }

    /// The logarithm of the time that a task is expected to last.
    pub fn expected(&self, declared: Option<Millis>) -> f64 {
        match declared {
            Some(declared) if self.believes_declared() => self.declared.mean + log(declared),
            _ if self.plain.samples > 0 => self.plain.mean,
            declared => log(declared.unwrap_or(UNKNOWN)),
        }
    }

    /// The same for the mean over many such tasks, which the long ones raise.
    pub fn mean(&self, declared: Option<Millis>) -> f64 {
        self.expected(declared) + self.variance() / 2.0
    }

    /// The same for the longest of `count` such tasks.
    pub fn longest(&self, declared: Option<Millis>, count: usize) -> f64 {
        let deviations = LONGEST_FACTOR * (2.0 * (count.max(1) as f64).ln()).sqrt();
        self.expected(declared) + deviations * self.variance().sqrt()
    }

    /// A time that few tasks exceed, two deviations above what is expected.
    pub fn unlikely(&self, declared: Option<Millis>) -> f64 {
        self.expected(declared) + 2.0 * self.variance().sqrt().max(0.2)
    }

    /// Moves the mean by `offset`, when the targets' speeds are centred anew.
    pub fn shift(&mut self, offset: f64) {
        self.plain.mean += offset;
        self.declared.mean += offset;
    }

    /// Whether enough tasks were measured to refuse others by it.
    pub const fn is_known(&self) -> bool {
        self.plain.samples >= KNOWN_SAMPLES
    }

    fn variance(&self) -> f64 {
        if self.believes_declared() { self.declared.variance } else { self.plain.variance }
    }

    fn believes_declared(&self) -> bool {
        let most = self.plain.variance * DECLARED_VARIANCE_MAX;
        self.declared.samples >= DECLARED_SAMPLES && self.declared.variance < most
    }
}

/// The logarithm of a time in milliseconds; anything under one counts as one.
pub fn log(time: Millis) -> f64 {
    (time.0.max(1) as f64).ln()
}

/// The time whose logarithm is `value`.
pub fn time(value: f64) -> Millis {
    Millis(value.exp().ceil().max(1.0) as u64)
}
