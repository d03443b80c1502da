//! What callers see of each fault, through real processes.
//!
//! `cargo bench --bench faults [PART OF A NAME]` runs one small fleet for each
//! fault: three zones of two instances, six stand-in engines, one service.
//! Chats and bookings come at a steady pace; the fault begins after two
//! seconds and is healed four seconds later. Each booking that was not answered
//! whole is sent once more, through another instance, under the same identifier.

#[expect(dead_code, reason = "a benchmark needs only a part of it")]
#[path = "../tests/suite/common.rs"]
mod common;

use std::io::ErrorKind;
use std::sync::mpsc::{Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use common::{CONFIG, Fleet, Seen, chat, post};
use mimosapass_standin::{engine, platform, service};

/// When the fault begins.
const BEGIN: Duration = Duration::from_secs(2);
/// When it is healed.
const HEAL: Duration = Duration::from_secs(6);
/// When the last request is sent.
const END: Duration = Duration::from_secs(12);
/// Time between two chats, and between two bookings.
const GAP: Duration = Duration::from_millis(50);
/// Time for engines to hold nothing once all answers came.
const QUIET: Duration = Duration::from_secs(90);
/// Deadline of a request, in milliseconds.
const DEADLINE: &str = "5000";
/// Time past its deadline within which an answer must have come.
const MARGIN: Duration = Duration::from_secs(1);
/// Tokens of an answer.
const TOKENS: u32 = 20;

/// What became of a request, as its caller sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Outcome {
    /// The whole answer to this request.
    Whole,
    /// A true failure, seen as such.
    Failed,
    /// A refusal that promises that nothing ran.
    Refused,
    /// No answer since the instance was gone.
    Gone,
    /// Something that looks whole and is not.
    Wrong,
}

/// One answered request.
#[derive(Clone, Copy, Debug)]
struct Answered {
    at: Instant,
    took: Duration,
    outcome: Outcome,
}

/// A fault: how it begins and how it is healed.
struct Case {
    name: &'static str,
    begin: fn(&mut Fleet),
    heal: fn(&mut Fleet),
}

const CASES: [Case; 13] = [
    Case { name: "calm", begin: |_| {}, heal: |_| {} },
    Case {
        name: "one engine frozen",
        begin: |f| f.engines[0].1.set(engine::Faults { frozen: true, ..Default::default() }),
        heal: heal_engines,
    },
    Case {
        name: "one engine cuts each stream",
        begin: |f| f.engines[0].1.set(engine::Faults { cut_after: Some(5), ..Default::default() }),
        heal: heal_engines,
    },
    Case {
        name: "one engine crosses answers",
        begin: |f| f.engines[0].1.set(engine::Faults { crossed: true, ..Default::default() }),
        heal: heal_engines,
    },
    Case {
        name: "one engine leaves",
        begin: |f| f.engines[0].1.set(engine::Faults { leaving: true, ..Default::default() }),
        heal: heal_engines,
    },
    Case {
        name: "one engine restarts and loses all",
        begin: |f| f.engines[0].1.restart(),
        heal: |_| {},
    },
    Case { name: "one instance killed", begin: |f| f.instances[0].signal("KILL"), heal: replace },
    Case {
        name: "one instance stopped as planned",
        begin: |f| f.instances[0].signal("TERM"),
        heal: replace,
    },
    Case {
        name: "one instance paused",
        begin: |f| f.instances[0].signal("STOP"),
        heal: |f| f.instances[0].signal("CONT"),
    },
    Case {
        name: "key-value service out",
        begin: |f| f.platform.set(platform::Faults { outage: true, ..Default::default() }),
        heal: heal_platform,
    },
    Case {
        name: "key-value service takes 300 ms a call",
        begin: |f| f.platform.set(platform::Faults { delay_ms: 300, ..Default::default() }),
        heal: heal_platform,
    },
    Case {
        name: "key-value service loses 40 answers",
        begin: |f| f.platform.set(platform::Faults { lose_writes: 40, ..Default::default() }),
        heal: heal_platform,
    },
    Case {
        name: "service runs and does not answer",
        begin: |f| f.desk.set(service::Faults { lose_answer: true, ..Default::default() }),
        heal: |f| f.desk.set(service::Faults::default()),
    },
];

fn heal_engines(fleet: &mut Fleet) {
    fleet.engines[0].1.set(engine::Faults::default());
}

fn heal_platform(fleet: &mut Fleet) {
    fleet.platform.set(platform::Faults::default());
}

/// Starts an instance in the place of the one that is gone.
fn replace(fleet: &mut Fleet) {
    let zone = fleet.instances[0].zone.clone();
    fleet.start(&zone, "");
}

fn main() {
    let wanted = std::env::args().skip(1).find(|a| !a.starts_with("--")).unwrap_or_default();
    println!(
        "| fault | sent | whole | failed | refused | gone | wrong | over time | doubled | lost | \
         recovered after | memory back after |\n|---|---|---|---|---|---|---|---|---|---|---|---|"
    );
    for case in CASES.iter().filter(|c| c.name.contains(&wanted)) {
        run(case);
    }
}

fn run(case: &Case) {
    let mut fleet = start();
    let urls: Vec<String> = fleet.instances.iter().map(|i| i.url("")).collect();
    let (sender, answers) = channel();
    let begun = Instant::now();
    thread::scope(|scope| {
        let (chats, bookings) = (sender.clone(), sender);
        let urls = &urls;
        scope.spawn(move || send(urls, begun, &chats, ask));
        scope.spawn(move || send(urls, begun, &bookings, book));
        thread::sleep(BEGIN);
        (case.begin)(&mut fleet);
        thread::sleep((begun + HEAL).saturating_duration_since(Instant::now()));
        (case.heal)(&mut fleet);
    });
    report(case, &fleet, &answers.iter().collect::<Vec<_>>(), begun);
}

fn start() -> Fleet {
    let settings =
        engine::Settings { token_interval: Duration::from_millis(20), ..Default::default() };
    let zones = ["zone-a", "zone-a", "zone-b", "zone-b", "zone-c", "zone-c"];
    let mut fleet = Fleet::new(&zones.map(|zone| (zone, settings.clone())));
    fleet.apply(CONFIG);
    for zone in zones {
        fleet.start(zone, "stop: {notice_ms: 1000}\n");
    }
    fleet.settle();
    fleet
}

/// Sends requests at a steady pace, each from a thread of its own.
fn send(
    urls: &[String],
    begun: Instant,
    answers: &Sender<Answered>,
    request: fn(&[String], usize) -> Outcome,
) {
    thread::scope(|scope| {
        let most = (END.as_millis() / GAP.as_millis()) as usize;
        for i in 0..most {
            let due = begun + GAP * i as u32;
            thread::sleep(due.saturating_duration_since(Instant::now()));
            let answers = answers.clone();
            scope.spawn(move || {
                let at = Instant::now();
                let outcome = request(urls, i);
                let answered = Answered { at, took: at.elapsed(), outcome };
                answers.send(answered).unwrap_or_default();
            });
        }
    });
}

/// Sends to an instance that takes connections, as a balancer does.
fn reach(
    urls: &[String],
    at: usize,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Result<Seen, ureq::Error> {
    let refused = |e: &ureq::Error| match e {
        ureq::Error::ConnectionFailed => true,
        ureq::Error::Io(e) => e.kind() == ErrorKind::ConnectionRefused,
        _ => false,
    };
    let mut seen = post(&format!("{}{path}", urls[at % urls.len()]), headers, body);
    for next in 1..urls.len() {
        if !seen.as_ref().is_err_and(refused) {
            break;
        }
        seen = post(&format!("{}{path}", urls[(at + next) % urls.len()]), headers, body);
    }
    seen
}

fn ask(urls: &[String], i: usize) -> Outcome {
    let (path, body) = ("/v1/chat/completions", chat(200, TOKENS, true));
    let seen = reach(urls, i, path, &[("mimosapass-deadline-ms", DEADLINE)], &body);
    let whole = (0..TOKENS).map(|n| format!("t{n} ")).collect::<Vec<_>>().concat();
    judge(seen, |body| {
        let events = body.lines().filter_map(|l| l.strip_prefix("data: "));
        let values = events.filter_map(|e| serde_json::from_str::<serde_json::Value>(e).ok());
        let text: String = values
            .filter_map(|v| v["choices"][0]["delta"]["content"].as_str().map(str::to_owned))
            .collect();
        (body.contains("data: [DONE]"), text == whole)
    })
}

fn book(urls: &[String], i: usize) -> Outcome {
    let (id, body) = (format!("booking-{i}"), format!("van {i}"));
    let headers = [("idempotency-key", id.as_str()), ("mimosapass-deadline-ms", DEADLINE)];
    let once = |at: usize| {
        let seen = reach(urls, at, "/services/bookings/vans", &headers, &body);
        judge(seen, |text| (true, text.contains("\"runs\":1")))
    };
    match once(i) {
        Outcome::Whole => Outcome::Whole,
        first => match once(i + 1) {
            Outcome::Whole => Outcome::Whole,
            _ => first,
        },
    }
}

/// Judges an answer; `whole` tells whether it ends as whole and is the right one.
fn judge(seen: Result<Seen, ureq::Error>, whole: impl Fn(&str) -> (bool, bool)) -> Outcome {
    let Ok(seen) = seen else { return Outcome::Gone };
    match (seen.status, seen.body) {
        (200, Ok(body)) => match whole(&body) {
            (true, true) => Outcome::Whole,
            (true, false) => Outcome::Wrong,
            (false, _) => Outcome::Failed,
        },
        (200, Err(_)) => Outcome::Failed,
        _ if seen.not_run => Outcome::Refused,
        _ => Outcome::Failed,
    }
}

fn report(case: &Case, fleet: &Fleet, answers: &[Answered], begun: Instant) {
    let count = |outcome| answers.iter().filter(|a| a.outcome == outcome).count();
    let deadline = Duration::from_millis(DEADLINE.parse().unwrap_or(0));
    // A booking may have been sent twice.
    let late = answers.iter().filter(|a| a.took > 2 * (deadline + MARGIN)).count();
    let sent = 2 * (END.as_millis() / GAP.as_millis()) as usize;
    let fault = begun + BEGIN;
    let last = answers.iter().filter(|a| a.outcome != Outcome::Whole).map(|a| a.at + a.took).max();
    let recovered = last.map_or(0.0, |at| at.saturating_duration_since(fault).as_secs_f64());
    let doubled = fleet.desk.runs().iter().filter(|n| **n > 1).count();
    println!(
        "| {} | {sent} | {} | {} | {} | {} | {} | {late} | {doubled} | {} | {recovered:.1} s | {} |",
        case.name,
        count(Outcome::Whole),
        count(Outcome::Failed),
        count(Outcome::Refused),
        count(Outcome::Gone),
        count(Outcome::Wrong),
        sent - answers.len(),
        quiet(fleet),
    );
}

/// Waits until no engine holds anything and returns how long that took.
fn quiet(fleet: &Fleet) -> String {
    let begun = Instant::now();
    while fleet.engines.iter().any(|(_, e)| !e.held().is_empty()) {
        if begun.elapsed() > QUIET {
            return "not within 90 s".to_owned();
        }
        thread::sleep(Duration::from_millis(50));
    }
    format!("{:.1} s", begun.elapsed().as_secs_f64())
}
