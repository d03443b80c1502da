//! Decides which events of an engine's stream are forwarded to the caller.
//!
//! The tokens of an answer are numbered from 0 across all attempts. Each
//! attempt starts at the next token that the caller has not received, and each
//! event names its attempt. An answer is complete only if its end event states
//! the number of tokens that were forwarded.

use std::fmt;

/// What to do with one event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send the token to the caller.
    Forward,
    /// Drop the event: this attempt has already sent the token.
    Duplicate,
    /// Drop the event: it belongs to another attempt.
    OtherAttempt,
    /// The answer has ended and all its tokens were forwarded.
    Complete,
    /// The attempt cannot complete the answer.
    Fail(StreamError),
}

/// Why an attempt cannot complete the answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StreamError {
    /// A token before the start of the attempt arrived, so it was not resumed.
    NotResumed {
        /// Number of the token.
        index: u64,
        /// Number of the first token of the attempt.
        from: u64,
    },
    /// Tokens were skipped.
    Gap {
        /// Number of the token received.
        index: u64,
        /// Number of the token expected.
        next: u64,
    },
    /// The end event states another number of tokens than were forwarded.
    CountMismatch {
        /// Tokens stated by the end event.
        stated: u64,
        /// Tokens forwarded to the caller.
        forwarded: u64,
    },
}

impl fmt::Display for StreamError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotResumed { index, from } => {
                write!(f, "the engine started at token {index} instead of {from}")
            }
            Self::Gap { index, next } => write!(f, "received token {index} instead of {next}"),
            Self::CountMismatch { stated, forwarded } => {
                write!(f, "received {forwarded} of {stated} tokens")
            }
        }
    }
}

/// Tokens of one answer forwarded so far, across attempts.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Progress {
    attempt: String,
    from: u64,
    next: u64,
}

impl Progress {
    /// Starts an attempt at the next token to forward.
    pub fn start(&mut self, attempt: &str) {
        attempt.clone_into(&mut self.attempt);
        self.from = self.next;
    }

    /// Returns the number of tokens forwarded to the caller.
    pub fn forwarded(&self) -> u64 {
        self.next
    }

    /// Handles a token; [`Action::Forward`] counts it as forwarded.
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

    /// Handles an end event that states `tokens` in the whole answer.
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
