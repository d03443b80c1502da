//! The contract between engines and their client, run against the stand-in.

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

/// Longest wait for something that has to happen.
const PATIENCE: Duration = Duration::from_secs(30);
const LONG: u64 = 60_000;

/// An engine, a client that keeps one connection, and the engine's address.
fn engine(settings: Settings) -> (Engine, Agent, String) {
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
        expiry: Duration::from_millis(LONG),
        group: Vec::new(),
        remaining: PATIENCE,
        priority: 50,
        trace: None,
        body: Bytes::from(body),
    }
}

/// Runs a call and returns its events as `attempt/index`, the end as `end/count`.
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

fn until(what: &str, holds: impl Fn() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < end, "in vain: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[rstest]
#[case::whole(Faults::default(), 0, &["a/0", "a/1", "a/2", "a/end3"], true)]
#[case::resumed_at_an_offset(Faults::default(), 2, &["a/2", "a/end3"], true)]
#[case::resumed_at_the_end(Faults::default(), 3, &["a/end3"], true)]
#[case::cannot_resume(Faults { no_resume: true, ..Faults::default() }, 2, &[], false)]
#[case::cut(Faults { cut_after: Some(1), ..Faults::default() }, 0, &["a/0"], false)]
#[case::cut_once(Faults { cut_once: Some(2), ..Faults::default() }, 0, &["a/0", "a/1"], false)]
#[case::crossed(Faults { crossed: true, ..Faults::default() }, 2, &["a-other/2", "a-other/end3"], true)]
#[case::without_end(Faults { no_end: true, ..Faults::default() }, 2, &["a/2"], true)]
#[case::token_twice(Faults { repeat: Some(1), ..Faults::default() }, 1, &["a/1", "a/1", "a/2", "a/end3"], true)]
#[case::token_missing(Faults { skip: Some(1), ..Faults::default() }, 0, &["a/0", "a/2", "a/end3"], true)]
#[case::miscounted(Faults { miscount: true, ..Faults::default() }, 2, &["a/2", "a/end4"], true)]
#[case::delayed(Faults { delay_ms: 20, ..Faults::default() }, 2, &["a/2", "a/end3"], true)]
fn a_stream(
    #[case] faults: Faults,
    #[case] offset: u64,
    #[case] events: &[&str],
    #[case] closed: bool,
) {
    let (engine, agent, addr) = engine(Settings::default());
    engine.set(faults);
    let (seen, ended) = run(&agent, &call(&addr, "a", offset, 3));
    assert_eq!(seen, events);
    assert_eq!(ended == Ok(()), closed, "{ended:?}");
}

#[rstest]
#[case::leaving(Faults { leaving: true, ..Faults::default() }, true)]
#[case::busy(Faults { refuse: true, ..Faults::default() }, false)]
fn a_refusal_runs_nothing(#[case] faults: Faults, #[case] leaves: bool) {
    let (engine, agent, addr) = engine(Settings::default());
    engine.set(faults);
    let (seen, ended) = run(&agent, &call(&addr, "a", 0, 3));
    assert_eq!(seen, [""; 0]);
    assert!(matches!(ended, Err(CallError::Refused { leaving, .. }) if leaving == leaves));
    assert_eq!((engine.runs(), engine.held()), (0, BTreeMap::new()));
}

#[test]
fn a_frozen_engine_answers_no_call_within_its_time() {
    let (engine, agent, addr) = engine(Settings::default());
    engine.set(Faults { frozen: true, ..Faults::default() });
    let short = Generate { remaining: Duration::ZERO, ..call(&addr, "a", 0, 3) };
    let broken = |fault: &CallError| matches!(fault, CallError::OutcomeUnknown(_));
    assert!(run(&agent, &short).1.is_err_and(|f| broken(&f)));
    assert!(load(&agent, &addr).is_err_and(|f| broken(&f)));
    assert!(allocations(&agent, &addr, false).is_err_and(|f| broken(&f)));
}

#[test]
fn an_engine_that_is_gone_was_sent_nothing() {
    let unused = std::net::TcpListener::bind("127.0.0.1:0").expect("binds");
    let addr = unused.local_addr().expect("bound").to_string();
    drop(unused);
    let (_, ended) = run(&client::agent(1), &call(&addr, "a", 0, 3));
    assert!(ended.is_err_and(|fault| fault.not_run()));
}

/// A stream that was given up leaves nothing on its pooled connection.
#[test]
fn an_abandoned_stream_does_not_cross_the_next() {
    let (engine, agent, addr) = engine(Settings::default());
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
        let freed = Cancel { ids: vec![first], expired: false };
        cancel(&agent, &addr, &freed).expect("it is confirmed");
    }
    assert_eq!(engine.held(), BTreeMap::new());
}

#[test]
fn a_cut_stream_stays_held_until_cancelled_and_a_cancel_may_be_repeated() {
    let (engine, agent, addr) = engine(Settings::default());
    engine.set(Faults { cut_after: Some(1), ..Faults::default() });
    assert!(run(&agent, &call(&addr, "a", 0, 3)).1.is_err());
    let holdings = allocations(&agent, &addr, false).expect("a list");
    let piece = &holdings.held[0];
    assert_eq!(
        (piece.id.as_str(), piece.holder.as_str(), piece.purpose),
        ("a", "i/1", Purpose::Stream)
    );
    assert!(piece.tokens > 0 && piece.expired_ms == 0);
    let freed = Cancel { ids: ids(&["a", "unknown"]), expired: false };
    engine.set(Faults { lose_answers: true, ..Faults::default() });
    assert!(cancel(&agent, &addr, &freed).is_err(), "the answer is lost");
    assert_eq!(engine.held(), BTreeMap::new());
    engine.set(Faults::default());
    assert_eq!(cancel(&agent, &addr, &freed), Ok(()));
}

#[test]
fn a_resumed_stream_takes_over_the_memory_of_the_cut_one() {
    let (engine, agent, addr) = engine(Settings::default());
    engine.set(Faults { cut_once: Some(1), hold_from: Some(2), ..Faults::default() });
    assert!(run(&agent, &call(&addr, "a", 0, 3)).1.is_err());
    let before = engine.held()["a"];
    let again = Generate { resumes: Some("a".to_owned()), ..call(&addr, "b", 1, 3) };
    let resumed = std::thread::spawn(move || run(&client::agent(1), &again));
    until("the second attempt holds it", || engine.held().contains_key("b"));
    assert_eq!(engine.held(), [("b".to_owned(), before)].into());
    engine.set(Faults::default());
    let (seen, ended) = resumed.join().expect("no panic");
    assert_eq!((seen, ended), (ids(&["b/1", "b/2", "b/end3"]), Ok(())));
    until("nothing is held", || engine.held().is_empty());
}

#[test]
fn a_renewal_moves_the_expiry_of_what_the_holder_has() {
    let (_engine, agent, addr) = engine(Settings::default());
    let of = |id, expiry| Reserve { claim: claim(id, expiry), tokens: 10 };
    reserve(&agent, &addr, &of("a", 1)).expect("reserved");
    reserve(&agent, &addr, &of("b", 1)).expect("reserved");
    until("both have expired", || {
        allocations(&agent, &addr, true).is_ok_and(|h| h.held.len() == 2)
    });
    let asked =
        |holder: &str| Renew { holder: holder.to_owned(), expiry_ms: LONG, ids: ids(&["a", "x"]) };
    let foreign = renew(&agent, &addr, &asked("j/1")).expect("an answer");
    assert_eq!(foreign.unknown, ["a", "x"]);
    assert_eq!(renew(&agent, &addr, &asked("i/1")).expect("an answer").unknown, ["x"]);
    let expired = allocations(&agent, &addr, true).expect("a list").held;
    assert_eq!(expired.iter().map(|h| h.id.as_str()).collect::<Vec<_>>(), ["b"]);
}

#[test]
fn a_conditional_cancel_frees_only_what_has_expired() {
    let (engine, agent, addr) = engine(Settings::default());
    reserve(&agent, &addr, &Reserve { claim: claim("old", 1), tokens: 10 }).expect("reserved");
    reserve(&agent, &addr, &Reserve { claim: claim("new", LONG), tokens: 10 }).expect("reserved");
    until("one has expired", || allocations(&agent, &addr, true).is_ok_and(|h| h.held.len() == 1));
    let freed = Cancel { ids: ids(&["old", "new"]), expired: true };
    cancel(&agent, &addr, &freed).expect("confirmed");
    assert_eq!(engine.held(), [("new".to_owned(), 10)].into());
}

#[test]
fn a_reservation_is_idempotent_and_bounded_by_memory() {
    let (engine, agent, addr) = engine(Settings { capacity: 100, ..Settings::default() });
    let of = |id, tokens| Reserve { claim: claim(id, LONG), tokens };
    assert_eq!(reserve(&agent, &addr, &of("a", 60)), Ok(()));
    assert_eq!(reserve(&agent, &addr, &of("a", 60)), Ok(()));
    assert!(matches!(reserve(&agent, &addr, &of("b", 60)), Err(CallError::Refused { .. })));
    assert_eq!(engine.held(), [("a".to_owned(), 60)].into());
    assert_eq!(load(&agent, &addr).expect("a report").free, 40);
}

#[test]
fn a_group_generates_only_on_its_reservation() {
    let (engine, agent, addr) = engine(Settings { capacity: 5, ..Settings::default() });
    let group = vec![(addr.clone(), 5), ("127.0.0.1:1".to_owned(), 5)];
    let asked = Generate { group, ..call(&addr, "a", 0, 2) };
    assert!(matches!(run(&agent, &asked).1, Err(CallError::Refused { .. })));
    reserve(&agent, &addr, &Reserve { claim: claim("a", LONG), tokens: 5 }).expect("reserved");
    let (seen, ended) = run(&agent, &asked);
    assert_eq!((seen, ended), (ids(&["a/0", "a/1", "a/end2"]), Ok(())));
    until("nothing is held", || engine.held().is_empty());
}

#[test]
fn an_exported_block_lives_on_its_own_and_is_imported_elsewhere() {
    let (from, agent, addr) = engine(Settings::default());
    let (to, _, other) = engine(Settings::default());
    from.set(Faults { cut_after: Some(1), ..Faults::default() });
    assert!(run(&agent, &call(&addr, "a", 0, 3)).1.is_err());
    let asked = |id, attempt: &str| Export { claim: claim(id, LONG), attempt: attempt.to_owned() };
    let block = export(&agent, &addr, &asked("block", "a")).expect("exported");
    let unknown = export(&agent, &addr, &asked("none", "unknown"));
    assert!(matches!(unknown, Err(CallError::Refused { .. })));
    cancel(&agent, &addr, &Cancel { ids: ids(&["a"]), expired: false }).expect("confirmed");
    assert_eq!(from.held(), [("block".to_owned(), block.tokens)].into());
    let copy = Import { claim: claim("copy", LONG), from: addr.clone(), tokens: block.tokens };
    import(&agent, &other, &copy).expect("imported");
    let holdings = allocations(&agent, &other, false).expect("a list").held;
    assert_eq!((holdings[0].purpose, holdings[0].tokens), (Purpose::Block, block.tokens));
    cancel(&agent, &addr, &Cancel { ids: ids(&["block"]), expired: false }).expect("confirmed");
    cancel(&agent, &other, &Cancel { ids: ids(&["copy"]), expired: false }).expect("confirmed");
    assert_eq!((from.held(), to.held()), (BTreeMap::new(), BTreeMap::new()));
}

#[test]
fn a_restart_forgets_all_and_has_a_new_boot_number() {
    let (engine, agent, addr) = engine(Settings::default());
    reserve(&agent, &addr, &Reserve { claim: claim("a", LONG), tokens: 10 }).expect("reserved");
    let boot = allocations(&agent, &addr, false).expect("a list").boot;
    engine.restart();
    let holdings = allocations(&agent, &addr, false).expect("a list");
    assert!(holdings.boot > boot && holdings.held.is_empty());
    assert_eq!(load(&agent, &addr).expect("a report").boot, holdings.boot);
    let asked = Renew { holder: "i/1".to_owned(), expiry_ms: LONG, ids: ids(&["a"]) };
    assert_eq!(renew(&agent, &addr, &asked).expect("an answer").unknown, ["a"]);
}

#[test]
fn a_report_may_be_old() {
    let (engine, agent, addr) = engine(Settings::default());
    engine.set(Faults { load_lag_ms: LONG, ..Faults::default() });
    let first = load(&agent, &addr).expect("a report");
    reserve(&agent, &addr, &Reserve { claim: claim("a", LONG), tokens: 10 }).expect("reserved");
    assert_eq!(load(&agent, &addr).expect("a report"), first);
    engine.set(Faults::default());
    let later = load(&agent, &addr).expect("a report");
    assert!(later.number > first.number && later.free < first.free);
}

#[test]
fn cache_events_come_late_and_with_gaps() {
    let (engine, agent, addr) = engine(Settings::default());
    engine.set(Faults { event_lag_ms: LONG, ..Faults::default() });
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
