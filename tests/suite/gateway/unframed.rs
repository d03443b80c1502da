//! Responses that have neither a length nor chunks and end with their connection.

use mimosapass_standin::target::{Reply, Step};

use super::{Answer, Cluster, events, start_target};

const SHORT_PROMPT: &str = "x-token-usage: 100,50\r\n";

/// Returns the head of a response without framing.
fn head() -> Step {
    Step::Text(
        "HTTP/1.1 200 OK\r\nx-attempt-id: id-1\r\nx-server-seal: s\r\n\
         content-type: text/event-stream\r\n\r\n"
            .to_owned(),
    )
}

fn unframed(body: String, end: Step) -> Reply {
    Reply::Steps(vec![head(), Step::Text(body), end])
}

/// Returns a response in chunks with this body.
fn chunked(body: &str) -> Reply {
    let chunk = format!("{:x}\r\n{body}\r\n", body.len());
    Reply::Steps(vec![Step::Head, Step::Text(chunk), Step::End])
}

/// Asks on `path` with one target of this reply and one that sends five events, or a body.
fn ask(path: &str, service: &str, reply: Reply, other: Reply) -> (Answer, [usize; 2]) {
    let (one, two) = (start_target("i-0", reply), start_target("i-1", other));
    let cluster = Cluster::start(1);
    cluster.register(&one, service);
    cluster.ready(0).knows_targets(0, 1);
    let answer = std::thread::scope(|scope| {
        let asking = scope.spawn(|| cluster.ask_with(0, path, "id-1", SHORT_PROMPT));
        super::eventually("the first target has it", || !one.requests().is_empty());
        cluster.register(&two, service);
        asking.join().expect("an answer")
    });
    (answer, [one.requests().len(), two.requests().len()])
}

fn rest(from: u64) -> Reply {
    chunked(&events(from, 5))
}

/// Defines a test: the reply of the first target, that of the second one => the requests that
/// both get. The caller receives five events.
macro_rules! streams {
    ($($name:ident: $reply:expr, $other:expr => $requests:expr;)+) => {
        $(#[test]
        fn $name() {
            let (answer, requests) = ask("/chat/1", "pool", $reply, $other);
            assert_eq!((answer.response.status, answer.complete), (200, true), "{answer:?}");
            assert_eq!((answer.body, requests), (events(1, 5), $requests));
        })+
    };
}

streams! {
    stream_that_ends_with_its_connection_is_whole:
        unframed(events(1, 5), Step::Close), Reply::Hang => [1, 0];
    stream_that_ends_within_an_event_is_resumed:
        unframed(format!("{}id: 3\nda", events(1, 2)), Step::Close), rest(3) => [1, 1];
    stream_that_is_reset_between_events_is_resumed:
        unframed(events(1, 2), Step::Reset), rest(3) => [1, 1];
    stream_without_an_event_is_broken_off:
        unframed(String::new(), Step::Close), rest(1) => [1, 1];
    stream_in_chunks_that_ends_within_an_event_is_resumed:
        chunked(&format!("{}id: 3\nda", events(1, 2))), rest(3) => [1, 1];
    resumed_stream_ends_with_its_connection:
        unframed(events(1, 2), Step::Reset), unframed(events(3, 5), Step::Close) => [1, 1];
}

#[test]
fn stream_in_chunks_without_an_event_is_whole() {
    let empty = Reply::Steps(vec![Step::Head, Step::End]);
    let (answer, requests) = ask("/chat/1", "pool", empty, Reply::Hang);
    assert_eq!((answer.response.status, answer.complete), (200, true));
    assert_eq!((answer.body.as_str(), requests), ("", [1, 0]));
}

#[test]
fn body_that_ends_with_its_connection_is_whole() {
    let (answer, requests) =
        ask("/look/1", "desk", unframed("whole".to_owned(), Step::Close), Reply::Hang);
    assert_eq!((answer.response.status, answer.complete), (200, true));
    assert_eq!((answer.body.as_str(), requests), ("whole", [1, 0]));
}

#[test]
fn body_that_is_reset_is_not_whole() {
    let other = Reply::Complete(200, "whole");
    let (answer, requests) = ask("/look/1", "desk", unframed("wh".to_owned(), Step::Reset), other);
    assert_eq!((answer.response.status, answer.complete), (200, true));
    assert_eq!((answer.body.as_str(), requests), ("whole", [1, 1]));
}
