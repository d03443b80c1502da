//! A graceful shutdown completes all requests.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use mimosapass_standin::engine::{Faults, Settings};
use mimosapass_standin::service;
use rstest::rstest;

use crate::common::{CONFIG, Fleet, Instance, WAIT_TIMEOUT, agent, chat_body, post, wait_until};

fn open_stream(fleet: &Fleet) -> impl Iterator<Item = String> + use<> {
    let engine = &fleet.engines[0].1;
    engine.set(Faults { hold_from: Some(1), ..Faults::default() });
    let url = fleet.instances[0].url("/v1/chat/completions");
    let request = agent().post(&url).header("mimosapass-workspace", "atlas");
    let response = request.send(chat_body(100, 4, true)).expect("an answer");
    let mut lines = BufReader::new(response.into_body().into_reader()).lines();
    assert!(lines.next().expect("a line").expect("readable").contains("t0 "));
    lines.map_while(Result::ok)
}

/// Sends SIGTERM and waits until the instance is no longer ready.
fn terminate(instance: &Instance) {
    instance.signal("TERM");
    wait_until("the instance is not ready", || !instance.is_ready());
}

fn assert_exit_success(fleet: &mut Fleet, at: usize) {
    let status = fleet.instances[at].child.wait().expect("the process exits");
    assert!(status.success());
}

#[test]
fn an_open_stream_completes_after_the_signal() {
    let mut fleet = Fleet::single("stop: {notice_ms: 100}\n");
    let lines = open_stream(&fleet);
    terminate(&fleet.instances[0]);
    fleet.engines[0].1.set(Faults::default());
    let rest: Vec<String> = lines.collect();
    assert!(rest.iter().any(|l| l == "data: [DONE]"), "{rest:?}");
    assert_exit_success(&mut fleet, 0);
}

/// State of a connection when the signal arrives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Moment {
    Connected,
    HeadHalfSent,
    BodyHalfSent,
    BeforeFirstToken,
    AtTheService,
    KeptAlive,
}

fn request_bytes(path: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nhost: fleet\r\nmimosapass-workspace: atlas\r\n\
         content-length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

/// Reads one response with a `content-length`; returns its head and body.
fn read_response(stream: &mut BufReader<TcpStream>) -> (String, String) {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        assert!(stream.read_line(&mut head).expect("readable") > 0, "closed after {head:?}");
    }
    let length = head.lines().find_map(|l| l.strip_prefix("content-length: "));
    let mut body = vec![0; length.and_then(|l| l.parse().ok()).unwrap_or(0)];
    stream.read_exact(&mut body).expect("a complete body");
    (head, String::from_utf8(body).expect("text"))
}

#[rstest]
#[case::connected(Moment::Connected)]
#[case::head_half_sent(Moment::HeadHalfSent)]
#[case::body_half_sent(Moment::BodyHalfSent)]
#[case::before_the_first_token(Moment::BeforeFirstToken)]
#[case::at_the_service(Moment::AtTheService)]
#[case::between_requests_on_a_kept_alive_connection(Moment::KeptAlive)]
fn a_request_gets_a_complete_response_after_the_signal(#[case] moment: Moment) {
    let mut fleet = Fleet::single("stop: {notice_ms: 1000}\n");
    let service = moment == Moment::AtTheService;
    let path = if service { "/services/lookups/vans" } else { "/v1/chat/completions" };
    let request = request_bytes(path, &chat_body(100, 3, false));
    let stream = TcpStream::connect(fleet.instances[0].caller_addr()).expect("connects");
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set");
    let mut stream = BufReader::new(stream);
    if moment == Moment::KeptAlive {
        stream.get_mut().write_all(&request).expect("sent");
        let (head, _) = read_response(&mut stream);
        assert!(!head.contains("connection: close"), "{head}");
    }
    let sent_before = match moment {
        Moment::Connected | Moment::KeptAlive => 0,
        Moment::HeadHalfSent => 30,
        Moment::BodyHalfSent => request.len() / 2,
        Moment::BeforeFirstToken | Moment::AtTheService => request.len(),
    };
    let hold = sent_before == request.len();
    fleet.engines[0].1.set(Faults { hold_from: hold.then_some(0), ..Faults::default() });
    fleet.service.set(service::Faults { hold, ..service::Faults::default() });
    stream.get_mut().write_all(&request[..sent_before]).expect("sent");
    let runs = |fleet: &Fleet| fleet.engines[0].1.runs() as usize + fleet.service.runs().len();
    wait_until("the target has received the request", || !hold || runs(&fleet) > 0);
    terminate(&fleet.instances[0]);
    stream.get_mut().write_all(&request[sent_before..]).expect("sent");
    if hold {
        thread::sleep(Duration::from_millis(500));
        fleet.engines[0].1.set(Faults::default());
        fleet.service.set(service::Faults::default());
    }
    let (head, body) = read_response(&mut stream);
    assert!(head.starts_with("HTTP/1.1 200 "), "{head}{body}");
    // A request that was in progress at the signal may lack the header.
    assert!(hold || head.contains("connection: close"), "{head}");
    assert_exit_success(&mut fleet, 0);
}

#[test]
fn an_idle_connection_does_not_delay_the_shutdown() {
    let mut fleet = Fleet::single("stop: {notice_ms: 100}\n");
    let stream = TcpStream::connect(fleet.instances[0].caller_addr()).expect("connects");
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set");
    terminate(&fleet.instances[0]);
    // It is closed without a response and is not reset.
    assert_eq!(BufReader::new(stream).read_to_string(&mut String::new()).expect("closed"), 0);
    assert_exit_success(&mut fleet, 0);
}

#[rstest]
#[case::a_second_signal("stop: {notice_ms: 100}\n", true)]
#[case::a_second_signal_during_the_notice("stop: {notice_ms: 20000}\n", true)]
#[case::the_limit("stop: {notice_ms: 100, limit_ms: 1500}\n", false)]
fn an_aborted_shutdown_fails_requests_with_error_responses(
    #[case] extra: &str,
    #[case] signal: bool,
) {
    let mut fleet = Fleet::single(extra);
    let lines = open_stream(&fleet);
    fleet.service.set(service::Faults { hold: true, ..service::Faults::default() });
    let send = |path: &str, body: String, headers: &'static [(&str, &str)]| {
        let url = fleet.instances[0].url(path);
        thread::spawn(move || post(&url, headers, &body).expect("an answer"))
    };
    let completion = send("/v1/chat/completions", chat_body(100, 3, false), &[]);
    let booking = send("/services/bookings/vans", "a".to_owned(), &[("idempotency-key", "b")]);
    let mut partial = TcpStream::connect(fleet.instances[0].caller_addr()).expect("connects");
    partial.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set");
    partial
        .write_all(&request_bytes("/v1/chat/completions", &chat_body(100, 3, false))[..80])
        .expect("sent");
    wait_until("all targets have received their requests", || {
        fleet.engines[0].1.runs() == 2 && fleet.service.runs().len() == 1
    });
    terminate(&fleet.instances[0]);
    if signal {
        fleet.instances[0].signal("TERM");
    }
    let rest: Vec<String> = lines.collect();
    assert!(rest.iter().any(|l| l.contains("\"error\"")), "{rest:?}");
    assert!(!rest.iter().any(|l| l == "data: [DONE]"), "{rest:?}");
    for request in [completion, booking] {
        let seen = request.join().expect("an answer");
        assert_eq!((seen.status, seen.not_run), (502, false), "{seen:?}");
        assert!(seen.body.is_ok(), "{seen:?}");
    }
    let (head, body) = read_response(&mut BufReader::new(partial));
    assert!(head.starts_with("HTTP/1.1 503 ") && head.contains("not-run: true"), "{head}{body}");
    assert_exit_success(&mut fleet, 0);
    let engine = &fleet.engines[0].1;
    wait_until("the engine holds nothing", || engine.held().is_empty());
}

/// A load balancer whose view of ready instances lags slightly.
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
            thread::spawn(move || send_requests(at, &ready, &done, &answered))
        };
        let threads = (0..clients).map(client).collect();
        Self { ready, done, answered, threads }
    }

    fn stop(self) -> usize {
        self.done.store(true, Ordering::SeqCst);
        for thread in self.threads {
            thread.join().expect("no request failed");
        }
        self.answered.load(Ordering::SeqCst)
    }
}

/// Sends requests in sequence on keep-alive connections; each must succeed.
fn send_requests(at: usize, ready: &Mutex<Vec<String>>, done: &AtomicBool, answered: &AtomicUsize) {
    let agent = agent();
    let mut count = at;
    while !done.load(Ordering::SeqCst) {
        count += 1;
        let urls = ready.lock().expect("not poisoned").clone();
        let url = &urls[count % urls.len()];
        let (path, body) = match count % 3 {
            0 => ("/services/lookups/vans", "which".to_owned()),
            n => ("/v1/chat/completions", chat_body(50, 3, n == 1)),
        };
        let request = agent.post(format!("{url}{path}")).header("mimosapass-workspace", "atlas");
        let mut response = request.send(body).expect("an answer");
        let body = response.body_mut().read_to_string().expect("a complete body");
        assert_eq!(response.status(), 200, "{body}");
        assert!(count % 3 != 1 || body.contains("data: [DONE]"), "{body}");
        answered.fetch_add(1, Ordering::SeqCst);
    }
}

#[test]
fn a_rolling_replacement_under_load_fails_no_request() {
    let mut fleet = Fleet::new(&[("zone-a", Settings::default()), ("zone-a", Settings::default())]);
    fleet.apply(CONFIG);
    let extra = "stop: {notice_ms: 500}\n";
    for _ in 0..3 {
        fleet.start("zone-a", extra);
    }
    fleet.wait_ready();
    let urls: Vec<String> = fleet.instances.iter().map(|i| i.url("")).collect();
    let balancer = Balancer::start(&urls, 8);
    for old in 0..3 {
        let new = fleet.start("zone-a", extra);
        fleet.wait_instance_ready(new);
        fleet.instances[old].signal("TERM");
        wait_until("the balancer sees that it is not ready", || !fleet.instances[old].is_ready());
        let urls = (old + 1..=new).map(|at| fleet.instances[at].url("")).collect();
        *balancer.ready.lock().expect("not poisoned") = urls;
        assert_exit_success(&mut fleet, old);
    }
    let answered = balancer.stop();
    assert!(answered > 100, "{answered}");
}
