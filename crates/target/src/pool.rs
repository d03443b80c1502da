//! Pool of idle connections to targets.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::http::Connection;

/// Maximum number of idle connections per target.
const MAX_IDLE: usize = 8;
/// Shortest interval between checks of all idle connections, while any are taken or kept.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Idle connections by address.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: Mutex<Idle>,
}

#[derive(Debug, Default)]
struct Idle {
    by_addr: HashMap<SocketAddr, Vec<Connection>>,
    swept: Option<Instant>,
}

impl Idle {
    /// Closes the connections that cannot be used again, of targets that are not used either.
    fn sweep(&mut self, now: Instant) {
        if self.swept.is_some_and(|at| now < at + SWEEP_INTERVAL) {
            return;
        }
        self.swept = Some(now);
        for connections in self.by_addr.values_mut() {
            connections.retain(|c| c.reusable(now));
        }
        self.by_addr.retain(|_, connections| !connections.is_empty());
    }
}

impl ConnectionPool {
    /// Takes a connection that can be used for another request.
    pub fn take(&self, addr: SocketAddr, now: Instant) -> Option<Connection> {
        let mut idle = self.lock();
        idle.sweep(now);
        let connections = idle.by_addr.get_mut(&addr)?;
        // The target is least likely to close the connection that was used last.
        while let Some(connection) = connections.pop() {
            if connection.reusable(now) {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection that its target keeps open for `keep_alive`.
    pub fn keep(&self, mut connection: Connection, keep_alive: Duration, now: Instant) {
        if !connection.reusable(now) {
            return;
        }
        connection.mark_idle(keep_alive, now);
        let mut idle = self.lock();
        idle.sweep(now);
        let connections = idle.by_addr.entry(connection.addr()).or_default();
        connections.retain(|c| c.reusable(now));
        if connections.len() < MAX_IDLE {
            connections.push(connection);
        }
    }

    /// Closes all idle connections to a target.
    pub fn close_all(&self, addr: SocketAddr) {
        self.lock().by_addr.remove(&addr);
    }

    fn lock(&self) -> MutexGuard<'_, Idle> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
