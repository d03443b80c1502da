//! Why recent requests went where they went.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};

use serde::Serialize;

/// Stories that are kept.
const KEPT: usize = 2048;

/// What happened to one request.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Story {
    /// Identifier of the request.
    pub request: String,
    /// Instance that took it.
    pub instance: String,
    /// Availability zone of that instance.
    pub zone: String,
    /// Workspace.
    pub workspace: String,
    /// Class of work.
    pub class: String,
    /// Estimated length of the prompt, in tokens.
    pub tokens: u64,
    /// Decisions, in order.
    pub steps: Vec<String>,
    /// Target that served it last.
    pub target: String,
    /// Outcome: `ok` or the code of the failure.
    pub outcome: String,
    /// Time to first token, in milliseconds.
    pub first_ms: Option<u64>,
    /// Whole time, in milliseconds.
    pub total_ms: u64,
}

/// A bounded ring of stories.
#[derive(Debug, Default)]
pub struct Stories {
    ring: Mutex<VecDeque<Story>>,
}

impl Stories {
    /// Keeps a story and drops the oldest when the ring is full.
    pub fn keep(&self, story: Story) {
        let mut ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        if ring.len() == KEPT {
            ring.pop_front();
        }
        ring.push_back(story);
    }

    /// Returns the newest story of a request.
    pub fn find(&self, request: &str) -> Option<Story> {
        let ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        ring.iter().rev().find(|s| s.request == request).cloned()
    }
}
