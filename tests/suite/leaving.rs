//! A leaving target gets no new requests after a few seconds.

use std::io::{BufRead, BufReader};
use std::time::Duration;

use mimosapass_standin::engine::{Faults, Settings};
use mimosapass_standin::relay::Relay;
use mimosapass_standin::service;
use rstest::rstest;

use crate::common::{CONFIG, Fleet, agent, chat_body, post, status, wait_until, wait_within};

/// Time after which a leaving target gets no new requests.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(5);

/// How it becomes known that a target is leaving.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Notice {
    /// The member list marks it as leaving.
    Listed,
    /// The member list no longer contains it.
    Unlisted,
    /// The configuration drains it.
    Drained,
    /// Its load report says so, and it refuses requests.
    Reported,
}

/// Starts two engines and two instances that reach the platform through a relay.
fn fleet() -> (Fleet, Relay) {
    let engines = [("zone-a", Settings::default()), ("zone-a", Settings::default())];
    let mut fleet = Fleet::new(&engines);
    fleet.apply(CONFIG);
    let relay = Relay::start(fleet.platform.addr()).expect("a relay");
    fleet.start_unlisted("zone-a", "", relay.addr(), &[]);
    let first = [fleet.instances[0].peer_addr()];
    fleet.start_unlisted("zone-a", "", relay.addr(), &first);
    fleet.publish_members();
    fleet.wait_ready();
    (fleet, relay)
}

fn leave(fleet: &Fleet, notice: Notice) {
    let mut members = fleet.members();
    match notice {
        Notice::Listed => {
            members.iter_mut().filter(|m| m.name == "engine-0").for_each(|m| m.leaving = true);
        }
        Notice::Unlisted => members.retain(|m| m.name != "engine-0"),
        Notice::Drained => {
            let drained = "targets:\n  - name: engine-0\n    labels: {gone: yes}\ndrained:\n  \
                           - {gone: yes}\n";
            fleet.apply(&format!("{CONFIG}{drained}"));
        }
        Notice::Reported => {
            fleet.engines[0].1.set(Faults { leaving: true, ..Faults::default() });
        }
    }
    fleet.platform.set_members(members);
}

fn is_available(fleet: &Fleet, at: usize, name: &str) -> bool {
    let seen = status(&fleet.instances[at]);
    let targets = seen["targets"].as_array().cloned().unwrap_or_default();
    targets.iter().any(|t| t["name"] == name && t["open"] == true)
}

#[rstest]
#[case::by_the_list(Notice::Listed, false)]
#[case::by_its_absence_from_the_list(Notice::Unlisted, false)]
#[case::by_the_configuration(Notice::Drained, false)]
#[case::by_its_report(Notice::Reported, false)]
#[case::by_its_report_in_a_zone_cut_off(Notice::Reported, true)]
fn a_leaving_engine_gets_no_new_requests(#[case] notice: Notice, #[case] cut: bool) {
    let (fleet, relay) = fleet();
    relay.set_cut(cut);
    // Streams opened before must still complete.
    let engine = &fleet.engines[0].1;
    let hold =
        Faults { hold_from: Some(1), leaving: notice == Notice::Reported, ..Faults::default() };
    let mut streams = Vec::new();
    for (_, engine) in &fleet.engines {
        engine.set(Faults { hold_from: Some(1), ..Faults::default() });
    }
    while engine.runs() == 0 {
        let url = fleet.instances[0].url("/v1/chat/completions");
        let request = agent().post(&url).header("mimosapass-workspace", "atlas");
        streams.push(request.send(chat_body(100, 3, true)).expect("an answer"));
        assert!(streams.len() < 50, "no request reached the engine");
    }
    fleet.engines[1].1.set(Faults::default());
    leave(&fleet, notice);
    engine.set(hold);
    wait_within(LEAVE_TIMEOUT, "all instances know", || {
        (0..2).all(|at| !is_available(&fleet, at, "engine-0"))
    });
    let before = engine.runs();
    for instance in &fleet.instances {
        let url = instance.url("/v1/chat/completions");
        for _ in 0..10 {
            let seen = post(&url, &[], &chat_body(100, 2, false)).expect("an answer");
            assert_eq!(seen.status, 200, "{seen:?}");
        }
    }
    assert_eq!(engine.runs(), before);
    engine.set(Faults { leaving: notice == Notice::Reported, ..Faults::default() });
    for stream in streams {
        let lines = BufReader::new(stream.into_body().into_reader()).lines();
        let lines: Vec<String> = lines.map(|l| l.expect("readable")).collect();
        assert!(lines.iter().any(|l| l == "data: [DONE]"), "{lines:?}");
    }
}

#[rstest]
#[case::platform_in_reach(false)]
#[case::in_a_zone_cut_off(true)]
fn a_service_that_refuses_gets_no_new_requests(#[case] cut: bool) {
    let (fleet, relay) = fleet();
    relay.set_cut(cut);
    fleet.service.set(service::Faults { leaving: true, ..service::Faults::default() });
    let url = fleet.instances[0].url("/services/lookups/vans");
    let seen = post(&url, &[], "one").expect("an answer");
    assert_eq!((seen.status, seen.not_run), (503, true), "{seen:?}");
    wait_until("the instance knows", || !is_available(&fleet, 0, "desk-0"));
    assert!(fleet.service.runs().is_empty());
}

#[test]
fn a_zone_cut_off_from_the_platform_keeps_its_last_list() {
    let (fleet, relay) = fleet();
    let cut = || status(&fleet.instances[0])["cut"] == true;
    relay.set_cut(true);
    wait_until("it knows that it is cut off", cut);
    let url = fleet.instances[0].url("/v1/chat/completions");
    let seen = post(&url, &[], &chat_body(100, 2, false)).expect("an answer");
    assert_eq!(seen.status, 200, "{seen:?}");
    relay.set_cut(false);
    fleet.platform.set_members(Vec::new());
    wait_until("it knows that it is not cut off", || !cut());
    assert!(is_available(&fleet, 0, "engine-0"), "an empty list is ignored");
}
