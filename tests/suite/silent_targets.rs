//! Targets that fall silent and go on, and targets that send without end.

use std::time::{Duration, Instant};

use mimosapass_standin::engine::{Faults, Settings};
use mimosapass_standin::service;
use rstest::rstest;

use crate::common::{CONFIG, Fleet, Response, chat_body, error_code, post, wait_until};

/// The complete answer of six tokens.
const FULL_ANSWER: &str = "t0 t1 t2 t3 t4 t5 ";
/// Longest silence of a sound target that the users name, in milliseconds.
const SILENT_MS: u64 = 2_500;
/// Silence that is longer than an instance waits for another token, in milliseconds.
const LONG_MS: u64 = 11_000;
/// Header with a deadline that bytes without end exceed.
const DEADLINE: (&str, &str) = ("mimosapass-deadline-ms", "1500");
/// Time after the deadline in which such a request ends and is disconnected.
const DISCONNECT: Duration = Duration::from_secs(1);
/// Most memory that an instance may use, in KiB.
const MAX_MEMORY_KIB: u64 = 160 * 1024;

fn fleet() -> Fleet {
    let settings = Settings::default();
    let mut fleet = Fleet::new(&[("zone-a", settings.clone()), ("zone-a", settings)]);
    fleet.apply(CONFIG);
    fleet.start("zone-a", "");
    fleet.wait_ready();
    fleet
}

fn set(fleet: &Fleet, faults: &Faults) {
    fleet.engines.iter().for_each(|(_, e)| e.set(faults.clone()));
}

fn silent(index: u64, silent_ms: u64) -> Faults {
    Faults { silent_at: Some(index), silent_ms, ..Faults::default() }
}

/// Returns the most memory that an instance has used, in KiB.
fn memory(fleet: &Fleet) -> u64 {
    let file = format!("/proc/{}/status", fleet.instances[0].child.id());
    let status = std::fs::read_to_string(file).expect("it runs");
    let used = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let used = used.expect("a line").trim().trim_end_matches(" kB");
    used.parse().expect("a number")
}

/// Sends a chat of six tokens and returns its text, or the whole response without one.
fn chat(fleet: &Fleet) -> Result<String, Response> {
    let url = fleet.instances[0].url("/v1/chat/completions");
    let seen = post(&url, &[], &chat_body(100, 6, false)).expect("an answer");
    let body = seen.body.as_deref().unwrap_or_default();
    let json: serde_json::Value = serde_json::from_str(body).unwrap_or_default();
    let text = json["choices"][0]["message"]["content"].as_str().map(str::to_owned);
    text.ok_or(seen)
}

#[rstest]
fn a_chat_survives_engines_that_fall_silent_and_go_on(#[values(0, 3, 5)] index: u64) {
    let fleet = fleet();
    set(&fleet, &silent(index, SILENT_MS));
    assert_eq!(chat(&fleet).expect("an answer"), FULL_ANSWER);
    let runs: u64 = fleet.engines.iter().map(|(_, e)| e.runs()).sum();
    assert_eq!(runs, 1, "the silent engine was not given up");
}

/// An engine that is silent for longer than an instance waits, with no other one to take over.
#[rstest]
fn a_chat_survives_a_long_silence_when_no_other_engine_answers(#[values(1, 3)] index: u64) {
    let fleet = fleet();
    set(&fleet, &silent(index, LONG_MS));
    let answer = std::thread::scope(|scope| {
        let asking = scope.spawn(|| chat(&fleet));
        wait_until("an engine runs", || fleet.engines.iter().any(|(_, e)| e.runs() == 1));
        let (_, other) = fleet.engines.iter().find(|(_, e)| e.runs() == 0).expect("another one");
        other.set(Faults { refuse: true, ..Faults::default() });
        asking.join().expect("no panic")
    });
    assert_eq!(answer.expect("an answer"), FULL_ANSWER);
}

#[rstest]
fn a_chat_whose_engines_send_without_end_ends_by_its_deadline(#[values(0, 3)] from: u64) {
    let fleet = fleet();
    set(&fleet, &Faults { endless_from: Some(from), ..Faults::default() });
    let url = fleet.instances[0].url("/v1/chat/completions");
    let begin = Instant::now();
    let seen = post(&url, &[DEADLINE], &chat_body(100, 6, false)).expect("an answer");
    assert_ne!(error_code(&seen), "ok", "{seen:?}");
    let took = begin.elapsed();
    assert!(took < Duration::from_millis(1_500) + DISCONNECT, "it took {took:?}");
    wait_until("the engines hold no memory", || {
        fleet.engines.iter().all(|(_, e)| e.held().is_empty())
    });
    let used = memory(&fleet);
    assert!(used <= MAX_MEMORY_KIB, "{used} KiB");
}

#[rstest]
#[case::idempotent("lookups")]
#[case::not_idempotent("bookings")]
fn a_call_survives_a_service_that_falls_silent_and_goes_on(#[case] name: &str) {
    let fleet = fleet();
    fleet.service.set(service::Faults { silent_ms: Some(SILENT_MS), ..service::Faults::default() });
    let url = fleet.instances[0].url(&format!("/services/{name}/one"));
    let seen = post(&url, &[], "question").expect("an answer");
    let body = seen.body.as_deref().expect("a whole body");
    let call: service::EchoedCall = serde_json::from_str(body).expect("an echo");
    assert_eq!((seen.status, call.runs), (200, 1));
}

/// Makes calls to a service whose answers have no end; returns how long they took.
fn endless_calls(fleet: &Fleet) -> Duration {
    fleet.service.set(service::Faults { endless: true, ..service::Faults::default() });
    let url = fleet.instances[0].url("/services/lookups/one");
    let begin = Instant::now();
    std::thread::scope(|scope| {
        for number in 0..12 {
            let url = &url;
            scope.spawn(move || {
                let seen = post(url, &[DEADLINE], &format!("question {number}")).expect("one");
                assert_ne!(error_code(&seen), "ok", "{seen:?}");
            });
        }
    });
    begin.elapsed()
}

#[test]
fn calls_whose_service_sends_without_end_end_by_their_deadline() {
    let took = endless_calls(&fleet());
    assert!(took < Duration::from_millis(1_500) + DISCONNECT, "it took {took:?}");
}

#[test]
fn answers_without_end_of_a_service_fit_into_memory() {
    let fleet = fleet();
    endless_calls(&fleet);
    let used = memory(&fleet);
    assert!(used <= MAX_MEMORY_KIB, "{used} KiB");
}
