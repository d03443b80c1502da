//! What the targets of a run send, piece by piece, and the faults within it.

use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use mimosapass_caller::head::Head;
use mimosapass_standin::target::{Hook, Reply, Step};

use super::super::events;
use super::bounds::Cause;
use super::callers::{DEADLY_CALL, DEADLY_PART};
use super::plan::{Place, Point};
use super::promises::{Boot, Promises};

/// Events of a stream.
pub const EVENTS: u64 = 8;
/// Body of a call.
pub const BODY: &str = "a body of two parts";
/// Pause that a target asks for.
const PAUSE: Duration = Duration::from_millis(1_500);
/// Time before each event.
const EVENT_PAUSE: Duration = Duration::from_millis(30);
/// Time between two pieces of a head, an event or a body.
const PIECE_PAUSE: Duration = Duration::from_millis(5);
/// Time without a deadline of the request in which an endless answer has to be disconnected.
const NO_DEADLINE: Duration = Duration::from_secs(6);
/// Time after the deadline of the request in which an endless answer has to be disconnected.
const DISCONNECT: Duration = Duration::from_secs(1);
/// Bytes of an endless answer that are sent at once, and the time between them.
const ENDLESS: (usize, Duration) = (64 * 1024, Duration::from_millis(4));
/// Longest time for which the caller may take nothing of an endless answer before it is checked.
const WRITE_TIMEOUT: Duration = Duration::from_millis(100);

/// What a target does now.
#[derive(Clone, Copy, Debug, Default)]
pub struct Mood {
    /// Whether it states in its answers that it leaves.
    pub leaving: bool,
    /// Whether it asks each caller for a pause once.
    pub pausing: bool,
    /// The limit that it states, in requests a second.
    pub limit: Option<f64>,
    /// Where its answers stop, and until when.
    pub silent: Option<(Point, Instant)>,
    /// Until when it refuses requests.
    pub refusing: Option<Instant>,
    /// Which part of its answers has no end, and until when it begins such ones.
    pub endless: Option<(Place, Instant)>,
}

/// A target's part of the run.
#[derive(Clone, Debug)]
pub struct Script {
    target: Arc<str>,
    mood: Arc<Mutex<Mood>>,
    promises: Arc<Promises>,
}

/// One request to a target.
#[derive(Clone, Debug)]
struct Run {
    script: Script,
    id: Arc<str>,
    boot: Boot,
    /// Header lines in which the target states that it leaves, and its limit.
    lines: Arc<str>,
    leaving: bool,
    limited: bool,
    /// When it has to be disconnected if it does not end.
    limit: Instant,
}

impl Script {
    pub fn new(target: &str, promises: &Arc<Promises>) -> Self {
        Self { target: target.into(), mood: Arc::default(), promises: Arc::clone(promises) }
    }

    pub fn mood(&self) -> MutexGuard<'_, Mood> {
        self.mood.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the answer to a request.
    pub fn answer(&self, head: &Head) -> Reply {
        let id = head.header("x-attempt-id").unwrap_or_default();
        let Some(boot) = self.promises.received(&self.target, id) else {
            return Reply::Complete(200, "unknown");
        };
        let parts = head.header("x-prefix-hash").unwrap_or_default();
        if id.contains("chat") && parts.contains(&format!("{DEADLY_PART}:")) {
            self.promises.crashes(&self.target, id, Cause::Part);
            return Reply::Crash;
        }
        if head.target.contains(DEADLY_CALL) {
            self.promises.crashes(&self.target, id, Cause::Call);
            return Reply::Crash;
        }
        let (mood, now) = (*self.mood(), Instant::now());
        if mood.pausing && self.promises.asked_pause(&self.target, boot, PAUSE) {
            self.promises.turned_away(id);
            return Reply::WithHeader(503, "full", "retry-after: 1.5\r\nx-not-executed: 1");
        }
        if mood.refusing.is_some_and(|until| now < until) {
            self.promises.turned_away(id);
            return Reply::NotExecuted(503);
        }
        let left = head.header("x-deadline-ms").and_then(|v| v.parse().ok());
        let limit = now + left.map_or(NO_DEADLINE, Duration::from_millis) + DISCONNECT;
        let line = if mood.leaving { "server-leaving: 1\r\n" } else { "" };
        let stated = mood.limit.map(|rate| format!("server-limit: {rate}\r\n"));
        let lines: Arc<str> = (line.to_owned() + &stated.unwrap_or_default()).into();
        let run = Run {
            script: self.clone(),
            id: id.into(),
            boot,
            lines: Arc::clone(&lines),
            leaving: mood.leaving,
            limited: mood.limit.is_some(),
            limit,
        };
        let from = head.header("last-event-id").and_then(|v| v.parse().ok()).unwrap_or(0);
        let pieces = if id.contains("chat") {
            stream(&response_head(id, &lines, "transfer-encoding: chunked"), from)
        } else {
            call(&response_head(id, &lines, &format!("content-length: {}", BODY.len())))
        };
        match mood.endless.filter(|(_, until)| now < *until) {
            Some((place, _)) => run.endless(place, from),
            None => run.sound(pieces, from),
        }
    }
}

impl Run {
    /// Sends all pieces, each as soon as the target is not silent.
    fn sound(self, pieces: Vec<(Point, String)>, from: u64) -> Reply {
        self.script.promises.sound(&self.script.target, &self.id, from);
        let steps = pieces.into_iter().flat_map(|(point, text)| {
            let run = self.clone();
            [Step::Run(Hook::new(move |caller| run.wait(caller, point))), Step::Text(text)]
        });
        Reply::Steps(steps.collect())
    }

    /// Waits before a piece; returns whether the caller is still connected.
    fn wait(&self, caller: &TcpStream, point: Point) -> bool {
        let begin = Instant::now();
        if point == Point::First && is_connected(caller) {
            self.sent_head();
        }
        thread::sleep(match point {
            Point::First | Point::Between => EVENT_PAUSE,
            _ => PIECE_PAUSE,
        });
        let silent = || self.script.mood().silent.filter(|(at, _)| point.is_met_by(*at));
        while let Some((_, until)) = silent() {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            thread::sleep(left);
        }
        let connected = is_connected(caller);
        let script = &self.script;
        script.promises.went_on(&script.target, &self.id, (point, begin.elapsed(), connected));
        connected
    }

    /// Notes that the caller was sent a complete head.
    fn sent_head(&self) {
        let script = &self.script;
        if self.leaving {
            script.promises.told_leave(&script.target, self.boot);
        }
        if self.limited {
            script.promises.told_limit(&script.target, self.boot);
        }
    }

    /// Sends bytes without end, after the event `from`, until the caller disconnects.
    fn endless(self, place: Place, from: u64) -> Reply {
        let head = response_head(&self.id, &self.lines, "transfer-encoding: chunked");
        let (begin, bytes) = match place {
            Place::Line => (String::new(), "x".to_owned()),
            Place::Head => ("HTTP/1.1 200 OK\r\n".to_owned(), "x-more: of the same\r\n".to_owned()),
            Place::Interim => (String::new(), "HTTP/1.1 100 Continue\r\n\r\n".to_owned()),
            Place::Body => (head, chunk(&"x".repeat(1_000))),
            Place::Event => {
                let next = if from < EVENTS { events(from + 1, from + 1) } else { String::new() };
                (head + &chunk(&format!("{next}id: {}\ndata: ", from + 2)), chunk("xxxxxxxx"))
            }
            Place::Trailer => (head + "0\r\n", "x-more: of the same\r\n".to_owned()),
        };
        let event = (matches!(place, Place::Event) && from < EVENTS).then_some(from + 1);
        self.script.promises.begins_endless(&self.id, event);
        let bytes = bytes.repeat(ENDLESS.0 / bytes.len());
        let send = Hook::new(move |caller| {
            if matches!(place, Place::Body | Place::Event | Place::Trailer) {
                self.sent_head();
            }
            let closed = self.send_until_closed(caller, bytes.as_bytes());
            self.script.promises.endless(&self.script.target, &self.id, place, closed);
            false
        });
        Reply::Steps(vec![Step::Text(begin), Step::Run(send)])
    }

    /// Returns whether the caller closed the connection in time.
    fn send_until_closed(&self, mut caller: &TcpStream, bytes: &[u8]) -> bool {
        caller.set_write_timeout(Some(WRITE_TIMEOUT)).expect("a timeout");
        let mut sent = 0;
        while Instant::now() < self.limit {
            match caller.write(&bytes[sent..]) {
                Ok(written) => sent = (sent + written) % bytes.len(),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
                Err(_) => return true,
            }
            if sent == 0 {
                thread::sleep(ENDLESS.1);
            }
            if !is_connected(caller) {
                return true;
            }
        }
        false
    }
}

fn response_head(id: &str, lines: &str, framing: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-server-seal: s\r\n{lines}\
         content-type: text/event-stream\r\n{framing}\r\n\r\n"
    )
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Returns the pieces of a stream after an event.
fn stream(head: &str, from: u64) -> Vec<(Point, String)> {
    let (start, rest) = head.split_at(head.len() / 2);
    let mut pieces = vec![(Point::Start, start.to_owned()), (Point::Head, rest.to_owned())];
    for event in from + 1..=EVENTS {
        let text = chunk(&events(event, event));
        let (start, rest) = text.split_at(text.len() / 2);
        let before = if event == from + 1 { Point::First } else { Point::Between };
        pieces.extend([(before, start.to_owned()), (Point::Event, rest.to_owned())]);
    }
    pieces.push((Point::Between, "0\r\n\r\n".to_owned()));
    pieces
}

/// Returns the pieces of a call.
fn call(head: &str) -> Vec<(Point, String)> {
    let ((start, rest), (first, last)) =
        (head.split_at(head.len() / 2), BODY.split_at(BODY.len() / 2));
    let points = [Point::Start, Point::Head, Point::First, Point::Body];
    points.into_iter().zip([start, rest, first, last].map(str::to_owned)).collect()
}

/// Returns whether a connection was neither closed nor reset by its other end.
fn is_connected(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).expect("a mode");
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false).expect("a mode");
    match peeked {
        Ok(read) => read > 0,
        Err(e) => matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted),
    }
}
