//! Measures what callers observe during each fault, with real processes.
//!
//! `cargo bench --bench faults [PART OF A NAME]` starts one fleet for each fault:
//! three zones with two instances each, six stand-in engines and one service.
//! Chats and bookings are sent at a constant rate. The fault is injected after two
//! seconds and cleared four seconds later. Each booking without a complete answer
//! is retried once through another instance with the same identifier.

#[expect(dead_code, reason = "the benchmark uses only some of the helpers")]
#[path = "../tests/suite/common.rs"]
mod common;

use std::io::ErrorKind;
use std::sync::mpsc::{Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use common::{CONFIG, Fleet, Response, chat_body, post};
use mimosapass_standin::{engine, platform, service};

/// Time at which the fault is injected, after the start.
const INJECT_AT: Duration = Duration::from_secs(2);
/// Time at which the fault is cleared.
const CLEAR_AT: Duration = Duration::from_secs(6);
/// Time over which requests are sent.
const SEND_FOR: Duration = Duration::from_secs(12);
/// Time between two chats, and between two bookings.
const SEND_INTERVAL: Duration = Duration::from_millis(50);
/// Longest wait for engines to free all memory after the last answer.
const FREE_TIMEOUT: Duration = Duration::from_secs(90);
/// Value of the deadline header.
const DEADLINE_MS: &str = "5000";
/// Time after its deadline by which a request must be answered.
const DEADLINE_MARGIN: Duration = Duration::from_secs(1);
/// Tokens of the answer to a chat.
const ANSWER_TOKENS: u32 = 20;

/// Outcome of a request as its caller observes it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Outcome {
    /// The complete and correct answer.
    Complete,
    /// An error status, or an answer that is visibly cut off.
    Failed,
    /// An error that states that no target ran the request.
    Refused,
    /// No answer because the connection failed.
    NoAnswer,
    /// An answer that looks complete and has the wrong content.
    Wrong,
}

/// Timing and outcome of one request.
#[derive(Clone, Copy, Debug)]
struct Sample {
    sent: Instant,
    duration: Duration,
    outcome: Outcome,
}

/// A fault: how it is injected and how it is cleared.
struct Case {
    name: &'static str,
    inject: fn(&mut Fleet),
    clear: fn(&mut Fleet),
}

const CASES: [Case; 13] = [
    Case { name: "calm", inject: |_| {}, clear: |_| {} },
    Case {
        name: "one engine frozen",
        inject: |f| f.engines[0].1.set(engine::Faults { frozen: true, ..Default::default() }),
        clear: clear_engine,
    },
    Case {
        name: "one engine cuts each stream",
        inject: |f| f.engines[0].1.set(engine::Faults { cut_after: Some(5), ..Default::default() }),
        clear: clear_engine,
    },
    Case {
        name: "one engine crosses answers",
        inject: |f| f.engines[0].1.set(engine::Faults { crossed: true, ..Default::default() }),
        clear: clear_engine,
    },
    Case {
        name: "one engine leaves",
        inject: |f| f.engines[0].1.set(engine::Faults { leaving: true, ..Default::default() }),
        clear: clear_engine,
    },
    Case {
        name: "one engine restarts and loses all",
        inject: |f| f.engines[0].1.restart(),
        clear: |_| {},
    },
    Case {
        name: "one instance killed",
        inject: |f| f.instances[0].signal("KILL"),
        clear: replace_instance,
    },
    Case {
        name: "one instance stopped as planned",
        inject: |f| f.instances[0].signal("TERM"),
        clear: replace_instance,
    },
    Case {
        name: "one instance paused",
        inject: |f| f.instances[0].signal("STOP"),
        clear: |f| f.instances[0].signal("CONT"),
    },
    Case {
        name: "key-value service out",
        inject: |f| f.platform.set(platform::Faults { outage: true, ..Default::default() }),
        clear: clear_platform,
    },
    Case {
        name: "key-value service takes 300 ms a call",
        inject: |f| f.platform.set(platform::Faults { delay_ms: 300, ..Default::default() }),
        clear: clear_platform,
    },
    Case {
        name: "key-value service loses 40 answers",
        inject: |f| f.platform.set(platform::Faults { lose_writes: 40, ..Default::default() }),
        clear: clear_platform,
    },
    Case {
        name: "service runs and does not answer",
        inject: |f| f.service.set(service::Faults { lose_answer: true, ..Default::default() }),
        clear: |f| f.service.set(service::Faults::default()),
    },
];

fn clear_engine(fleet: &mut Fleet) {
    fleet.engines[0].1.set(engine::Faults::default());
}

fn clear_platform(fleet: &mut Fleet) {
    fleet.platform.set(platform::Faults::default());
}

/// Starts an instance in the zone of the first one, which has stopped.
fn replace_instance(fleet: &mut Fleet) {
    let zone = fleet.instances[0].zone.clone();
    fleet.start(&zone, "");
}

fn main() {
    let filter = std::env::args().skip(1).find(|a| !a.starts_with("--")).unwrap_or_default();
    println!(
        "| fault | sent | whole | failed | refused | gone | wrong | over time | doubled | lost | \
         recovered after | memory back after |\n|---|---|---|---|---|---|---|---|---|---|---|---|"
    );
    for case in CASES.iter().filter(|c| c.name.contains(&filter)) {
        run(case);
    }
}

fn run(case: &Case) {
    let mut fleet = start_fleet();
    let urls: Vec<String> = fleet.instances.iter().map(|i| i.url("")).collect();
    let (sender, samples) = channel();
    let start = Instant::now();
    thread::scope(|scope| {
        let (chats, bookings) = (sender.clone(), sender);
        let urls = &urls;
        scope.spawn(move || send_all(urls, start, &chats, send_chat));
        scope.spawn(move || send_all(urls, start, &bookings, send_booking));
        thread::sleep(INJECT_AT);
        (case.inject)(&mut fleet);
        thread::sleep((start + CLEAR_AT).saturating_duration_since(Instant::now()));
        (case.clear)(&mut fleet);
    });
    report(case, &fleet, &samples.iter().collect::<Vec<_>>(), start);
}

fn start_fleet() -> Fleet {
    let settings =
        engine::Settings { token_interval: Duration::from_millis(20), ..Default::default() };
    let zones = ["zone-a", "zone-a", "zone-b", "zone-b", "zone-c", "zone-c"];
    let mut fleet = Fleet::new(&zones.map(|zone| (zone, settings.clone())));
    fleet.apply(CONFIG);
    for zone in zones {
        fleet.start(zone, "stop: {notice_ms: 1000}\n");
    }
    fleet.wait_ready();
    fleet
}

/// Sends requests at a constant rate, each from its own thread.
fn send_all(
    urls: &[String],
    start: Instant,
    samples: &Sender<Sample>,
    request: fn(&[String], usize) -> Outcome,
) {
    thread::scope(|scope| {
        let count = (SEND_FOR.as_millis() / SEND_INTERVAL.as_millis()) as usize;
        for i in 0..count {
            let due = start + SEND_INTERVAL * i as u32;
            thread::sleep(due.saturating_duration_since(Instant::now()));
            let samples = samples.clone();
            scope.spawn(move || {
                let sent = Instant::now();
                let outcome = request(urls, i);
                let sample = Sample { sent, duration: sent.elapsed(), outcome };
                samples.send(sample).unwrap_or_default();
            });
        }
    });
}

/// Sends a request to the first instance that accepts connections.
///
/// It tries the instances in order, as a load balancer does.
fn post_balanced(
    urls: &[String],
    first: usize,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Result<Response, ureq::Error> {
    let refused = |e: &ureq::Error| match e {
        ureq::Error::ConnectionFailed => true,
        ureq::Error::Io(e) => e.kind() == ErrorKind::ConnectionRefused,
        _ => false,
    };
    let mut result = post(&format!("{}{path}", urls[first % urls.len()]), headers, body);
    for offset in 1..urls.len() {
        if !result.as_ref().is_err_and(refused) {
            break;
        }
        result = post(&format!("{}{path}", urls[(first + offset) % urls.len()]), headers, body);
    }
    result
}

fn send_chat(urls: &[String], i: usize) -> Outcome {
    let (path, body) = ("/v1/chat/completions", chat_body(200, ANSWER_TOKENS, true));
    let result = post_balanced(urls, i, path, &[("mimosapass-deadline-ms", DEADLINE_MS)], &body);
    let expected = (0..ANSWER_TOKENS).map(|n| format!("t{n} ")).collect::<Vec<_>>().concat();
    classify(result, |body| {
        let events = body.lines().filter_map(|l| l.strip_prefix("data: "));
        let values = events.filter_map(|e| serde_json::from_str::<serde_json::Value>(e).ok());
        let text: String = values
            .filter_map(|v| v["choices"][0]["delta"]["content"].as_str().map(str::to_owned))
            .collect();
        (body.contains("data: [DONE]"), text == expected)
    })
}

fn send_booking(urls: &[String], i: usize) -> Outcome {
    let (id, body) = (format!("booking-{i}"), format!("van {i}"));
    let headers = [("idempotency-key", id.as_str()), ("mimosapass-deadline-ms", DEADLINE_MS)];
    let send = |first: usize| {
        let result = post_balanced(urls, first, "/services/bookings/vans", &headers, &body);
        classify(result, |text| (true, text.contains("\"runs\":1")))
    };
    match send(i) {
        Outcome::Complete => Outcome::Complete,
        first => match send(i + 1) {
            Outcome::Complete => Outcome::Complete,
            _ => first,
        },
    }
}

/// Classifies a response.
///
/// `check` returns whether a body is complete and whether it is correct.
fn classify(
    result: Result<Response, ureq::Error>,
    check: impl Fn(&str) -> (bool, bool),
) -> Outcome {
    let Ok(response) = result else { return Outcome::NoAnswer };
    match (response.status, response.body) {
        (200, Ok(body)) => match check(&body) {
            (true, true) => Outcome::Complete,
            (true, false) => Outcome::Wrong,
            (false, _) => Outcome::Failed,
        },
        (200, Err(_)) => Outcome::Failed,
        _ if response.not_run => Outcome::Refused,
        _ => Outcome::Failed,
    }
}

fn report(case: &Case, fleet: &Fleet, samples: &[Sample], start: Instant) {
    let count = |outcome| samples.iter().filter(|s| s.outcome == outcome).count();
    let deadline = Duration::from_millis(DEADLINE_MS.parse().unwrap_or(0));
    // A booking may have been sent twice, so it has twice the time.
    let late = samples.iter().filter(|s| s.duration > 2 * (deadline + DEADLINE_MARGIN)).count();
    let sent = 2 * (SEND_FOR.as_millis() / SEND_INTERVAL.as_millis()) as usize;
    let injected = start + INJECT_AT;
    let last = samples
        .iter()
        .filter(|s| s.outcome != Outcome::Complete)
        .map(|s| s.sent + s.duration)
        .max();
    let recovered = last.map_or(0.0, |at| at.saturating_duration_since(injected).as_secs_f64());
    let doubled = fleet.service.runs().iter().filter(|n| **n > 1).count();
    println!(
        "| {} | {sent} | {} | {} | {} | {} | {} | {late} | {doubled} | {} | {recovered:.1} s | {} |",
        case.name,
        count(Outcome::Complete),
        count(Outcome::Failed),
        count(Outcome::Refused),
        count(Outcome::NoAnswer),
        count(Outcome::Wrong),
        sent - samples.len(),
        wait_freed(fleet),
    );
}

/// Waits until no engine holds memory and returns how long that took.
fn wait_freed(fleet: &Fleet) -> String {
    let start = Instant::now();
    while fleet.engines.iter().any(|(_, e)| !e.held().is_empty()) {
        if start.elapsed() > FREE_TIMEOUT {
            return "not within 90 s".to_owned();
        }
        thread::sleep(Duration::from_millis(50));
    }
    format!("{:.1} s", start.elapsed().as_secs_f64())
}
