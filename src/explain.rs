//! Routing decisions of recent requests, for the `/explain` page.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

use mimosapass_core::error::Kind;
use serde::Serialize;

use crate::node::Node;
use crate::trace::Trace;

const CAPACITY: usize = 2048;

/// What happened to one request.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Explanation {
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
    /// Spans of the request.
    #[serde(skip)]
    pub trace: Trace,
}

impl Explanation {
    /// Starts the explanation of a request that this instance took.
    ///
    /// `trace` is the caller's trace context, as the header gives it.
    pub fn new(node: &Node, trace: Option<&str>) -> Self {
        let trace = node.traces.begin(trace);
        let (instance, zone) = (node.name.to_string(), node.zone.to_string());
        Self { instance, zone, trace, ..Self::default() }
    }

    /// Completes the explanation, logs and counts the outcome, and keeps it.
    pub fn finish(mut self, node: &Node, start: Instant, failed: Option<Kind>) {
        let outcome = failed.map_or("ok", |kind| kind.row().code);
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
        ring.iter().rev().find(|s| s.request == request).cloned()
    }
}
