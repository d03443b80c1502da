//! Outages of the platform: what still works, what does not, and recovery.

use std::thread;

use mimosapass_standin::engine::{self, Settings};
use mimosapass_standin::platform::Faults;

use crate::common::{CONFIG, Fleet, agent, chat_body, post, status, wait_until};

fn outage() -> Faults {
    Faults { outage: true, ..Faults::default() }
}

fn page(fleet: &Fleet, at: usize, path: &str) -> String {
    let response = agent().get(fleet.instances[at].operator_url(path)).call();
    response.map(|mut r| r.body_mut().read_to_string().unwrap_or_default()).unwrap_or_default()
}

#[test]
fn a_zone_replaced_one_by_one_in_an_outage_keeps_serving() {
    let mut fleet = Fleet::new(&[("zone-a", Settings::default())]);
    fleet.apply(CONFIG);
    let version = fleet.apply(&format!("{CONFIG}  - name: dokaz\n"));
    let extra = "stop: {notice_ms: 100}\n";
    for _ in 0..3 {
        fleet.start("zone-a", extra);
    }
    fleet.wait_ready();
    fleet.platform.set(outage());
    for old in 0..3 {
        // Each new instance knows only one of the running ones.
        let seed = [fleet.instances[old].peer_addr()];
        let new = fleet.start_unlisted("zone-a", extra, fleet.platform.addr(), &seed);
        fleet.wait_instance_ready(new);
        assert_eq!(status(&fleet.instances[new])["config"], version);
        fleet.instances[old].signal("TERM");
        assert!(fleet.instances[old].child.wait().expect("it ends").success());
    }
    for at in 3..6 {
        let url = fleet.instances[at].url("/v1/chat/completions");
        let seen = post(&url, &[], &chat_body(100, 2, false)).expect("an answer");
        assert_eq!(seen.status, 200, "{seen:?}");
        wait_until("it knows the others", || {
            status(&fleet.instances[at])["peers"].as_array().map(Vec::len) == Some(2)
        });
    }
    fleet.platform.set(Faults::default());
    fleet.publish_members();
    let next = fleet.apply(CONFIG);
    wait_until("a change is applied again", || {
        fleet.instances[3..].iter().all(|i| status(i)["config"] == next)
    });
}

#[test]
fn memory_is_freed_although_all_instances_are_replaced_in_an_outage() {
    let mut fleet = Fleet::new(&[("zone-a", Settings::default())]);
    fleet.apply(CONFIG);
    let extra = "stop: {notice_ms: 100}\nclaims: {period_ms: 300, expiry_ms: 3000}\n";
    for _ in 0..2 {
        fleet.start("zone-a", extra);
    }
    fleet.wait_ready();
    fleet.platform.set(outage());
    let engine = fleet.engines[0].1.clone();
    engine.set(engine::Faults { hold_from: Some(1), ..engine::Faults::default() });
    let url = fleet.instances[0].url("/v1/chat/completions");
    let request = thread::spawn(move || post(&url, &[], &chat_body(100, 4, false)).is_err());
    wait_until("the engine holds a stream", || engine.held().len() == 1);
    fleet.instances[0].signal("KILL");
    assert!(request.join().expect("it ends"));
    let seed = [fleet.instances[1].peer_addr()];
    let new = fleet.start_unlisted("zone-a", extra, fleet.platform.addr(), &seed);
    fleet.wait_instance_ready(new);
    fleet.instances[1].signal("TERM");
    assert!(fleet.instances[1].child.wait().expect("it ends").success());
    // The only remaining instance never had the holder as a peer.
    wait_until("the engine holds nothing", || engine.held().is_empty());
}

#[test]
fn a_cold_start_in_an_outage_says_why_it_is_not_ready() {
    let mut fleet = Fleet::new(&[("zone-a", Settings::default())]);
    fleet.apply(CONFIG);
    fleet.platform.set(outage());
    for _ in 0..2 {
        fleet.start("zone-a", "");
    }
    let says_why =
        |at: usize| page(&fleet, at, "/readyz").contains("the key-value service does not");
    wait_until("each says why it is not ready", || says_why(0) && says_why(1));
    wait_until("each says that its peer has no configuration", || {
        page(&fleet, 0, "/readyz").contains("1 peers have none")
    });
    let url = fleet.instances[0].url("/v1/chat/completions");
    let seen = post(&url, &[], &chat_body(100, 2, false)).expect("an answer");
    assert_eq!((seen.status, seen.not_run), (503, true), "{seen:?}");
    assert!(seen.retry_after_s.is_some(), "{seen:?}");
    fleet.platform.set(Faults::default());
    fleet.wait_ready();
}
