//! An accepted configuration is in force everywhere and never reverts.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use mimosapass_instance::compression::compress;
use mimosapass_instance::link::{Identity, Links};
use mimosapass_instance::message::{Body, Config, Heartbeat};
use mimosapass_keyvalue::kv::KvClient;
use mimosapass_operator::document::{self, PROPAGATION_LIMIT};
use mimosapass_operator::store::{self, StoreError};
use mimosapass_standin::platform::Faults;
use mimosapass_standin::relay::Relay;
use rstest::rstest;
use serde_json::Value;

use crate::common::{CONFIG, Fleet, Instance, agent, fresh_ip, status, until, within};

/// Returns a valid configuration that differs by `name`.
fn text(name: &str) -> String {
    format!("{CONFIG}  - name: {name}\n")
}

fn pair(zones: [&str; 2]) -> Fleet {
    let mut fleet = Fleet::new(&[]);
    fleet.apply(CONFIG);
    for zone in zones {
        fleet.start(zone, "");
    }
    fleet.settle();
    fleet
}

fn version(instance: &Instance) -> u64 {
    status(instance)["config"].as_u64().unwrap_or(0)
}

fn in_force(instances: &[Instance], expected: u64) {
    within(PROPAGATION_LIMIT, "the version is in force everywhere", || {
        instances.iter().all(|i| version(i) == expected)
    });
}

/// Looks at instances all the time: no version goes down, none ready without.
struct Witness {
    done: Arc<AtomicBool>,
    looking: Vec<JoinHandle<()>>,
}

impl Witness {
    fn of(instances: &[Instance]) -> Self {
        let done = Arc::new(AtomicBool::new(false));
        let look = |i: &Instance| {
            let (url, done) = (i.page("/status"), Arc::clone(&done));
            thread::spawn(move || look(&url, &done))
        };
        let looking = instances.iter().map(look).collect();
        Self { done, looking }
    }

    fn end(self) {
        self.done.store(true, Ordering::SeqCst);
        for thread in self.looking {
            thread.join().expect("versions only go up");
        }
    }
}

fn look(url: &str, done: &AtomicBool) {
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
fn one_of_racing_operators_wins_each_version() {
    let fleet = pair(["zone-a", "zone-b"]);
    let witness = Witness::of(&fleet.instances);
    let addr = fleet.platform.addr().to_string();
    let race = |i: u64| {
        let kv = KvClient::new(&addr);
        let document = document::parse(&text(&format!("operator-{i}"))).expect("it holds");
        let base = store::read_head(&kv).expect("a head");
        move || store::apply(&kv, &document, &base, &format!("operator-{i}"), 100 + i)
    };
    let racers: Vec<_> = (0..6).map(race).collect();
    let racing: Vec<_> = racers.into_iter().map(thread::spawn).collect();
    let results: Vec<_> = racing.into_iter().map(|r| r.join().expect("no panic")).collect();
    let won: Vec<_> = results.iter().flatten().collect();
    assert_eq!(won.len(), 1, "{results:?}");
    assert!(results.iter().filter(|r| **r == Err(StoreError::Conflict(2))).count() == 5);
    in_force(&fleet.instances, 2);
    witness.end();
}

#[rstest]
#[case::of_the_part(1)]
#[case::of_part_and_head(2)]
#[case::of_all_writes(6)]
fn a_lost_answer_is_settled(#[case] lost: u32) {
    let fleet = pair(["zone-a", "zone-b"]);
    fleet.platform.set(Faults { lose_writes: lost, ..Faults::default() });
    assert_eq!(fleet.apply(&text("dokaz")), 2);
    fleet.platform.set(Faults::default());
    in_force(&fleet.instances, 2);
}

#[rstest]
#[case::skipped_watch(Faults { skip_watches: true, ..Faults::default() })]
#[case::repeated_watch(Faults { repeat_watches: true, ..Faults::default() })]
#[case::slow_answers(Faults { delay_ms: 300, ..Faults::default() })]
fn a_change_is_in_force_in_spite_of(#[case] faults: Faults) {
    let fleet = pair(["zone-a", "zone-b"]);
    let witness = Witness::of(&fleet.instances);
    // Each of the two watches for its zone.
    until("both watch", || fleet.platform.calls().waiting == 2);
    fleet.platform.set(faults);
    let version = fleet.apply(&text("dokaz"));
    in_force(&fleet.instances, version);
    witness.end();
}

#[test]
fn a_stale_read_takes_nobody_back() {
    let mut fleet = pair(["zone-a", "zone-b"]);
    let second = fleet.apply(&text("dokaz"));
    in_force(&fleet.instances, second);
    let witness = Witness::of(&fleet.instances);
    fleet.platform.set(Faults { stale: true, ..Faults::default() });
    let new = fleet.start("zone-a", "");
    ready_only_with(&fleet.instances[new], second);
    fleet.platform.set(Faults::default());
    let third = fleet.apply(&text("dokaz-2"));
    in_force(&fleet.instances, third);
    witness.end();
}

/// Waits until the instance is ready; it must not be so below `expected`.
fn ready_only_with(instance: &Instance, expected: u64) {
    until("a new instance is ready", || {
        let seen = status(instance);
        let ready = seen["ready"] == true;
        assert!(!ready || seen["config"] == expected, "ready too early: {seen}");
        ready
    });
}

#[rstest]
#[case::down_when_it_wakes(true)]
#[case::up_when_it_wakes(false)]
fn an_instance_that_slept_through_a_change_learns_it(#[case] outage: bool) {
    let fleet = pair(["zone-a", "zone-b"]);
    fleet.instances[1].signal("STOP");
    let version = fleet.apply(&text("dokaz"));
    in_force(&fleet.instances[..1], version);
    fleet.platform.set(Faults { outage, ..Faults::default() });
    fleet.instances[1].signal("CONT");
    in_force(&fleet.instances, version);
}

#[rstest]
#[case::in_the_same_zone("zone-a")]
#[case::in_another_zone("zone-b")]
fn a_change_accepted_before_an_outage_reaches_a_zone_cut_from_the_platform(#[case] zone: &str) {
    let mut fleet = Fleet::new(&[]);
    fleet.apply(CONFIG);
    let path = Relay::start(fleet.platform.addr()).expect("a path");
    fleet.start("zone-a", "");
    let first = [fleet.instances[0].peers()];
    fleet.launch(zone, "", path.addr(), &first);
    fleet.publish();
    fleet.settle();
    path.cut(true);
    let version = fleet.apply(&text("dokaz"));
    in_force(&fleet.instances, version);
}

#[rstest]
#[case::by_the_platform(true)]
#[case::by_a_peer(false)]
fn a_zone_that_was_cut_off_serves_on_and_learns_when_healed(#[case] platform: bool) {
    let mut fleet = Fleet::new(&[]);
    fleet.apply(CONFIG);
    let path = Relay::start(fleet.platform.addr()).expect("a path");
    fleet.launch("zone-a", "", fleet.platform.addr(), &[]);
    fleet.launch("zone-b", "", path.addr(), &[]);
    // The list names no entry instance, so that neither can tell the other.
    until("both are ready", || fleet.instances.iter().all(Instance::ready));
    let witness = Witness::of(&fleet.instances);
    path.cut(true);
    let version = fleet.apply(&text("dokaz"));
    in_force(&fleet.instances[..1], version);
    assert_eq!(self::version(&fleet.instances[1]), 1);
    assert!(fleet.instances[1].ready(), "it serves on with what it has");
    if platform {
        path.cut(false);
    } else {
        fleet.publish();
    }
    in_force(&fleet.instances, version);
    witness.end();
}

/// A peer that knows one version and tells it after a while.
fn peer(zone: &str, version: u64, text: &str, silent: Duration) -> (Links, JoinHandle<()>) {
    let listen = format!("{}:8081", fresh_ip()).parse().expect("an address");
    let (sender, inbox) = channel();
    let me = Identity { name: format!("peer-{version}"), zone: zone.to_owned(), boot: 1 };
    let links = Links::start(&me, listen, sender).expect("it listens");
    let digest = document::parse(text).expect("it holds").digest;
    let beat = Heartbeat { config_version: version, config_digest: digest, ..Heartbeat::default() };
    let config = Config { version, digest, compressed: compress(text).expect("compressed") };
    let answering = links.clone();
    let begun = std::time::Instant::now();
    let thread = thread::spawn(move || {
        for message in inbox {
            let to = message.addr.parse().expect("an address");
            match message.body {
                Body::ConfigRequest(_) => answering.send(to, Body::Config(config.clone())),
                _ if begun.elapsed() >= silent => answering.send(to, Body::Heartbeat(beat.clone())),
                _ => {}
            }
        }
    });
    (links, thread)
}

#[rstest]
#[case::the_higher_is_slow(0, 1500)]
#[case::the_lower_is_slow(1500, 0)]
fn a_new_instance_takes_the_highest_of_its_peers(#[case] low: u64, #[case] high: u64) {
    let mut fleet = Fleet::new(&[]);
    fleet.platform.set(Faults { outage: true, ..Faults::default() });
    let (old, _a) = peer("zone-a", 3, &text("old"), Duration::from_millis(low));
    let (new, _b) = peer("zone-a", 4, &text("new"), Duration::from_millis(high));
    let seeds = [old.addr(), new.addr()];
    let at = fleet.launch("zone-a", "", fleet.platform.addr(), &seeds);
    ready_only_with(&fleet.instances[at], 4);
}

#[test]
fn another_text_of_the_same_version_is_told() {
    let fleet = pair(["zone-a", "zone-b"]);
    let second = fleet.apply(&text("dokaz"));
    in_force(&fleet.instances, second);
    let witness = Witness::of(&fleet.instances);
    // The service comes back with an old copy, and somebody goes on from it.
    let kv = KvClient::new(&fleet.platform.addr().to_string());
    let now = store::read_head(&kv).expect("a head");
    kv.delete(store::HEAD_KEY, now.revision).expect("deleted");
    let told = |what: &str| {
        until("the instances tell of the fault", || {
            fleet
                .instances
                .iter()
                .any(|i| status(i)["fault"].as_str().is_some_and(|text| text.contains(what)))
        });
    };
    assert_eq!(fleet.apply(&text("restored")), 1);
    told("went back");
    assert_eq!(fleet.apply(&text("restored-2")), 2);
    told("another text");
    assert!(fleet.instances.iter().all(|i| version(i) == second && i.ready()));
    witness.end();
}

#[test]
fn old_versions_leave_the_store() {
    let fleet = Fleet::new(&[]);
    for i in 0..store::RETAINED_VERSIONS + 5 {
        fleet.apply(&text(&format!("change-{i}")));
    }
    let kept = store::RETAINED_VERSIONS as usize;
    assert!(fleet.platform.keys("config/parts/").len() <= kept + 1);
    assert!(fleet.platform.keys("config/history/").len() <= kept + 1);
}

#[test]
fn two_of_each_zone_watch_and_the_role_moves() {
    let mut fleet = Fleet::new(&[]);
    fleet.apply(CONFIG);
    for zone in ["zone-a", "zone-b", "zone-a", "zone-b", "zone-a", "zone-b"] {
        fleet.start(zone, "");
    }
    fleet.settle();
    let watched = |most| {
        until("two of each zone watch", || fleet.platform.calls().waiting == most);
    };
    watched(4);
    // All of one zone but one are killed; the one that is left watches.
    for at in [0, 2] {
        fleet.instances[at].signal("KILL");
    }
    watched(3);
    let version = fleet.apply(&text("dokaz"));
    let left: Vec<&Instance> = [1, 3, 4, 5].map(|at| &fleet.instances[at]).into();
    within(PROPAGATION_LIMIT, "the version is in force", || {
        left.iter().all(|i| self::version(i) == version)
    });
}
