//! Pool of idle connections to targets.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::http::Connection;

/// Maximum number of idle connections per target.
const MAX_IDLE: usize = 8;

/// Idle connections by address.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: Mutex<HashMap<SocketAddr, Vec<Connection>>>,
}

impl ConnectionPool {
    /// Takes a connection that can be used for another request.
    pub fn take(&self, addr: SocketAddr, now: Instant) -> Option<Connection> {
        let mut idle = self.lock();
        let connections = idle.get_mut(&addr)?;
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
        let connections = idle.entry(connection.addr()).or_default();
        connections.retain(|c| c.reusable(now));
        if connections.len() < MAX_IDLE {
            connections.push(connection);
        }
    }

    /// Closes all idle connections to a target.
    pub fn close_all(&self, addr: SocketAddr) {
        self.lock().remove(&addr);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<Connection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
