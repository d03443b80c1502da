//! Settings that change while a gateway runs, with a signal and without one.

use std::time::{Duration, Instant};

use rstest::rstest;

use super::{Cluster, Reply, ScriptedTarget, eventually, head};
use crate::common::WAIT_TIMEOUT;

/// Time from SIGTERM to the end of a gateway beyond its limit: it ends before the limit.
const LIMIT: Duration = Duration::from_secs(4);

/// Starts a gateway with a long limit, and a request that outlasts any limit.
fn start() -> (Cluster, ScriptedTarget) {
    let mut cluster = Cluster::start(0);
    let endpoint = cluster.endpoint.clone();
    let target = super::start_target("i-1", Reply::Hang);
    cluster.register(&target, "desk");
    cluster.add_with(&endpoint, &[], "stop:\n  limit_s: 60\n");
    cluster.ready(0).knows_targets(0, 1);
    (cluster, target)
}

/// Sends a request that is not answered, and returns its connection.
fn hold(cluster: &Cluster, target: &ScriptedTarget) -> std::net::TcpStream {
    use std::io::Write;
    let mut caller = std::net::TcpStream::connect(cluster.callers(0)).expect("connected");
    let head = head("/book/1", "id-1", super::KEY, "");
    caller.write_all(&[head.as_bytes(), b"question"].concat()).expect("sent");
    eventually("the target has the request", || !target.requests().is_empty());
    caller
}

/// Returns how long a gateway runs after SIGTERM.
fn stop(cluster: &mut Cluster) -> Duration {
    let begun = Instant::now();
    cluster.signal(0, "-TERM");
    let child = &mut cluster.gateways[0].child;
    while child.try_wait().expect("a state").is_none() {
        assert!(begun.elapsed() < WAIT_TIMEOUT, "it does not end");
        std::thread::sleep(Duration::from_millis(10));
    }
    begun.elapsed()
}

/// How a gateway learns that its file has changed.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Notice {
    /// By SIGHUP.
    Signal,
    /// By reading it now and then.
    None,
    /// The stop signal comes at once.
    Stop,
}

/// Guards against a grace that was lowered and is not kept: the process was killed with requests
/// that nobody had answered.
#[rstest]
fn lowered_limit_holds_at_the_next_stop(
    #[values(Notice::Signal, Notice::None, Notice::Stop)] notice: Notice,
) {
    let (mut cluster, target) = start();
    let _caller = hold(&cluster, &target);
    cluster.rewrite(0, "limit_s: 60", &format!("limit_s: {}", LIMIT.as_secs_f64()));
    if notice == Notice::Signal {
        cluster.signal(0, "-HUP");
    }
    if notice != Notice::Stop {
        cluster.logged(0, &["settings: limits changed and are in force", "stop_limit_ms=4000"]);
    }
    let took = stop(&mut cluster);
    assert!(took < LIMIT, "{took:?}");
}

/// A file that cannot be read leaves what was in force, and is reported once.
#[rstest]
#[case::no_yaml("stop:\n", "stop: [\n", "invalid")]
#[case::text("limit_s: 60", "limit_s: soon", "stop.limit_s: `soon` is invalid; write a number")]
#[case::negative("limit_s: 60", "limit_s: -1", "stop.limit_s: write a number, 0 or more")]
#[case::unknown("limit_s: 60", "limits: 60", "unknown field")]
fn invalid_file_leaves_what_was_in_force(#[case] from: &str, #[case] to: &str, #[case] text: &str) {
    let (mut cluster, _target) = start();
    cluster.rewrite(0, "limit_s: 60", "limit_s: 2");
    cluster.logged(0, &["stop_limit_ms=2000"]);
    cluster.rewrite(0, &from.replace("60", "2"), to);
    cluster.logged(0, &["what was in force stays", text]);
    std::thread::sleep(Duration::from_secs(3));
    cluster.signal(0, "-HUP");
    let took = stop(&mut cluster);
    assert!(took < Duration::from_secs(8), "{took:?}");
    assert_eq!(cluster.log(0).matches("what was in force stays").count(), 1);
}

/// As above, for a file that is gone; and a change that comes later still takes effect.
#[test]
fn missing_file_leaves_what_was_in_force() {
    let (cluster, _target) = start();
    let file = cluster.gateways[0].settings.clone();
    let text = std::fs::read_to_string(&file).expect("settings");
    std::fs::remove_file(&file).expect("removed");
    cluster.logged(0, &["cannot be read, what was in force stays"]);
    std::fs::write(&file, text.replace("limit_s: 60", "limit_s: 5")).expect("written");
    cluster.logged(0, &["stop_limit_ms=5000"]);
    assert_eq!(cluster.log(0).matches("cannot be read").count(), 1);
}

/// What cannot change while the process runs is said to wait.
#[test]
fn other_settings_wait_for_the_next_start() {
    let (cluster, _target) = start();
    cluster.rewrite(0, "zone: a", "zone: b");
    cluster.logged(0, &["others changed too and are in force from the next start"]);
    cluster.rewrite(0, "limit_s: 60", "limit_s:");
    cluster.logged(0, &["stop.limit_s: it has no value and takes its default"]);
    cluster.logged(0, &["settings: limits changed", "stop_limit_ms=8000"]);
}

#[test]
fn limits_on_retries_change_while_the_gateway_runs() {
    let (cluster, _target) = start();
    cluster.rewrite(0, "first_start: true", "first_start: true, slack: 7.5, window_s: 2e1");
    cluster.logged(0, &["retry_slack=7.5", "retry_window_ms=20000"]);
    assert!(!cluster.log(0).contains("others changed"), "{}", cluster.log(0));
}
