//! Refusals that belong to no request, or to an earlier one, on a connection to a target.
//!
//! The target runs each request that it gets, so that "not run" is never true of it.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use rstest::rstest;
use serde_json::json;

use super::Cluster;
use crate::common::unique_ip;

/// Statuses that promise that a request has not run.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];
/// A refusal without the identifier of a request.
const REFUSAL: &str = "HTTP/1.1 503 No\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n";
/// As [`REFUSAL`], with a body.
const LONG_REFUSAL: &str =
    "HTTP/1.1 429 No\r\nx-not-executed: 1\r\nretry-after: 1\r\ncontent-length: 4\r\n\r\nbusy";
/// A refusal by another target at the address.
const MISDIRECTED: &str = "HTTP/1.1 421 No\r\ncontent-length: 0\r\n\r\n";
/// A refusal of an earlier request.
const EARLIER: &str = "HTTP/1.1 503 No\r\nx-not-executed: 1\r\nx-attempt-id: earlier\r\n\
                       content-length: 0\r\n\r\n";

/// When the target writes the refusal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Moment {
    /// When it has accepted a connection.
    Accept,
    /// With each answer but the first one of a connection, before it.
    Before,
    /// The same, some time before it.
    LongBefore,
    /// With each answer, after it.
    After,
    /// Some time after each answer.
    LongAfter,
}

/// A target that writes refusals which belong to no request.
struct Target {
    runs: Arc<AtomicUsize>,
}

impl Target {
    /// Starts a target and registers it for a service.
    fn start(
        cluster: &Cluster,
        id: &str,
        service: &str,
        refusal: &'static str,
        at: Moment,
    ) -> Self {
        let listener = TcpListener::bind((unique_ip(), 0)).expect("a port");
        let address = listener.local_addr().expect("an address").to_string();
        let runs = Arc::new(AtomicUsize::new(0));
        let (counter, own) = (Arc::clone(&runs), id.to_owned());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (counter, own) = (Arc::clone(&counter), own.clone());
                thread::spawn(move || serve(&stream, refusal, at, &counter, &own));
            }
        });
        let entry = json!({
            "service": service, "address": address, "zone": "a", "version": "v1", "slots": 8,
            "state": "ready", "cold_left_ms": 0, "seq": 1, "born": 1,
        });
        cluster.store.set(&format!("servers/{id}"), entry.to_string().as_bytes());
        Self { runs }
    }

    fn runs(&self) -> usize {
        self.runs.load(Ordering::SeqCst)
    }
}

/// Serves the requests of a connection.
fn serve(stream: &TcpStream, refusal: &str, at: Moment, runs: &AtomicUsize, own: &str) {
    let (mut input, output) = (stream, Mutex::new(stream));
    let write = |text: &str| drop(output.lock().expect("a lock").write_all(text.as_bytes()));
    if at == Moment::Accept {
        write(refusal);
    }
    let (mut received, mut answered) = (Vec::new(), 0);
    let mut buffer = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&received).into_owned();
        // Each request has a body of eight bytes.
        let Some(end) = text.find("\r\n\r\n").filter(|end| text.len() >= end + 12) else {
            match input.read(&mut buffer) {
                Ok(0) | Err(_) => return,
                Ok(read) => received.extend_from_slice(&buffer[..read]),
            }
            continue;
        };
        received.drain(..end + 12);
        runs.fetch_add(1, Ordering::SeqCst);
        let id = text.lines().find_map(|l| l.strip_prefix("x-attempt-id: ")).unwrap_or_default();
        if answered > 0 && matches!(at, Moment::Before | Moment::LongBefore) {
            write(refusal);
            if at == Moment::LongBefore {
                thread::sleep(Duration::from_millis(50));
            }
        }
        let answer = format!(
            "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-server-seal: {own}\r\n\
             content-length: 3\r\n\r\nyes"
        );
        match at {
            Moment::After => write(&format!("{answer}{refusal}")),
            _ => write(&answer),
        }
        answered += 1;
        if at == Moment::LongAfter {
            thread::sleep(Duration::from_millis(20));
            write(refusal);
        }
    }
}

fn cluster() -> Cluster {
    let mut cluster = Cluster::start(0);
    let endpoint = cluster.endpoint.clone();
    let many = "repeats: {first_start: true, ratio: 1, slack: 500, window_ms: 10000}\n";
    cluster.add_with(&endpoint, &[], many);
    cluster
}

/// Guards against callers that are told "not run" of requests which the only target has run.
#[rstest]
fn refusal_that_belongs_to_no_request_is_not_told(
    #[values("/look/1", "/book/1")] path: &str,
    #[values(REFUSAL, LONG_REFUSAL, MISDIRECTED, EARLIER)] refusal: &'static str,
    #[values(Moment::Accept, Moment::Before, Moment::LongBefore, Moment::After, Moment::LongAfter)]
    moment: Moment,
) {
    let cluster = cluster();
    let target = Target::start(&cluster, "i-0", "desk", refusal, moment);
    cluster.ready(0);
    cluster.knows_targets(0, 1);
    for number in 0..6 {
        let before = target.runs();
        let answer = cluster.ask(0, path, &format!("id-{number}"));
        thread::sleep(Duration::from_millis(30));
        let promised = NOT_RUN.contains(&answer.response.status);
        let ran = target.runs() > before;
        assert!(!(promised && ran), "request {number}: {answer:?}\n{}", cluster.log(0));
        if !matches!(moment, Moment::Accept) && refusal == EARLIER {
            assert_eq!(answer.response.status, 200, "request {number}: {answer:?}");
        }
    }
}

/// Guards against a request that runs at a second target, since the first one seemed to refuse it.
#[rstest]
fn request_that_runs_once_is_not_sent_to_a_second_target(
    #[values(REFUSAL, LONG_REFUSAL, MISDIRECTED, EARLIER)] refusal: &'static str,
    #[values(Moment::Accept, Moment::After, Moment::LongAfter)] moment: Moment,
) {
    let cluster = cluster();
    let targets: Vec<Target> = (0..3)
        .map(|n| Target::start(&cluster, &format!("i-{n}"), "desk", refusal, moment))
        .collect();
    cluster.ready(0);
    cluster.knows_targets(0, 3);
    for number in 0..6 {
        let runs = || targets.iter().map(Target::runs).sum::<usize>();
        let before = runs();
        cluster.ask(0, "/book/1", &format!("id-{number}"));
        thread::sleep(Duration::from_millis(30));
        assert!(runs() - before <= 1, "request {number}: {}", cluster.log(0));
    }
}
