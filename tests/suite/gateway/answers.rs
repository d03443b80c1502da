//! Responses of targets, valid and faulty, and what callers receive.

use std::time::{Duration, Instant};

use mimosapass_standin::target::{Reply, ScriptedTarget, Step};
use mimosapass_target::http::Connection;
use rstest::rstest;

use super::{Cluster, KEY, call, config, eventually, head, start_target};

/// Starts a gateway and one target for each reply, all of the service `desk`.
fn cluster(replies: &[Reply]) -> (Cluster, Vec<ScriptedTarget>) {
    let cluster = Cluster::start(1);
    let named = |(i, reply): (usize, &Reply)| start_target(&format!("i-{i}"), reply.clone());
    let targets: Vec<ScriptedTarget> = replies.iter().enumerate().map(named).collect();
    for target in &targets {
        cluster.register(target, "desk");
    }
    cluster.ready(0);
    (cluster, targets)
}

fn request_count(targets: &[ScriptedTarget]) -> usize {
    targets.iter().map(|t| t.requests().len()).sum()
}

/// Defines a test: path and replies of the targets => status, body and number of sends.
macro_rules! answers {
    ($($name:ident: $path:expr, [$($reply:expr),+] => $status:expr, $body:expr, $sends:expr;)+) => {
        $(#[test]
        fn $name() {
            let (cluster, targets) = cluster(&[$($reply),+]);
            let answer = cluster.ask(0, $path, "id-1");
            let seen = (answer.response.status, answer.complete, request_count(&targets));
            assert_eq!(seen, ($status, true, $sends), "{answer:?}");
            let body: Option<&str> = $body;
            assert_eq!(body.unwrap_or(&answer.body), answer.body);
        })+
    };
}

answers! {
    successful_response_is_relayed: "/book/1", [Reply::Complete(200, "yes")] => 200, Some("yes"), 1;
    target_failure_is_relayed: "/book/1", [Reply::Complete(500, "broken")]
        => 500, Some("broken"), 1;
    idempotent_call_is_retried_after_a_failure: "/look/1",
        [Reply::Complete(500, "x"), Reply::Complete(500, "x")]
        => 500, Some("x"), 2;
    non_idempotent_call_is_not_retried: "/book/1", [Reply::Disconnect, Reply::Disconnect]
        => 502, None, 1;
    idempotent_call_is_retried_after_a_cut: "/look/1", [Reply::Disconnect, Reply::Disconnect]
        => 502, None, 2;
    refused_non_idempotent_call_is_not_run: "/book/1",
        [Reply::NotExecuted(503), Reply::NotExecuted(503)]
        => 503, None, 1;
    unsigned_response_is_rejected: "/book/1", [Reply::Unsigned("forged")] => 502, None, 1;
    truncated_body_is_rejected: "/book/1", [Reply::Truncated("half")] => 502, None, 1;
    response_to_another_request_is_skipped: "/book/1", [Reply::WrongAttemptFirst("mine")]
        => 200, Some("mine"), 1;
    misdirected_request_without_a_mark_goes_elsewhere: "/look/1",
        [Reply::Complete(421, "another"), Reply::Complete(200, "yes")] => 200, Some("yes"), 2;
    misdirected_request_is_refused: "/look/1", [Reply::NotExecuted(421), Reply::NotExecuted(421)]
        => 503, None, 2;
}

#[test]
fn refusal_states_a_retry_time() {
    let (cluster, _targets) = cluster(&[Reply::NotExecuted(503)]);
    let answer = cluster.ask(0, "/book/1", "id-1");
    let after: f64 =
        answer.response.header("retry-after").expect("retry-after").parse().expect("seconds");
    assert!((0.1..=5.0).contains(&after), "{after}");
}

#[test]
fn request_is_forwarded_unchanged() {
    let (cluster, targets) = cluster(&[Reply::Complete(200, "yes")]);
    let headers = "x-model: m\r\nx-tenant: forged\r\nx-expect-instance: forged\r\n";
    assert_eq!(cluster.ask_with(0, "/book/1?a=b&c", "id-7", headers).response.status, 200);
    let received = &targets[0].requests()[0];
    let header = |name: &str| received.head.header(name).map(str::to_owned);
    assert_eq!(
        (received.head.method.as_str(), received.head.target.as_str()),
        ("POST", "/book/1?a=b&c")
    );
    assert_eq!(received.body, b"question");
    assert_eq!(header("x-attempt-id").as_deref(), Some("id-7"));
    assert_eq!(header("x-model").as_deref(), Some("m"));
    assert_eq!(header("x-tenant").as_deref(), Some("atlas"));
    assert_eq!(header("x-expect-instance").as_deref(), Some("i-0"));
    assert_eq!(header("authorization"), None, "the key is not forwarded");
    let left: u64 = header("x-deadline-ms").expect("a deadline").parse().expect("milliseconds");
    assert!((1..=6_000).contains(&left), "{left}");
}

#[test]
fn connection_with_surplus_bytes_is_not_reused() {
    let (cluster, targets) = cluster(&[Reply::Duplicated("mine")]);
    for id in ["id-1", "id-2", "id-3"] {
        let answer = cluster.ask(0, "/look/1", id);
        assert_eq!((answer.response.status, answer.body.as_str()), (200, "mine"));
        assert_eq!(answer.response.header("x-attempt-id"), Some(id));
    }
    assert_eq!(targets[0].connections(), 3);
}

#[test]
fn connection_is_reused_for_idempotent_calls() {
    let (cluster, targets) = cluster(&[Reply::Complete(200, "yes")]);
    for id in ["id-1", "id-2", "id-3"] {
        assert_eq!(cluster.ask(0, "/look/1", id).response.status, 200);
    }
    assert_eq!(targets[0].connections(), 1);
}

#[test]
fn unknown_keys_and_paths_are_refused() {
    let (cluster, targets) = cluster(&[Reply::Complete(200, "yes")]);
    let status = |path: &str, key: &str| {
        call(cluster.callers(0), &head(path, "id-1", key, ""), b"question").response.status
    };
    assert_eq!(status("/book/1", "key-two"), 401);
    assert_eq!(status("/none/1", KEY), 404);
    assert_eq!(request_count(&targets), 0);
}

#[test]
fn request_is_cancelled_when_its_caller_disconnects() {
    let (cluster, targets) = cluster(&[Reply::Hang]);
    let mut connection =
        Connection::open(cluster.callers(0), Duration::from_secs(2)).expect("a connection");
    let request = [head("/book/1", "id-1", KEY, "").as_bytes(), b"question"].concat();
    connection.send(&request, Instant::now() + Duration::from_secs(2)).expect("sent");
    eventually("the target gets the request", || request_count(&targets) == 1);
    drop(connection);
    let left = Instant::now();
    eventually("the connection to the target is closed", || {
        targets[0].requests()[0].disconnected_at.is_some()
    });
    // Targets must not work on it half a second later; the stand-in looks each 20 ms.
    assert!(left.elapsed() < Duration::from_millis(550), "took {:?}", left.elapsed());
}

/// The route allows two attempts, but the request may have run.
#[test]
fn non_idempotent_call_that_may_have_run_is_not_sent_again() {
    let (cluster, targets) = cluster(&[Reply::Disconnect, Reply::Disconnect]);
    let mut twice = config(9, &[KEY], &["book"]);
    twice["routes"][0]["attempts"] = 2.into();
    cluster.configure(&twice);
    cluster.logged(0, &["config: now in force.", "version=9"]);
    assert_eq!(cluster.ask(0, "/book/1", "id-1").response.status, 502);
    assert_eq!(request_count(&targets), 1);
}

#[test]
fn request_to_a_silent_target_is_retried_elsewhere() {
    let (cluster, targets) = cluster(&[Reply::Hang, Reply::Complete(200, "yes")]);
    for id in ["id-1", "id-2", "id-3", "id-4"] {
        assert_eq!(cluster.ask(0, "/look/1", id).response.status, 200);
    }
    assert!(targets[0].requests().len() <= 2, "the target is avoided after it was silent");
}

/// Guards against requests without any answer: a target's keep-alive time ended the thread of
/// the next request to it.
#[test]
fn largest_keep_alive_time_ends_no_request() {
    let reply = Reply::WithHeader(200, "ok", "keep-alive: timeout=18446744073709551615");
    let target = start_target("i-0", reply);
    let cluster = Cluster::start(1);
    cluster.register(&target, "desk");
    cluster.ready(0);
    for i in 0..3 {
        let head = super::head("/look/1", &format!("id-{i}"), super::KEY, "");
        let answer = super::try_call(cluster.callers(0), &head, b"question");
        assert!(answer.is_some_and(|a| a.body == "ok"), "request {i}");
    }
}

/// Guards against requests without any answer: at the end of a stop the process had ended before
/// they were told so.
#[test]
fn every_request_is_answered_before_a_stop_ends() {
    let target = start_target("i-0", Reply::Hang);
    let mut cluster = Cluster::start(0);
    cluster.register(&target, "desk");
    let endpoint = cluster.endpoint.clone();
    cluster.add_with(&endpoint, &[], "stop: {limit_ms: 4000}\n");
    cluster.ready(0);
    let answers = std::thread::scope(|scope| {
        let ask = |i: u64| {
            let cluster = &cluster;
            scope.spawn(move || {
                // Spreads the checks of the requests over their interval.
                std::thread::sleep(Duration::from_millis(60 * i));
                let head = head("/book/1", &format!("id-{i}"), KEY, "");
                super::try_call(cluster.callers(0), &head, b"question")
            })
        };
        let asked: Vec<_> = (0..8).map(ask).collect();
        eventually("all run", || target.requests().len() == 8);
        cluster.signal(0, "-TERM");
        asked.into_iter().map(|a| a.join().expect("joined")).collect::<Vec<_>>()
    });
    assert!(answers.iter().all(Option::is_some), "{answers:?}");
}

/// Guards against requests that all meet a target which is gone, while the store still names it.
#[test]
fn target_that_is_gone_from_its_address_is_avoided() {
    let (cluster, targets) =
        cluster(&[Reply::NotExecuted(421), Reply::Complete(200, "yes"), Reply::NotExecuted(421)]);
    for i in 0..8 {
        cluster.ask(0, "/look/1", &format!("id-{i}"));
    }
    let misdirected = targets[0].requests().len() + targets[2].requests().len();
    assert!(misdirected <= 2, "{misdirected} requests were sent to targets that are gone");
}

/// Guards against an answer with a status that is none and the target's seal.
#[rstest]
fn answer_whose_status_is_none_does_not_reach_the_caller(
    #[values("000", "099", "600", "700", "999")] status: &str,
    #[values("/book/1", "/look/1", "/chat/1")] path: &str,
    #[values("content-length: 3\r\n\r\nodd", "\r\nodd")] rest: &str,
) {
    let text = format!("HTTP/1.1 {status} Odd\r\nx-server-seal: s\r\nx-attempt-id: id-1\r\n{rest}");
    let target = start_target("i-0", Reply::Steps(vec![Step::Text(text), Step::Close]));
    let cluster = Cluster::start(1);
    cluster.register(&target, if path == "/chat/1" { "pool" } else { "desk" });
    cluster.ready(0).knows_targets(0, 1);
    let answer = cluster.ask_with(0, path, "id-1", "x-token-usage: 100,50\r\n");
    assert_eq!((answer.response.status, answer.complete), (502, true), "{answer:?}");
    assert_eq!(answer.response.header("x-server-seal"), None, "{answer:?}");
}
