//! Callers that keep using their connections until the instance closes them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use mimosapass_target::http::{BodyPart, Connection, WaitOutcome};

use super::super::{HOST, KEY};
use super::allowed::{EXTRA, KEYED, MOVED, SECOND_KEY};
use super::plan::Change;
use super::promises::{Answer, Promises, Seen};
use super::world::World;

/// Longest wait for an answer.
const PATIENCE: Duration = Duration::from_secs(7);
/// Pause between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(25);
/// Paths that every configuration has, in the order in which a caller uses them.
const PATHS: [&str; 4] = ["look", "book", "look", "chat"];

/// Part under which targets crash, and one in this many streams that has it.
pub const DEADLY_PART: &str = "dead";
const DEADLY_INTERVAL: usize = 12;

/// Query of a call under which targets crash, and one in this many requests of a caller that is
/// such a call. All of them have the same path, caller and body.
pub const DEADLY_CALL: &str = "deadly";
const DEADLY_CALL_INTERVAL: usize = 40;

/// Returns the header line with the parts of a prompt; all callers share the first one.
fn parts(caller: usize, number: usize) -> String {
    let deadly = (number / PATHS.len() + caller) % DEADLY_INTERVAL == DEADLY_INTERVAL - 1;
    let deadly = if deadly { format!("{DEADLY_PART}:10,") } else { String::new() };
    format!("x-prefix-hash: 5a:20,{caller:x}0:10,{deadly}{number:x}:60\r\n")
}

/// Starts the callers of all instances; each returns how many answers it got.
pub fn start(world: &World, promises: &Arc<Promises>, each: usize) -> Vec<JoinHandle<usize>> {
    let numbers = (0..world.instances()).flat_map(|i| (0..each).map(move |c| (i, c)));
    numbers
        .map(|(instance, caller)| {
            let (addr, promises) = (world.callers(instance), Arc::clone(promises));
            thread::spawn(move || run(instance, caller, addr, &promises))
        })
        .collect()
}

fn run(instance: usize, caller: usize, addr: SocketAddr, promises: &Promises) -> usize {
    let mut connection = None;
    let (mut number, mut answers) = (0, 0);
    while !promises.stopped.load(Ordering::SeqCst) {
        thread::sleep(PAUSE);
        let open = || Connection::open(addr, Duration::from_millis(300)).ok();
        let Some(mut current) = connection.take().or_else(open) else { continue };
        let route = if number % 5 == 4 { promises.route() } else { None };
        let change = (number % 5 == 2).then(|| Change::ALL[number / 5 % Change::ALL.len()]);
        let kind = match (route, change) {
            (Some(route), _) => format!("new-{route}"),
            (None, Some(Change::Reroute)) => MOVED.to_owned(),
            (None, Some(Change::Route)) => EXTRA.to_owned(),
            (None, Some(Change::Keys)) => KEYED.to_owned(),
            (None, None) => PATHS[number % 4].to_owned(),
        };
        let key = if change == Some(Change::Keys) { SECOND_KEY } else { KEY };
        // A call that an engine answers would show that the deadly part is sound.
        let parts = if change.is_none() { parts(caller, number) } else { String::new() };
        let deadly = change.is_none()
            && kind == "look"
            && number % DEADLY_CALL_INTERVAL == 10 * (caller % 2);
        let query = if deadly { format!("?{DEADLY_CALL}") } else { String::new() };
        let id = format!("{instance}-{caller}-{number}-{kind}");
        let path = format!("/{kind}/1{query}");
        number += 1;
        promises.send(&id, instance);
        let sent = Instant::now();
        let answer = ask(&mut current, &id, &path, key, &parts);
        answers += usize::from(answer.as_ref().is_some_and(|a| a.complete));
        connection = answer.as_ref().is_some_and(|a| a.reusable).then_some(current);
        promises.seen(instance, &Seen { id: &id, path: &path, route, change, sent, answer });
    }
    answers
}

/// Sends a request and reads what comes; `None` without the head of an answer.
fn ask(
    connection: &mut Connection,
    id: &str,
    path: &str,
    key: &str,
    parts: &str,
) -> Option<Answer> {
    let end = Instant::now() + PATIENCE;
    let head = format!(
        "GET {path} HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: {id}\r\nx-deadline-ms: 6000\r\n\
         x-token-usage: 100,50\r\n{parts}authorization: Token {key}\r\n\r\n"
    );
    connection.send(head.as_bytes(), end).ok()?;
    let response = loop {
        match connection.parse_head("GET") {
            Ok(Some(response)) => break response,
            Ok(None) => more(connection, end)?,
            Err(_) => return None,
        }
    };
    let (mut framing, mut body) = (response.framing, Vec::new());
    let complete = loop {
        match connection.next_part(&mut framing) {
            Ok(BodyPart::Data(data)) => body.extend(data),
            Ok(BodyPart::NeedMore) if more(connection, end).is_some() => {}
            Ok(BodyPart::End) => break true,
            Ok(BodyPart::NeedMore) | Err(_) => break false,
        }
    };
    let own = response.header("x-attempt-id");
    Some(Answer {
        status: response.status,
        own: if response.status == 200 { own == Some(id) } else { own.is_none_or(|o| o == id) },
        body: String::from_utf8_lossy(&body).into_owned(),
        complete,
        reusable: complete && !response.close,
    })
}

/// Waits for more bytes; `None` when the connection has ended.
fn more(connection: &mut Connection, end: Instant) -> Option<()> {
    let ready = connection.wait(None::<&std::net::TcpStream>, end);
    (matches!(ready, Ok(WaitOutcome::Target)) && connection.fill()).then_some(())
}
