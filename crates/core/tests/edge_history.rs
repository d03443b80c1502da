//! What requests have cost, by route and workspace.

use std::time::{Duration, Instant};

use mimosapass_core::edge::history::{Estimate, History, Kind};

const MS: Duration = Duration::from_millis(1);

fn kind(route: &str, workspace: &str) -> Kind {
    let workspace = Some(workspace).filter(|name| !name.is_empty()).map(Into::into);
    Kind { route: route.into(), workspace }
}

/// Records `count` requests that cost around `cost`, a fifth more or less.
fn seen(history: &mut History, kind: &Kind, cost: f64, stated: Option<f64>, count: u32) {
    for n in 0..count {
        let factor = [0.8, 1.0, 1.25][n as usize % 3];
        history.record(kind, cost * factor, stated, Instant::now());
    }
}

fn close(estimate: Option<Estimate>, expected: f64) {
    let median = estimate.map(|e| e.median).unwrap_or_default();
    assert!((median / expected).ln().abs() < 0.25, "{estimate:?}, expected {expected}");
}

/// Guards against one length for requests that look alike.
#[test]
fn workspaces_that_cost_unlike_amounts_are_told_apart() {
    let (mut history, now) = (History::default(), Instant::now());
    seen(&mut history, &kind("chat", "short"), 100.0, None, 60);
    seen(&mut history, &kind("chat", "long"), 2_000.0, None, 60);
    close(history.estimate(&kind("chat", "short"), None, now), 140.0);
    close(history.estimate(&kind("chat", "long"), None, now), 1_550.0);
}

#[test]
fn nothing_is_known_of_a_route_that_was_not_seen() {
    let mut history = History::default();
    seen(&mut history, &kind("chat", "a"), 100.0, None, 5);
    assert_eq!(history.estimate(&kind("call", "a"), None, Instant::now()), None);
}

#[test]
fn first_request_of_a_workspace_costs_what_those_of_its_route_do() {
    let mut history = History::default();
    seen(&mut history, &kind("chat", "a"), 300.0, None, 20);
    close(history.estimate(&kind("chat", "new"), None, Instant::now()), 300.0);
}

/// Guards against a mean that forgets how little was seen.
#[test]
fn little_that_was_seen_leaves_a_wide_spread() {
    let spread = |count| {
        let mut history = History::default();
        seen(&mut history, &kind("chat", "a"), 300.0, None, count);
        history.estimate(&kind("chat", "a"), None, Instant::now()).map_or(0.0, |e| e.spread)
    };
    assert!(spread(1) > 0.6 && spread(50) < 0.3, "{} {}", spread(1), spread(50));
    let wide = Estimate { median: 100.0, spread: 0.7 };
    assert!(wide.mean() > 120.0, "what is not known well is taken for more: {}", wide.mean());
}

/// Guards against estimates of callers that are off by the same factor each time.
#[test]
fn estimates_of_callers_are_corrected_by_how_far_off_they_were() {
    let mut history = History::default();
    for n in 1..60_u32 {
        let cost = f64::from(n % 7 + 1) * 100.0;
        history.record(&kind("chat", "a"), cost, Some(cost / 2.0), Instant::now());
    }
    close(history.estimate(&kind("chat", "a"), Some(350.0), Instant::now()), 700.0);
    close(history.estimate(&kind("chat", "a"), Some(50.0), Instant::now()), 100.0);
}

/// Guards against estimates that are worth nothing and are followed.
#[test]
fn estimates_that_say_nothing_count_little() {
    let mut history = History::default();
    for n in 0..60_u32 {
        let stated = [10.0, 40_000.0][n as usize % 2];
        history.record(&kind("chat", "a"), 300.0, Some(stated), Instant::now());
    }
    close(history.estimate(&kind("chat", "a"), Some(40_000.0), Instant::now()), 300.0);
}

#[test]
fn costs_follow_a_change() {
    let mut history = History::default();
    seen(&mut history, &kind("chat", "a"), 100.0, None, 200);
    seen(&mut history, &kind("chat", "a"), 1_000.0, None, 120);
    close(history.estimate(&kind("chat", "a"), None, Instant::now()), 900.0);
}

#[test]
fn memory_is_bounded() {
    let (mut history, begun) = (History::default(), Instant::now());
    for n in 0..5_000_u32 {
        history.record(&kind("chat", &format!("w{n}")), 1.0, None, begun + MS * n);
    }
    assert!(history.count() <= 1_024);
    let last = history.estimate(&kind("chat", "w4999"), None, begun + MS * 5_000);
    assert!(last.is_some(), "the oldest go first");
}

#[test]
fn what_is_old_no_longer_counts() {
    let (mut history, now) = (History::default(), Instant::now());
    history.record(&kind("chat", "a"), 1.0, None, now);
    assert_eq!(history.estimate(&kind("chat", "a"), None, now + MS * 700_000), None);
}

#[test]
fn values_that_are_no_costs_are_ignored() {
    let (mut history, now) = (History::default(), Instant::now());
    for cost in [f64::NAN, f64::INFINITY, 0.0, -5.0, 1e18, f64::MAX, f64::MIN_POSITIVE] {
        history.record(&kind("chat", "a"), cost, Some(f64::NAN), now);
    }
    assert_eq!(history.estimate(&kind("chat", "a"), Some(3.0), now), None);
}

#[test]
fn share_of_longer_answers_falls_with_length() {
    let estimate = Estimate { median: 100.0, spread: 0.5 };
    let shares = [0.0, 50.0, 100.0, 300.0].map(|cost| estimate.share_above(cost));
    assert!(shares.is_sorted_by(|a, b| a > b), "{shares:?}");
    assert!((shares[2] - 0.5).abs() < 0.01);
}
