//! A budget for retries and hedges, earned by first attempts.

/// The most attempts that a budget accumulates.
const ATTEMPTS_MAX: f64 = 20.0;

/// The retries or hedges that may still be made.
#[derive(Debug, Default)]
pub struct Budget {
    attempts: f64,
}

impl Budget {
    /// Adds `share` of an attempt.
    pub fn earn(&mut self, share: f64) {
        self.attempts = (self.attempts + share).min(ATTEMPTS_MAX);
    }

    /// Takes one attempt; returns whether there was one.
    pub fn spend(&mut self) -> bool {
        let enough = self.attempts >= 1.0;
        if enough {
            self.attempts -= 1.0;
        }
        enough
    }
}
