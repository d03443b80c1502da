//! What targets state about themselves in their answers.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use mimosapass_standin::target::{Reply, ScriptedTarget};

use super::{Cluster, KEY, call, eventually, head, start_target};

/// Time after an answer that states a leave from which the target gets no requests.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Header of an answer of a leaving target.
const LEAVING: &str = "server-leaving: 1";

fn status(cluster: &Cluster, number: usize, path: &str) -> u16 {
    call(cluster.callers(number), &head(path, "id-1", KEY, ""), b"question").response.status
}

/// Starts `count` gateways, one target that answers `reply`, and one that does not leave.
fn start(count: usize, reply: Reply) -> (Cluster, ScriptedTarget) {
    let cluster = Cluster::start(count);
    let leaving = start_target("i-0", reply);
    let staying = start_target("i-1", Reply::Complete(200, "staying"));
    cluster.register(&leaving, "desk");
    cluster.register(&staying, "desk");
    for number in 0..count {
        cluster.ready(number);
    }
    cluster.knows_targets(0, 2);
    (cluster, leaving)
}

/// Sends requests through the first instance until the leaving target has answered one.
fn meet(cluster: &Cluster, leaving: &ScriptedTarget) {
    eventually("the leaving target is used", || {
        status(cluster, 0, "/look/1");
        !leaving.requests().is_empty()
    });
}

fn assert_gets_no_requests(cluster: &Cluster, count: usize, leaving: &ScriptedTarget) {
    let before = leaving.requests().len();
    for number in 0..count {
        for _ in 0..4 {
            assert_eq!(status(cluster, number, "/look/1"), 200);
        }
        assert_eq!(leaving.requests().len(), before, "instance {number} sent to it");
    }
}

/// Generates a test from the answer of a leaving target.
macro_rules! answers {
    ($($name:ident: $reply:expr;)+) => {
        $(#[test]
        fn $name() {
            let (cluster, leaving) = start(2, $reply);
            meet(&cluster, &leaving);
            assert_gets_no_requests(&cluster, 1, &leaving);
            std::thread::sleep(DRAIN_TIME);
            assert_gets_no_requests(&cluster, 2, &leaving);
            cluster.logged(0, &["target: draining, it states so in its answers.", "peer=none"]);
            cluster.logged(1, &["target: draining, it states so in its answers.", "peer=gate-0"]);
        })+
    };
}

answers! {
    target_that_answers_and_leaves: Reply::WithHeader(200, "last", LEAVING);
    target_that_fails_and_leaves: Reply::WithHeader(500, "last", LEAVING);
    target_that_refuses_and_leaves:
        Reply::WithHeader(503, "full", "server-leaving: 1\r\nx-not-executed: 1");
}

#[test]
fn leave_stated_in_an_answer_holds_until_a_new_start() {
    let (cluster, leaving) = start(1, Reply::WithHeader(200, "last", LEAVING));
    meet(&cluster, &leaving);
    let before = leaving.requests().len();
    cluster.store.set("servers/i-0", &leaving.registration("desk", "ready", 1, 5));
    cluster.store.delete("servers/i-0");
    cluster.store.set("servers/i-0", &leaving.registration("desk", "ready", 1, 6));
    std::thread::sleep(DRAIN_TIME);
    assert_gets_no_requests(&cluster, 1, &leaving);
    cluster.store.set("servers/i-0", &leaving.registration("desk", "ready", 2, 1));
    eventually("the new start is used", || {
        status(&cluster, 0, "/look/1");
        leaving.requests().len() > before
    });
}

#[test]
fn other_values_of_the_header_state_nothing() {
    let (cluster, target) = start(1, Reply::WithHeader(200, "yes", "server-leaving: 0"));
    meet(&cluster, &target);
    let before = target.requests().len();
    eventually("it is used again", || {
        status(&cluster, 0, "/look/1");
        target.requests().len() > before
    });
}

/// Generates a test from the line with a pause and whether the target gets another request
/// within a second.
macro_rules! pauses {
    ($($name:ident: $line:literal => $used:expr;)+) => {
        $(#[test]
        fn $name() {
            let line = concat!($line, "\r\nx-not-executed: 1");
            let (cluster, full) = start(1, Reply::WithHeader(503, "full", line));
            meet(&cluster, &full);
            let before = full.requests().len();
            let end = Instant::now() + Duration::from_millis(900);
            while Instant::now() < end {
                assert_eq!(status(&cluster, 0, "/look/1"), 200);
                std::thread::sleep(Duration::from_millis(20));
            }
            assert_eq!(full.requests().len() > before, $used, "{} requests", full.requests().len());
        })+
    };
}

pauses! {
    target_that_asks_for_a_pause_gets_nothing: "retry-after: 2" => false;
    fraction_of_a_second_is_a_pause: "retry-after: 1.5" => false;
    huge_pause_is_bounded: "retry-after: 1e300" => false;
    date_is_taken_for_the_default_pause: "retry-after: Fri, 04 Dec 2026 07:00:00 GMT" => false;
    broken_pause_is_taken_for_the_default: "retry-after: -nan" => false;
    zero_is_no_pause: "retry-after: 0" => true;
    refusal_without_a_pause_is_none: "x-other: 1" => true;
}

#[test]
fn request_that_cannot_bear_the_pause_of_all_targets_is_refused_at_once() {
    let cluster = Cluster::start(1);
    let reply = Reply::WithHeader(503, "full", "retry-after: 20\r\nx-not-executed: 1");
    let full = start_target("i-0", reply);
    cluster.register(&full, "desk");
    cluster.ready(0);
    assert_eq!(cluster.ask(0, "/look/1", "id-first").response.status, 503);
    let begin = Instant::now();
    let answer = cluster.ask(0, "/look/1", "id-second");
    assert!(begin.elapsed() < Duration::from_millis(500), "took {:?}", begin.elapsed());
    assert_eq!(answer.response.status, 503);
    let after: f64 = answer.response.header("retry-after").expect("a time").parse().expect("s");
    assert!((15.0..=20.0).contains(&after), "come back after {after} s");
    assert_eq!(full.requests().len(), 1);
}

#[test]
fn pause_of_all_targets_ends_without_a_burst() {
    let cluster = Cluster::start(1);
    let began = Arc::new(Mutex::new(None::<Instant>));
    let first = Arc::clone(&began);
    let target = ScriptedTarget::start("i-0", move |_| {
        let mut began = first.lock().expect("not poisoned");
        match *began {
            None => {
                *began = Some(Instant::now());
                Reply::WithHeader(503, "full", "retry-after: 1\r\nx-not-executed: 1")
            }
            Some(_) => Reply::Complete(200, "yes"),
        }
    });
    cluster.register(&target, "desk");
    cluster.ready(0);
    assert_eq!(cluster.ask(0, "/book/1", "id-first").response.status, 503);
    let addr = cluster.callers(0);
    let callers: Vec<_> = (0..12)
        .map(|n| {
            let head = head("/look/1", &format!("id-{n}"), KEY, "");
            std::thread::spawn(move || call(addr, &head, b"question").response.status)
        })
        .collect();
    std::thread::sleep(Duration::from_millis(1_300));
    let at_first = target.requests().len() - 1;
    assert!((1..=2).contains(&at_first), "{at_first} requests in the first step");
    for caller in callers {
        assert_eq!(caller.join().expect("no panic"), 200);
    }
}

#[test]
fn stated_limit_and_its_end_are_logged() {
    let limited = Arc::new(AtomicBool::new(true));
    let states = Arc::clone(&limited);
    let cluster = Cluster::start(1);
    let target = ScriptedTarget::start("i-0", move |_| {
        if states.load(Ordering::SeqCst) {
            Reply::WithHeader(200, "few", "server-limit: 20.5")
        } else {
            Reply::Complete(200, "many")
        }
    });
    cluster.register(&target, "desk");
    cluster.ready(0);
    assert_eq!(status(&cluster, 0, "/look/1"), 200);
    cluster.logged(0, &["target: limited", "target_id=i-0", "rate=20.5", "peer=none"]);
    limited.store(false, Ordering::SeqCst);
    assert_eq!(status(&cluster, 0, "/look/1"), 200);
    cluster.logged(0, &["target: not limited any more", "target_id=i-0"]);
}
