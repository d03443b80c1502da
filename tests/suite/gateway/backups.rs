//! Silent runs beside a backup: whatever the two targets send and when, callers get one whole
//! answer.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use mimosapass_standin::target::{Reply, ScriptedTarget, Step};

use super::{Cluster, KEY, events, start_target};

const SHORT_PROMPT: &str = "x-token-usage: 100,50\r\n";
/// Longer than the silence after which a stream is backed up.
const SILENCE: Duration = Duration::from_secs(2);
/// Time in which a request that is backed up is served.
const BACKED_UP: Duration = Duration::from_secs(4);
/// Limits on retries that are never reached.
const MANY_RETRIES: &str = "repeats: {first_start: true, ratio: 1, slack: 500, window_ms: 10000}\n";

fn cluster(targets: &[&ScriptedTarget], service: &str, settings: &str) -> Cluster {
    let mut cluster = Cluster::start(0);
    for target in targets {
        cluster.register(target, service);
    }
    let endpoint = cluster.endpoint.clone();
    cluster.add_with(&endpoint, &[], settings);
    cluster.ready(0);
    cluster
}

/// Returns all bytes that a caller of a stream receives.
fn raw(cluster: &Cluster, id: &str) -> String {
    let mut stream = send(cluster, "/chat/1", id, SHORT_PROMPT);
    stream.set_read_timeout(Some(Duration::from_secs(7))).expect("set");
    let (mut all, mut buffer) = (Vec::new(), [0; 4096]);
    while let Ok(read @ 1..) = stream.read(&mut buffer) {
        all.extend_from_slice(&buffer[..read]);
        if all.ends_with(b"0\r\n\r\n") {
            break;
        }
    }
    String::from_utf8_lossy(&all).into_owned()
}

fn send(cluster: &Cluster, path: &str, id: &str, headers: &str) -> TcpStream {
    let mut stream = TcpStream::connect(cluster.callers(0)).expect("connected");
    let head = super::head(path, id, KEY, headers);
    stream.write_all(&[head.as_bytes(), b"question"].concat()).expect("sent");
    stream
}

/// Serves a stream at a target that takes these steps, beside one that gives `reply`.
fn beside(steps: Vec<Step>, reply: Reply) -> (String, Duration) {
    let (one, other) = (start_target("i-0", Reply::Steps(steps)), start_target("i-1", reply));
    let cluster = cluster(&[&one], "pool", "");
    let started = Instant::now();
    let text = std::thread::scope(|scope| {
        let asking = scope.spawn(|| raw(&cluster, "id-1"));
        super::eventually("the first target has it", || !one.requests().is_empty());
        cluster.register(&other, "pool");
        asking.join().expect("an answer")
    });
    (text, started.elapsed())
}

fn stream(last: u64) -> Reply {
    Reply::Stream { last, pause: Duration::from_millis(5), cut_at: None }
}

/// Guards against a second head within a stream: a rejection by the backup was relayed.
#[test]
fn rejection_by_a_backup_is_not_written_into_a_stream() {
    let rest = [Step::Event(2), Step::Event(3), Step::End];
    let steps = [vec![Step::Head, Step::Event(1), Step::Silence(SILENCE)], rest.to_vec()].concat();
    let (text, _) = beside(steps, Reply::Complete(404, "no"));
    assert_eq!(text.matches("HTTP/1.1").count(), 1, "{text}");
    assert!(text.contains("e3") && text.ends_with("0\r\n\r\n"), "{text}");
}

/// Guards against a second head within a stream that is resumed elsewhere.
#[test]
fn rejection_of_a_resumed_stream_is_not_written_into_it() {
    let steps = vec![Step::Head, Step::Event(1), Step::Close];
    let (text, _) = beside(steps, Reply::Complete(404, "no"));
    assert_eq!(text.matches("HTTP/1.1").count(), 1, "{text}");
}

/// Guards against a sound run that ends because its backup was rejected.
#[test]
fn rejection_by_a_backup_does_not_end_a_run_before_its_first_event() {
    let steps = vec![Step::Head, Step::Silence(SILENCE), Step::Event(1), Step::End];
    let (text, _) = beside(steps, Reply::Complete(404, "no"));
    assert!(text.contains("e1") && text.ends_with("0\r\n\r\n"), "{text}");
}

/// Steps that repeat one of them, with pauses shorter than the silence that is backed up.
fn slowly(first: &[Step], repeated: Step) -> Vec<Step> {
    let cycle = [repeated, Step::Silence(SILENCE / 6)];
    first.iter().chain(cycle.iter().cycle().take(60)).cloned().collect()
}

/// Generates tests of targets that send bytes which bring the answer no further.
macro_rules! idle_talk {
    ($($name:ident: $steps:expr;)+) => {
        $(
            /// Guards against a target that is waited for as long as any bytes come.
            #[test]
            fn $name() {
                let (text, took) = beside($steps, stream(3));
                assert!(text.contains("e3") && text.ends_with("0\r\n\r\n"), "{took:?} {text}");
                assert!(took < BACKED_UP, "{took:?}");
            }
        )+
    };
}

idle_talk! {
    slow_interim_responses_are_backed_up:
        slowly(&[], Step::Bytes(b"HTTP/1.1 100 Continue\r\n\r\n"));
    slow_headers_are_backed_up:
        slowly(&[Step::Bytes(b"HTTP/1.1 200 OK\r\n")], Step::Bytes(b"x: y\r\n"));
    slow_partial_event_is_backed_up:
        slowly(&[Step::Head, Step::Event(1)], Step::Bytes(b"1\r\n:\r\n"));
}

fn processor_ticks(pid: u32) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).expect("a stat");
    let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
    fields.skip(11).take(2).filter_map(|field| field.parse::<u64>().ok()).sum()
}

/// Guards against a busy loop while a stream without event identifiers, which cannot be
/// resumed, is silent.
#[test]
fn silent_stream_without_event_identifiers_uses_no_processor_time() {
    let silence = Step::Silence(SILENCE * 2);
    let steps =
        vec![Step::Head, Step::Bytes(b"5\r\n:ok\n\n\r\n"), silence, Step::Event(1), Step::End];
    let one = start_target("i-0", Reply::Steps(steps));
    let cluster = cluster(&[&one], "pool", "");
    let pid = cluster.gateways[0].child.id();
    let before = processor_ticks(pid);
    let text = raw(&cluster, "id-1");
    let used = processor_ticks(pid) - before;
    assert!(text.ends_with("0\r\n\r\n"), "{text}");
    assert!(used < 50, "{used} ticks of 10 ms");
}

/// Whichever of two runs speaks first, the events come once, whole and in order.
#[test]
fn two_runs_that_speak_at_once_are_not_joined() {
    let script = |head: &mimosapass_caller::head::Head| {
        if head.header("last-event-id").is_some() {
            return stream(40);
        }
        let id = head.header("x-attempt-id").unwrap_or_default();
        let number: u64 = id.trim_start_matches("id-").parse().unwrap_or(0);
        let silence = Step::Silence(Duration::from_micros(1_676_000 + number * 250));
        let second = if number.is_multiple_of(2) {
            let begin = Step::Bytes(b"6\r\nid: 2\n\r\n");
            vec![begin, silence, Step::Bytes(b"a\r\ndata: e2\n\n\r\n")]
        } else {
            vec![silence, Step::Event(2)]
        };
        let rest: Vec<Step> = (3..=40).map(Step::Event).chain([Step::End]).collect();
        Reply::Steps([vec![Step::Head, Step::Event(1)], second, rest].concat())
    };
    let targets: Vec<ScriptedTarget> =
        (0..8).map(|i| ScriptedTarget::start(&format!("i-{i}"), script)).collect();
    let cluster = cluster(&targets.iter().collect::<Vec<_>>(), "pool", MANY_RETRIES);
    let answers = std::thread::scope(|scope| {
        let ask = |i: u64| {
            let cluster = &cluster;
            scope.spawn(move || cluster.ask_with(0, "/chat/1", &format!("id-{i}"), SHORT_PROMPT))
        };
        let asked: Vec<_> = (0..64).map(ask).collect();
        asked.into_iter().map(|a| a.join().expect("joined")).collect::<Vec<_>>()
    });
    for (i, answer) in answers.iter().enumerate() {
        assert!(answer.complete && answer.body == events(1, 40), "{i} {answer:?}");
    }
}

/// Both runs end with the deadline, no third target is used, and the caller is told in time.
#[test]
fn two_silent_runs_end_at_the_deadline() {
    let targets: Vec<ScriptedTarget> =
        (0..3).map(|i| start_target(&format!("i-{i}"), Reply::Hang)).collect();
    let cluster = cluster(&targets.iter().collect::<Vec<_>>(), "desk", "");
    let started = Instant::now();
    let answer = cluster.ask(0, "/look/1", "id-1");
    assert_eq!(answer.response.status, 504);
    let took = started.elapsed();
    assert!(took < Duration::from_millis(6_500), "the time limit is 6 s, it took {took:?}");
    let received = || targets.iter().flat_map(ScriptedTarget::requests);
    assert_eq!(received().count(), 2);
    super::eventually("both are cancelled", || {
        received().filter(|r| r.disconnected_at.is_some()).count() == 2
    });
}

/// Targets must not work for a caller that left half a second ago.
#[test]
fn two_runs_end_when_the_caller_leaves() {
    let targets: Vec<ScriptedTarget> =
        (0..3).map(|i| start_target(&format!("i-{i}"), Reply::Hang)).collect();
    let cluster = cluster(&targets.iter().collect::<Vec<_>>(), "desk", "");
    let caller = send(&cluster, "/look/1", "id-1", "");
    let received = || targets.iter().flat_map(ScriptedTarget::requests).collect::<Vec<_>>();
    super::eventually("two run", || received().len() == 2);
    drop(caller);
    let left = Instant::now();
    super::eventually("both are cancelled", || {
        received().iter().filter(|r| r.disconnected_at.is_some()).count() == 2
    });
    assert!(left.elapsed() < Duration::from_millis(500), "{:?}", left.elapsed());
}

/// A target that does not read a long request is silent, too.
#[test]
fn target_that_does_not_read_is_backed_up() {
    let silent = TcpListener::bind("127.0.0.1:0").expect("an address");
    let mut one = start_target("i-0", Reply::Hang);
    one.addr = silent.local_addr().expect("an address");
    let other = start_target("i-1", Reply::Complete(200, "ok"));
    let cluster = cluster(&[&one], "desk", "");
    let body = vec![b'x'; 3_900_000];
    let head = super::head("/look/1", "id-1", KEY, "")
        .replace("content-length: 8", &format!("content-length: {}", body.len()));
    let answer = std::thread::scope(|scope| {
        let asking = scope.spawn(|| super::call(cluster.callers(0), &head, &body));
        cluster.logged(0, &["request: granted a target."]);
        cluster.register(&other, "desk");
        asking.join().expect("joined")
    });
    assert_eq!((answer.response.status, answer.body.as_str()), (200, "ok"));
}

/// Guards against a stream that stands still while its target has gone on: the thread that
/// relays it reserved memory at silent engines for the backup.
#[test]
fn events_are_relayed_while_a_backup_reserves_memory() {
    let silence = Duration::from_millis(2_850);
    let rest = (2..30).flat_map(|e| [Step::Event(e), Step::Silence(Duration::from_millis(50))]);
    let steps: Vec<Step> = [Step::Head, Step::Event(1), Step::Silence(silence)]
        .into_iter()
        .chain(rest)
        .chain([Step::End])
        .collect();
    let good: Vec<ScriptedTarget> =
        (0..16).map(|i| start_target(&format!("i-{i:02}"), Reply::Steps(steps.clone()))).collect();
    let silent = TcpListener::bind("127.0.0.1:0").expect("an address");
    let cluster = Cluster::start(1);
    let mut config = super::config(4, &[KEY], &["chat", "look", "book"]);
    config["routes"][0]["goal_ms"] = 1000.into();
    cluster.configure(&config);
    for target in &good {
        cluster.register(target, "pool");
    }
    cluster.ready(0);
    cluster.logged(0, &["config: now in force", "version=4"]);
    let longest = std::thread::scope(|scope| {
        let asking = scope.spawn(|| longest_gap(&cluster));
        cluster.logged(0, &["request: first event."]);
        for target in &good {
            let mut other = target.clone();
            other.id = target.id.replace('i', "s");
            other.addr = silent.local_addr().expect("an address");
            cluster.register(&other, "pool");
        }
        asking.join().expect("joined")
    });
    assert!(longest < silence + Duration::from_millis(200), "longest gap {longest:?}");
}

/// Returns the longest time between two parts of a stream with a large prompt.
fn longest_gap(cluster: &Cluster) -> Duration {
    let mut stream = send(cluster, "/chat/1", "id-1", "x-token-usage: 455000,50\r\n");
    let (mut buffer, mut last, mut longest) = ([0; 4096], None, Duration::ZERO);
    loop {
        let read = stream.read(&mut buffer).unwrap_or(0);
        let now = Instant::now();
        longest = longest.max(last.replace(now).map_or(Duration::ZERO, |last| now - last));
        if read == 0 || buffer[..read].ends_with(b"0\r\n\r\n") {
            return longest;
        }
    }
}
