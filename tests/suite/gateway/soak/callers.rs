//! Callers that keep using their connections until the instance closes them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use mimosapass_target::http::{BodyPart, Connection, WaitOutcome};

use super::super::{HOST, KEY};
use super::promises::{Promises, Seen};
use super::world::World;

/// Longest wait for an answer.
const PATIENCE: Duration = Duration::from_secs(7);
/// Pause between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(25);
/// Paths that every configuration has, in the order in which a caller uses them.
const PATHS: [&str; 4] = ["look", "book", "look", "chat"];

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
        let kind = route.map_or_else(|| PATHS[number % 4].to_owned(), |r| format!("new-{r}"));
        let (id, path) = (format!("{instance}-{caller}-{number}-{kind}"), format!("/{kind}/1"));
        number += 1;
        promises.send(&id, instance);
        let sent = Instant::now();
        let (answer, reusable) = ask(&mut current, &id, &path).unzip();
        promises.seen(instance, &Seen { id: &id, path: &path, route, sent, answer });
        answers += usize::from(answer.is_some());
        connection = reusable.unwrap_or(false).then_some(current);
    }
    answers
}

/// Sends a request; returns the status, whether the answer is whole and its own, and whether
/// the connection can be used again.
fn ask(connection: &mut Connection, id: &str, path: &str) -> Option<((u16, bool), bool)> {
    let end = Instant::now() + PATIENCE;
    let head = format!(
        "GET {path} HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: {id}\r\nx-deadline-ms: 6000\r\n\
         x-token-usage: 100,50\r\nauthorization: Token {KEY}\r\n\r\n"
    );
    connection.send(head.as_bytes(), end).ok()?;
    let response = loop {
        match connection.parse_head("GET") {
            Ok(Some(response)) => break response,
            Ok(None) => more(connection, end)?,
            Err(_) => return None,
        }
    };
    let mut framing = response.framing;
    loop {
        match connection.next_part(&mut framing) {
            Ok(BodyPart::Data(_)) => {}
            Ok(BodyPart::NeedMore) => more(connection, end)?,
            Ok(BodyPart::End) => break,
            Err(_) => return None,
        }
    }
    let own = response.header("x-attempt-id");
    let whole = if response.status == 200 { own == Some(id) } else { own.is_none_or(|o| o == id) };
    Some(((response.status, whole), !response.close))
}

/// Waits for more bytes; `None` when the connection has ended.
fn more(connection: &mut Connection, end: Instant) -> Option<()> {
    let ready = connection.wait(None::<&std::net::TcpStream>, end);
    (matches!(ready, Ok(WaitOutcome::Target)) && connection.fill()).then_some(())
}
