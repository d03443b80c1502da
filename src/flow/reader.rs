//! The thread that reads an engine's stream for one attempt.

use std::sync::mpsc::Sender;
use std::sync::{Arc, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

use mimosapass_core::error::{Failure, Kind};
use mimosapass_target::engine::{self, Event, Generate};
use mimosapass_target::error::CallError;
use ureq::Agent;

use crate::background::reclaim::ReclaimRequest;
use crate::node::Node;
use crate::timer::TimerGuard;

/// Time for which the stream of an attempt that failed may still be read.
const LATE: Duration = Duration::from_secs(10);
/// Stack of the thread, in bytes.
const STACK: usize = 256 * 1024;

/// What the thread of a request waits for.
#[derive(Debug)]
pub enum Message {
    /// An event of the attempt with that number.
    Event(usize, Event),
    /// The attempt with that number ended.
    Done(usize, Result<(), CallError>),
    /// The deadline passed.
    Deadline,
}

/// Reads one stream on an agent that no other stream uses.
#[derive(Debug)]
pub struct Reader {
    node: Arc<Node>,
    agent: Agent,
    over: Arc<OnceLock<TimerGuard>>,
}

impl Reader {
    /// Prepares to read a stream of the engine at `addr`.
    pub fn new(node: &Arc<Node>, addr: &str) -> Self {
        Self { node: Arc::clone(node), agent: node.stream_agents.take(addr), over: Arc::default() }
    }

    /// Starts the thread; events and the end go to `sender` under `number`.
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
        let over = Arc::clone(&self.over);
        let reading = move || {
            let sink =
                |event| over.get().is_none() && sender.send(Message::Event(number, event)).is_ok();
            let ended = engine::generate(&agent, &call, sink);
            if over.get().is_some() {
                // The engine may have begun after it confirmed the cancel.
                let again = ReclaimRequest { addr: call.addr, attempt: call.attempt };
                node.reclaims.send(again).unwrap_or_default();
            } else if ended.is_ok() {
                node.stream_agents.put_back(&call.addr, agent);
            }
            // A request that has ended does not wait for this any more.
            sender.send(Message::Done(number, ended)).unwrap_or_default();
        };
        let spawned =
            thread::Builder::new().name("attempt".to_owned()).stack_size(STACK).spawn(reading);
        spawned.map(drop).map_err(|e| Failure::new(Kind::NoTarget, e.to_string()))
    }

    /// Tells the thread that its attempt has failed.
    ///
    /// It goes on for [`LATE`], so that a call which the engine begins after its
    /// cancel is noticed; then its connection is shut down.
    pub fn abandon(&self) {
        let mut agent = Some(self.agent.clone());
        let shut = move || agent.take().into_iter().for_each(Agent::shutdown);
        let ticket = self.node.timer.schedule(Instant::now() + LATE, shut);
        if self.over.set(ticket).is_err() {
            log::error!("model: an attempt ended twice.");
        }
    }
}
