//! Stand-in for a target of the platform that replies as a test's script says.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use mimosapass_caller::head::{Framing, Head, Parsed, parse};
use serde_json::{Value, json};
use socket2::SockRef;

use crate::port::{self, Held};
pub use crate::script::{Hook, Reply, Step};

/// Interval of checks for a disconnect while a target does not answer.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for the receiver to read what a reset would discard.
const RESET_DELAY: Duration = Duration::from_millis(50);

/// A request that a target received.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Head of the request.
    pub head: Head,
    /// Body.
    pub body: Vec<u8>,
    /// When it was complete.
    pub received_at: Instant,
    /// Time at which the caller's disconnect from a hanging target was seen.
    pub disconnected_at: Option<Instant>,
}

type Script = Arc<dyn Fn(&Head) -> Reply + Send + Sync>;

#[derive(Default)]
struct State {
    requests: Vec<ReceivedRequest>,
    connections: usize,
    reservations: BTreeMap<String, u64>,
    reserved: usize,
    released: usize,
    /// When memory was reserved, or a reservation renewed.
    reserved_at: Vec<Instant>,
    /// Time after which orders are answered.
    order_delay: Duration,
    /// Whether it has started again since its registration.
    restarted: bool,
    /// Whether new connections are refused.
    closed: bool,
    /// Its address, once they are.
    held: Option<Held>,
    /// Open connections by their number.
    streams: BTreeMap<usize, TcpStream>,
}

/// A target on loopback.
#[derive(Clone)]
pub struct ScriptedTarget {
    /// Identifier under which it registers.
    pub id: String,
    /// Address.
    pub addr: SocketAddr,
    script: Script,
    state: Arc<Mutex<State>>,
}

impl std::fmt::Debug for ScriptedTarget {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Runner").field("id", &self.id).finish_non_exhaustive()
    }
}

impl ScriptedTarget {
    /// Starts a target that replies as `script` says.
    ///
    /// # Panics
    ///
    /// Panics when no address can be bound.
    pub fn start(id: &str, script: impl Fn(&Head) -> Reply + Send + Sync + 'static) -> Self {
        let listener = port::listen(([127, 0, 0, 1], 0).into()).expect("an address");
        let addr = listener.local_addr().expect("an address");
        let target =
            Self { id: id.to_owned(), addr, script: Arc::new(script), state: Arc::default() };
        let accepting = target.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.lock().closed {
                    return;
                }
                let serving = accepting.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        target
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns its entry for the metadata store, in zone `a`.
    pub fn registration(&self, service: &str, state: &str, born: u64, seq: u64) -> Vec<u8> {
        self.registration_in("a", service, state, born, seq)
    }

    /// As [`Self::registration`], in another zone.
    pub fn registration_in(
        &self,
        zone: &str,
        service: &str,
        state: &str,
        born: u64,
        seq: u64,
    ) -> Vec<u8> {
        let entry = json!({
            "service": service, "address": self.addr.to_string(), "zone": zone, "version": "v1",
            "slots": 16, "state": state, "cold_left_ms": 0, "seq": seq, "born": born,
        });
        entry.to_string().into_bytes()
    }

    /// Returns the received requests, without orders.
    pub fn requests(&self) -> Vec<ReceivedRequest> {
        self.lock().requests.clone()
    }

    /// Refuses new connections; open ones stay in use.
    ///
    /// # Panics
    ///
    /// Panics when another socket has its address.
    pub fn stop_accepting(&self) {
        let mut state = self.lock();
        state.closed = true;
        state.held.get_or_insert_with(|| port::hold(self.addr).expect("the address is shared"));
        drop(state);
        // Wakes the accepting thread, which then ends.
        drop(TcpStream::connect(self.addr));
    }

    /// Closes all connections and refuses new ones, for good.
    ///
    /// # Panics
    ///
    /// Panics when another socket has its address.
    pub fn crash(&self) {
        self.stop_accepting();
        while TcpStream::connect(self.addr).is_ok() {
            thread::sleep(Duration::from_millis(1));
        }
        for stream in std::mem::take(&mut self.lock().streams).into_values() {
            stream.shutdown(Shutdown::Both).unwrap_or_default();
        }
    }

    /// Returns whether it has crashed, or accepts no connections for another reason.
    pub fn is_closed(&self) -> bool {
        self.lock().closed
    }

    /// Answers orders, which are carried out at once, after `delay`.
    pub fn delay_orders(&self, delay: Duration) {
        self.lock().order_delay = delay;
    }

    /// Returns the number of accepted connections.
    pub fn connections(&self) -> usize {
        self.lock().connections
    }

    /// Returns the reserved tokens, and the numbers of reserve and release orders.
    pub fn memory(&self) -> (u64, usize, usize) {
        let state = self.lock();
        (state.reservations.values().sum(), state.reserved, state.released)
    }

    /// Returns when memory was reserved, or a reservation renewed.
    pub fn reserved_at(&self) -> Vec<Instant> {
        self.lock().reserved_at.clone()
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut state = self.lock();
        state.connections += 1;
        let number = state.connections;
        state.streams.extend(stream.try_clone().map(|stream| (number, stream)));
        drop(state);
        self.serve_requests(&mut stream);
        self.lock().streams.remove(&number);
    }

    fn serve_requests(&self, stream: &mut TcpStream) {
        let mut buffer = Vec::new();
        while let Some((head, body)) = read(stream, &mut buffer) {
            if head.path == "/order" {
                self.handle_order(stream, &head, &body);
                continue;
            }
            let reply = (self.script)(&head);
            let number = {
                let mut state = self.lock();
                state.requests.push(ReceivedRequest {
                    head: head.clone(),
                    body,
                    received_at: Instant::now(),
                    disconnected_at: None,
                });
                state.requests.len() - 1
            };
            if !self.send_reply(stream, &head, &reply, number) {
                return;
            }
        }
    }

    /// Loses its memory, and answers orders to its former start with 421 from now on.
    pub fn restart(&self) {
        let mut state = self.lock();
        state.restarted = true;
        state.reservations.clear();
    }

    fn handle_order(&self, stream: &mut TcpStream, head: &Head, body: &[u8]) {
        if self.lock().restarted && head.header("x-expect-instance").is_some() {
            write(stream, b"HTTP/1.1 421 No\r\ncontent-length: 0\r\n\r\n");
            return;
        }
        let body: Value = serde_json::from_slice(body).unwrap_or_default();
        let id = body["id"].as_str().unwrap_or_default().to_owned();
        let mut state = self.lock();
        if body["op"] == "reserve" {
            state.reserved += 1;
            state.reserved_at.push(Instant::now());
            state.reservations.insert(id, body["token_count"].as_u64().unwrap_or_default());
        } else {
            state.released += 1;
            state.reservations.remove(&id);
        }
        let delay = state.order_delay;
        drop(state);
        thread::sleep(delay);
        write(stream, b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}");
    }

    /// Replies to a request; returns whether the connection stays open.
    fn send_reply(
        &self,
        stream: &mut TcpStream,
        head: &Head,
        reply: &Reply,
        number: usize,
    ) -> bool {
        let id = head.header("x-attempt-id").unwrap_or_default();
        match reply {
            Reply::Complete(status, body) => write(stream, &complete_response(*status, id, body)),
            Reply::WithHeader(status, body, line) => {
                let response = complete_response(*status, id, body);
                let text = String::from_utf8_lossy(&response).replacen(
                    "\r\n",
                    &format!("\r\n{line}\r\n"),
                    1,
                );
                write(stream, text.as_bytes())
            }
            Reply::Unsigned(body) => {
                let text = format!(
                    "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\ncontent-length: {}\r\n\r\n{body}",
                    body.len()
                );
                write(stream, text.as_bytes())
            }
            Reply::NotExecuted(status) => {
                let text = format!(
                    "HTTP/1.1 {status} No\r\nx-attempt-id: {id}\r\nx-not-executed: 1\r\n\
                     content-length: 0\r\n\r\n"
                );
                write(stream, text.as_bytes())
            }
            Reply::Stream { last, pause, cut_at } => {
                self.stream(stream, head, *last, *pause, *cut_at)
            }
            Reply::Truncated(body) => {
                let text = format!(
                    "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-server-seal: s\r\n\
                     content-length: {}\r\n\r\n{body}",
                    body.len() + 7
                );
                write(stream, text.as_bytes());
                false
            }
            Reply::WrongAttemptFirst(body) => {
                let both = [
                    complete_response(200, "another", "not yours"),
                    complete_response(200, id, body),
                ]
                .concat();
                write(stream, &both)
            }
            Reply::Duplicated(body) => {
                let both =
                    [complete_response(200, id, body), complete_response(200, id, body)].concat();
                write(stream, &both)
            }
            Reply::Disconnect => false,
            Reply::Crash => {
                self.crash();
                false
            }
            Reply::Hang => {
                self.wait_for_disconnect(stream, number);
                false
            }
            Reply::Steps(steps) => {
                steps.iter().all(|step| self.take_step(stream, id, step, number))
            }
        }
    }

    /// Takes one step of a reply; returns whether the connection stays open.
    fn take_step(&self, stream: &mut TcpStream, id: &str, step: &Step, number: usize) -> bool {
        match step {
            Step::Head => write(stream, self.stream_head(id).as_bytes()),
            Step::Event(event) => {
                let text = format!("id: {event}\ndata: e{event}\n\n");
                write(stream, format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
            }
            Step::End => write(stream, b"0\r\n\r\n"),
            Step::Whole(status, body) => write(stream, &complete_response(*status, id, body)),
            Step::Bytes(bytes) => write(stream, bytes),
            Step::Text(text) => write(stream, text.as_bytes()),
            Step::Run(hook) => hook.run(stream),
            Step::Silence(time) => {
                thread::sleep(*time);
                true
            }
            Step::Endless(bytes) => {
                while write(stream, bytes) {}
                self.lock().requests[number].disconnected_at = Some(Instant::now());
                false
            }
            Step::Close => false,
            Step::Crash => {
                self.crash();
                false
            }
            Step::Reset => {
                thread::sleep(RESET_DELAY);
                SockRef::from(&*stream).set_linger(Some(Duration::ZERO)).unwrap_or_default();
                false
            }
        }
    }

    fn stream_head(&self, id: &str) -> String {
        format!(
            "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-server-seal: {}\r\n\
             content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
            self.id
        )
    }

    fn stream(
        &self,
        stream: &mut TcpStream,
        head: &Head,
        last: u64,
        pause: Duration,
        cut_at: Option<u64>,
    ) -> bool {
        let id = head.header("x-attempt-id").unwrap_or_default();
        let from = head.header("last-event-id").and_then(|v| v.parse().ok()).unwrap_or(0);
        write(stream, self.stream_head(id).as_bytes());
        for event in from + 1..=last {
            thread::sleep(pause);
            let text = format!("id: {event}\ndata: e{event}\n\n");
            if cut_at == Some(event) {
                write(stream, format!("{:x}\r\n{}", text.len(), &text[..6]).as_bytes());
                return false;
            }
            if !write(stream, format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()) {
                return false;
            }
        }
        write(stream, b"0\r\n\r\n")
    }

    fn wait_for_disconnect(&self, stream: &mut TcpStream, number: usize) {
        stream.set_read_timeout(Some(POLL_INTERVAL)).unwrap_or_default();
        let mut byte = [0];
        loop {
            match stream.read(&mut byte) {
                Ok(read) if read > 0 => {}
                Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock) => {}
                Ok(_) | Err(_) => break,
            }
        }
        self.lock().requests[number].disconnected_at = Some(Instant::now());
    }
}

fn complete_response(status: u16, id: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    let text = format!(
        "HTTP/1.1 {status} Status\r\nx-attempt-id: {id}\r\nx-server-seal: s\r\n\
         content-length: {length}\r\n\r\n{body}"
    );
    text.into_bytes()
}

fn write(stream: &mut TcpStream, bytes: &[u8]) -> bool {
    stream.write_all(bytes).is_ok()
}

/// Reads a request; `None` at the end of the connection.
fn read(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<(Head, Vec<u8>)> {
    let mut chunk = [0; 4096];
    let mut more = |buffer: &mut Vec<u8>| match stream.read(&mut chunk) {
        Ok(read) if read > 0 => {
            buffer.extend_from_slice(&chunk[..read]);
            true
        }
        Ok(_) | Err(_) => false,
    };
    let head = loop {
        match parse(buffer) {
            Parsed::Complete(head, length) => {
                buffer.drain(..length);
                break head;
            }
            Parsed::Partial if more(buffer) => {}
            _ => return None,
        }
    };
    let length = match head.framing() {
        Some(Framing::Length(length)) => length as usize,
        _ => return None,
    };
    while buffer.len() < length {
        if !more(buffer) {
            return None;
        }
    }
    let body = buffer.drain(..length).collect();
    Some((head, body))
}
