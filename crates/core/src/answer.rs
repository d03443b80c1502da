//! Which events of an engine's stream may be passed on to the caller.
//!
//! The tokens of an answer are numbered from 0 across all attempts at it. Each
//! attempt starts at the token that the caller waits for, and each event names
//! its attempt. An answer is whole only with an end mark whose count is the
//! number of tokens that were passed on.

use std::fmt;

/// What to do with one event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Pass the token on.
    Forward,
    /// Drop the event: this attempt has sent the token before.
    Duplicate,
    /// Drop the event: it belongs to another attempt.
    OtherAttempt,
    /// The answer is whole.
    Complete,
    /// The attempt cannot lead to a whole answer.
    Fail(StreamError),
}

/// Why an attempt cannot lead to a whole answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StreamError {
    /// A token before the start of the attempt came, so it was not resumed.
    NotResumed {
        /// Number of the token.
        index: u64,
        /// Number of the first token of the attempt.
        from: u64,
    },
    /// Tokens are missing.
    Gap {
        /// Number of the token that came.
        index: u64,
        /// Number of the token that the caller waits for.
        next: u64,
    },
    /// The end mark counts other tokens than were passed on.
    CountMismatch {
        /// Tokens by the end mark.
        stated: u64,
        /// Tokens that were passed on.
        forwarded: u64,
    },
}

impl fmt::Display for StreamError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotResumed { index, from } => {
                write!(f, "the engine began at token {index} in place of {from}")
            }
            Self::Gap { index, next } => write!(f, "token {index} came in place of {next}"),
            Self::CountMismatch { stated, forwarded } => {
                write!(f, "{forwarded} of {stated} tokens came")
            }
        }
    }
}

/// How far the answer to one request has come.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Progress {
    attempt: String,
    from: u64,
    next: u64,
}

impl Progress {
    /// Starts an attempt at the token that the caller waits for.
    pub fn start(&mut self, attempt: &str) {
        attempt.clone_into(&mut self.attempt);
        self.from = self.next;
    }

    /// Returns the number of tokens that were passed on.
    pub fn forwarded(&self) -> u64 {
        self.next
    }

    /// Judges a token; [`Action::Forward`] counts it as passed on.
    pub fn on_token(&mut self, attempt: &str, index: u64) -> Action {
        if attempt != self.attempt {
            return Action::OtherAttempt;
        }
        if index < self.from {
            return Action::Fail(StreamError::NotResumed { index, from: self.from });
        }
        if index < self.next {
            return Action::Duplicate;
        }
        if index > self.next {
            return Action::Fail(StreamError::Gap { index, next: self.next });
        }
        self.next += 1;
        Action::Forward
    }

    /// Judges an end mark that counts `tokens` in the whole answer.
    pub fn on_end(&self, attempt: &str, tokens: u64) -> Action {
        if attempt != self.attempt {
            return Action::OtherAttempt;
        }
        if tokens != self.next {
            return Action::Fail(StreamError::CountMismatch {
                stated: tokens,
                forwarded: self.next,
            });
        }
        Action::Complete
    }
}
