//! Targets that send bytes without end that are no answer.

use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

use mimosapass_standin::target::{Hook, Reply, ScriptedTarget, Step};

use super::{Cluster, events, start_target};

/// Time in which another target answers instead: a stream waits 1.7 s for a silent target.
const TAKEN_OVER: Duration = Duration::from_secs(4);
/// Bytes that are sent at once, and the time between them.
const BLOCK_BYTES: usize = 4 * 1024;
const BLOCK_PAUSE: Duration = Duration::from_millis(4);

/// Serves a request whose first target sends without end, while a second one answers.
fn endless_beside(path: &str, endless: Vec<Step>) -> (super::Answer, Duration) {
    let cluster = Cluster::start(1);
    let (service, whole) = match path {
        "chat" => ("pool", Reply::Stream { last: 3, pause: Duration::ZERO, cut_at: None }),
        _ => ("desk", Reply::Complete(200, "yes")),
    };
    let one = ScriptedTarget::start("i-0", move |_| Reply::Steps(endless.clone()));
    let other = start_target("i-1", whole);
    cluster.register(&one, service);
    cluster.ready(0);
    let path = &format!("/{path}/1");
    thread::scope(|scope| {
        let begin = Instant::now();
        let headers = "x-token-usage: 100,50\r\n";
        let asking = scope.spawn(|| cluster.ask_with(0, path, "id-1", headers));
        super::eventually("the first target has it", || !one.requests().is_empty());
        cluster.register(&other, service);
        let answer = asking.join().expect("an answer");
        (answer, begin.elapsed())
    })
}

/// Sends a text again and again until the caller disconnects.
fn endless(text: &str) -> Step {
    endless_blocks(text.repeat(BLOCK_BYTES / text.len()))
}

/// Sends chunks of a body that exceed the largest accepted body within a second.
fn large_chunks() -> Step {
    endless_blocks(format!("10000\r\n{}\r\n", "x".repeat(0x10000)))
}

fn endless_blocks(block: String) -> Step {
    Step::Run(Hook::new(move |mut caller| {
        while caller.write_all(block.as_bytes()).is_ok() {
            thread::sleep(BLOCK_PAUSE);
        }
        false
    }))
}

fn lines() -> Step {
    endless("x-more: of the same\r\n")
}

/// Generates tests from the steps of the first target.
macro_rules! endless_targets {
    ($($name:ident: $path:expr, $steps:expr;)+) => {
        $(#[test]
        fn $name() {
            let (answer, took) = endless_beside($path, $steps);
            let body = if $path == "chat" { events(1, 3) } else { "yes".to_owned() };
            assert_eq!((answer.response.status, answer.body.as_str()), (200, body.as_str()));
            assert!(answer.complete && took < TAKEN_OVER, "it took {took:?}");
        })+
    };
}

endless_targets! {
    call_is_answered_beside_a_head_without_end:
        "look", vec![Step::Bytes(b"HTTP/1.1 200 OK\r\n"), lines()];
    call_is_answered_beside_interim_answers_without_end:
        "look", vec![endless("HTTP/1.1 100 Continue\r\n\r\n")];
    call_is_answered_beside_a_body_without_end:
        "look", vec![Step::Head, large_chunks()];
    call_is_answered_beside_a_trailer_without_end:
        "look", vec![Step::Head, Step::Bytes(b"0\r\n"), lines()];
    stream_is_answered_beside_a_head_without_end:
        "chat", vec![Step::Bytes(b"HTTP/1.1 200 OK\r\n"), lines()];
    stream_is_answered_beside_interim_answers_without_end:
        "chat", vec![endless("HTTP/1.1 100 Continue\r\n\r\n")];
    stream_is_answered_beside_an_event_without_end:
        "chat", vec![Step::Head, Step::Event(1), endless("4\r\nxxxx\r\n")];
    stream_is_answered_beside_a_trailer_without_end:
        "chat", vec![Step::Head, Step::Event(1), Step::Bytes(b"0\r\n"), lines()];
}
