//! Orders to engines: one leader per zone, fencing, and the weight store's rate limit.

use mimosapass_core::ids::ModelId;
use mimosapass_core::lease::ORDER_TIMEOUT;
use mimosapass_core::orders::{DesiredState, LoadedModel};
use mimosapass_standin::engine::{Engine, Settings};
use mimosapass_standin::orders::{OrderSettings, ReceivedOrder, WeightStore};
use mimosapass_standin::platform::Faults;
use mimosapass_target::client::agent;
use mimosapass_target::orders;
use rstest::rstest;

use crate::common::{CONFIG, Fleet, Instance, status, wait_until};

fn engine_settings(checks_fence: bool, weights: Option<&WeightStore>) -> Settings {
    let order_settings =
        OrderSettings { checks_fence, weight_store: weights.map(WeightStore::addr) };
    Settings { orders: order_settings, ..Settings::default() }
}

fn config_text(version: &str) -> String {
    let model = format!("  - name: chat\n    version: \"{version}\"\n    adapters: [vans]\n");
    CONFIG.replacen("  - name: chat\n", &model, 1)
}

fn has_version(engine: &Engine, version: &str) -> bool {
    let wanted = LoadedModel { version: version.to_owned(), adapters: vec!["vans".to_owned()] };
    engine.orders().assignment().goal.models.get(&ModelId::from("chat")) == Some(&wanted)
}

fn wait_until_all_have(fleet: &Fleet, version: &str) {
    wait_until("all engines have the version", || {
        fleet.engines.iter().all(|(_, e)| has_version(e, version))
    });
}

fn fence(instance: &Instance) -> Option<u64> {
    status(instance)["fence"].as_u64()
}

fn leader(fleet: &Fleet) -> usize {
    wait_until("there is a leader", || fleet.instances.iter().any(|i| fence(i).is_some()));
    fleet.instances.iter().position(|i| fence(i).is_some()).expect("a leader")
}

fn fleet(engines: &[(&str, Settings)], zones: &[&str]) -> Fleet {
    let mut fleet = Fleet::new(engines);
    fleet.apply(CONFIG);
    for zone in zones {
        fleet.start(zone, "stop: {notice_ms: 100}\n");
    }
    fleet.wait_ready();
    fleet
}

#[test]
fn engines_load_what_the_configuration_says() {
    let engines =
        [("zone-a", engine_settings(true, None)), ("zone-a", engine_settings(false, None))];
    let fleet = fleet(&engines, &["zone-a", "zone-a"]);
    fleet.apply(&config_text("2"));
    wait_until_all_have(&fleet, "2");
    fleet.apply(&config_text("3"));
    wait_until_all_have(&fleet, "3");
}

/// Returns orders with the token `old` or less, applied after one with a higher token.
fn stale_orders(orders: &[ReceivedOrder], old: u64) -> Vec<&ReceivedOrder> {
    orders.iter().skip_while(|t| t.fence <= old).filter(|t| t.fence <= old && t.applied).collect()
}

#[rstest]
#[case::paused_past_its_lease(true, false)]
#[case::paused_and_resumed_in_an_outage_of_the_store(true, true)]
#[case::killed(false, false)]
fn an_old_leader_changes_nothing_after_a_new_one(#[case] paused: bool, #[case] outage: bool) {
    let engines =
        [("zone-a", engine_settings(true, None)), ("zone-a", engine_settings(false, None))];
    let fleet = fleet(&engines, &["zone-a", "zone-a", "zone-a"]);
    fleet.apply(&config_text("2"));
    wait_until_all_have(&fleet, "2");
    let first = leader(&fleet);
    let old = fence(&fleet.instances[first]).expect("a token");
    fleet.instances[first].signal(if paused { "STOP" } else { "KILL" });
    fleet.apply(&config_text("3"));
    wait_until_all_have(&fleet, "3");
    fleet.platform.set(Faults { outage, ..Faults::default() });
    if paused {
        fleet.instances[first].signal("CONT");
        let others = fleet.instances.len() as u64 - 1;
        wait_until("it has the configuration and its peers again", || {
            let seen = status(&fleet.instances[first]);
            seen["config"] == 3 && seen["peers"].as_array().map(|p| p.len() as u64) == Some(others)
        });
    }
    wait_until_all_have(&fleet, "3");
    for (name, engine) in &fleet.engines {
        let orders = engine.orders().received();
        assert!(stale_orders(&orders, old).is_empty(), "{name}: {orders:?}");
        assert!(orders.iter().any(|t| t.fence > old && t.applied), "{name}: {orders:?}");
    }
}

/// The late order is like one of a leader paused between lease check and order.
#[rstest]
#[case::engine_checks(true)]
#[case::engine_ignores(false)]
fn a_late_order_of_an_old_leader_is_rejected_or_corrected(#[case] checks: bool) {
    let fleet = fleet(&[("zone-a", engine_settings(checks, None))], &["zone-a"]);
    let engine = &fleet.engines[0].1;
    fleet.apply(&config_text("2"));
    wait_until_all_have(&fleet, "2");
    let token = fence(&fleet.instances[leader(&fleet)]).expect("a token");
    let agent = agent(0);
    let late = orders::send(
        &agent,
        &engine.addr().to_string(),
        token - 1,
        &DesiredState::default(),
        ORDER_TIMEOUT,
    );
    assert_eq!(late.is_err(), checks, "{late:?}");
    assert_eq!(has_version(engine, "2"), checks);
    wait_until_all_have(&fleet, "2");
}

#[test]
fn a_leader_that_stops_releases_its_lease() {
    let engines = [("zone-a", engine_settings(true, None))];
    let fleet = fleet(&engines, &["zone-a", "zone-a"]);
    let first = leader(&fleet);
    let old = fence(&fleet.instances[first]);
    fleet.instances[first].signal("TERM");
    wait_until("the other leads", || fence(&fleet.instances[1 - first]) > old);
    fleet.apply(&config_text("2"));
    wait_until_all_have(&fleet, "2");
}

#[rstest]
#[case::within_the_limit(2.5, 0)]
#[case::a_store_with_a_lower_limit(0.5, 12)]
fn loads_respect_the_rate_limit_of_the_weight_store(#[case] rate: f64, #[case] refused: u64) {
    let local = "127.0.0.1:0".parse().expect("an address");
    let store = WeightStore::start(local, rate).expect("it starts");
    let zones = ["zone-a", "zone-b", "zone-a", "zone-b"];
    let engines: Vec<(&str, Settings)> =
        zones.iter().map(|zone| (*zone, engine_settings(true, Some(&store)))).collect();
    let fleet = fleet(&engines, &["zone-a", "zone-b"]);
    leader(&fleet);
    fleet.apply(&config_text("2"));
    wait_until_all_have(&fleet, "2");
    let loads = store.loads();
    assert_eq!(loads.given, 4, "each engine loads once");
    assert!(loads.refused <= refused, "{loads:?}");
}
