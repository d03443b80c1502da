//! Stand-in for a network path: forwards TCP connections until it is cut or silent.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
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
    silent: bool,
    links: Vec<Link>,
}

/// Both ends of one connection.
#[derive(Debug)]
struct Link {
    ends: [TcpStream; 2],
    /// Whether bytes are discarded instead of being forwarded.
    silent: Arc<AtomicBool>,
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
        for end in state.links.drain(..).flat_map(|link| link.ends) {
            end.shutdown(Shutdown::Both).unwrap_or_default();
        }
    }

    /// Makes all open connections silent for good; they stay open, and new ones work.
    pub fn silence_open(&self) {
        for link in lock(&self.state).links.drain(..) {
            link.silent.store(true, Ordering::SeqCst);
        }
    }

    /// Begins or ends a partition without resets.
    ///
    /// Connections that were open at its begin, or opened before its end, stay silent
    /// for good.
    pub fn set_silent(&self, silent: bool) {
        lock(&self.state).silent = silent;
        self.silence_open();
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
    let silent = Arc::new(AtomicBool::new(state.silent));
    let ends = [client.try_clone()?, server.try_clone()?];
    state.links.push(Link { ends, silent: Arc::clone(&silent) });
    drop(state);
    copy(client.try_clone()?, server.try_clone()?, Arc::clone(&silent));
    copy(server, client, silent);
    Ok(())
}

/// Forwards what `from` sends, until either end closes.
fn copy(mut from: TcpStream, mut to: TcpStream, silent: Arc<AtomicBool>) {
    thread::spawn(move || {
        let mut buffer = [0; 16 * 1024];
        while let Ok(read @ 1..) = from.read(&mut buffer) {
            if !silent.load(Ordering::SeqCst) && to.write_all(&buffer[..read]).is_err() {
                break;
            }
        }
        if silent.load(Ordering::SeqCst) {
            // The other end never learns that this one closed.
            loop {
                thread::park();
            }
        }
        to.shutdown(Shutdown::Write).unwrap_or_default();
    });
}
