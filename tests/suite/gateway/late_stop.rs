//! Planned stops: what comes late is refused while its caller can go elsewhere, and nobody is left
//! without an answer.

use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use mimosapass_standin::target::{Hook, Reply, ScriptedTarget, Step};
use rstest::rstest;

use super::{Cluster, KEY, config, eventually, head, start_target};
use crate::common::WAIT_TIMEOUT;

/// Time that a target works on a call.
const CALL_TIME: Duration = Duration::from_millis(150);
/// Time limit of a call.
const CALL_LIMIT: Duration = Duration::from_millis(400);
/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(30);
/// Time by which a busy machine may run a thread late.
const SCHEDULING: Duration = Duration::from_millis(500);
const PROMPT: &str = "x-token-usage: 100,50\r\n";

/// What became of a request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Outcome {
    Served,
    /// "Not run" was promised.
    Refused,
    /// Another failure was answered.
    Failed,
    /// The response broke off.
    Cut,
    /// The connection ended without an answer.
    Unanswered,
    /// There was no connection: the process has ended, or closed its port.
    Unconnected,
}

/// Sends a request with an identifier, on a kept connection if there is one.
fn ask(addr: SocketAddr, kept: &mut Option<TcpStream>, path: &str, id: &str) -> Outcome {
    let reused = kept.is_some();
    let connect = || TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok();
    let Some(mut stream) = kept.take().or_else(connect) else { return Outcome::Unconnected };
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a timeout");
    let limit = format!("x-deadline-ms: {}", CALL_LIMIT.as_millis());
    let head = head(path, id, KEY, PROMPT).replace("x-deadline-ms: 6000", &limit);
    let sent = stream.write_all(&[head.as_bytes(), b"question"].concat());
    let response = sent.and_then(|()| read(&mut stream));
    match response {
        Ok(response) => {
            let close = response.head.contains("connection: close");
            *kept = Some(stream).filter(|_| !close && response.whole);
            match response.status {
                200 if response.whole => Outcome::Served,
                200 => Outcome::Cut,
                429 | 503 => Outcome::Refused,
                _ => Outcome::Failed,
            }
        }
        // A request that crosses the close of an idle connection is sent once more.
        Err(_) if reused => ask(addr, &mut None, path, id),
        Err(_) => Outcome::Unanswered,
    }
}

struct Response {
    status: u16,
    head: String,
    whole: bool,
}

/// Reads a response that has a length or is chunked.
fn read(stream: &mut TcpStream) -> std::io::Result<Response> {
    let (mut text, mut buffer) = (String::new(), [0; 4096]);
    loop {
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|l| l.strip_prefix("content-length: "));
            let whole = match length.and_then(|l| l.parse::<usize>().ok()) {
                Some(length) => body.len() >= length,
                None => body.ends_with("0\r\n\r\n"),
            };
            let status = head.get(9..12).and_then(|s| s.parse().ok()).unwrap_or(0);
            let response = |whole| Response { status, head: head.to_owned(), whole };
            if whole {
                return Ok(response(true));
            }
            match stream.read(&mut buffer) {
                Ok(read @ 1..) => text.push_str(&String::from_utf8_lossy(&buffer[..read])),
                Ok(_) | Err(_) => return Ok(response(false)),
            }
            continue;
        }
        match stream.read(&mut buffer)? {
            0 => return Err(ErrorKind::UnexpectedEof.into()),
            read => text.push_str(&String::from_utf8_lossy(&buffer[..read])),
        }
    }
}

/// What callers saw in each second of a stop.
type Counts = BTreeMap<(u64, Outcome), usize>;

/// Keeps sending requests until the process has ended; returns what became of each, by identifier.
fn call_until_end(
    addr: SocketAddr,
    begun: Instant,
    name: &str,
    path: &str,
    keeps: bool,
) -> Vec<(String, Duration, Outcome)> {
    let (mut kept, mut seen) = (None, Vec::new());
    for number in 0.. {
        let (id, at) = (format!("{name}-{number}"), begun.elapsed());
        let outcome = ask(addr, &mut kept, path, &id);
        kept = kept.filter(|_| keeps);
        seen.push((id, at, outcome));
        if outcome == Outcome::Unconnected || at > WAIT_TIMEOUT {
            break;
        }
        thread::sleep(PAUSE);
    }
    seen
}

/// A target that works on each call for a while, and one that streams.
fn start_targets(cluster: &Cluster) -> [ScriptedTarget; 2] {
    let call = ScriptedTarget::start("i-desk", |head| match head.header("x-attempt-id") {
        Some("held") => Reply::Hang,
        _ => Reply::Steps(vec![Step::Silence(CALL_TIME), Step::Whole(200, "done")]),
    });
    let stream =
        start_target("i-pool", Reply::Stream { last: 3, pause: CALL_TIME / 10, cut_at: None });
    cluster.register(&call, "desk");
    cluster.register(&stream, "pool");
    [call, stream]
}

fn start(more: &str) -> Cluster {
    let mut cluster = Cluster::start(0);
    let endpoint = cluster.endpoint.clone();
    cluster.add_with(&endpoint, &[], more);
    cluster
}

/// Guards against requests that were taken late and cut at the end, also such as may run once.
#[rstest]
fn nobody_is_left_without_an_answer(#[values("1", "2", "2.5", "4", "8")] limit_s: &str) {
    let cluster = start(&format!("stop: {{limit_s: {limit_s}}}\n"));
    let targets = start_targets(&cluster);
    cluster.ready(0).knows_targets(0, targets.len());
    let addr = cluster.callers(0);
    // It outlasts the limit, so that the process runs until then.
    let mut outlasting = TcpStream::connect(addr).expect("connected");
    let held = head("/book/1", "held", KEY, "").replace("6000", "60000");
    outlasting.write_all(&[held.as_bytes(), b"question"].concat()).expect("sent");
    outlasting.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set");
    eventually("the target has it", || targets[0].requests().len() == 1);
    let begun = Instant::now();
    cluster.signal(0, "-TERM");
    let callers = [
        ("once-new", "/book/1", false),
        ("once-kept", "/book/1", true),
        ("often-new", "/look/1", false),
        ("often-kept", "/look/1", true),
        ("stream-new", "/chat/1", false),
        ("stream-kept", "/chat/1", true),
    ];
    let seen: Vec<(String, Duration, Outcome)> = thread::scope(|scope| {
        let call = |(name, path, keeps)| {
            scope.spawn(move || call_until_end(addr, begun, name, path, keeps))
        };
        let threads = callers.map(call);
        threads.into_iter().flat_map(|thread| thread.join().expect("no panic")).collect()
    });
    let ended = begun.elapsed();
    let mut counts = Counts::new();
    for (_, at, outcome) in &seen {
        *counts.entry((at.as_secs(), *outcome)).or_default() += 1;
    }
    let limit = Duration::from_secs_f64(limit_s.parse().expect("a number"));
    println!("limit {limit_s} s, ended after {ended:?}: {counts:?}");
    assert!(ended < limit + SCHEDULING, "{ended:?}");
    let ran: Vec<String> = targets
        .iter()
        .flat_map(ScriptedTarget::requests)
        .filter_map(|r| r.head.header("x-attempt-id").map(str::to_owned))
        .collect();
    for (id, at, outcome) in &seen {
        let context = || format!("{id} at {at:?}: {outcome:?}\n{}", cluster.log(0));
        match outcome {
            Outcome::Served => {}
            Outcome::Refused => assert!(!ran.contains(id), "it ran: {}", context()),
            // The process was gone.
            Outcome::Unconnected => {
                assert!(*at + Duration::from_millis(500) > ended, "{}", context());
            }
            Outcome::Unanswered => {
                // It crossed the end of the process and was not passed on.
                assert!(!ran.contains(id), "{}", context());
                assert!(*at + Duration::from_millis(500) > ended, "{}", context());
            }
            Outcome::Cut | Outcome::Failed => panic!("{}", context()),
        }
    }
    let served = counts.iter().filter(|((_, o), _)| *o == Outcome::Served).count();
    assert!(served > 0, "what can end in time is served");
    let mut rest = String::new();
    outlasting.read_to_string(&mut rest).expect("an answer");
    assert!(rest.starts_with("HTTP/1.1 502"), "{rest}");
    cluster.logged(0, &["gateway: stopped"]);
}

/// Sends the head and a part of the body before the stop, and the rest late.
#[test]
fn request_whose_body_comes_slowly_is_not_passed_on_too_late() {
    let cluster = start("stop: {limit_s: 3}\n");
    let targets = start_targets(&cluster);
    cluster.ready(0).knows_targets(0, targets.len());
    let mut caller = TcpStream::connect(cluster.callers(0)).expect("connected");
    let head = head("/book/1", "slow", KEY, "").replace("6000", "1500");
    caller.write_all(&[head.as_bytes(), b"ques"].concat()).expect("sent");
    thread::sleep(PAUSE);
    cluster.signal(0, "-TERM");
    thread::sleep(Duration::from_millis(1_500));
    caller.write_all(b"tion").expect("sent");
    let response = read(&mut caller).expect("an answer");
    assert_eq!(response.status, 503, "{}", response.head);
    assert!(response.head.contains("retry-after: 0."), "{}", response.head);
    assert!(targets[0].requests().is_empty());
}

/// A request in the queue is refused once the stop begins, not when it ends.
#[test]
fn request_in_the_queue_is_refused_at_once() {
    let cluster = start("stop: {limit_s: 4}\n");
    let one = ScriptedTarget::start("i-1", |_| Reply::Hang);
    // One slot, which is taken.
    let entry = one.registration("desk", "ready", 1, 1);
    let entry = String::from_utf8(entry).expect("text").replace("\"slots\":16", "\"slots\":1");
    cluster.store.set("servers/i-1", entry.as_bytes());
    cluster.ready(0).knows_targets(0, 1);
    let send = |id: &str| {
        let mut caller = TcpStream::connect(cluster.callers(0)).expect("connected");
        caller.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set");
        let head = head("/book/1", id, KEY, "");
        caller.write_all(&[head.as_bytes(), b"question"].concat()).expect("sent");
        caller
    };
    let mut first = send("first");
    eventually("the slot is taken", || one.requests().len() == 1);
    let mut waiting: Vec<TcpStream> = (0..20).map(|n| send(&format!("waits-{n}"))).collect();
    thread::sleep(PAUSE * 4);
    let before = one.requests().len();
    let begun = Instant::now();
    cluster.signal(0, "-TERM");
    let mut refused = 0;
    for caller in &mut waiting {
        let response = read(caller).expect("an answer");
        refused += usize::from(response.status == 503);
        assert!(response.status == 503 || begun.elapsed() > Duration::from_secs(3));
    }
    assert!(refused + before > 20, "{refused} refused, {before} passed on before");
    assert_eq!(one.requests().len(), before, "nothing is passed on any more");
    let status = read(&mut first).expect("an answer").status;
    assert_eq!(status, 502, "it may have run");
}

/// A run that fails within the stop is not repeated if the next one cannot end in it.
#[rstest]
#[case::too_late("6000", 1, 502)]
#[case::in_time("2500", 2, 200)]
fn repeat_begins_only_if_it_can_end(
    #[case] limit_ms: &str,
    #[case] sends: usize,
    #[case] status: u16,
) {
    let cluster = start("stop: {limit_s: 4}\n");
    let stopping = Arc::new(AtomicBool::new(false));
    let seen = Arc::clone(&stopping);
    let fails_in_the_stop = Hook::new(move |_| {
        let end = Instant::now() + WAIT_TIMEOUT;
        while !seen.load(Ordering::SeqCst) && Instant::now() < end {
            thread::sleep(Duration::from_millis(5));
        }
        false
    });
    let first = start_target("i-1", Reply::Steps(vec![Step::Run(fails_in_the_stop)]));
    cluster.register(&first, "desk");
    cluster.ready(0).knows_targets(0, 1);
    let mut caller = TcpStream::connect(cluster.callers(0)).expect("connected");
    let head = head("/look/1", "id-1", KEY, "").replace("6000", limit_ms);
    caller.write_all(&[head.as_bytes(), b"question"].concat()).expect("sent");
    eventually("the first target has it", || first.requests().len() == 1);
    let second = start_target("i-2", Reply::Complete(200, "done"));
    cluster.register(&second, "desk");
    cluster.knows_targets(0, 2);
    cluster.signal(0, "-TERM");
    cluster.logged(0, &["gateway: stopping"]);
    stopping.store(true, Ordering::SeqCst);
    let response = read(&mut caller).expect("an answer");
    assert_eq!(response.status, status, "{}\n{}", response.head, cluster.log(0));
    assert_eq!(first.requests().len() + second.requests().len(), sends);
}

/// Guards against streams that end with the process, without a word in the log.
#[test]
fn stream_that_cannot_end_is_cut_with_a_line() {
    let cluster = start("stop: {limit_s: 1.5}\n");
    let long = Reply::Stream { last: 1_000, pause: Duration::from_millis(50), cut_at: None };
    let target = start_target("i-1", long);
    cluster.register(&target, "pool");
    cluster.ready(0).knows_targets(0, 1);
    let mut caller = TcpStream::connect(cluster.callers(0)).expect("connected");
    let head = head("/chat/1", "long", KEY, PROMPT);
    caller.write_all(&[head.as_bytes(), b"question"].concat()).expect("sent");
    eventually("the stream has begun", || target.requests().len() == 1);
    cluster.signal(0, "-TERM");
    let response = read(&mut caller).expect("an answer");
    assert!(response.status == 200 && !response.whole, "{}", response.head);
    cluster.logged(0, &["request: cut, the instance is stopping", "id=long"]);
    cluster.logged(0, &["gateway: stopped"]);
}

/// Guards against streams that are taken after the notice, and cut since their engine reads a
/// prompt of another instance between their events.
#[rstest]
#[case::may_run_once(false, "3000", 503)]
#[case::repeatable(true, "3000", 503)]
#[case::ends_by_its_limit(false, "1000", 200)]
fn stream_is_taken_late_only_if_its_limit_is_in_the_grace(
    #[case] resumable: bool,
    #[case] limit_ms: &str,
    #[case] status: u16,
) {
    let cluster = start("stop: {limit_s: 4}\n");
    let mut config = config(4, &[KEY], &["chat", "book"]);
    config["routes"][0]["resumable"] = resumable.into();
    cluster.configure(&config);
    // The prompt of the other instance takes most of a slow stream.
    let slow = Duration::from_millis(800);
    let pauses = [PAUSE, slow].map(|pause| Reply::Stream { last: 3, pause, cut_at: None });
    let reply = pauses[usize::from(status == 503)].clone();
    let stream = start_target("i-pool", reply);
    let desk = start_target("i-desk", Reply::Complete(200, "done"));
    cluster.register(&stream, "pool");
    cluster.register(&desk, "desk");
    cluster.ready(0).knows_targets(0, 2);
    cluster.logged(0, &["config: ", "version=4"]);
    let mut caller = TcpStream::connect(cluster.callers(0)).expect("connected");
    caller.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set");
    let mut send = |path: &str, id: &str, limit_ms: &str| {
        let head = head(path, id, KEY, PROMPT).replace("6000", limit_ms);
        caller.write_all(&[head.as_bytes(), b"question"].concat()).expect("sent");
        read(&mut caller).expect("an answer")
    };
    assert_eq!(send("/book/1", "first", "1000").status, 200);
    cluster.signal(0, "-TERM");
    cluster.logged(0, &["gateway: stopping"]);
    // The notice takes half of the grace; the connection is open for longer.
    thread::sleep(Duration::from_millis(2_200));
    let response = send("/chat/1", "late", limit_ms);
    let context = format!("{}\n{}", response.head, cluster.log(0));
    assert_eq!((response.status, response.whole), (status, true), "{context}");
    assert_eq!(stream.requests().len(), usize::from(status == 200), "{context}");
    if status == 503 {
        assert!(response.head.contains("retry-after: 0."), "{context}");
    }
}
