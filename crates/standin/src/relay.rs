//! Stand-in for a network path: forwards TCP connections until it is cut or silent.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// A path from its own address to a target address.
#[derive(Clone, Debug)]
pub struct Relay {
    addr: SocketAddr,
    state: Arc<Mutex<State>>,
    rate: Rate,
}

/// Bandwidth of one direction of a connection in bytes a second; 0 for no limit.
type Rate = Arc<AtomicUsize>;

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
        let addr = listener.local_addr()?;
        let relay = Self { addr, state: Arc::default(), rate: Arc::default() };
        let (state, rate) = (Arc::clone(&relay.state), Arc::clone(&relay.rate));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                connect(stream, target, &state, &rate).unwrap_or_default();
            }
        });
        Ok(relay)
    }

    /// Returns the address of this end of the path.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Limits each connection to this many bytes a second in each direction.
    ///
    /// # Panics
    ///
    /// Panics when `bytes_per_s` is 0.
    pub fn set_rate(&self, bytes_per_s: usize) {
        assert!(bytes_per_s > 0, "a path that carries nothing is a cut");
        self.rate.store(bytes_per_s, Ordering::SeqCst);
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

fn connect(
    client: TcpStream,
    target: SocketAddr,
    state: &Mutex<State>,
    rate: &Rate,
) -> io::Result<()> {
    let mut state = lock(state);
    if state.cut {
        return client.shutdown(Shutdown::Both);
    }
    let server = TcpStream::connect(target)?;
    let silent = Arc::new(AtomicBool::new(state.silent));
    let ends = [client.try_clone()?, server.try_clone()?];
    state.links.push(Link { ends, silent: Arc::clone(&silent) });
    drop(state);
    copy(client.try_clone()?, server.try_clone()?, Arc::clone(&silent), Arc::clone(rate));
    copy(server, client, silent, Arc::clone(rate));
    Ok(())
}

/// Forwards what `from` sends, until either end closes.
fn copy(mut from: TcpStream, mut to: TcpStream, silent: Arc<AtomicBool>, rate: Rate) {
    thread::spawn(move || {
        let mut buffer = [0; 16 * 1024];
        while let Ok(read @ 1..) = from.read(&mut buffer) {
            if !silent.load(Ordering::SeqCst) && to.write_all(&buffer[..read]).is_err() {
                break;
            }
            let bytes_per_s = rate.load(Ordering::SeqCst);
            if bytes_per_s > 0 {
                thread::sleep(Duration::from_secs(1).mul_f64(read as f64 / bytes_per_s as f64));
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
