//! Idle connections to targets, kept for the next request.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::http::Connection;

/// Idle connections that are kept for one target.
const KEPT: usize = 8;

/// Idle connections by address.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    kept: Mutex<HashMap<SocketAddr, Vec<Connection>>>,
}

impl ConnectionPool {
    /// Takes a connection that can carry another request.
    pub fn take(&self, addr: SocketAddr, now: Instant) -> Option<Connection> {
        let mut kept = self.lock();
        let connections = kept.get_mut(&addr)?;
        // The newest one was used last, so its target is least likely to close it.
        while let Some(connection) = connections.pop() {
            if connection.reusable(now) {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection that its target keeps for `time`.
    pub fn keep(&self, mut connection: Connection, time: Duration, now: Instant) {
        if !connection.reusable(now) {
            return;
        }
        connection.mark_idle(time, now);
        let mut kept = self.lock();
        let connections = kept.entry(connection.addr()).or_default();
        connections.retain(|c| c.reusable(now));
        if connections.len() < KEPT {
            connections.push(connection);
        }
    }

    /// Closes the idle connections to a target that is gone.
    pub fn close_all(&self, addr: SocketAddr) {
        self.lock().remove(&addr);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<Connection>>> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
