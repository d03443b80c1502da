//! Targets whose bytes have no end: requests are answered in time, by another target where
//! that is allowed, and the connection is closed.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use mimosapass_standin::target::{ReceivedRequest, Reply, ScriptedTarget, Step};

use super::{Answer, Cluster, events, eventually};

/// Time within which a request is answered although its first target sends without end.
const MAX_TIME: Duration = Duration::from_secs(3);
/// Time within which the connection to that target is closed after the answer.
const MAX_CLOSE: Duration = Duration::from_millis(500);
/// Peak memory of a gateway that reads such bytes.
const MAX_MEMORY_KB: u64 = 120 * 1024;
/// Interval of the bytes of a slow target.
const SLOW: Duration = Duration::from_millis(20);

const SIGNED: &str = "HTTP/1.1 200 OK\r\nx-attempt-id: id-1\r\nx-server-seal: s\r\n";
const SHORT_PROMPT: &str = "x-token-usage: 100,50\r\n";

/// Returns steps that send `start`, and then `repeated` without end and without pause.
fn fast(start: &str, repeated: &str) -> Vec<Step> {
    vec![Step::Bytes(leak(start)), Step::Endless(leak(&repeated.repeat(4096 / repeated.len())))]
}

/// As [`fast`], with a pause after each `repeated`, for longer than any deadline.
fn slow(start: &str, repeated: &str) -> Vec<Step> {
    let (start, repeated) = (Step::Bytes(leak(start)), leak(repeated));
    let drip = [Step::Bytes(repeated), Step::Silence(SLOW)];
    let steps = std::iter::repeat_n(drip, 400).flatten();
    std::iter::once(start).chain(steps).collect()
}

fn leak(text: &str) -> &'static [u8] {
    text.to_owned().leak().as_bytes()
}

/// Starts two targets; the first request that either receives gets `steps`, others `reply`.
fn start_targets(steps: &[Step], reply: &Reply) -> [ScriptedTarget; 2] {
    let count = Arc::new(AtomicUsize::new(0));
    ["i-0", "i-1"].map(|id| {
        let (count, steps, reply) = (Arc::clone(&count), steps.to_vec(), reply.clone());
        ScriptedTarget::start(id, move |_| match count.fetch_add(1, Ordering::SeqCst) {
            0 => Reply::Steps(steps.clone()),
            _ => reply.clone(),
        })
    })
}

struct Outcome {
    answer: Answer,
    requests: Vec<ReceivedRequest>,
}

/// Sends one request whose first target sends `steps`.
fn ask(path: &str, service: &str, headers: &str, steps: &[Step], reply: &Reply) -> Outcome {
    let targets = start_targets(steps, reply);
    let cluster = Cluster::start(1);
    for target in &targets {
        cluster.register(target, service);
    }
    cluster.ready(0).knows_targets(0, 2);
    let begun = Instant::now();
    let answer = cluster.ask_with(0, path, "id-1", headers);
    let answered = Instant::now();
    assert!(answered - begun < MAX_TIME, "answered after {:?}: {answer:?}", answered - begun);
    let requests = || targets.iter().flat_map(ScriptedTarget::requests).collect::<Vec<_>>();
    if steps.iter().any(|step| matches!(step, Step::Endless(_))) {
        eventually("the connection is closed", || {
            requests().iter().any(|r| r.disconnected_at.is_some())
        });
        let closed = requests().iter().find_map(|r| r.disconnected_at).expect("closed");
        assert!(closed < answered + MAX_CLOSE, "closed {:?} later", closed - answered);
    }
    let memory = cluster.peak_memory(0) / 1024;
    assert!(memory < MAX_MEMORY_KB, "peak memory {memory} kB");
    Outcome { answer, requests: requests() }
}

/// Generates tests of responses without end, for each kind of request.
macro_rules! endless_responses {
    ($($name:ident: $start:expr, $repeated:expr;)+) => {
        mod idempotent {
            use super::*;
            $(
                #[test]
                fn $name() {
                    let reply = Reply::Complete(200, "whole");
                    let steps = fast($start, $repeated);
                    let Outcome { answer, requests } = ask("/look/1", "desk", "", &steps, &reply);
                    assert_eq!((answer.response.status, &*answer.body), (200, "whole"));
                    assert_eq!(requests.len(), 2);
                }
            )+
        }

        mod non_idempotent {
            use super::*;
            $(
                #[test]
                fn $name() {
                    let reply = Reply::Complete(200, "whole");
                    let steps = fast($start, $repeated);
                    let Outcome { answer, requests } = ask("/book/1", "desk", "", &steps, &reply);
                    assert_eq!((answer.response.status, answer.complete), (502, true));
                    assert_eq!(requests.len(), 1, "it is not run twice");
                }
            )+
        }

        mod slow_idempotent {
            use super::*;
            $(
                #[test]
                fn $name() {
                    let reply = Reply::Complete(200, "whole");
                    let steps = slow($start, $repeated);
                    let Outcome { answer, requests } = ask("/look/1", "desk", "", &steps, &reply);
                    assert_eq!((answer.response.status, &*answer.body), (200, "whole"));
                    assert_eq!(requests.len(), 2);
                }
            )+
        }
    };
}

endless_responses! {
    head: "HTTP/1.1 200 OK\r\na: ", "a";
    headers: "HTTP/1.1 200 OK\r\n", "a: b\r\n";
    no_response: "", "garbage ";
    interim_responses: "", "HTTP/1.1 100 Continue\r\n\r\n";
    body_with_length: &format!("{SIGNED}content-length: 99999999999\r\n\r\n"), "a";
    body_until_close: &format!("{SIGNED}\r\n"), "a";
    chunks: &format!("{SIGNED}transfer-encoding: chunked\r\n\r\n"), "4\r\naaaa\r\n";
    chunk_extension: &format!("{SIGNED}transfer-encoding: chunked\r\n\r\n1;"), "a";
    trailer: &format!("{SIGNED}transfer-encoding: chunked\r\n\r\n0\r\na: "), "a";
    trailers: &format!("{SIGNED}transfer-encoding: chunked\r\n\r\n0\r\n"), "a: b\r\n";
    other_attempt: "HTTP/1.1 200 OK\r\nx-attempt-id: other\r\n\r\n", "a";
    other_attempts: "",
        "HTTP/1.1 200 OK\r\nx-attempt-id: other\r\ncontent-length: 1\r\n\r\na";
}

/// Generates tests of refusals and failures whose body has no end.
macro_rules! endless_failures {
    ($($name:ident: $path:expr, $start:expr, $status:expr, $asked:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let reply = Reply::Complete(200, "whole");
                let steps = fast($start, "a");
                let Outcome { answer, requests } = ask($path, "desk", "", &steps, &reply);
                assert_eq!((answer.response.status, answer.complete), ($status, true));
                assert_eq!(requests.len(), $asked);
            }
        )+
    };
}

const FAILED: &str = "HTTP/1.1 500 No\r\nx-attempt-id: id-1\r\nx-server-seal: s\r\n\r\n";
const REJECTED: &str = "HTTP/1.1 400 No\r\nx-attempt-id: id-1\r\nx-server-seal: s\r\n\r\n";
const NOT_RUN: &str = "HTTP/1.1 503 No\r\nx-attempt-id: id-1\r\nx-not-executed: 1\r\n\r\n";

endless_failures! {
    endless_failure_is_retried: "/look/1", FAILED, 200, 2;
    endless_failure_of_a_request_that_ran_is_answered: "/book/1", FAILED, 502, 1;
    endless_rejection_is_retried: "/look/1", REJECTED, 200, 2;
    endless_refusal_is_retried: "/look/1", NOT_RUN, 200, 2;
    endless_refusal_of_a_request_that_never_ran_is_no_failure: "/book/1", NOT_RUN, 503, 1;
}

/// Generates tests of streams whose first target sends without end, beside a second one.
macro_rules! endless_streams {
    ($($name:ident: $steps:expr;)+) => {
        mod stream {
            use super::*;
            $(
                #[test]
                fn $name() {
                    let pause = Duration::from_millis(5);
                    let reply = Reply::Stream { last: 3, pause, cut_at: None };
                    let steps: Vec<Step> = $steps;
                    let Outcome { answer, requests } =
                        ask("/chat/1", "pool", SHORT_PROMPT, &steps, &reply);
                    assert!(answer.complete, "{answer:?}");
                    assert_eq!((answer.response.status, answer.body), (200, events(1, 3)));
                    assert_eq!(requests.len(), 2);
                }
            )+
        }
    };
}

/// Returns steps that send the head of a stream, one event, and then `more`.
fn after_an_event(more: Vec<Step>) -> Vec<Step> {
    [vec![Step::Head, Step::Event(1)], more].concat()
}

endless_streams! {
    head: fast("HTTP/1.1 200 OK\r\na: ", "a");
    interim_responses: fast("", "HTTP/1.1 100 Continue\r\n\r\n");
    event: after_an_event(fast("", "4\r\naaaa\r\n"));
    slow_event: after_an_event(slow("", "4\r\naaaa\r\n"));
    chunk_extension: after_an_event(fast("1;", "a"));
    trailer: after_an_event(fast("0\r\na: ", "a"));
    trailers: after_an_event(fast("0\r\n", "a: b\r\n"));
    garbage: after_an_event(fast("", "garbage "));
}

/// Bytes after a complete response belong to no request, and end their connection.
#[test]
fn bytes_after_a_response_end_the_connection() {
    let targets = start_targets(
        &[
            Step::Whole(200, "whole"),
            Step::Silence(SLOW * 2),
            Step::Endless(leak(&"a".repeat(4096))),
        ],
        &Reply::Complete(200, "whole"),
    );
    let cluster = Cluster::start(1);
    for target in &targets {
        cluster.register(target, "desk");
    }
    cluster.ready(0).knows_targets(0, 2);
    for number in 0..20 {
        let answer = cluster.ask(0, "/look/1", &format!("id-{number}"));
        assert_eq!((answer.response.status, &*answer.body), (200, "whole"));
        std::thread::sleep(SLOW * 4);
    }
    eventually("the connection is closed", || {
        let requests = targets.iter().flat_map(ScriptedTarget::requests);
        requests.filter(|r| r.disconnected_at.is_some()).count() == 1
    });
}

/// Requests that run at the same time at targets that send without end.
const TOGETHER: usize = 40;

/// Targets that send without end take neither the memory nor the processor from others.
#[test]
fn many_bodies_without_end_leave_room_for_other_requests() {
    let targets = ["i-0", "i-1"].map(|id| {
        ScriptedTarget::start(id, |head| {
            let id = head.header("x-attempt-id").unwrap_or_default();
            let start = format!(
                "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-server-seal: s\r\n\
                 content-length: 99999999999\r\n\r\n"
            );
            match head.path.as_str() {
                "/book/1" => Reply::Steps(fast(&start, "a")),
                _ => Reply::Complete(200, "whole"),
            }
        })
    });
    let cluster = Cluster::start(1);
    for target in &targets {
        cluster.register(target, "desk");
    }
    cluster.ready(0).knows_targets(0, 2);
    std::thread::scope(|scope| {
        let asking: Vec<_> = (0..TOGETHER)
            .map(|n| (n, &cluster))
            .map(|(n, cluster)| scope.spawn(move || cluster.ask(0, "/book/1", &format!("b-{n}"))))
            .collect();
        for number in 0..20 {
            let begun = Instant::now();
            let answer = cluster.ask(0, "/look/1", &format!("l-{number}"));
            assert_eq!((answer.response.status, &*answer.body), (200, "whole"));
            assert!(begun.elapsed() < MAX_TIME, "{:?}", begun.elapsed());
        }
        for answer in asking {
            let answer = answer.join().expect("an answer");
            assert!(matches!(answer.response.status, 502 | 503), "{answer:?}");
        }
    });
    let memory = cluster.peak_memory(0) / 1024;
    println!("peak memory {memory} kB");
    assert!(memory < MAX_MEMORY_KB, "peak memory {memory} kB");
}

/// Nothing is sent to the readiness and metrics addresses but short requests.
#[test]
fn service_addresses_take_no_large_bodies() {
    let cluster = Cluster::start(1);
    cluster.ready(0);
    let body = "a".repeat(1_000_000);
    for port in [8081, 8083] {
        let addr = std::net::SocketAddr::from((cluster.gateways[0].ip, port));
        let head = "POST /readyz HTTP/1.1\r\nhost: x\r\ncontent-length: 1000000\r\n\r\n";
        let answer = super::call(addr, head, body.as_bytes());
        assert_eq!(answer.response.status, 413, "{answer:?}");
    }
}
