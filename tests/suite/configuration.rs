//! An accepted configuration becomes active everywhere and never reverts.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::sync_channel;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use mimosapass_instance::compression::compress;
use mimosapass_instance::link::{INBOX_LENGTH, Identity, Links};
use mimosapass_instance::message::{Body, Config, Heartbeat};
use mimosapass_keyvalue::kv::KvClient;
use mimosapass_operator::document::{self, PROPAGATION_LIMIT};
use mimosapass_operator::store::{self, StoreError};
use mimosapass_standin::platform::Faults;
use mimosapass_standin::relay::Relay;
use rstest::rstest;
use serde_json::Value;

use crate::common::{CONFIG, Fleet, Instance, agent, status, unique_ip, wait_until, wait_within};

/// Returns a valid configuration that differs by `name`.
fn config_text(name: &str) -> String {
    format!("{CONFIG}  - name: {name}\n")
}

fn two_instances(zones: [&str; 2]) -> Fleet {
    let mut fleet = Fleet::new(&[]);
    fleet.apply(CONFIG);
    for zone in zones {
        fleet.start(zone, "");
    }
    fleet.wait_ready();
    fleet
}

fn version(instance: &Instance) -> u64 {
    status(instance)["config"].as_u64().unwrap_or(0)
}

fn wait_until_active(instances: &[Instance], expected: u64) {
    wait_within(PROPAGATION_LIMIT, "the version is active everywhere", || {
        instances.iter().all(|i| version(i) == expected)
    });
}

/// Checks continuously that no version decreases and none is ready without one.
struct Monitor {
    done: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Monitor {
    fn start(instances: &[Instance]) -> Self {
        let done = Arc::new(AtomicBool::new(false));
        let start = |i: &Instance| {
            let (url, done) = (i.operator_url("/status"), Arc::clone(&done));
            thread::spawn(move || check_status(&url, &done))
        };
        let threads = instances.iter().map(start).collect();
        Self { done, threads }
    }

    fn stop(self) {
        self.done.store(true, Ordering::SeqCst);
        for thread in self.threads {
            thread.join().expect("versions never decrease");
        }
    }
}

fn check_status(url: &str, done: &AtomicBool) {
    let agent = agent();
    let mut last = 0;
    while !done.load(Ordering::SeqCst) {
        if let Ok(mut response) = agent.get(url).call() {
            let seen: Value = response.body_mut().read_json().unwrap_or_default();
            let version = seen["config"].as_u64().unwrap_or(last);
            assert!(version >= last, "{url} went from {last} to {version}");
            assert!(version > 0 || seen["ready"] != true, "{url} is ready without a version");
            last = version;
        }
        thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn one_of_several_concurrent_operators_wins_a_version() {
    let fleet = two_instances(["zone-a", "zone-b"]);
    let monitor = Monitor::start(&fleet.instances);
    let addr = fleet.platform.addr().to_string();
    let prepare = |i: u64| {
        let kv = KvClient::new(&addr);
        let document = document::parse(&config_text(&format!("operator-{i}"))).expect("it holds");
        let base = store::read_head(&kv).expect("a head");
        move || store::apply(&kv, &document, &base, &format!("operator-{i}"), 100 + i)
    };
    let writers: Vec<_> = (0..6).map(prepare).collect();
    let threads: Vec<_> = writers.into_iter().map(thread::spawn).collect();
    let results: Vec<_> = threads.into_iter().map(|t| t.join().expect("no panic")).collect();
    let won: Vec<_> = results.iter().flatten().collect();
    assert_eq!(won.len(), 1, "{results:?}");
    assert!(results.iter().filter(|r| **r == Err(StoreError::Conflict(2))).count() == 5);
    wait_until_active(&fleet.instances, 2);
    monitor.stop();
}

#[rstest]
#[case::of_the_part(1)]
#[case::of_part_and_head(2)]
#[case::of_all_writes(6)]
fn a_lost_response_does_not_fail_a_change(#[case] lost: u32) {
    let fleet = two_instances(["zone-a", "zone-b"]);
    fleet.platform.set(Faults { lose_writes: lost, ..Faults::default() });
    assert_eq!(fleet.apply(&config_text("dokaz")), 2);
    fleet.platform.set(Faults::default());
    wait_until_active(&fleet.instances, 2);
}

#[rstest]
#[case::skipped_watch(Faults { skip_watches: true, ..Faults::default() })]
#[case::repeated_watch(Faults { repeat_watches: true, ..Faults::default() })]
#[case::slow_answers(Faults { delay_ms: 300, ..Faults::default() })]
fn a_change_becomes_active_in_spite_of(#[case] faults: Faults) {
    let fleet = two_instances(["zone-a", "zone-b"]);
    let monitor = Monitor::start(&fleet.instances);
    // Each instance watches for its zone.
    wait_until("both watch", || fleet.platform.calls().waiting == 2);
    fleet.platform.set(faults);
    let version = fleet.apply(&config_text("dokaz"));
    wait_until_active(&fleet.instances, version);
    monitor.stop();
}

#[test]
fn a_stale_read_reverts_no_instance() {
    let mut fleet = two_instances(["zone-a", "zone-b"]);
    let second = fleet.apply(&config_text("dokaz"));
    wait_until_active(&fleet.instances, second);
    let monitor = Monitor::start(&fleet.instances);
    fleet.platform.set(Faults { stale: true, ..Faults::default() });
    let new = fleet.start("zone-a", "");
    wait_until_ready_with(&fleet.instances[new], second);
    fleet.platform.set(Faults::default());
    let third = fleet.apply(&config_text("dokaz-2"));
    wait_until_active(&fleet.instances, third);
    monitor.stop();
}

/// Waits until the instance is ready; it must not be ready with another version.
fn wait_until_ready_with(instance: &Instance, expected: u64) {
    wait_until("a new instance is ready", || {
        let seen = status(instance);
        let ready = seen["ready"] == true;
        assert!(!ready || seen["config"] == expected, "ready too early: {seen}");
        ready
    });
}

#[rstest]
#[case::platform_down_when_it_resumes(true)]
#[case::platform_up_when_it_resumes(false)]
fn an_instance_paused_during_a_change_learns_it(#[case] outage: bool) {
    let fleet = two_instances(["zone-a", "zone-b"]);
    fleet.instances[1].signal("STOP");
    let version = fleet.apply(&config_text("dokaz"));
    wait_until_active(&fleet.instances[..1], version);
    fleet.platform.set(Faults { outage, ..Faults::default() });
    fleet.instances[1].signal("CONT");
    wait_until_active(&fleet.instances, version);
}

#[rstest]
#[case::in_the_same_zone("zone-a")]
#[case::in_another_zone("zone-b")]
fn a_change_accepted_before_an_outage_reaches_a_zone_cut_from_the_platform(#[case] zone: &str) {
    let mut fleet = Fleet::new(&[]);
    fleet.apply(CONFIG);
    let relay = Relay::start(fleet.platform.addr()).expect("a relay");
    fleet.start("zone-a", "");
    let first = [fleet.instances[0].peer_addr()];
    fleet.start_unlisted(zone, "", relay.addr(), &first);
    fleet.publish_members();
    fleet.wait_ready();
    relay.set_cut(true);
    let version = fleet.apply(&config_text("dokaz"));
    wait_until_active(&fleet.instances, version);
}

#[rstest]
#[case::by_the_platform(true)]
#[case::by_a_peer(false)]
fn a_zone_that_was_cut_off_keeps_serving_and_catches_up(#[case] platform: bool) {
    let mut fleet = Fleet::new(&[]);
    fleet.apply(CONFIG);
    let relay = Relay::start(fleet.platform.addr()).expect("a relay");
    fleet.start_unlisted("zone-a", "", fleet.platform.addr(), &[]);
    fleet.start_unlisted("zone-b", "", relay.addr(), &[]);
    // The list has no instance, so that neither knows the other.
    wait_until("both are ready", || fleet.instances.iter().all(Instance::is_ready));
    let monitor = Monitor::start(&fleet.instances);
    relay.set_cut(true);
    let version = fleet.apply(&config_text("dokaz"));
    wait_until_active(&fleet.instances[..1], version);
    assert_eq!(self::version(&fleet.instances[1]), 1);
    assert!(fleet.instances[1].is_ready(), "it still serves with its version");
    if platform {
        relay.set_cut(false);
    } else {
        fleet.publish_members();
    }
    wait_until_active(&fleet.instances, version);
    monitor.stop();
}

/// Starts a peer that has one version and announces it after `silent`.
fn start_peer(zone: &str, version: u64, text: &str, silent: Duration) -> (Links, JoinHandle<()>) {
    let listen = format!("{}:8081", unique_ip()).parse().expect("an address");
    let (sender, inbox) = sync_channel(INBOX_LENGTH);
    let me = Identity { name: format!("peer-{version}"), zone: zone.to_owned(), boot: 1 };
    let links = Links::start(&me, listen, sender).expect("it listens");
    let digest = document::parse(text).expect("it holds").digest;
    let beat = Heartbeat { config_version: version, config_digest: digest, ..Heartbeat::default() };
    let config = Config { version, digest, compressed: compress(text).expect("compressed") };
    let peer = links.clone();
    let begun = std::time::Instant::now();
    let thread = thread::spawn(move || {
        for message in inbox {
            let to = message.addr.parse().expect("an address");
            match message.body {
                Body::ConfigRequest(_) => peer.send(to, Body::Config(config.clone())),
                _ if begun.elapsed() >= silent => peer.send(to, Body::Heartbeat(beat.clone())),
                _ => {}
            }
        }
    });
    (links, thread)
}

#[rstest]
#[case::the_higher_is_announced_late(0, 1500)]
#[case::the_lower_is_announced_late(1500, 0)]
fn a_new_instance_installs_the_highest_version_of_its_peers(#[case] low: u64, #[case] high: u64) {
    let mut fleet = Fleet::new(&[]);
    fleet.platform.set(Faults { outage: true, ..Faults::default() });
    let (old, _a) = start_peer("zone-a", 3, &config_text("old"), Duration::from_millis(low));
    let (new, _b) = start_peer("zone-a", 4, &config_text("new"), Duration::from_millis(high));
    let seeds = [old.addr(), new.addr()];
    let at = fleet.start_unlisted("zone-a", "", fleet.platform.addr(), &seeds);
    wait_until_ready_with(&fleet.instances[at], 4);
}

#[test]
fn a_different_text_of_the_same_version_is_reported() {
    let fleet = two_instances(["zone-a", "zone-b"]);
    let second = fleet.apply(&config_text("dokaz"));
    wait_until_active(&fleet.instances, second);
    let monitor = Monitor::start(&fleet.instances);
    // The service restarts with an old copy, and operators apply changes to it.
    let kv = KvClient::new(&fleet.platform.addr().to_string());
    let now = store::read_head(&kv).expect("a head");
    kv.delete(store::HEAD_KEY, now.revision).expect("deleted");
    let await_fault = |what: &str| {
        wait_until("an instance reports the fault", || {
            fleet
                .instances
                .iter()
                .any(|i| status(i)["fault"].as_str().is_some_and(|text| text.contains(what)))
        });
    };
    assert_eq!(fleet.apply(&config_text("restored")), 1);
    await_fault("reverted to");
    assert_eq!(fleet.apply(&config_text("restored-2")), 2);
    await_fault("a different text");
    assert!(fleet.instances.iter().all(|i| version(i) == second && i.is_ready()));
    monitor.stop();
}

#[test]
fn old_versions_are_deleted_from_the_store() {
    let fleet = Fleet::new(&[]);
    for i in 0..store::RETAINED_VERSIONS + 5 {
        fleet.apply(&config_text(&format!("change-{i}")));
    }
    let kept = store::RETAINED_VERSIONS as usize;
    assert!(fleet.platform.keys("config/parts/").len() <= kept + 1);
    assert!(fleet.platform.keys("config/history/").len() <= kept + 1);
}

#[test]
fn two_instances_of_each_zone_watch_and_are_replaced() {
    let mut fleet = Fleet::new(&[]);
    fleet.apply(CONFIG);
    for zone in ["zone-a", "zone-b", "zone-a", "zone-b", "zone-a", "zone-b"] {
        fleet.start(zone, "");
    }
    fleet.wait_ready();
    let await_watchers = |count| {
        wait_until("the expected number of instances watch", || {
            fleet.platform.calls().waiting == count
        });
    };
    await_watchers(4);
    // All instances of one zone but one are killed; the remaining one watches.
    for at in [0, 2] {
        fleet.instances[at].signal("KILL");
    }
    await_watchers(3);
    let version = fleet.apply(&config_text("dokaz"));
    let left: Vec<&Instance> = [1, 3, 4, 5].map(|at| &fleet.instances[at]).into();
    wait_within(PROPAGATION_LIMIT, "the version is active", || {
        left.iter().all(|i| self::version(i) == version)
    });
}
