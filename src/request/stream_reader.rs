//! The thread that reads an engine's stream for one attempt.

use std::sync::mpsc::Sender;
use std::sync::{Arc, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

use mimosapass_core::error::{Failure, Kind};
use mimosapass_target::client;
use mimosapass_target::engine::{self, Event, Generate};
use mimosapass_target::error::CallError;
use ureq::Agent;

use crate::background::reclaim::ReclaimRequest;
use crate::node::Node;
use crate::timer::TimerGuard;

/// Time for which the stream of an abandoned attempt is still read.
const ABANDONED_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Stack size of the thread.
const STACK_BYTES: usize = 256 * 1024;

/// Message to the thread of a request.
#[derive(Debug)]
pub enum Message {
    /// An event of the numbered attempt.
    Event(usize, Event),
    /// The stream of the numbered attempt ended.
    Done(usize, Result<(), CallError>),
    /// The deadline passed.
    Deadline,
}

/// Reads one stream on an HTTP agent of its own.
#[derive(Debug)]
pub struct StreamReader {
    node: Arc<Node>,
    agent: Agent,
    abandoned: Arc<OnceLock<TimerGuard>>,
}

impl StreamReader {
    /// Builds a reader for the engine at `addr`.
    ///
    /// A request that may not be repeated gets a connection of its own: on one that was used
    /// before, an earlier refusal might be taken for its answer.
    pub fn new(node: &Arc<Node>, addr: &str, repeatable: bool) -> Self {
        let agent = if repeatable { node.stream_agents.take(addr) } else { client::agent(1) };
        Self { node: Arc::clone(node), agent, abandoned: Arc::default() }
    }

    /// Starts the thread, which sends messages for attempt `number`.
    ///
    /// # Errors
    ///
    /// [`Kind::NoTarget`] when no thread can be started; nothing was sent then.
    pub fn start(
        &self,
        number: usize,
        call: Generate,
        sender: Sender<Message>,
    ) -> Result<(), Failure> {
        let (node, agent) = (Arc::clone(&self.node), self.agent.clone());
        let abandoned = Arc::clone(&self.abandoned);
        let read = move || {
            let sink = |event| {
                abandoned.get().is_none() && sender.send(Message::Event(number, event)).is_ok()
            };
            let result = engine::generate(&agent, &call, sink);
            if abandoned.get().is_some() {
                // The engine may have started the call after it confirmed the cancel.
                let reclaim = ReclaimRequest { addr: call.addr, attempt: call.attempt };
                node.reclaims.send(reclaim).unwrap_or_default();
            } else if result.is_ok() {
                node.stream_agents.put_back(&call.addr, agent);
            }
            // The receiver is gone if the request has ended.
            sender.send(Message::Done(number, result)).unwrap_or_default();
        };
        let spawned =
            thread::Builder::new().name("attempt".to_owned()).stack_size(STACK_BYTES).spawn(read);
        spawned.map(drop).map_err(|e| Failure::new(Kind::NoTarget, e.to_string()))
    }

    /// Drops further events of a failed attempt.
    ///
    /// The thread reads on for [`ABANDONED_READ_TIMEOUT`] to detect a call that the
    /// engine starts after its cancel; then the connection is shut down.
    pub fn abandon(&self) {
        let mut agent = Some(self.agent.clone());
        let shut_down = move || agent.take().into_iter().for_each(Agent::shutdown);
        let ticket = self.node.timer.schedule(Instant::now() + ABANDONED_READ_TIMEOUT, shut_down);
        if self.abandoned.set(ticket).is_err() {
            log::error!("model: an attempt was abandoned twice.");
        }
    }
}
