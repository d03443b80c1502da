//! Abandoned engine memory is always freed, and memory in use never is.

use std::io::{BufRead, BufReader, Lines};
use std::time::{Duration, Instant};

use mimosapass_core::memory::reclaimer;
use mimosapass_standin::engine::{Engine, Faults, Settings};
use mimosapass_target::client;
use mimosapass_target::memory::{Claim, Reserve, reserve};
use rstest::rstest;
use ureq::BodyReader;

use crate::common::{CONFIG, Fleet, agent, chat_body, post, status, wait_until};

/// Settings with short times for claims.
const SHORT_CLAIMS: &str = "claims: {period_ms: 300, expiry_ms: 3000}\n";
/// The expiry in [`SHORT_CLAIMS`].
const EXPIRY: Duration = Duration::from_secs(3);

type Stream = Lines<BufReader<BodyReader<'static>>>;

fn held_at_two() -> Faults {
    Faults { hold_from: Some(2), ..Faults::default() }
}

/// Starts engines and instances in one zone.
fn fleet(engines: usize, instances: usize) -> Fleet {
    let mut fleet = Fleet::new(&vec![("zone-a", Settings::default()); engines]);
    fleet.apply(CONFIG);
    for _ in 0..instances {
        fleet.start("zone-a", SHORT_CLAIMS);
    }
    fleet.wait_ready();
    for instance in &fleet.instances {
        wait_until("all peers are known", || peers(&fleet, &instance.name) == instances - 1);
    }
    fleet
}

/// Returns the number of live peers of the instance `name`.
fn peers(fleet: &Fleet, name: &str) -> usize {
    let instance = fleet.instances.iter().find(|i| i.name == name).expect("it runs");
    status(instance)["peers"].as_array().map_or(0, Vec::len)
}

/// Starts a stream at an instance and reads its first two tokens.
fn stream(fleet: &Fleet, instance: usize) -> Stream {
    fleet.engines.iter().for_each(|(_, e)| e.set(held_at_two()));
    let url = fleet.instances[instance].url("/v1/chat/completions");
    let request = agent().post(&url).header("mimosapass-workspace", "atlas");
    let response = request.send(chat_body(100, 6, true)).expect("an answer");
    let mut lines = BufReader::new(response.into_body().into_reader()).lines();
    let mut seen = String::new();
    while !seen.contains("t1 ") {
        seen = lines.next().expect("a line").expect("readable");
    }
    lines
}

/// Moves the reclaimer of the first engine to the end of the instances.
fn put_reclaimer_last(fleet: &mut Fleet) {
    let members: Vec<(&str, &str)> =
        fleet.instances.iter().map(|i| (i.name.as_str(), i.zone.as_str())).collect();
    let name = reclaimer("engine-0", "zone-a", &members).expect("one lives").to_owned();
    fleet.instances.sort_by_key(|i| i.name == name);
}

fn freeze(fleet: &Fleet) {
    let frozen = Faults { frozen: true, ..held_at_two() };
    fleet.engines.iter().for_each(|(_, e)| e.set(frozen.clone()));
}

fn unfreeze(fleet: &Fleet) {
    fleet.engines.iter().for_each(|(_, e)| e.set(held_at_two()));
}

fn has_unfreed(fleet: &Fleet, count: usize) -> bool {
    let page = agent().get(fleet.instances[0].operator_url("/metrics")).call();
    let text = page.and_then(|mut r| r.body_mut().read_to_string()).unwrap_or_default();
    text.contains(&format!("mimosapass_unfreed_attempts {count}\n"))
}

fn caller_gone(_: &mut Fleet, stream: Stream) {
    drop(stream);
}

fn caller_gone_and_responses_lost(fleet: &mut Fleet, stream: Stream) {
    fleet.engines[0].1.set(Faults { lose_answers: true, ..held_at_two() });
    drop(stream);
    wait_until("the cancel has taken effect", || fleet.engines[0].1.held().is_empty());
    wait_until("the cancel is not confirmed", || has_unfreed(fleet, 1));
    unfreeze(fleet);
    wait_until("the cancel is confirmed", || has_unfreed(fleet, 0));
}

fn caller_gone_and_engine_frozen(fleet: &mut Fleet, stream: Stream) {
    freeze(fleet);
    drop(stream);
    wait_until("the cancel is pending", || has_unfreed(fleet, 1));
    unfreeze(fleet);
}

fn caller_gone_and_engine_restarted(fleet: &mut Fleet, stream: Stream) {
    freeze(fleet);
    drop(stream);
    wait_until("the cancel is pending", || has_unfreed(fleet, 1));
    fleet.engines[0].1.restart();
    unfreeze(fleet);
    wait_until("no cancel is pending", || has_unfreed(fleet, 0));
}

fn holder_killed(fleet: &mut Fleet, stream: Stream) {
    fleet.instances[0].signal("KILL");
    drop(stream);
}

fn holder_killed_then_reclaimer_killed_while_freeing(fleet: &mut Fleet, stream: Stream) {
    freeze(fleet);
    fleet.instances[0].signal("KILL");
    drop(stream);
    let last = fleet.instances.len() - 1;
    let reclaimer = fleet.instances[last].name.clone();
    wait_until("the reclaimer has removed the holder", || peers(fleet, &reclaimer) == last - 1);
    // Gives it time to start its calls to the frozen engine.
    std::thread::sleep(Duration::from_millis(500));
    fleet.instances[last].signal("KILL");
    unfreeze(fleet);
}

fn holder_paused_past_its_expiry(fleet: &mut Fleet, stream: Stream) {
    fleet.instances[0].signal("STOP");
    wait_until("the claims of the paused holder are freed", || {
        fleet.engines[0].1.held().is_empty()
    });
    fleet.instances[0].signal("CONT");
    fleet.engines[0].1.set(Faults::default());
    let rest: Vec<String> = stream.map_while(Result::ok).collect();
    let complete = rest.iter().any(|l| l == "data: [DONE]");
    assert!(complete || rest.iter().any(|l| l.contains("cut_answer")), "{rest:?}");
}

#[rstest]
#[case::caller_gone(caller_gone)]
#[case::caller_gone_and_responses_lost(caller_gone_and_responses_lost)]
#[case::caller_gone_and_engine_frozen(caller_gone_and_engine_frozen)]
#[case::caller_gone_and_engine_restarted(caller_gone_and_engine_restarted)]
#[case::holder_killed(holder_killed)]
#[case::holder_and_reclaimer_killed(holder_killed_then_reclaimer_killed_while_freeing)]
#[case::holder_paused(holder_paused_past_its_expiry)]
fn memory_is_freed_after(#[case] fault: fn(&mut Fleet, Stream)) {
    let mut fleet = fleet(1, 3);
    put_reclaimer_last(&mut fleet);
    let stream = stream(&fleet, 0);
    assert_eq!(fleet.engines[0].1.held().len(), 1);
    fault(&mut fleet, stream);
    wait_until("the engine holds nothing", || fleet.engines[0].1.held().is_empty());
}

#[test]
fn memory_in_a_zone_without_instances_is_freed() {
    let mut fleet = Fleet::new(&[("zone-b", Settings::default())]);
    fleet.apply(CONFIG);
    fleet.start("zone-a", SHORT_CLAIMS);
    fleet.start("zone-a", SHORT_CLAIMS);
    fleet.wait_ready();
    let stream = stream(&fleet, 0);
    fleet.instances[0].signal("KILL");
    drop(stream);
    wait_until("the engine holds nothing", || fleet.engines[0].1.held().is_empty());
}

/// Returns the number of threads of the first instance that read engine streams.
fn reader_threads(fleet: &Fleet) -> usize {
    let tasks = format!("/proc/{}/task", fleet.instances[0].child.id());
    let names = std::fs::read_dir(tasks).expect("it runs").filter_map(|task| {
        // A thread may end between the two reads.
        std::fs::read_to_string(task.ok()?.path().join("comm")).ok()
    });
    names.filter(|name| name.trim() == "attempt").count()
}

#[test]
fn a_frozen_engine_blocks_no_thread() {
    let fleet = fleet(1, 1);
    fleet.engines[0].1.set(held_at_two());
    let url = fleet.instances[0].url("/v1/chat/completions");
    let request = agent().post(&url).header("mimosapass-workspace", "atlas");
    let request = request.header("mimosapass-deadline-ms", "600000");
    let response = request.send(chat_body(100, 6, true)).expect("an answer");
    freeze(&fleet);
    assert_eq!(reader_threads(&fleet), 1);
    drop(response);
    wait_until("no thread waits for the engine", || reader_threads(&fleet) == 0);
}

/// The engine handles the cancel before it starts the call to be cancelled.
#[test]
fn a_call_that_starts_after_its_cancel_is_freed() {
    let fleet = fleet(1, 1);
    let engine = &fleet.engines[0].1;
    engine.set(Faults { hold_start: true, ..Faults::default() });
    let url = fleet.instances[0].url("/v1/chat/completions");
    let headers = [("mimosapass-deadline-ms", "300")];
    let seen = post(&url, &headers, &chat_body(100, 6, true)).expect("an answer");
    assert_eq!(seen.status, 504, "{seen:?}");
    wait_until("the cancel is confirmed", || has_unfreed(&fleet, 0));
    engine.set(held_at_two());
    wait_until("the call has started", || engine.runs() == 1);
    wait_until("the engine holds nothing", || engine.held().is_empty());
}

#[test]
fn a_frozen_engine_delays_no_cancel_at_another() {
    let fleet = fleet(2, 1);
    let streams: Vec<Stream> = (0..40).map(|_| stream(&fleet, 0)).collect();
    let mut engines: Vec<&Engine> = fleet.engines.iter().map(|(_, e)| e).collect();
    // Sequential calls would start with the lowest address, so that one is frozen.
    engines.sort_by_key(|e| e.addr().to_string());
    let (one, other) = (engines[0], engines[1]);
    assert!(!one.held().is_empty() && !other.held().is_empty(), "both engines hold memory");
    one.set(Faults { frozen: true, ..held_at_two() });
    drop(streams);
    wait_until("the other engine is freed", || other.held().is_empty());
    assert!(!one.held().is_empty());
    unfreeze(&fleet);
    wait_until("the frozen engine is freed", || one.held().is_empty());
}

/// Reserves memory for an instance that does not exist and waits until it is freed.
fn reserve_abandoned(engine: &Engine) {
    let claim = Claim { id: "lost".to_owned(), holder: "nobody/1".to_owned(), expiry_ms: 1 };
    let addr = engine.addr().to_string();
    reserve(&client::agent(0), &addr, &Reserve { claim, tokens: 10 }).expect("it is reserved");
    wait_until("abandoned memory is freed", || !engine.held().contains_key("lost"));
}

#[test]
fn an_instance_unknown_to_the_reclaimer_keeps_its_stream() {
    // The two fleets share only the engine, so their instances do not know each other.
    let first = fleet(1, 1);
    let engine = first.engines[0].1.clone();
    let mut second = Fleet::new(&[]);
    second.engines.push(("engine-0".to_owned(), engine.clone()));
    second.engine_zones.push("zone-a".to_owned());
    second.apply(CONFIG);
    second.start("zone-a", SHORT_CLAIMS);
    second.wait_ready();
    let stream = stream(&first, 0);
    let begun = Instant::now();
    while begun.elapsed() < EXPIRY * 2 {
        reserve_abandoned(&engine);
        assert_eq!(engine.held().len(), 1, "the stream is in use");
    }
    engine.set(Faults::default());
    let rest: Vec<String> = stream.map(|l| l.expect("readable")).collect();
    assert!(rest.iter().any(|l| l == "data: [DONE]"), "{rest:?}");
    // The stand-in frees the memory after it has sent the end marker.
    wait_until("the engine holds nothing", || engine.held().is_empty());
}
