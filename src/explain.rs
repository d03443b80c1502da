//! Routing decisions of recent requests, for the `/explain` page.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

use mimosapass_core::error::Kind;
use serde::Serialize;

use crate::node::Node;
use crate::trace::Trace;

/// Maximum number of explanations kept.
const CAPACITY: usize = 2048;

/// Decisions and outcome of one request.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Explanation {
    /// Identifier of the request.
    pub request: String,
    /// Instance that received it.
    pub instance: String,
    /// Availability zone of that instance.
    pub zone: String,
    /// Workspace.
    pub workspace: String,
    /// Class of the request.
    pub class: String,
    /// Estimated length of the prompt, in tokens.
    pub tokens: u64,
    /// Decisions, in order.
    pub steps: Vec<String>,
    /// Target of the last attempt.
    pub target: String,
    /// Outcome: `ok` or the error code.
    pub outcome: String,
    /// Time to first token, in milliseconds.
    pub first_ms: Option<u64>,
    /// Total time, in milliseconds.
    pub total_ms: u64,
    /// Spans of the request.
    #[serde(skip)]
    pub trace: Trace,
}

impl Explanation {
    /// Starts the explanation of a request that this instance received.
    ///
    /// `header` is the caller's `traceparent`.
    pub fn new(node: &Node, header: Option<&str>) -> Self {
        let trace = node.traces.begin(header);
        let (instance, zone) = (node.name.to_string(), node.zone.to_string());
        Self { instance, zone, trace, ..Self::default() }
    }

    /// Completes and stores the explanation, and logs and counts the outcome.
    pub fn finish(mut self, node: &Node, start: Instant, error: Option<Kind>) {
        let outcome = error.map_or("ok", |kind| kind.row().code);
        let (request, class) = (self.request.as_str(), self.class.as_str());
        log::info!(request, class, outcome; "flow: request ended.");
        node.metrics.requests.with_label_values(&[class, outcome]).inc();
        outcome.clone_into(&mut self.outcome);
        self.trace.set_attribute("request", &self.request);
        self.trace.set_attribute("workspace", &self.workspace);
        self.trace.set_attribute("class", &self.class);
        self.trace.finish(outcome);
        self.total_ms = start.elapsed().as_millis() as u64;
        node.explanations.push(self);
    }
}

/// Explanations of the latest requests, at most [`CAPACITY`].
#[derive(Debug, Default)]
pub struct Explanations {
    ring: Mutex<VecDeque<Explanation>>,
}

impl Explanations {
    /// Adds an explanation; the oldest is dropped at capacity.
    pub fn push(&self, explanation: Explanation) {
        let mut ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        if ring.len() == CAPACITY {
            ring.pop_front();
        }
        ring.push_back(explanation);
    }

    /// Returns the newest explanation of a request.
    pub fn find(&self, request: &str) -> Option<Explanation> {
        let ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        ring.iter().rev().find(|e| e.request == request).cloned()
    }
}
