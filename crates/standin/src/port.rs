//! Addresses of loopback that stay taken while nothing listens at them.
//!
//! The port of a listener that was closed is free: the next stand-in that asks for any port may
//! get it, and then answers callers that are to be refused.

use std::io;
use std::net::{SocketAddr, TcpListener};

use socket2::{Domain, Socket, Type};

/// Connections that wait to be accepted.
const BACKLOG: i32 = 128;

/// An address that is held.
#[derive(Debug)]
pub struct Port {
    /// Bound and not listening, so that connections are refused unless another socket listens.
    _held: Socket,
    addr: SocketAddr,
}

impl Port {
    /// Takes an address; with port 0 any that is free.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub fn bind(addr: SocketAddr) -> io::Result<Self> {
        let held = socket(addr)?;
        let bound = held.local_addr()?.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
        Ok(Self { _held: held, addr: bound })
    }

    /// Returns the address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Listens at the address; connections are refused again once the listener is dropped.
    ///
    /// # Errors
    ///
    /// Fails when the socket cannot listen.
    pub fn listen(&self) -> io::Result<TcpListener> {
        let socket = socket(self.addr)?;
        socket.listen(BACKLOG)?;
        Ok(socket.into())
    }
}

/// Returns a socket that shares its address with others that share it too.
fn socket(addr: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
    socket.set_reuse_port(true)?;
    socket.bind(&addr.into())?;
    Ok(socket)
}
