//! Agents for streams: each has one connection and serves one stream at a time.
//!
//! An agent can be shut down as a whole only, which ends a read that waits for
//! a frozen engine. With one stream to an agent that ends just this stream.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use ureq::Agent;

use crate::client::agent;

/// Time for which an idle agent and its connection are kept.
const IDLE: Duration = Duration::from_secs(10);
/// Idle agents for one target, at most.
const MOST: usize = 16;

#[derive(Debug)]
struct Idle {
    agent: Agent,
    since: Instant,
}

/// Idle agents by address of the target.
#[derive(Debug, Default)]
pub struct StreamAgents {
    idle: Mutex<HashMap<String, Vec<Idle>>>,
}

impl StreamAgents {
    /// Returns an agent that no other stream uses.
    pub fn take(&self, addr: &str) -> Agent {
        let known = self.idle().get_mut(addr).and_then(Vec::pop);
        let fresh = known.filter(|k| k.since.elapsed() < IDLE);
        fresh.map_or_else(|| agent(1), |k| k.agent)
    }

    /// Gives an agent back whose stream was read to its end.
    pub fn put_back(&self, addr: &str, agent: Agent) {
        let mut idle = self.idle();
        let kept = idle.entry(addr.to_owned()).or_default();
        if kept.len() < MOST {
            kept.push(Idle { agent, since: Instant::now() });
        }
    }

    /// Closes the connections of agents that were idle for long.
    pub fn close_idle(&self) {
        let mut idle = self.idle();
        for kept in idle.values_mut() {
            kept.retain(|k| k.since.elapsed() < IDLE);
        }
        idle.retain(|_, kept| !kept.is_empty());
    }

    fn idle(&self) -> MutexGuard<'_, HashMap<String, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
