//! Stand-in for a network path: forwards TCP connections until it is cut.

use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;

/// A path from its own address to a target address.
#[derive(Clone, Debug)]
pub struct Relay {
    addr: SocketAddr,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    cut: bool,
    streams: Vec<TcpStream>,
}

impl Relay {
    /// Starts a path to `target` on a free port of loopback.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let relay = Self { addr: listener.local_addr()?, state: Arc::default() };
        let state = Arc::clone(&relay.state);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                connect(stream, target, &state).unwrap_or_default();
            }
        });
        Ok(relay)
    }

    /// Returns the address of this end of the path.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Cuts or restores the path; open connections are closed either way.
    pub fn set_cut(&self, cut: bool) {
        let mut state = lock(&self.state);
        state.cut = cut;
        for stream in state.streams.drain(..) {
            stream.shutdown(Shutdown::Both).unwrap_or_default();
        }
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn connect(client: TcpStream, target: SocketAddr, state: &Mutex<State>) -> io::Result<()> {
    let mut state = lock(state);
    if state.cut {
        return client.shutdown(Shutdown::Both);
    }
    let server = TcpStream::connect(target)?;
    state.streams.extend([client.try_clone()?, server.try_clone()?]);
    drop(state);
    copy(client.try_clone()?, server.try_clone()?);
    copy(server, client);
    Ok(())
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    thread::spawn(move || {
        io::copy(&mut from, &mut to).unwrap_or_default();
        to.shutdown(Shutdown::Write).unwrap_or_default();
    });
}
