//! A leaving target gets no new work after a few seconds.

use std::io::{BufRead, BufReader};
use std::time::Duration;

use mimosapass_standin::engine::{Faults, Settings};
use mimosapass_standin::relay::Relay;
use mimosapass_standin::service;
use rstest::rstest;

use crate::common::{CONFIG, Fleet, agent, chat, post, status, until, within};

/// Time after which a leaving target gets no new work.
const SECONDS: Duration = Duration::from_secs(5);

/// How a target tells that it leaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Way {
    /// The platform's list says so.
    Listed,
    /// The platform's list names it no more.
    Vanished,
    /// The operators drain it.
    Drained,
    /// Its load report says so, and it refuses.
    Reported,
}

/// Two instances and two engines; the second instance reaches the platform by a path.
fn fleet() -> (Fleet, Relay) {
    let engines = [("zone-a", Settings::default()), ("zone-a", Settings::default())];
    let mut fleet = Fleet::new(&engines);
    fleet.apply(CONFIG);
    let path = Relay::start(fleet.platform.addr()).expect("a path");
    fleet.launch("zone-a", "", path.addr(), &[]);
    let first = [fleet.instances[0].peers()];
    fleet.launch("zone-a", "", path.addr(), &first);
    fleet.publish();
    fleet.settle();
    (fleet, path)
}

fn leave(fleet: &Fleet, way: Way) {
    let mut members = fleet.members();
    match way {
        Way::Listed => {
            members.iter_mut().filter(|m| m.name == "engine-0").for_each(|m| m.leaving = true);
        }
        Way::Vanished => members.retain(|m| m.name != "engine-0"),
        Way::Drained => {
            let drained = "targets:\n  - name: engine-0\n    labels: {gone: yes}\ndrained:\n  \
                           - {gone: yes}\n";
            fleet.apply(&format!("{CONFIG}{drained}"));
        }
        Way::Reported => {
            fleet.engines[0].1.set(Faults { leaving: true, ..Faults::default() });
        }
    }
    fleet.platform.set_members(members);
}

fn open(fleet: &Fleet, at: usize, name: &str) -> bool {
    let seen = status(&fleet.instances[at]);
    let targets = seen["targets"].as_array().cloned().unwrap_or_default();
    targets.iter().any(|t| t["name"] == name && t["open"] == true)
}

#[rstest]
#[case::by_the_list(Way::Listed, false)]
#[case::by_vanishing(Way::Vanished, false)]
#[case::by_the_configuration(Way::Drained, false)]
#[case::by_its_report(Way::Reported, false)]
#[case::by_its_report_in_a_zone_cut_off(Way::Reported, true)]
fn no_new_work_goes_to_a_leaving_engine(#[case] way: Way, #[case] cut: bool) {
    let (fleet, path) = fleet();
    path.set_cut(cut);
    // A stream that is open goes on.
    let engine = &fleet.engines[0].1;
    let hold = Faults { hold_from: Some(1), leaving: way == Way::Reported, ..Faults::default() };
    let mut streams = Vec::new();
    for (_, engine) in &fleet.engines {
        engine.set(Faults { hold_from: Some(1), ..Faults::default() });
    }
    while engine.runs() == 0 {
        let url = fleet.instances[0].url("/v1/chat/completions");
        let request = agent().post(&url).header("mimosapass-workspace", "atlas");
        streams.push(request.send(chat(100, 3, true)).expect("an answer"));
        assert!(streams.len() < 50, "no request came to the engine");
    }
    fleet.engines[1].1.set(Faults::default());
    leave(&fleet, way);
    engine.set(hold);
    within(SECONDS, "all know", || (0..2).all(|at| !open(&fleet, at, "engine-0")));
    let before = engine.runs();
    for instance in &fleet.instances {
        let url = instance.url("/v1/chat/completions");
        for _ in 0..10 {
            let seen = post(&url, &[], &chat(100, 2, false)).expect("an answer");
            assert_eq!(seen.status, 200, "{seen:?}");
        }
    }
    assert_eq!(engine.runs(), before);
    engine.set(Faults { leaving: way == Way::Reported, ..Faults::default() });
    for stream in streams {
        let lines = BufReader::new(stream.into_body().into_reader()).lines();
        let lines: Vec<String> = lines.map(|l| l.expect("readable")).collect();
        assert!(lines.iter().any(|l| l == "data: [DONE]"), "{lines:?}");
    }
}

#[rstest]
#[case::platform_in_reach(false)]
#[case::in_a_zone_cut_off(true)]
fn a_service_that_refuses_gets_no_more(#[case] cut: bool) {
    let (fleet, path) = fleet();
    path.set_cut(cut);
    fleet.desk.set(service::Faults { leaving: true, ..service::Faults::default() });
    let url = fleet.instances[0].url("/services/lookups/vans");
    let seen = post(&url, &[], "one").expect("an answer");
    assert_eq!((seen.status, seen.not_run), (503, true), "{seen:?}");
    until("it is known", || !open(&fleet, 0, "desk-0"));
    assert!(fleet.desk.runs().is_empty());
}

#[test]
fn a_zone_cut_off_keeps_its_last_list() {
    let (fleet, path) = fleet();
    let cut = || status(&fleet.instances[0])["cut"] == true;
    path.set_cut(true);
    until("it knows that it is cut off", cut);
    let url = fleet.instances[0].url("/v1/chat/completions");
    let seen = post(&url, &[], &chat(100, 2, false)).expect("an answer");
    assert_eq!(seen.status, 200, "{seen:?}");
    path.set_cut(false);
    fleet.platform.set_members(Vec::new());
    until("it knows that it is not cut off", || !cut());
    assert!(open(&fleet, 0, "engine-0"), "an empty list is no news");
}
