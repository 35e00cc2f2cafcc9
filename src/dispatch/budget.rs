//! A budget of further attempts that grows with the first ones.

/// What an idle budget may have saved up, in attempts.
const SAVED_MAX: f64 = 20.0;

/// Attempts that may still be made, earned as a share of first attempts.
#[derive(Debug, Default)]
pub struct Budget {
    attempts: f64,
}

impl Budget {
    /// Earns `share` of an attempt.
    pub fn earn(&mut self, share: f64) {
        self.attempts = (self.attempts + share).min(SAVED_MAX);
    }

    /// Takes one attempt out, if there is one.
    pub fn spend(&mut self) -> bool {
        let enough = self.attempts >= 1.0;
        if enough {
            self.attempts -= 1.0;
        }
        enough
    }
}
