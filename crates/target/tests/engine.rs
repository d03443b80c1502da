//! The protocol between engines and their client, tested with the stand-in.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use bytes::Bytes;
use mimosapass_standin::engine::{Engine, Faults, Settings};
use mimosapass_target::client;
use mimosapass_target::engine::{Event, Generate, generate, load};
use mimosapass_target::error::CallError;
use mimosapass_target::memory::{
    Cancel, Claim, Export, Import, Purpose, Renew, Reserve, allocations, cache_events, cancel,
    export, import, renew, reserve,
};
use rstest::rstest;
use ureq::Agent;

/// Time-out for events that a test waits for.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Duration that outlasts every test.
const LONG_MS: u64 = 60_000;

/// Starts an engine; returns it, a client with one connection, and its address.
fn start_engine(settings: Settings) -> (Engine, Agent, String) {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let engine = Engine::start(any, settings).expect("engine starts");
    let addr = engine.addr().to_string();
    (engine, client::agent(1), addr)
}

fn call(addr: &str, attempt: &str, offset: u64, tokens: u32) -> Generate {
    let body = format!(r#"{{"model":"chat","max_tokens":{tokens},"prompt":"abcdabcdabcdabcd"}}"#);
    Generate {
        addr: addr.to_owned(),
        path: "/v1/completions",
        attempt: attempt.to_owned(),
        offset,
        resumes: None,
        holder: "i/1".to_owned(),
        expiry: Duration::from_millis(LONG_MS),
        group: Vec::new(),
        remaining: TEST_TIMEOUT,
        priority: 50,
        trace: None,
        body: Bytes::from(body),
    }
}

/// Runs a call and returns its events as `attempt/index` and `attempt/endN`.
fn run(agent: &Agent, call: &Generate) -> (Vec<String>, Result<(), CallError>) {
    let mut events = Vec::new();
    let ended = generate(agent, call, |event| {
        events.push(match event {
            Event::Token { attempt, index, .. } => format!("{attempt}/{index}"),
            Event::End { attempt, tokens, .. } => format!("{attempt}/end{tokens}"),
        });
        true
    });
    (events, ended)
}

fn claim(id: &str, expiry_ms: u64) -> Claim {
    Claim { id: id.to_owned(), holder: "i/1".to_owned(), expiry_ms }
}

fn ids(ids: &[&str]) -> Vec<String> {
    ids.iter().map(|id| (*id).to_owned()).collect()
}

fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let end = Instant::now() + TEST_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < end, "timed out: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[rstest]
#[case::whole(Faults::default(), 0, &["a/0", "a/1", "a/2", "a/end3"], true)]
#[case::resumed_at_an_offset(Faults::default(), 2, &["a/2", "a/end3"], true)]
#[case::resumed_at_the_end(Faults::default(), 3, &["a/end3"], true)]
#[case::cannot_resume(Faults { no_resume: true, ..Faults::default() }, 2, &[], false)]
#[case::truncated(Faults { cut_after: Some(1), ..Faults::default() }, 0, &["a/0"], false)]
#[case::truncated_once(Faults { cut_once: Some(2), ..Faults::default() }, 0, &["a/0", "a/1"], false)]
#[case::wrong_attempt(Faults { crossed: true, ..Faults::default() }, 2, &["a-other/2", "a-other/end3"], true)]
#[case::without_end(Faults { no_end: true, ..Faults::default() }, 2, &["a/2"], true)]
#[case::repeated_token(Faults { repeat: Some(1), ..Faults::default() }, 1, &["a/1", "a/1", "a/2", "a/end3"], true)]
#[case::missing_token(Faults { skip: Some(1), ..Faults::default() }, 0, &["a/0", "a/2", "a/end3"], true)]
#[case::wrong_token_count(Faults { miscount: true, ..Faults::default() }, 2, &["a/2", "a/end4"], true)]
#[case::delayed(Faults { delay_ms: 20, ..Faults::default() }, 2, &["a/2", "a/end3"], true)]
fn a_stream_yields_the_events_the_engine_sends(
    #[case] faults: Faults,
    #[case] offset: u64,
    #[case] events: &[&str],
    #[case] closed: bool,
) {
    let (engine, agent, addr) = start_engine(Settings::default());
    engine.set(faults);
    let (seen, ended) = run(&agent, &call(&addr, "a", offset, 3));
    assert_eq!(seen, events);
    assert_eq!(ended == Ok(()), closed, "{ended:?}");
}

#[rstest]
#[case::leaving(Faults { leaving: true, ..Faults::default() }, true)]
#[case::busy(Faults { refuse: true, ..Faults::default() }, false)]
fn a_refused_call_is_not_run(#[case] faults: Faults, #[case] expected: bool) {
    let (engine, agent, addr) = start_engine(Settings::default());
    engine.set(faults);
    let (seen, ended) = run(&agent, &call(&addr, "a", 0, 3));
    assert_eq!(seen, [""; 0]);
    assert!(matches!(ended, Err(CallError::Refused { leaving, .. }) if leaving == expected));
    assert_eq!((engine.runs(), engine.held()), (0, BTreeMap::new()));
}

#[test]
fn calls_to_a_frozen_engine_time_out() {
    let (engine, agent, addr) = start_engine(Settings::default());
    engine.set(Faults { frozen: true, ..Faults::default() });
    let short = Generate { remaining: Duration::ZERO, ..call(&addr, "a", 0, 3) };
    let outcome_unknown = |error: &CallError| matches!(error, CallError::OutcomeUnknown(_));
    assert!(run(&agent, &short).1.is_err_and(|f| outcome_unknown(&f)));
    assert!(load(&agent, &addr).is_err_and(|f| outcome_unknown(&f)));
    assert!(allocations(&agent, &addr, false).is_err_and(|f| outcome_unknown(&f)));
}

#[test]
fn a_call_to_a_closed_port_is_not_sent() {
    let unused = std::net::TcpListener::bind("127.0.0.1:0").expect("binds");
    let addr = unused.local_addr().expect("bound").to_string();
    drop(unused);
    let (_, ended) = run(&client::agent(1), &call(&addr, "a", 0, 3));
    assert!(ended.is_err_and(|error| error.not_run()));
}

/// An abandoned stream leaves no data on its pooled connection.
#[test]
fn an_abandoned_stream_does_not_mix_with_the_next() {
    let (engine, agent, addr) = start_engine(Settings::default());
    for round in 0..20 {
        let first = format!("a{round}");
        let mut count = 0;
        let ended = generate(&agent, &call(&addr, &first, 0, 50), |_| {
            count += 1;
            count < 3
        });
        assert_eq!((ended, count), (Ok(()), 3));
        let next = format!("b{round}");
        let (seen, ended) = run(&agent, &call(&addr, &next, 0, 1));
        assert_eq!((seen, ended), (vec![format!("{next}/0"), format!("{next}/end1")], Ok(())));
        let cancelled = Cancel { ids: vec![first], expired: false };
        cancel(&agent, &addr, &cancelled).expect("it is confirmed");
    }
    assert_eq!(engine.held(), BTreeMap::new());
}

#[test]
fn a_truncated_stream_stays_allocated_until_cancelled_and_cancel_is_idempotent() {
    let (engine, agent, addr) = start_engine(Settings::default());
    engine.set(Faults { cut_after: Some(1), ..Faults::default() });
    assert!(run(&agent, &call(&addr, "a", 0, 3)).1.is_err());
    let listed = allocations(&agent, &addr, false).expect("a list");
    let allocation = &listed.held[0];
    assert_eq!(
        (allocation.id.as_str(), allocation.holder.as_str(), allocation.purpose),
        ("a", "i/1", Purpose::Stream)
    );
    assert!(allocation.tokens > 0 && allocation.expired_ms == 0);
    let cancelled = Cancel { ids: ids(&["a", "unknown"]), expired: false };
    engine.set(Faults { lose_answers: true, ..Faults::default() });
    assert!(cancel(&agent, &addr, &cancelled).is_err(), "the answer is lost");
    assert_eq!(engine.held(), BTreeMap::new());
    engine.set(Faults::default());
    assert_eq!(cancel(&agent, &addr, &cancelled), Ok(()));
}

#[test]
fn a_resumed_stream_takes_over_the_memory_of_the_truncated_one() {
    let (engine, agent, addr) = start_engine(Settings::default());
    engine.set(Faults { cut_once: Some(1), hold_from: Some(2), ..Faults::default() });
    assert!(run(&agent, &call(&addr, "a", 0, 3)).1.is_err());
    let before = engine.held()["a"];
    let again = Generate { resumes: Some("a".to_owned()), ..call(&addr, "b", 1, 3) };
    let resumed = std::thread::spawn(move || run(&client::agent(1), &again));
    wait_until("the second attempt has the allocation", || engine.held().contains_key("b"));
    assert_eq!(engine.held(), [("b".to_owned(), before)].into());
    engine.set(Faults::default());
    let (seen, ended) = resumed.join().expect("no panic");
    assert_eq!((seen, ended), (ids(&["b/1", "b/2", "b/end3"]), Ok(())));
    wait_until("nothing is allocated", || engine.held().is_empty());
}

#[test]
fn a_renewal_extends_only_the_allocations_of_its_holder() {
    let (_engine, agent, addr) = start_engine(Settings::default());
    let request = |id, expiry| Reserve { claim: claim(id, expiry), tokens: 10 };
    reserve(&agent, &addr, &request("a", 1)).expect("reserved");
    reserve(&agent, &addr, &request("b", 1)).expect("reserved");
    wait_until("both have expired", || {
        allocations(&agent, &addr, true).is_ok_and(|h| h.held.len() == 2)
    });
    let renewal = |holder: &str| Renew {
        holder: holder.to_owned(),
        expiry_ms: LONG_MS,
        ids: ids(&["a", "x"]),
    };
    let other_holder = renew(&agent, &addr, &renewal("j/1")).expect("an answer");
    assert_eq!(other_holder.unknown, ["a", "x"]);
    assert_eq!(renew(&agent, &addr, &renewal("i/1")).expect("an answer").unknown, ["x"]);
    let expired = allocations(&agent, &addr, true).expect("a list").held;
    assert_eq!(expired.iter().map(|h| h.id.as_str()).collect::<Vec<_>>(), ["b"]);
}

#[test]
fn a_conditional_cancel_frees_only_expired_allocations() {
    let (engine, agent, addr) = start_engine(Settings::default());
    reserve(&agent, &addr, &Reserve { claim: claim("old", 1), tokens: 10 }).expect("reserved");
    reserve(&agent, &addr, &Reserve { claim: claim("new", LONG_MS), tokens: 10 })
        .expect("reserved");
    wait_until("one has expired", || {
        allocations(&agent, &addr, true).is_ok_and(|h| h.held.len() == 1)
    });
    let cancelled = Cancel { ids: ids(&["old", "new"]), expired: true };
    cancel(&agent, &addr, &cancelled).expect("confirmed");
    assert_eq!(engine.held(), [("new".to_owned(), 10)].into());
}

#[test]
fn a_reservation_is_idempotent_and_limited_by_free_memory() {
    let (engine, agent, addr) = start_engine(Settings { capacity: 100, ..Settings::default() });
    let request = |id, tokens| Reserve { claim: claim(id, LONG_MS), tokens };
    assert_eq!(reserve(&agent, &addr, &request("a", 60)), Ok(()));
    assert_eq!(reserve(&agent, &addr, &request("a", 60)), Ok(()));
    assert!(matches!(reserve(&agent, &addr, &request("b", 60)), Err(CallError::Refused { .. })));
    assert_eq!(engine.held(), [("a".to_owned(), 60)].into());
    assert_eq!(load(&agent, &addr).expect("a report").free, 40);
}

#[test]
fn a_group_generates_only_with_its_reservation() {
    let (engine, agent, addr) = start_engine(Settings { capacity: 5, ..Settings::default() });
    let group = vec![(addr.clone(), 5), ("127.0.0.1:1".to_owned(), 5)];
    let request = Generate { group, ..call(&addr, "a", 0, 2) };
    assert!(matches!(run(&agent, &request).1, Err(CallError::Refused { .. })));
    reserve(&agent, &addr, &Reserve { claim: claim("a", LONG_MS), tokens: 5 }).expect("reserved");
    let (seen, ended) = run(&agent, &request);
    assert_eq!((seen, ended), (ids(&["a/0", "a/1", "a/end2"]), Ok(())));
    wait_until("nothing is allocated", || engine.held().is_empty());
}

#[test]
fn an_exported_block_outlasts_its_stream_and_can_be_imported() {
    let (from, agent, addr) = start_engine(Settings::default());
    let (to, _, other) = start_engine(Settings::default());
    from.set(Faults { cut_after: Some(1), ..Faults::default() });
    assert!(run(&agent, &call(&addr, "a", 0, 3)).1.is_err());
    let request =
        |id, attempt: &str| Export { claim: claim(id, LONG_MS), attempt: attempt.to_owned() };
    let block = export(&agent, &addr, &request("block", "a")).expect("exported");
    let unknown = export(&agent, &addr, &request("none", "unknown"));
    assert!(matches!(unknown, Err(CallError::Refused { .. })));
    cancel(&agent, &addr, &Cancel { ids: ids(&["a"]), expired: false }).expect("confirmed");
    assert_eq!(from.held(), [("block".to_owned(), block.tokens)].into());
    let imported =
        Import { claim: claim("copy", LONG_MS), from: addr.clone(), tokens: block.tokens };
    import(&agent, &other, &imported).expect("imported");
    let listed = allocations(&agent, &other, false).expect("a list").held;
    assert_eq!((listed[0].purpose, listed[0].tokens), (Purpose::Block, block.tokens));
    cancel(&agent, &addr, &Cancel { ids: ids(&["block"]), expired: false }).expect("confirmed");
    cancel(&agent, &other, &Cancel { ids: ids(&["copy"]), expired: false }).expect("confirmed");
    assert_eq!((from.held(), to.held()), (BTreeMap::new(), BTreeMap::new()));
}

#[test]
fn a_restart_frees_all_and_has_a_higher_boot_number() {
    let (engine, agent, addr) = start_engine(Settings::default());
    reserve(&agent, &addr, &Reserve { claim: claim("a", LONG_MS), tokens: 10 }).expect("reserved");
    let boot = allocations(&agent, &addr, false).expect("a list").boot;
    engine.restart();
    let listed = allocations(&agent, &addr, false).expect("a list");
    assert!(listed.boot > boot && listed.held.is_empty());
    assert_eq!(load(&agent, &addr).expect("a report").boot, listed.boot);
    let request = Renew { holder: "i/1".to_owned(), expiry_ms: LONG_MS, ids: ids(&["a"]) };
    assert_eq!(renew(&agent, &addr, &request).expect("an answer").unknown, ["a"]);
}

#[test]
fn a_load_report_may_be_stale() {
    let (engine, agent, addr) = start_engine(Settings::default());
    engine.set(Faults { load_lag_ms: LONG_MS, ..Faults::default() });
    let first = load(&agent, &addr).expect("a report");
    reserve(&agent, &addr, &Reserve { claim: claim("a", LONG_MS), tokens: 10 }).expect("reserved");
    assert_eq!(load(&agent, &addr).expect("a report"), first);
    engine.set(Faults::default());
    let later = load(&agent, &addr).expect("a report");
    assert!(later.number > first.number && later.free < first.free);
}

#[test]
fn cache_events_are_late_and_have_gaps() {
    let (engine, agent, addr) = start_engine(Settings::default());
    engine.set(Faults { event_lag_ms: LONG_MS, ..Faults::default() });
    for n in 0..4 {
        assert_eq!(run(&agent, &call(&addr, &n.to_string(), 0, 1)).1, Ok(()));
    }
    assert_eq!(cache_events(&agent, &addr, 0).expect("events"), []);
    engine.set(Faults { event_gap: Some(2), ..Faults::default() });
    let numbers = |after| -> Vec<u64> {
        cache_events(&agent, &addr, after).expect("events").iter().map(|c| c.number).collect()
    };
    assert_eq!((numbers(0), numbers(1)), (vec![1, 3], vec![3]));
    let seen = cache_events(&agent, &addr, 0).expect("events");
    assert_eq!(seen[0].prefix, seen[1].prefix, "the same prompt");
    assert!(seen[0].tokens > 0);
}
