//! Answers of targets, good and bad, and what callers get of them.

use std::time::{Duration, Instant};

use mimosapass_standin::target::{Reply, ScriptedTarget};
use mimosapass_target::http::Connection;

use super::{Grid, KEY, call, eventually, head, runner};

/// A gateway with one target for each act, on the service of plain calls.
fn grid(acts: &[Reply]) -> (Grid, Vec<ScriptedTarget>) {
    let grid = Grid::start(1);
    let named = |(i, act): (usize, &Reply)| runner(&format!("i-{i}"), act.clone());
    let runners: Vec<ScriptedTarget> = acts.iter().enumerate().map(named).collect();
    for runner in &runners {
        grid.register(runner, "desk");
    }
    grid.ready(0);
    (grid, runners)
}

fn asked(runners: &[ScriptedTarget]) -> usize {
    runners.iter().map(|r| r.requests().len()).sum()
}

/// Names a case: the path, the acts of the targets, and the status, the body and
/// the number of sends that come of it.
macro_rules! answers {
    ($($name:ident: $path:expr, [$($act:expr),+] => $status:expr, $body:expr, $sends:expr;)+) => {
        $(#[test]
        fn $name() {
            let (grid, runners) = grid(&[$($act),+]);
            let answer = grid.ask(0, $path, "id-1");
            let seen = (answer.reply.status, answer.whole, asked(&runners));
            assert_eq!(seen, ($status, true, $sends), "{answer:?}");
            let body: Option<&str> = $body;
            assert_eq!(body.unwrap_or(&answer.body), answer.body);
        })+
    };
}

answers! {
    good_answer_is_passed_on: "/book/1", [Reply::Complete(200, "yes")] => 200, Some("yes"), 1;
    failure_of_the_target_stays_as_it_is: "/book/1", [Reply::Complete(500, "broken")]
        => 500, Some("broken"), 1;
    failure_is_asked_for_elsewhere: "/look/1", [Reply::Complete(500, "x"), Reply::Complete(500, "x")]
        => 500, Some("x"), 2;
    call_that_runs_once_is_not_sent_again: "/book/1", [Reply::Disconnect, Reply::Disconnect] => 502, None, 1;
    call_that_may_repeat_is_sent_again: "/look/1", [Reply::Disconnect, Reply::Disconnect] => 502, None, 2;
    refusal_of_a_call_that_runs_once_is_true: "/book/1", [Reply::NotExecuted(503), Reply::NotExecuted(503)]
        => 503, None, 1;
    answer_without_signature_is_none: "/book/1", [Reply::Unsigned("forged")] => 502, None, 1;
    short_body_is_no_answer: "/book/1", [Reply::Truncated("half")] => 502, None, 1;
    answer_to_another_request_is_skipped: "/book/1", [Reply::WrongAttemptFirst("mine")]
        => 200, Some("mine"), 1;
    answer_of_another_target_at_the_address: "/look/1", [Reply::NotExecuted(421), Reply::NotExecuted(421)]
        => 503, None, 2;
}

#[test]
fn refusal_says_when_to_come_back() {
    let (grid, _runners) = grid(&[Reply::NotExecuted(503)]);
    let answer = grid.ask(0, "/book/1", "id-1");
    let after: f64 = answer.reply.header("retry-after").expect("a time").parse().expect("seconds");
    assert!((0.1..=5.0).contains(&after), "{after}");
}

#[test]
fn request_reaches_its_target_as_it_came() {
    let (grid, runners) = grid(&[Reply::Complete(200, "yes")]);
    let more = "x-model: m\r\nx-tenant: forged\r\nx-expect-instance: forged\r\n";
    assert_eq!(grid.ask_with(0, "/book/1?a=b&c", "id-7", more).reply.status, 200);
    let asked = &runners[0].requests()[0];
    let header = |name: &str| asked.head.header(name).map(str::to_owned);
    assert_eq!((asked.head.method.as_str(), asked.head.target.as_str()), ("POST", "/book/1?a=b&c"));
    assert_eq!(asked.body, b"question");
    assert_eq!(header("x-attempt-id").as_deref(), Some("id-7"));
    assert_eq!(header("x-model").as_deref(), Some("m"));
    assert_eq!(header("x-tenant").as_deref(), Some("atlas"));
    assert_eq!(header("x-expect-instance").as_deref(), Some("i-0"));
    assert_eq!(header("authorization"), None, "the key is not shown");
    let left: u64 = header("x-deadline-ms").expect("a deadline").parse().expect("milliseconds");
    assert!((1..=6_000).contains(&left), "{left}");
}

#[test]
fn connection_with_surplus_bytes_is_not_used_again() {
    let (grid, runners) = grid(&[Reply::Duplicated("mine")]);
    for id in ["id-1", "id-2", "id-3"] {
        let answer = grid.ask(0, "/look/1", id);
        assert_eq!((answer.reply.status, answer.body.as_str()), (200, "mine"));
        assert_eq!(answer.reply.header("x-attempt-id"), Some(id));
    }
    assert_eq!(runners[0].connections(), 3);
}

#[test]
fn connection_is_kept_for_calls_that_may_repeat() {
    let (grid, runners) = grid(&[Reply::Complete(200, "yes")]);
    for id in ["id-1", "id-2", "id-3"] {
        assert_eq!(grid.ask(0, "/look/1", id).reply.status, 200);
    }
    assert_eq!(runners[0].connections(), 1);
}

#[test]
fn unknown_keys_and_paths_are_refused() {
    let (grid, runners) = grid(&[Reply::Complete(200, "yes")]);
    let status = |path: &str, key: &str| {
        call(grid.callers(0), &head(path, "id-1", key, ""), b"question").reply.status
    };
    assert_eq!(status("/book/1", "key-two"), 401);
    assert_eq!(status("/none/1", KEY), 404);
    assert_eq!(asked(&runners), 0);
}

#[test]
fn work_of_a_caller_that_left_is_given_up() {
    let (grid, runners) = grid(&[Reply::Hang]);
    let mut connection =
        Connection::open(grid.callers(0), Duration::from_secs(2)).expect("a connection");
    let request = [head("/book/1", "id-1", KEY, "").as_bytes(), b"question"].concat();
    connection.send(&request, Instant::now() + Duration::from_secs(2)).expect("sent");
    eventually("the target is asked", || asked(&runners) == 1);
    drop(connection);
    eventually("the target is left", || runners[0].requests()[0].disconnected_at.is_some());
}

#[test]
fn silent_target_is_left_for_another_one() {
    let (grid, runners) = grid(&[Reply::Hang, Reply::Complete(200, "yes")]);
    for id in ["id-1", "id-2", "id-3", "id-4"] {
        assert_eq!(grid.ask(0, "/look/1", id).reply.status, 200);
    }
    assert!(runners[0].requests().len() <= 2, "it is avoided after it was silent");
}
