//! Instances that cannot connect to targets which their peers reach.

use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use mimosapass_standin::relay::{Admission, Relay};
use mimosapass_standin::target::{Reply, ScriptedTarget};
use rstest::rstest;

use super::{Cluster, KEY, call, eventually, head, start_target};

/// Time after the begin of a cut from which first attempts at the instance count.
const CUT_NOTICE: Duration = Duration::from_secs(3);
/// Time within which the own paths are used again, and within which callers that come first
/// are served.
const SWITCH_TIME: Duration = Duration::from_secs(2);
/// Time after a caller has left within which the work for it ends.
const LEAVE_TIME: Duration = Duration::from_millis(500);
/// Targets of each service.
const TARGETS: usize = 3;
/// Events of a stream.
const STREAM: Reply = Reply::Stream { last: 3, pause: Duration::from_millis(1), cut_at: None };

/// Two instances of a zone; the first one has paths of its own to all targets.
struct Fixture {
    cluster: Cluster,
    paths: Vec<Relay>,
    targets: Vec<ScriptedTarget>,
}

impl Fixture {
    fn start() -> Self {
        Self::start_with(&Reply::Complete(200, "yes"))
    }

    /// Starts it with targets of `desk` that reply in this way.
    fn start_with(reply: &Reply) -> Self {
        Self::start_more(reply, 1, "")
    }

    /// As [`Self::start_with`], with a number of peers and more lines of settings.
    fn start_more(reply: &Reply, peers: usize, more: &str) -> Self {
        let mut cluster = Cluster::start(0);
        let apart = cluster.store.open_endpoint();
        let (mut targets, mut paths) = (Vec::new(), Vec::new());
        for number in 0..2 * TARGETS {
            let streams = number >= TARGETS;
            let reply = if streams { &STREAM } else { reply };
            let target = start_target(&format!("i-{number}"), reply.clone());
            let path = Relay::start(target.addr).expect("a port");
            apart.set_path(target.addr, path.addr());
            cluster.register(&target, if streams { "pool" } else { "desk" });
            targets.push(target);
            paths.push(path);
        }
        let direct = cluster.endpoint.clone();
        cluster.add_with(&apart, &[], more);
        for _ in 0..peers {
            cluster.add_with(&direct, &[], more);
        }
        for number in 0..=peers {
            cluster.ready(number);
            cluster.knows_targets(number, 2 * TARGETS);
        }
        for peer in 1..=peers {
            cluster.logged(0, &["first datagram received", &format!("gate-{peer}")]);
            cluster.logged(peer, &["first datagram received", "gate-0"]);
        }
        Self { cluster, paths, targets }
    }

    /// Sets what becomes of new connections of the first instance to the targets.
    fn cut(&self, admission: Admission) {
        for path in &self.paths {
            path.set_admission(admission);
        }
    }

    /// Sends a request to the first instance; returns the status.
    fn ask(&self, path: &str, id: &str) -> u16 {
        let answer = call(self.cluster.callers(0), &head(path, id, KEY, ""), b"question");
        if answer.complete { answer.response.status } else { 0 }
    }

    /// Returns how many requests with an attempt identifier the targets got.
    fn runs(&self, id: &str) -> usize {
        let requests = self.targets.iter().flat_map(ScriptedTarget::requests);
        requests.filter(|r| r.head.header("x-attempt-id") == Some(id)).count()
    }
}

/// Guards against refusals at instances of atlas-loc that had lost their paths to all targets:
/// each request was tried at four of them in vain, although peers reached them all.
#[rstest]
#[case::stream_hanging("/chat/1", Admission::Hanging)]
#[case::stream_refused("/chat/1", Admission::Refused)]
#[case::call_hanging("/look/1", Admission::Hanging)]
#[case::call_refused("/look/1", Admission::Refused)]
#[case::call_that_runs_once_hanging("/book/1", Admission::Hanging)]
#[case::call_that_runs_once_refused("/book/1", Admission::Refused)]
fn callers_of_an_instance_that_reaches_no_target_are_served(
    #[case] path: &str,
    #[case] admission: Admission,
) {
    let fixture = Fixture::start();
    assert_eq!(fixture.ask(path, "before"), 200);
    fixture.cut(admission);
    for path in &fixture.paths {
        path.silence_open();
    }
    // Idle connections that fell silent are no path either.
    std::thread::sleep(CUT_NOTICE);
    for number in 0..12 {
        let (id, begun) = (format!("cut-{number}"), Instant::now());
        assert_eq!(fixture.ask(path, &id), 200, "request {number}");
        let took = begun.elapsed();
        assert!(took < SWITCH_TIME, "request {number} took {took:?}");
        assert_eq!(fixture.runs(&id), 1, "request {number}");
    }
}

#[test]
fn own_paths_are_used_again_soon_after_they_return() {
    let fixture = Fixture::start();
    fixture.cut(Admission::Refused);
    std::thread::sleep(CUT_NOTICE);
    assert_eq!(fixture.ask("/book/1", "cut"), 200);
    fixture.cut(Admission::Open);
    let back = Instant::now();
    // Only then does a request get there while the other instance is suspended.
    std::thread::sleep(SWITCH_TIME);
    fixture.cluster.signal(1, "-STOP");
    let status = fixture.ask("/book/1", "back");
    fixture.cluster.signal(1, "-CONT");
    assert_eq!(status, 200, "{:?} after the return", back.elapsed());
}

#[test]
fn request_is_refused_in_time_if_no_instance_reaches_a_target() {
    let fixture = Fixture::start();
    fixture.cut(Admission::Refused);
    for target in &fixture.targets {
        target.crash();
    }
    for number in 0..4 {
        let (id, begun) = (format!("lost-{number}"), Instant::now());
        assert_eq!(fixture.ask("/book/1", &id), 503);
        assert!(begun.elapsed() < SWITCH_TIME, "took {:?}", begun.elapsed());
    }
}

/// Guards against work for a caller that has left, at the target of another instance.
#[test]
fn caller_that_leaves_ends_the_work_that_another_instance_sent() {
    let fixture = Fixture::start_with(&Reply::Hang);
    fixture.cut(Admission::Refused);
    let mut caller = TcpStream::connect(fixture.cluster.callers(0)).expect("connected");
    let request = [head("/look/1", "left", KEY, "").as_bytes(), b"question"].concat();
    caller.write_all(&request).expect("sent");
    eventually("a target runs it", || fixture.runs("left") == 1);
    drop(caller);
    let left = Instant::now();
    let ended = || {
        let mut requests = fixture.targets.iter().flat_map(ScriptedTarget::requests);
        requests.any(|r| r.disconnected_at.is_some())
    };
    eventually("the target is disconnected", ended);
    assert!(left.elapsed() < LEAVE_TIME, "after {:?}", left.elapsed());
}

/// Guards against sends that no limit knows: targets refused a request at one peer, it went over the
/// next one, and each of the targets there counted as the first.
#[rstest]
#[case::call("/look/1")]
#[case::call_that_runs_once("/book/1")]
fn refusals_at_peers_count_as_sends(#[case] path: &str) {
    let none = "repeats: {first_start: true, ratio: 0, slack: 0, window_ms: 10000}\n";
    let fixture = Fixture::start_more(&Reply::NotExecuted(503), 2, none);
    fixture.cut(Admission::Refused);
    for number in 0..6 {
        let id = format!("cut-{number}");
        assert_eq!(fixture.ask(path, &id), 503);
        assert_eq!(fixture.runs(&id), 1, "request {number}");
    }
}

/// Guards against headers of the installation's own that reach targets, or that callers set.
#[test]
fn targets_see_nothing_of_the_way_of_a_request() {
    let fixture = Fixture::start();
    fixture.cut(Admission::Refused);
    assert_eq!(fixture.ask("/look/1", "cut"), 200);
    let requests: Vec<_> = fixture.targets.iter().flat_map(ScriptedTarget::requests).collect();
    let headers = requests.iter().flat_map(|r| &r.head.headers);
    let own: Vec<_> = headers.filter(|(name, _)| name.contains("mimosapass")).collect();
    assert!(own.is_empty(), "{own:?}");
    let key = requests.iter().any(|r| r.head.header("authorization").is_some());
    assert!(!key, "the key reached a target");
}

/// Guards against a refusal of a sound request after several targets have crashed: they look like
/// lost paths, and what a peer cannot serve may still be served from here.
#[rstest]
#[case::first(0)]
#[case::second(1)]
#[case::third(2)]
fn refusal_of_a_peer_is_not_final_while_a_target_may_be_reached(#[case] sound: usize) {
    let mut cluster = Cluster::start(0);
    let apart = cluster.store.open_endpoint();
    let (mut targets, mut paths) = (Vec::new(), Vec::new());
    for number in 0..TARGETS {
        let target = start_target(&format!("i-{number}"), Reply::Complete(200, "yes"));
        let path = Relay::start(target.addr).expect("a port");
        path.set_admission(Admission::Refused);
        apart.set_path(target.addr, path.addr());
        cluster.register(&target, "desk");
        targets.push(target);
        paths.push(path);
    }
    let direct = cluster.endpoint.clone();
    cluster.add(&direct, &[]);
    cluster.add(&apart, &[]);
    for number in 0..2 {
        cluster.ready(number);
        cluster.knows_targets(number, TARGETS);
    }
    cluster.logged(0, &["first datagram received", "gate-1"]);
    for (number, target) in targets.iter().enumerate() {
        if number != sound {
            target.crash();
        }
    }
    let answer = cluster.ask(0, "/book/1", "sound");
    assert_eq!((answer.response.status, answer.complete), (200, true), "{}", cluster.log(0));
}
