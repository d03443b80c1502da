//! Retry budget: limits retries to a share of recent successes.

/// Retries that a full budget allows in a row.
const MAX_RETRIES: f64 = 20.0;
/// Retries that one success adds.
const RETRIES_PER_SUCCESS: f64 = 0.1;

/// Retry budget of one instance.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    retries: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { retries: MAX_RETRIES }
    }
}

impl RetryBudget {
    /// Records a success, which adds a fraction of a retry.
    pub fn record_success(&mut self) {
        self.retries = (self.retries + RETRIES_PER_SUCCESS).min(MAX_RETRIES);
    }

    /// Takes one retry; returns whether the budget allowed it.
    pub fn try_spend(&mut self) -> bool {
        let allowed = self.retries >= 1.0;
        if allowed {
            self.retries -= 1.0;
        }
        allowed
    }
}
