//! Pool of agents for streams, each with one connection and one stream at a time.
//!
//! Shutting down an agent ends all of its reads, also one that waits for an
//! engine that does not respond. With one stream per agent, it ends only that
//! stream.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use ureq::Agent;

use crate::client::agent;

/// Time for which an idle agent and its connection are kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of idle agents per target.
const MAX_IDLE: usize = 16;

#[derive(Debug)]
struct IdleAgent {
    agent: Agent,
    since: Instant,
}

/// Idle agents by address of the target.
#[derive(Debug, Default)]
pub struct StreamAgents {
    idle: Mutex<HashMap<String, Vec<IdleAgent>>>,
}

impl StreamAgents {
    /// Returns an agent that no other stream uses.
    pub fn take(&self, addr: &str) -> Agent {
        let known = self.idle().get_mut(addr).and_then(Vec::pop);
        let fresh = known.filter(|k| k.since.elapsed() < IDLE_TIMEOUT);
        fresh.map_or_else(|| agent(1), |k| k.agent)
    }

    /// Puts back an agent whose stream was read to its end.
    pub fn put_back(&self, addr: &str, agent: Agent) {
        let mut idle = self.idle();
        let kept = idle.entry(addr.to_owned()).or_default();
        if kept.len() < MAX_IDLE {
            kept.push(IdleAgent { agent, since: Instant::now() });
        }
    }

    /// Closes agents that were idle for longer than the time-out.
    pub fn close_idle(&self) {
        let mut idle = self.idle();
        for kept in idle.values_mut() {
            kept.retain(|k| k.since.elapsed() < IDLE_TIMEOUT);
        }
        idle.retain(|_, kept| !kept.is_empty());
    }

    fn idle(&self) -> MutexGuard<'_, HashMap<String, Vec<IdleAgent>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
