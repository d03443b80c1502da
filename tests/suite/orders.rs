//! Orders to engines: one leader a zone, fencing, and the weight store's rate.

use mimosapass_core::ids::ModelId;
use mimosapass_core::lease::ORDER_TIMEOUT;
use mimosapass_core::orders::{DesiredState, LoadedModel};
use mimosapass_standin::engine::{Engine, Settings};
use mimosapass_standin::orders::{OrderSettings, ReceivedOrder, WeightStore};
use mimosapass_standin::platform::Faults;
use mimosapass_target::client::agent;
use mimosapass_target::orders;
use rstest::rstest;

use crate::common::{CONFIG, Fleet, Instance, status, until};

fn engine(checks_fence: bool, weights: Option<&WeightStore>) -> Settings {
    let order_settings =
        OrderSettings { checks_fence, weight_store: weights.map(WeightStore::addr) };
    Settings { orders: order_settings, ..Settings::default() }
}

fn text(version: &str) -> String {
    let model = format!("  - name: chat\n    version: \"{version}\"\n    adapters: [vans]\n");
    CONFIG.replacen("  - name: chat\n", &model, 1)
}

fn carries(engine: &Engine, version: &str) -> bool {
    let wanted = LoadedModel { version: version.to_owned(), adapters: vec!["vans".to_owned()] };
    engine.orders().assignment().goal.models.get(&ModelId::from("chat")) == Some(&wanted)
}

fn all_carry(fleet: &Fleet, version: &str) {
    until("all engines carry the version", || {
        fleet.engines.iter().all(|(_, e)| carries(e, version))
    });
}

fn fence(instance: &Instance) -> Option<u64> {
    status(instance)["fence"].as_u64()
}

fn leader(fleet: &Fleet) -> usize {
    until("there is a leader", || fleet.instances.iter().any(|i| fence(i).is_some()));
    fleet.instances.iter().position(|i| fence(i).is_some()).expect("a leader")
}

fn fleet(engines: &[(&str, Settings)], zones: &[&str]) -> Fleet {
    let mut fleet = Fleet::new(engines);
    fleet.apply(CONFIG);
    for zone in zones {
        fleet.start(zone, "stop: {notice_ms: 100}\n");
    }
    fleet.settle();
    fleet
}

#[test]
fn engines_come_to_carry_what_the_configuration_says() {
    let engines = [("zone-a", engine(true, None)), ("zone-a", engine(false, None))];
    let fleet = fleet(&engines, &["zone-a", "zone-a"]);
    fleet.apply(&text("2"));
    all_carry(&fleet, "2");
    fleet.apply(&text("3"));
    all_carry(&fleet, "3");
}

/// Returns the orders of `old` that were carried out after the first of another.
fn reverted(orders: &[ReceivedOrder], old: u64) -> Vec<&ReceivedOrder> {
    orders.iter().skip_while(|t| t.fence <= old).filter(|t| t.fence <= old && t.applied).collect()
}

#[rstest]
#[case::stopped_past_its_lease(true, false)]
#[case::stopped_and_the_store_is_out_when_it_goes_on(true, true)]
#[case::killed(false, false)]
fn an_old_leader_sets_nothing_once_there_is_a_new_one(#[case] stopped: bool, #[case] outage: bool) {
    let engines = [("zone-a", engine(true, None)), ("zone-a", engine(false, None))];
    let fleet = fleet(&engines, &["zone-a", "zone-a", "zone-a"]);
    fleet.apply(&text("2"));
    all_carry(&fleet, "2");
    let first = leader(&fleet);
    let old = fence(&fleet.instances[first]).expect("a number");
    fleet.instances[first].signal(if stopped { "STOP" } else { "KILL" });
    fleet.apply(&text("3"));
    all_carry(&fleet, "3");
    fleet.platform.set(Faults { outage, ..Faults::default() });
    if stopped {
        fleet.instances[first].signal("CONT");
        let others = fleet.instances.len() as u64 - 1;
        until("it is back among its peers", || {
            let seen = status(&fleet.instances[first]);
            seen["config"] == 3 && seen["peers"].as_array().map(|p| p.len() as u64) == Some(others)
        });
    }
    all_carry(&fleet, "3");
    for (name, engine) in &fleet.engines {
        let orders = engine.orders().received();
        assert!(reverted(&orders, old).is_empty(), "{name}: {orders:?}");
        assert!(orders.iter().any(|t| t.fence > old && t.applied), "{name}: {orders:?}");
    }
}

/// An old holder that was paused between its look at the clock and its order.
#[rstest]
#[case::engine_checks(true)]
#[case::engine_ignores(false)]
fn an_old_order_that_comes_late_does_not_last(#[case] checks: bool) {
    let fleet = fleet(&[("zone-a", engine(checks, None))], &["zone-a"]);
    let engine = &fleet.engines[0].1;
    fleet.apply(&text("2"));
    all_carry(&fleet, "2");
    let number = fence(&fleet.instances[leader(&fleet)]).expect("a number");
    let agent = agent(0);
    let late = orders::send(
        &agent,
        &engine.addr().to_string(),
        number - 1,
        &DesiredState::default(),
        ORDER_TIMEOUT,
    );
    assert_eq!(late.is_err(), checks, "{late:?}");
    assert_eq!(carries(engine, "2"), checks);
    all_carry(&fleet, "2");
}

#[test]
fn a_leader_that_stops_gives_its_lease_up() {
    let engines = [("zone-a", engine(true, None))];
    let fleet = fleet(&engines, &["zone-a", "zone-a"]);
    let first = leader(&fleet);
    let old = fence(&fleet.instances[first]);
    fleet.instances[first].signal("TERM");
    until("the other leads", || fence(&fleet.instances[1 - first]) > old);
    fleet.apply(&text("2"));
    all_carry(&fleet, "2");
}

#[rstest]
#[case::within_the_limit(2.5, 0)]
#[case::a_store_that_gives_less(0.5, 12)]
fn loads_keep_to_the_rate_of_the_weight_store(#[case] rate: f64, #[case] refused: u64) {
    let local = "127.0.0.1:0".parse().expect("an address");
    let store = WeightStore::start(local, rate).expect("it starts");
    let zones = ["zone-a", "zone-b", "zone-a", "zone-b"];
    let engines: Vec<(&str, Settings)> =
        zones.iter().map(|zone| (*zone, engine(true, Some(&store)))).collect();
    let fleet = fleet(&engines, &["zone-a", "zone-b"]);
    leader(&fleet);
    fleet.apply(&text("2"));
    all_carry(&fleet, "2");
    let loads = store.loads();
    assert_eq!(loads.given, 4, "each engine loads once");
    assert!(loads.refused <= refused, "{loads:?}");
}
