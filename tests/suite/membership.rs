//! Membership through the list, seeds and introductions; zone summaries; polls.

use std::io::Read;
use std::net::TcpListener;

use mimosapass_keyvalue::members::Role;
use mimosapass_standin::engine::Settings;
use mimosapass_standin::platform::Faults;
use rstest::rstest;

use crate::common::{CONFIG, Fleet, Instance, status, wait_until};

fn peer_names(instance: &Instance) -> Vec<String> {
    let peers = status(instance)["peers"].as_array().cloned().unwrap_or_default();
    peers.iter().filter_map(|p| p["name"].as_str().map(str::to_owned)).collect()
}

fn wait_until_all_know_all(fleet: &Fleet) {
    let others = fleet.instances.len() - 1;
    wait_until("all know all", || fleet.instances.iter().all(|i| peer_names(i).len() == others));
}

#[rstest]
#[case::no_list(false)]
#[case::platform_out(true)]
fn unlisted_instances_are_introduced(#[case] outage: bool) {
    let mut fleet = Fleet::new(&[]);
    fleet.apply(CONFIG);
    fleet.start_unlisted("zone-a", "", fleet.platform.addr(), &[]);
    wait_until("the first is ready", || fleet.instances[0].is_ready());
    fleet.platform.set(Faults { outage, ..Faults::default() });
    // Each of the others knows only the first.
    let seed = [fleet.instances[0].peer_addr()];
    for _ in 0..3 {
        fleet.start_unlisted("zone-a", "", fleet.platform.addr(), &seed);
    }
    wait_until_all_know_all(&fleet);
    wait_until("all are ready", || fleet.instances.iter().all(Instance::is_ready));
}

#[rstest]
#[case::killed("KILL")]
#[case::stopped("STOP")]
fn a_silent_instance_is_removed_and_its_targets_are_polled_by_others(#[case] signal: &str) {
    let engines = [("zone-a", Settings::default()), ("zone-a", Settings::default())];
    let mut fleet = Fleet::new(&engines);
    fleet.apply(CONFIG);
    for _ in 0..3 {
        fleet.start("zone-a", "");
    }
    fleet.wait_ready();
    wait_until_all_know_all(&fleet);
    for at in 0..2 {
        fleet.instances[at].signal(signal);
    }
    wait_until("the last is alone", || peer_names(&fleet.instances[2]).is_empty());
    let polled: Vec<u64> = fleet.engines.iter().map(|(_, e)| e.reports()).collect();
    wait_until("it polls all engines", || {
        fleet.engines.iter().zip(&polled).all(|((_, e), old)| e.reports() > old + 1)
    });
    if signal == "STOP" {
        fleet.instances[0].signal("CONT");
        wait_until("one is back", || peer_names(&fleet.instances[2]).len() == 1);
    }
}

#[test]
fn zones_exchange_summaries_of_their_pools() {
    let engines = [("zone-a", Settings::default()), ("zone-b", Settings::default())];
    let mut fleet = Fleet::new(&engines);
    fleet.apply(CONFIG);
    fleet.start("zone-a", "");
    fleet.start("zone-b", "");
    fleet.wait_ready();
    let has_summary = |of: usize, zone: &str| {
        let seen = status(&fleet.instances[of]);
        let zones = seen["zones"].as_array().cloned().unwrap_or_default();
        zones.iter().any(|z| z["name"] == zone && z["free"].as_u64() > Some(0))
    };
    wait_until("each knows the other zone", || {
        has_summary(0, "zone-b") && has_summary(1, "zone-a")
    });
}

#[test]
fn an_engine_that_never_answers_delays_no_report_of_another() {
    let mut fleet = Fleet::new(&[("zone-a", Settings::default())]);
    fleet.apply(CONFIG);
    fleet.start("zone-a", "");
    fleet.wait_ready();
    let silent = TcpListener::bind("127.0.0.1:0").expect("an address");
    let mut members = fleet.members();
    let mut member = members.iter().find(|m| m.role == Role::Engine).expect("an engine").clone();
    "engine-silent".clone_into(&mut member.name);
    member.addr = silent.local_addr().expect("an address").to_string();
    members.push(member);
    fleet.platform.set_members(members);
    let engine = &fleet.engines[0].1;
    // The connections stay open, so that each poll times out.
    let mut open = Vec::new();
    let mut await_poll = || loop {
        let (mut stream, _) = silent.accept().expect("a call");
        let mut head = [0; 9];
        stream.read_exact(&mut head).expect("a request");
        open.push(stream);
        if head == *b"GET /load" {
            return;
        }
    };
    await_poll();
    let before = engine.reports();
    (0..3).for_each(|_| await_poll());
    let reports = engine.reports() - before;
    assert!(reports >= 5, "{reports} reports during 3 polls of the silent engine");
}
