//! Prepares a run: reserves memory at the granted targets, or goes over a peer, and connects.

use std::sync::Arc;
use std::time::Instant;

use mimosapass_core::edge::schedule::Grant;
use mimosapass_core::ids::TargetId;
use mimosapass_target::http::Connection;

use super::attempt;
use super::detour::Peer;
use super::reservations::Reservations;
use super::state::Gateway;

/// A granted placement; its targets are released when it is dropped.
#[derive(Debug)]
pub struct Placed {
    gateway: Arc<Gateway>,
    /// The placement.
    pub grant: Grant,
}

impl Drop for Placed {
    fn drop(&mut self) {
        self.gateway.finish(&self.grant, Instant::now());
    }
}

/// Where a run takes place.
#[derive(Debug)]
pub enum Place {
    /// At a target.
    Target {
        /// Memory, which is released before the targets are.
        reservations: Reservations,
        /// The target.
        placed: Placed,
    },
    /// Over a peer, which places the request.
    Peer(Peer),
}

/// Why a run was not started.
#[derive(Clone, Debug)]
pub struct NotStarted {
    /// The engine that refused a reservation or did not answer.
    pub engine: Option<TargetId>,
    /// What happened.
    pub error: String,
}

impl From<String> for NotStarted {
    fn from(error: String) -> Self {
        Self { engine: None, error }
    }
}

/// A target with its memory reserved, or a peer, and an open connection.
#[derive(Debug)]
pub struct Prepared {
    /// Connection.
    pub connection: Connection,
    /// The gateway.
    pub gateway: Arc<Gateway>,
    /// Target or peer.
    pub place: Place,
}

impl Prepared {
    /// Reserves memory at the granted targets and connects; this may take most of a second.
    ///
    /// # Errors
    ///
    /// Fails when an engine does not reserve memory, or the target has left or cannot be
    /// connected to.
    pub fn new(gateway: &Arc<Gateway>, grant: Grant, idempotent: bool) -> Result<Self, NotStarted> {
        let placed = Placed { gateway: Arc::clone(gateway), grant };
        let grant = &placed.grant;
        let reservations = Reservations::reserve(gateway, grant)?;
        if !gateway.accepts(grant) {
            return Err("the target has left since it was granted".to_owned().into());
        }
        let connection = attempt::connect(gateway, grant, idempotent)?;
        let place = Place::Target { reservations, placed };
        Ok(Self { connection, gateway: Arc::clone(gateway), place })
    }

    /// Connects to a peer.
    ///
    /// # Errors
    ///
    /// Fails when the peer cannot be connected to.
    pub fn over(gateway: &Arc<Gateway>, peer: Peer) -> Result<Self, NotStarted> {
        let opened = Connection::open(peer.addr, attempt::CONNECT_TIMEOUT);
        let connection =
            opened.map_err(|e| format!("cannot connect to the peer {}: {e}", peer.name))?;
        Ok(Self { connection, gateway: Arc::clone(gateway), place: Place::Peer(peer) })
    }
}
