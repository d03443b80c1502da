//! Retry budget: retries are a bounded share of recent successes.

/// Most tokens that a budget holds, in retries.
const CAP: f64 = 20.0;
/// Tokens that one success adds, in retries.
const PER_SUCCESS: f64 = 0.1;

/// RetryBudget of retries of one instance.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: CAP }
    }
}

impl RetryBudget {
    /// Records a success, which earns a share of a retry.
    pub fn record_success(&mut self) {
        self.tokens = (self.tokens + PER_SUCCESS).min(CAP);
    }

    /// Takes one retry; returns whether the budget allowed it.
    pub fn try_spend(&mut self) -> bool {
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
