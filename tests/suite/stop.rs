//! A planned stop cuts no request.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use mimosapass_standin::engine::{Faults, Settings};
use mimosapass_standin::service;
use rstest::rstest;

use crate::common::{CONFIG, Fleet, Instance, PATIENCE, agent, chat, post, until};

fn open_stream(fleet: &Fleet) -> impl Iterator<Item = String> + use<> {
    let engine = &fleet.engines[0].1;
    engine.set(Faults { hold_from: Some(1), ..Faults::default() });
    let url = fleet.instances[0].url("/v1/chat/completions");
    let request = agent().post(&url).header("mimosapass-workspace", "atlas");
    let response = request.send(chat(100, 4, true)).expect("an answer");
    let mut lines = BufReader::new(response.into_body().into_reader()).lines();
    assert!(lines.next().expect("a line").expect("readable").contains("t0 "));
    lines.map_while(Result::ok)
}

/// Sends the signal and waits until the instance says that it is stopping.
fn terminate(instance: &Instance) {
    instance.signal("TERM");
    until("the instance is not ready", || !instance.ready());
}

fn ends_well(fleet: &mut Fleet, at: usize) {
    let ended = fleet.instances[at].child.wait().expect("it ends");
    assert!(ended.success());
}

#[test]
fn an_open_stream_outlives_the_signal() {
    let mut fleet = Fleet::one("stop: {notice_ms: 100}\n");
    let lines = open_stream(&fleet);
    terminate(&fleet.instances[0]);
    fleet.engines[0].1.set(Faults::default());
    let rest: Vec<String> = lines.collect();
    assert!(rest.iter().any(|l| l == "data: [DONE]"), "{rest:?}");
    ends_well(&mut fleet, 0);
}

/// Moment of a request's life at which the signal comes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Moment {
    Connected,
    HeadHalfSent,
    BodyHalfSent,
    BeforeFirstToken,
    AtTheService,
    Kept,
}

fn bytes(path: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nhost: fleet\r\nmimosapass-workspace: atlas\r\n\
         content-length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

/// Reads one answer with a stated length; returns its head and body.
fn answer(stream: &mut BufReader<TcpStream>) -> (String, String) {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        assert!(stream.read_line(&mut head).expect("readable") > 0, "cut after {head:?}");
    }
    let length = head.lines().find_map(|l| l.strip_prefix("content-length: "));
    let mut body = vec![0; length.and_then(|l| l.parse().ok()).unwrap_or(0)];
    stream.read_exact(&mut body).expect("a whole body");
    (head, String::from_utf8(body).expect("text"))
}

#[rstest]
#[case::connected(Moment::Connected)]
#[case::head_half_sent(Moment::HeadHalfSent)]
#[case::body_half_sent(Moment::BodyHalfSent)]
#[case::before_the_first_token(Moment::BeforeFirstToken)]
#[case::at_the_service(Moment::AtTheService)]
#[case::between_requests_on_a_kept_connection(Moment::Kept)]
fn a_request_is_answered_whole_when_the_signal_comes(#[case] moment: Moment) {
    let mut fleet = Fleet::one("stop: {notice_ms: 1000}\n");
    let service = moment == Moment::AtTheService;
    let path = if service { "/services/lookups/vans" } else { "/v1/chat/completions" };
    let sent = bytes(path, &chat(100, 3, false));
    let stream = TcpStream::connect(fleet.instances[0].callers()).expect("connects");
    stream.set_read_timeout(Some(PATIENCE)).expect("set");
    let mut stream = BufReader::new(stream);
    if moment == Moment::Kept {
        stream.get_mut().write_all(&sent).expect("sent");
        let (head, _) = answer(&mut stream);
        assert!(!head.contains("connection: close"), "{head}");
    }
    let first = match moment {
        Moment::Connected | Moment::Kept => 0,
        Moment::HeadHalfSent => 30,
        Moment::BodyHalfSent => sent.len() / 2,
        Moment::BeforeFirstToken | Moment::AtTheService => sent.len(),
    };
    let hold = first == sent.len();
    fleet.engines[0].1.set(Faults { hold_from: hold.then_some(0), ..Faults::default() });
    fleet.desk.set(service::Faults { hold, ..service::Faults::default() });
    stream.get_mut().write_all(&sent[..first]).expect("sent");
    let runs = |fleet: &Fleet| fleet.engines[0].1.runs() as usize + fleet.desk.runs().len();
    until("it has come so far", || !hold || runs(&fleet) > 0);
    terminate(&fleet.instances[0]);
    stream.get_mut().write_all(&sent[first..]).expect("sent");
    if hold {
        thread::sleep(Duration::from_millis(500));
        fleet.engines[0].1.set(Faults::default());
        fleet.desk.set(service::Faults::default());
    }
    let (head, body) = answer(&mut stream);
    assert!(head.starts_with("HTTP/1.1 200 "), "{head}{body}");
    // What the engine had already begun could not be told to close.
    assert!(hold || head.contains("connection: close"), "{head}");
    ends_well(&mut fleet, 0);
}

#[test]
fn an_idle_kept_connection_does_not_hold_the_stop_up() {
    let mut fleet = Fleet::one("stop: {notice_ms: 100}\n");
    let stream = TcpStream::connect(fleet.instances[0].callers()).expect("connects");
    stream.set_read_timeout(Some(PATIENCE)).expect("set");
    terminate(&fleet.instances[0]);
    // It is closed in order, without an answer, and not reset.
    assert_eq!(BufReader::new(stream).read_to_string(&mut String::new()).expect("closed"), 0);
    ends_well(&mut fleet, 0);
}

/// What cuts a planned stop short.
#[rstest]
#[case::a_second_signal("stop: {notice_ms: 100}\n", true)]
#[case::a_second_signal_during_the_notice("stop: {notice_ms: 20000}\n", true)]
#[case::the_limit("stop: {notice_ms: 100, limit_ms: 1500}\n", false)]
fn a_stop_that_is_cut_short_ends_requests_with_true_failures(
    #[case] extra: &str,
    #[case] signal: bool,
) {
    let mut fleet = Fleet::one(extra);
    let lines = open_stream(&fleet);
    fleet.desk.set(service::Faults { hold: true, ..service::Faults::default() });
    let asked = |path: &str, body: String, headers: &'static [(&str, &str)]| {
        let url = fleet.instances[0].url(path);
        thread::spawn(move || post(&url, headers, &body).expect("an answer"))
    };
    let whole = asked("/v1/chat/completions", chat(100, 3, false), &[]);
    let booking = asked("/services/bookings/vans", "a".to_owned(), &[("idempotency-key", "b")]);
    let mut half = TcpStream::connect(fleet.instances[0].callers()).expect("connects");
    half.set_read_timeout(Some(PATIENCE)).expect("set");
    half.write_all(&bytes("/v1/chat/completions", &chat(100, 3, false))[..80]).expect("sent");
    until("all have come", || fleet.engines[0].1.runs() == 2 && fleet.desk.runs().len() == 1);
    terminate(&fleet.instances[0]);
    if signal {
        fleet.instances[0].signal("TERM");
    }
    let rest: Vec<String> = lines.collect();
    assert!(rest.iter().any(|l| l.contains("\"error\"")), "{rest:?}");
    assert!(!rest.iter().any(|l| l == "data: [DONE]"), "{rest:?}");
    for answer in [whole, booking] {
        let seen = answer.join().expect("an answer");
        assert_eq!((seen.status, seen.not_run), (502, false), "{seen:?}");
        assert!(seen.body.is_ok(), "{seen:?}");
    }
    let (head, body) = answer(&mut BufReader::new(half));
    assert!(head.starts_with("HTTP/1.1 503 ") && head.contains("not-run: true"), "{head}{body}");
    ends_well(&mut fleet, 0);
    let engine = &fleet.engines[0].1;
    until("the engine holds nothing", || engine.held().is_empty());
}

/// A balancer that sends to instances which were ready a moment ago.
struct Balancer {
    ready: Arc<Mutex<Vec<String>>>,
    done: Arc<AtomicBool>,
    answered: Arc<AtomicUsize>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Balancer {
    fn start(urls: &[String], clients: usize) -> Self {
        let ready = Arc::new(Mutex::new(urls.to_vec()));
        let done = Arc::new(AtomicBool::new(false));
        let answered = Arc::new(AtomicUsize::new(0));
        let client = |at: usize| {
            let (ready, done) = (Arc::clone(&ready), Arc::clone(&done));
            let answered = Arc::clone(&answered);
            thread::spawn(move || send(at, &ready, &done, &answered))
        };
        let threads = (0..clients).map(client).collect();
        Self { ready, done, answered, threads }
    }

    fn end(self) -> usize {
        self.done.store(true, Ordering::SeqCst);
        for thread in self.threads {
            thread.join().expect("no request failed");
        }
        self.answered.load(Ordering::SeqCst)
    }
}

/// Sends one request after the other on kept connections; each must succeed.
fn send(at: usize, ready: &Mutex<Vec<String>>, done: &AtomicBool, answered: &AtomicUsize) {
    let agent = agent();
    let mut turn = at;
    while !done.load(Ordering::SeqCst) {
        turn += 1;
        let urls = ready.lock().expect("not poisoned").clone();
        let url = &urls[turn % urls.len()];
        let (path, body) = match turn % 3 {
            0 => ("/services/lookups/vans", "which".to_owned()),
            n => ("/v1/chat/completions", chat(50, 3, n == 1)),
        };
        let request = agent.post(format!("{url}{path}")).header("mimosapass-workspace", "atlas");
        let mut response = request.send(body).expect("an answer");
        let body = response.body_mut().read_to_string().expect("a whole body");
        assert_eq!(response.status(), 200, "{body}");
        assert!(turn % 3 != 1 || body.contains("data: [DONE]"), "{body}");
        answered.fetch_add(1, Ordering::SeqCst);
    }
}

#[test]
fn a_rolling_replacement_under_load_cuts_and_refuses_nothing() {
    let mut fleet = Fleet::new(&[("zone-a", Settings::default()), ("zone-a", Settings::default())]);
    fleet.apply(CONFIG);
    let extra = "stop: {notice_ms: 500}\n";
    for _ in 0..3 {
        fleet.start("zone-a", extra);
    }
    fleet.settle();
    let urls: Vec<String> = fleet.instances.iter().map(|i| i.url("")).collect();
    let balancer = Balancer::start(&urls, 8);
    for old in 0..3 {
        let new = fleet.start("zone-a", extra);
        fleet.settle_one(new);
        fleet.instances[old].signal("TERM");
        until("the balancer sees it", || !fleet.instances[old].ready());
        let urls = (old + 1..=new).map(|at| fleet.instances[at].url("")).collect();
        *balancer.ready.lock().expect("not poisoned") = urls;
        ends_well(&mut fleet, old);
    }
    let answered = balancer.end();
    assert!(answered > 100, "{answered}");
}
