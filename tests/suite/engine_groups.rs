//! Prompts larger than one engine's memory run on a whole group of engines or not at all.

use std::sync::mpsc::{Receiver, channel};
use std::thread;

use mimosapass_core::roles::leader;
use mimosapass_standin::engine::{Faults, Settings};
use mimosapass_target::client;
use mimosapass_target::memory::{Cancel, Claim, Reserve, cancel, reserve};
use rstest::rstest;

use crate::common::{CONFIG, Fleet, Response, WAIT_TIMEOUT, chat_body, post, status, wait_until};

/// Memory of one engine.
const CAPACITY_TOKENS: u64 = 1_000;
/// Length of a prompt that needs more than two engines.
const LONG_TOKENS: usize = 2_300;
/// Settings under which claims are renewed and expire quickly.
const FAST_CLAIMS: &str = "claims: {period_ms: 300, expiry_ms: 3000}\n";

/// Starts three engines and `instances` instances in one zone; the leader is first.
fn fleet(instances: usize) -> Fleet {
    start_instances(engines(3), instances)
}

fn engines(count: usize) -> Fleet {
    let settings = Settings { capacity: CAPACITY_TOKENS, ..Settings::default() };
    Fleet::new(&vec![("zone-a", settings); count])
}

fn start_instances(mut fleet: Fleet, instances: usize) -> Fleet {
    fleet.apply(CONFIG);
    for _ in 0..instances {
        fleet.start("zone-a", FAST_CLAIMS);
    }
    fleet.wait_ready();
    wait_until_ready(&fleet);
    let names: Vec<&str> = fleet.instances.iter().map(|i| i.name.as_str()).collect();
    let leader = leader(&names).expect("an instance is alive").to_owned();
    fleet.instances.sort_by_key(|i| i.name != leader);
    fleet
}

/// Waits until every instance knows its peers and the memory of all engines.
fn wait_until_ready(fleet: &Fleet) {
    for instance in &fleet.instances {
        wait_until("peers and memory are known", || {
            let status = status(instance);
            let free = |t: &&serde_json::Value| t["free"] == CAPACITY_TOKENS;
            let known = status["targets"].as_array().map_or(0, |t| t.iter().filter(free).count());
            let peers = status["peers"].as_array().map_or(0, Vec::len);
            known >= 3 && peers == fleet.instances.len() - 1
        });
    }
}

#[test]
fn the_call_to_the_leader_has_a_span() {
    let mut fleet = engines(3);
    fleet.apply(CONFIG);
    for _ in 0..2 {
        fleet.start("zone-a", &format!("{FAST_CLAIMS}trace: stdout\nstop: {{notice_ms: 0}}\n"));
    }
    fleet.wait_ready();
    wait_until_ready(&fleet);
    let names: Vec<&str> = fleet.instances.iter().map(|i| i.name.as_str()).collect();
    let leader = leader(&names).expect("an instance is alive").to_owned();
    let other = usize::from(fleet.instances[0].name == leader);
    let url = fleet.instances[other].url("/v1/chat/completions");
    assert_eq!(post(&url, &[], &chat_body(LONG_TOKENS, 1, false)).expect("an answer").status, 200);
    fleet.instances[other].signal("TERM");
    fleet.instances[other].child.wait().expect("the instance ends");
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
) -> Receiver<Response> {
    let url = fleet.instances[instance].url("/v1/chat/completions");
    let (sender, answer) = channel();
    thread::spawn(move || {
        let headers = [("mimosapass-deadline-ms", deadline_ms)];
        if let Ok(seen) = post(&url, &headers, &chat_body(tokens, 6, false)) {
            // The test may have ended already.
            sender.send(seen).unwrap_or_default();
        }
    });
    answer
}

fn complete(seen: &Response) -> bool {
    seen.status == 200 && seen.body.as_ref().is_ok_and(|b| b.contains("t0 t1 t2 t3 t4 t5 "))
}

#[rstest]
#[case::by_the_leader(0)]
#[case::through_another_instance(1)]
fn a_prompt_that_needs_three_engines_is_answered(#[case] instance: usize) {
    let fleet = fleet(2);
    set(&fleet, &held_at_two());
    let answer = send(&fleet, instance, LONG_TOKENS, "20000");
    wait_until("three engines hold the parts of the prompt", || held(&fleet) == [1, 1, 1]);
    wait_until("one engine runs the prompt", || runs(&fleet) == 1);
    set(&fleet, &Faults::default());
    let seen = answer.recv_timeout(WAIT_TIMEOUT).expect("the request ends");
    assert!(complete(&seen), "{seen:?}");
    wait_until("nothing is held", || held(&fleet) == [0, 0, 0]);
}

#[test]
fn a_prompt_that_never_fits_is_refused_at_once() {
    let fleet = fleet(1);
    set(&fleet, &Faults { frozen: true, ..Faults::default() });
    let seen = send(&fleet, 0, 3 * CAPACITY_TOKENS as usize, "20000").recv_timeout(WAIT_TIMEOUT);
    let seen = seen.expect("the request ends");
    assert_eq!((seen.status, seen.not_run, seen.retry_after_s), (422, true, None), "{seen:?}");
    assert!(seen.body.expect("complete").contains("never_fits"));
    assert_eq!(runs(&fleet), 0);
}

#[test]
fn an_incomplete_group_is_released() {
    let fleet = fleet(1);
    let addr = fleet.engines[2].1.addr().to_string();
    let agent = client::agent(0);
    // The load reports do not show this reservation yet, so a group is tried and refused.
    let claim = Claim { id: "busy".to_owned(), holder: "x".to_owned(), expiry_ms: 60_000 };
    reserve(&agent, &addr, &Reserve { claim, tokens: CAPACITY_TOKENS })
        .expect("the memory is reserved");
    let seen =
        send(&fleet, 0, LONG_TOKENS, "1500").recv_timeout(WAIT_TIMEOUT).expect("the request ends");
    assert_eq!((seen.status, seen.not_run), (503, true), "{seen:?}");
    wait_until("only the other reservation is held", || held(&fleet) == [0, 0, 1]);
    cancel(&agent, &addr, &Cancel { ids: vec!["busy".to_owned()], expired: false }).expect("freed");
    assert_eq!(runs(&fleet), 0);
}

#[rstest]
#[case::that_never_reported(true)]
#[case::that_reported(false)]
fn a_frozen_engine_is_excluded_from_a_group(#[case] from_the_start: bool) {
    let mut fleet = engines(4);
    let frozen = Faults { frozen: true, ..Faults::default() };
    if from_the_start {
        fleet.engines[0].1.set(frozen.clone());
    }
    fleet = start_instances(fleet, 1);
    fleet.engines[0].1.set(frozen);
    let seen =
        send(&fleet, 0, LONG_TOKENS, "20000").recv_timeout(WAIT_TIMEOUT).expect("the request ends");
    assert!(complete(&seen), "{seen:?}");
    wait_until("nothing is held by the others", || held(&fleet)[1..] == [0, 0, 0]);
}

fn engine_breaks_off(fleet: &mut Fleet, _: &Receiver<Response>) {
    set(fleet, &Faults { cut_after: Some(2), ..Faults::default() });
}

fn deadline_passes(fleet: &mut Fleet, answer: &Receiver<Response>) {
    let seen = answer.recv_timeout(WAIT_TIMEOUT).expect("the request ends");
    assert_eq!(seen.status, 504, "{seen:?}");
    set(fleet, &Faults::default());
}

fn asking_instance_dies(fleet: &mut Fleet, _: &Receiver<Response>) {
    fleet.instances[1].signal("KILL");
}

fn leader_dies(fleet: &mut Fleet, answer: &Receiver<Response>) {
    fleet.instances[0].signal("KILL");
    set(fleet, &Faults::default());
    let seen = answer.recv_timeout(WAIT_TIMEOUT).expect("the request ends");
    assert!(complete(&seen), "{seen:?}");
}

#[rstest]
#[case::engine_breaks_off(engine_breaks_off)]
#[case::deadline_passes(deadline_passes)]
#[case::asking_instance_dies(asking_instance_dies)]
#[case::leader_dies(leader_dies)]
fn a_running_group_is_released_when(#[case] fault: fn(&mut Fleet, &Receiver<Response>)) {
    let mut fleet = fleet(3);
    set(&fleet, &held_at_two());
    let answer = send(&fleet, 1, LONG_TOKENS, "6000");
    wait_until("one engine runs the prompt", || runs(&fleet) == 1);
    fault(&mut fleet, &answer);
    wait_until("nothing is held", || held(&fleet) == [0, 0, 0]);
}

#[test]
fn a_leader_that_dies_while_it_reserves_is_replaced() {
    let fleet = fleet(3);
    let last = &fleet.engines[2].1;
    last.set(Faults { frozen: true, ..Faults::default() });
    let answer = send(&fleet, 1, LONG_TOKENS, "25000");
    wait_until("a part is reserved", || held(&fleet)[0] == 1);
    fleet.instances[0].signal("KILL");
    last.set(Faults::default());
    let seen = answer.recv_timeout(WAIT_TIMEOUT).expect("the request ends");
    assert!(complete(&seen), "{seen:?}");
    wait_until("nothing is held", || held(&fleet) == [0, 0, 0]);
}

/// Each group needs all engines, so that only one can run at a time.
#[rstest]
#[case::one_leader(false)]
#[case::two_leaders(true)]
fn groups_do_not_block_each_other(#[case] two_leaders: bool) {
    let fleet_a = fleet(2);
    let mut fleet_b = Fleet::new(&[]);
    if two_leaders {
        // Two fleets that share only the engines have a leader each.
        fleet_b.engines.clone_from(&fleet_a.engines);
        fleet_b.engine_zones.clone_from(&fleet_a.engine_zones);
        fleet_b.apply(CONFIG);
        fleet_b.start("zone-a", FAST_CLAIMS);
        fleet_b.wait_ready();
        wait_until_ready(&fleet_b);
    }
    let answers: Vec<Receiver<Response>> = (0..6)
        .map(|n| match (two_leaders, n % 2) {
            (true, 1) => send(&fleet_b, 0, LONG_TOKENS, "25000"),
            (_, instance) => send(&fleet_a, instance, LONG_TOKENS, "25000"),
        })
        .collect();
    for answer in answers {
        let seen = answer.recv_timeout(WAIT_TIMEOUT).expect("the request ends");
        assert!(complete(&seen), "{seen:?}");
    }
    wait_until("nothing is held", || held(&fleet_a) == [0, 0, 0]);
}
