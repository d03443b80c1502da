//! What targets state about themselves in their answers.

use std::time::Duration;

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
    cluster.logged(0, &["target: accepts requests.", "target_id=i-1"]);
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
