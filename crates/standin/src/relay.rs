//! Stand-in for a network path: forwards TCP connections until it is cut, silent or closed
//! to new ones.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use socket2::SockRef;

use crate::port;

/// A path from its own address to a target address.
#[derive(Clone, Debug)]
pub struct Relay {
    addr: SocketAddr,
    state: Arc<Mutex<State>>,
    rate: Rate,
    rewrites: Rewrites,
}

/// Texts and those of the same length that are forwarded in their place.
pub type Rewrites = Arc<Mutex<Vec<(String, String)>>>;

/// Replaces texts in bytes.
pub fn rewrite(bytes: &mut [u8], rewrites: &Rewrites) {
    for (from, to) in &*rewrites.lock().unwrap_or_else(PoisonError::into_inner) {
        let (from, to) = (from.as_bytes(), to.as_bytes());
        let found = |bytes: &[u8]| bytes.windows(from.len()).position(|w| w == from);
        while let Some(at) = found(bytes) {
            bytes[at..at + to.len()].copy_from_slice(to);
        }
    }
}

/// What becomes of new connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Admission {
    /// They are forwarded.
    #[default]
    Open,
    /// They are refused.
    Refused,
    /// They are neither established nor refused.
    Hanging,
}

/// Interval between checks for new connections, and of their admission.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Connections that wait to be accepted.
const BACKLOG: i32 = 128;

/// Bandwidth of one direction of a connection in bytes a second; 0 for no limit.
type Rate = Arc<AtomicUsize>;

#[derive(Debug, Default)]
struct State {
    cut: bool,
    silent: bool,
    admission: Admission,
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
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), target, Rewrites::default())
    }

    /// As [`Self::start`], at an address, and with texts that are replaced.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub fn start_at(addr: SocketAddr, target: SocketAddr, rewrites: Rewrites) -> io::Result<Self> {
        let listener = port::listen(addr)?;
        let addr = listener.local_addr()?;
        let relay = Self { addr, state: Arc::default(), rate: Arc::default(), rewrites };
        let accepting = relay.clone();
        thread::spawn(move || accepting.accept(listener, target));
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

    /// Sets what becomes of new connections; open ones live on.
    pub fn set_admission(&self, admission: Admission) {
        lock(&self.state).admission = admission;
        // Until the thread that accepts has seen it.
        thread::sleep(POLL_INTERVAL * 5);
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

fn set_backlog(listener: &TcpListener, backlog: i32) {
    SockRef::from(listener).listen(backlog).expect("it listens");
}

impl Relay {
    /// Accepts connections as far as they are admitted.
    fn accept(&self, listener: TcpListener, target: SocketAddr) {
        let addr = self.addr;
        let open = || port::listen(addr).expect("the address is held");
        let mut held = None;
        let mut listener = Some(listener);
        // They fill the backlog of a listener that accepts nothing, so that others hang.
        let mut waiting = Vec::new();
        loop {
            let admission = lock(&self.state).admission;
            match admission {
                Admission::Refused => {
                    held.get_or_insert_with(|| port::hold(addr).expect("the address is shared"));
                    listener = None;
                }
                Admission::Hanging if waiting.is_empty() => {
                    set_backlog(listener.get_or_insert_with(open), 0);
                    let connect = || TcpStream::connect_timeout(&addr, POLL_INTERVAL * 10);
                    waiting = std::iter::repeat_with(connect).map_while(Result::ok).collect();
                }
                Admission::Hanging => {}
                Admission::Open => {
                    let listener = listener.get_or_insert_with(open);
                    if !waiting.is_empty() {
                        set_backlog(listener, BACKLOG);
                        waiting.clear();
                    }
                    self.accept_waiting(listener, target);
                }
            }
            if admission != Admission::Refused {
                held = None;
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Accepts the connections that wait.
    fn accept_waiting(&self, listener: &TcpListener, target: SocketAddr) {
        listener.set_nonblocking(true).expect("set");
        while let Ok((stream, _)) = listener.accept() {
            stream.set_nonblocking(false).unwrap_or_default();
            self.connect(stream, target).unwrap_or_default();
        }
    }

    fn connect(&self, client: TcpStream, target: SocketAddr) -> io::Result<()> {
        let mut state = lock(&self.state);
        if state.cut {
            return client.shutdown(Shutdown::Both);
        }
        let server = TcpStream::connect(target)?;
        let silent = Arc::new(AtomicBool::new(state.silent));
        let ends = [client.try_clone()?, server.try_clone()?];
        state.links.push(Link { ends, silent: Arc::clone(&silent) });
        drop(state);
        self.copy(client.try_clone()?, server.try_clone()?, Arc::clone(&silent));
        self.copy(server, client, silent);
        Ok(())
    }

    /// Forwards what `from` sends, until either end closes.
    fn copy(&self, mut from: TcpStream, mut to: TcpStream, silent: Arc<AtomicBool>) {
        let (rate, rewrites) = (Arc::clone(&self.rate), Arc::clone(&self.rewrites));
        thread::spawn(move || {
            let mut buffer = [0; 16 * 1024];
            while let Ok(read @ 1..) = from.read(&mut buffer) {
                rewrite(&mut buffer[..read], &rewrites);
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
}
