//! Prompts larger than one engine's memory run on groups, all or nothing.

use std::sync::mpsc::{Receiver, channel};
use std::thread;

use mimosapass_core::roles::leader;
use mimosapass_standin::engine::{Faults, Settings};
use mimosapass_target::client;
use mimosapass_target::memory::{Cancel, Claim, Reserve, cancel, reserve};
use rstest::rstest;

use crate::common::{CONFIG, Fleet, PATIENCE, Seen, chat, post, status, until};

/// Memory of one engine, in tokens.
const CAPACITY: u64 = 1_000;
/// Tokens of a prompt that needs more than two engines.
const LONG: usize = 2_300;
/// Claims that are renewed and expire quickly.
const QUICK: &str = "claims: {period_ms: 300, expiry_ms: 3000}\n";

/// Starts three engines and so many instances in one zone; the leader is first.
fn fleet(instances: usize) -> Fleet {
    started(engines(3), instances)
}

/// Starts so many engines.
fn engines(count: usize) -> Fleet {
    let settings = Settings { capacity: CAPACITY, ..Settings::default() };
    Fleet::new(&vec![("zone-a", settings); count])
}

fn started(mut fleet: Fleet, instances: usize) -> Fleet {
    fleet.apply(CONFIG);
    for _ in 0..instances {
        fleet.start("zone-a", QUICK);
    }
    fleet.settle();
    ready(&fleet);
    let names: Vec<&str> = fleet.instances.iter().map(|i| i.name.as_str()).collect();
    let leader = leader(&names).expect("one lives").to_owned();
    fleet.instances.sort_by_key(|i| i.name != leader);
    fleet
}

/// Waits until every instance knows its peers and the memory of all engines.
fn ready(fleet: &Fleet) {
    for instance in &fleet.instances {
        until("peers and memory are known", || {
            let status = status(instance);
            let free = |t: &&serde_json::Value| t["free"] == CAPACITY;
            let known = status["targets"].as_array().map_or(0, |t| t.iter().filter(free).count());
            let peers = status["peers"].as_array().map_or(0, Vec::len);
            known >= 3 && peers == fleet.instances.len() - 1
        });
    }
}

#[test]
fn the_call_to_the_leader_is_a_hop_with_a_span() {
    let mut fleet = engines(3);
    fleet.apply(CONFIG);
    for _ in 0..2 {
        fleet.start("zone-a", &format!("{QUICK}trace: stdout\nstop: {{notice_ms: 0}}\n"));
    }
    fleet.settle();
    ready(&fleet);
    let names: Vec<&str> = fleet.instances.iter().map(|i| i.name.as_str()).collect();
    let leader = leader(&names).expect("one lives").to_owned();
    let other = usize::from(fleet.instances[0].name == leader);
    let url = fleet.instances[other].url("/v1/chat/completions");
    assert_eq!(post(&url, &[], &chat(LONG, 1, false)).expect("an answer").status, 200);
    fleet.instances[other].signal("TERM");
    fleet.instances[other].child.wait().expect("it ends");
    let spans = fleet.output(other);
    assert!(spans.contains(": peer\n"), "{spans}");
    assert!(!spans.contains(": choice\n"), "{spans}");
}

fn set(fleet: &Fleet, faults: &Faults) {
    fleet.engines.iter().for_each(|(_, e)| e.set(faults.clone()));
}

fn held_at_two() -> Faults {
    Faults { hold_from: Some(2), ..Faults::default() }
}

fn held(fleet: &Fleet) -> Vec<usize> {
    fleet.engines.iter().map(|(_, e)| e.held().len()).collect()
}

fn runs(fleet: &Fleet) -> u64 {
    fleet.engines.iter().map(|(_, e)| e.runs()).sum()
}

/// Sends a prompt through an instance on a thread of its own.
fn send(
    fleet: &Fleet,
    instance: usize,
    tokens: usize,
    deadline_ms: &'static str,
) -> Receiver<Seen> {
    let url = fleet.instances[instance].url("/v1/chat/completions");
    let (sender, answer) = channel();
    thread::spawn(move || {
        let headers = [("mimosapass-deadline-ms", deadline_ms)];
        if let Ok(seen) = post(&url, &headers, &chat(tokens, 6, false)) {
            // The test may have ended before.
            sender.send(seen).unwrap_or_default();
        }
    });
    answer
}

fn whole(seen: &Seen) -> bool {
    seen.status == 200 && seen.body.as_ref().is_ok_and(|b| b.contains("t0 t1 t2 t3 t4 t5 "))
}

#[rstest]
#[case::by_the_leader(0)]
#[case::through_another_instance(1)]
fn a_prompt_of_over_twice_an_engine_is_answered(#[case] instance: usize) {
    let fleet = fleet(2);
    set(&fleet, &held_at_two());
    let answer = send(&fleet, instance, LONG, "20000");
    until("three engines hold its parts", || held(&fleet) == [1, 1, 1]);
    until("one engine runs it", || runs(&fleet) == 1);
    set(&fleet, &Faults::default());
    let seen = answer.recv_timeout(PATIENCE).expect("it ends");
    assert!(whole(&seen), "{seen:?}");
    until("nothing is held", || held(&fleet) == [0, 0, 0]);
}

#[test]
fn a_prompt_that_never_fits_is_refused_at_once() {
    let fleet = fleet(1);
    set(&fleet, &Faults { frozen: true, ..Faults::default() });
    let seen = send(&fleet, 0, 3 * CAPACITY as usize, "20000").recv_timeout(PATIENCE);
    let seen = seen.expect("it ends");
    assert_eq!((seen.status, seen.not_run, seen.retry), (422, true, None), "{seen:?}");
    assert!(seen.body.expect("whole").contains("never_fits"));
    assert_eq!(runs(&fleet), 0);
}

#[test]
fn a_group_that_stays_incomplete_is_given_back() {
    let fleet = fleet(1);
    let addr = fleet.engines[2].1.addr().to_string();
    let agent = client::agent(0);
    // The reports do not show it yet, so that a group is tried and refused.
    let claim = Claim { id: "busy".to_owned(), holder: "x".to_owned(), expiry_ms: 60_000 };
    reserve(&agent, &addr, &Reserve { claim, tokens: CAPACITY }).expect("it is reserved");
    let seen = send(&fleet, 0, LONG, "1500").recv_timeout(PATIENCE).expect("it ends");
    assert_eq!((seen.status, seen.not_run), (503, true), "{seen:?}");
    until("only the other piece is held", || held(&fleet) == [0, 0, 1]);
    cancel(&agent, &addr, &Cancel { ids: vec!["busy".to_owned()], expired: false }).expect("freed");
    assert_eq!(runs(&fleet), 0);
}

#[rstest]
#[case::never_heard_of(true)]
#[case::known(false)]
fn a_frozen_engine_is_left_out(#[case] from_the_start: bool) {
    let mut fleet = engines(4);
    let frozen = Faults { frozen: true, ..Faults::default() };
    if from_the_start {
        fleet.engines[0].1.set(frozen.clone());
    }
    fleet = started(fleet, 1);
    fleet.engines[0].1.set(frozen);
    let seen = send(&fleet, 0, LONG, "20000").recv_timeout(PATIENCE).expect("it ends");
    assert!(whole(&seen), "{seen:?}");
    until("nothing is held by the others", || held(&fleet)[1..] == [0, 0, 0]);
}

fn engine_cuts(fleet: &mut Fleet, _: &Receiver<Seen>) {
    set(fleet, &Faults { cut_after: Some(2), ..Faults::default() });
}

fn caller_is_out_of_time(fleet: &mut Fleet, answer: &Receiver<Seen>) {
    let seen = answer.recv_timeout(PATIENCE).expect("it ends");
    assert_eq!(seen.status, 504, "{seen:?}");
    set(fleet, &Faults::default());
}

fn asking_instance_dies(fleet: &mut Fleet, _: &Receiver<Seen>) {
    fleet.instances[1].signal("KILL");
}

fn leader_dies(fleet: &mut Fleet, answer: &Receiver<Seen>) {
    fleet.instances[0].signal("KILL");
    set(fleet, &Faults::default());
    let seen = answer.recv_timeout(PATIENCE).expect("it ends");
    assert!(whole(&seen), "{seen:?}");
}

#[rstest]
#[case::engine_cuts(engine_cuts)]
#[case::caller_is_out_of_time(caller_is_out_of_time)]
#[case::asking_instance_dies(asking_instance_dies)]
#[case::leader_dies(leader_dies)]
fn a_running_group_is_given_back_when(#[case] fault: fn(&mut Fleet, &Receiver<Seen>)) {
    let mut fleet = fleet(3);
    set(&fleet, &held_at_two());
    let answer = send(&fleet, 1, LONG, "6000");
    until("one engine runs it", || runs(&fleet) == 1);
    fault(&mut fleet, &answer);
    until("nothing is held", || held(&fleet) == [0, 0, 0]);
}

#[test]
fn a_leader_that_dies_while_it_reserves_is_replaced() {
    let fleet = fleet(3);
    let last = &fleet.engines[2].1;
    last.set(Faults { frozen: true, ..Faults::default() });
    let answer = send(&fleet, 1, LONG, "25000");
    until("a part is reserved", || held(&fleet)[0] == 1);
    fleet.instances[0].signal("KILL");
    last.set(Faults::default());
    let seen = answer.recv_timeout(PATIENCE).expect("it ends");
    assert!(whole(&seen), "{seen:?}");
    until("nothing is held", || held(&fleet) == [0, 0, 0]);
}

/// Each group needs all engines, so that they can only run in turn.
#[rstest]
#[case::one_leader(false)]
#[case::two_leaders(true)]
fn groups_do_not_block_each_other(#[case] cut: bool) {
    let near = fleet(2);
    let mut far = Fleet::new(&[]);
    if cut {
        // Two fleets that share nothing but the engines have a leader each.
        far.engines.clone_from(&near.engines);
        far.engine_zones.clone_from(&near.engine_zones);
        far.apply(CONFIG);
        far.start("zone-a", QUICK);
        far.settle();
        ready(&far);
    }
    let answers: Vec<Receiver<Seen>> = (0..6)
        .map(|n| match (cut, n % 2) {
            (true, 1) => send(&far, 0, LONG, "25000"),
            (_, instance) => send(&near, instance, LONG, "25000"),
        })
        .collect();
    for answer in answers {
        let seen = answer.recv_timeout(PATIENCE).expect("it ends");
        assert!(whole(&seen), "{seen:?}");
    }
    until("nothing is held", || held(&near) == [0, 0, 0]);
}
