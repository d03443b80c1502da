//! Look-ups in a configuration version.

use std::time::Duration;

use mimosapass_core::edge::route_table::{
    RetryPolicy, Route, RouteTable, Service, WeightedService, Workspace,
};
use proptest::prelude::*;

fn route(host: &str, prefix: &str, gap_ms: u64, shares: &[(&str, f64)]) -> Route {
    let split =
        shares.iter().map(|(s, w)| WeightedService { service: (*s).into(), weight: *w }).collect();
    Route {
        name: prefix.into(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        retry_policy: RetryPolicy::Once,
        streaming: true,
        timeout: Duration::from_secs(1),
        latency_goal: Duration::from_millis(300),
        max_gap: Duration::from_millis(gap_ms),
        priority: 1,
        split,
        attempts: 2,
        public: false,
    }
}

fn table() -> RouteTable {
    let routes = vec![
        route("a.example", "/x/", 200, &[("pool", 1.0)]),
        route("a.example", "/x/y/", 500, &[("pool", 1.0)]),
        route("b.example", "/", 800, &[("other", 1.0)]),
    ];
    let service = Service {
        name: "pool".into(),
        health_path: "/h".to_owned(),
        max_connections: 9,
        engine: None,
    };
    RouteTable::new(7, routes, vec![service])
}

/// Generates a test from a host, a path, and the prefix of the matching route.
macro_rules! routes {
    ($($name:ident: $host:expr, $path:expr => $prefix:expr;)+) => {
        $(#[test]
        fn $name() {
            let table = table();
            assert_eq!(table.route($host, $path).map(|r| &*r.name), $prefix);
        })+
    };
}

routes! {
    longest_prefix_wins: "a.example", "/x/y/z" => Some("/x/y/");
    shorter_prefix_takes_the_rest: "a.example", "/x/z" => Some("/x/");
    port_of_the_host_does_not_matter: "A.example:8080", "/x/z" => Some("/x/");
    path_must_reach_the_slash: "a.example", "/x" => None;
    unknown_host_has_no_route: "c.example", "/x/" => None;
    root_prefix_takes_all: "b.example", "/any" => Some("/");
}

#[test]
fn strictest_gap_is_that_of_the_service() {
    let table = table();
    assert_eq!(table.strictest_gap("pool"), Duration::from_millis(200));
    assert_eq!(table.strictest_gap("other"), Duration::from_millis(800));
}

#[test]
fn only_known_keys_have_a_workspace() {
    let mut table = table();
    table.add_workspace(Workspace { name: "w".into(), priority: None }, vec!["k".to_owned()]);
    assert!(table.requires_key);
    assert_eq!(table.workspace("k").map(|w| &*w.name), Some("w"));
    assert!(table.workspace("other").is_none());
}

proptest! {
    /// A service without weight gets no requests, whatever the draw.
    #[test]
    fn split_follows_the_weights(draw in 0.0..=1.0_f64, weight in 0.1..100.0_f64) {
        let route = route("a", "/", 1, &[("none", 0.0), ("all", weight), ("nil", 0.0)]);
        prop_assert_eq!(route.service(draw).map(|s| &**s), Some("all"));
    }
}

#[test]
fn split_follows_the_draw() {
    let route = route("a", "/", 1, &[("most", 90.0), ("few", 10.0)]);
    assert_eq!(route.service(0.5).map(|s| &**s), Some("most"));
    assert_eq!(route.service(0.95).map(|s| &**s), Some("few"));
}
