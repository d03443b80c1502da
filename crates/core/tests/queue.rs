//! Queues: no request is lost, weights hold, no lane starves, all lanes are bounded.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use mimosapass_core::forecast::Forecast;
use mimosapass_core::queue::{
    LaneConfig, LaneId, PushOutcome, Queue, QueuedRequest, RESERVE_DIVISOR, Ticket,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

/// Limit of each lane in these tests.
const MAX_WAITING: usize = 8;

fn lane(class: &str) -> LaneId {
    LaneId { class: class.into(), destination: "chat".into() }
}

fn config(priority: u8) -> LaneConfig {
    LaneConfig { priority, max_waiting: MAX_WAITING }
}

fn queued(ticket: Ticket, workspace: &str, share: u32, cost: u64, start: Instant) -> QueuedRequest {
    let enqueued_at = start + Duration::from_millis(ticket);
    QueuedRequest { ticket, workspace: workspace.into(), weight: share, cost, enqueued_at }
}

/// An operation on the queue.
#[derive(Clone, Debug)]
enum Operation {
    Push { lane: usize, workspace: usize, cost: u64 },
    Grant { closed: usize },
    Remove { pick: usize },
}

/// Class and priority of each lane.
const LANES: [(&str, u8); 3] = [("door", 90), ("chat", 90), ("archive", 10)];
/// Name and weight of each workspace.
const WORKSPACES: [(&str, u32); 3] = [("large", 1), ("small", 4), ("other", 2)];

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        3 => (0..3_usize, 0..3_usize, 1..1000_u64)
            .prop_map(|(lane, workspace, cost)| Operation::Push { lane, workspace, cost }),
        2 => (0..6_usize).prop_map(|closed| Operation::Grant { closed }),
        1 => any::<usize>().prop_map(|pick| Operation::Remove { pick }),
    ]
}

/// Lane and workspace of each waiting request, by ticket.
type Waiting = BTreeMap<Ticket, (usize, usize)>;

/// Applies one operation; returns the granted ticket, if any.
fn apply(
    queue: &mut Queue,
    open: &mut Waiting,
    next: Ticket,
    operation: &Operation,
    start: Instant,
) -> Option<u64> {
    match operation {
        Operation::Push { lane: l, workspace: s, cost } => {
            let ((class, priority), (space, share)) = (LANES[*l], WORKSPACES[*s]);
            let request = queued(next, space, share, *cost, start);
            let pushed = queue.push(&lane(class), config(priority), request);
            if let PushOutcome::Displaced(ticket) = pushed {
                assert!(open.remove(&ticket).is_some(), "the displaced request was not queued");
            }
            if pushed != PushOutcome::Full {
                open.insert(next, (*l, *s));
            }
            None
        }
        Operation::Grant { closed } => {
            let closed_lane = LANES.get(*closed).map(|(class, _)| lane(class));
            let granted = queue.grant(|id, _| Some(id) != closed_lane.as_ref());
            let ticket = granted.map(|(id, w)| {
                assert_ne!(Some(id), closed_lane, "granted from a lane without room");
                w.ticket
            });
            if let Some(ticket) = ticket {
                assert!(open.remove(&ticket).is_some(), "a request was granted twice");
            }
            ticket
        }
        Operation::Remove { pick } => {
            let ticket = *open.keys().nth(pick % open.len().max(1))?;
            let (l, s) = open.remove(&ticket)?;
            assert!(queue.remove(&lane(LANES[l].0), WORKSPACES[s].0, ticket));
            None
        }
    }
}

fn proptest_config() -> ProptestConfig {
    ProptestConfig { cases: 500, rng_seed: RngSeed::Fixed(11), ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(proptest_config())]

    /// Each request leaves the queue exactly once, and equal runs have equal order.
    #[test]
    fn no_request_is_lost_and_the_order_is_deterministic(operations in prop::collection::vec(operation(), 0..150)) {
        let start = Instant::now();
        let mut orders = Vec::new();
        for _ in 0..2 {
            let (mut queue, mut open, mut order) = (Queue::default(), Waiting::new(), Vec::new());
            for (next, operation) in operations.iter().enumerate() {
                order.extend(apply(&mut queue, &mut open, next as u64, operation, start));
                prop_assert_eq!(queue.len(), open.len());
                for l in 0..LANES.len() {
                    prop_assert!(open.values().filter(|(at, _)| *at == l).count() <= MAX_WAITING);
                }
            }
            while let Some((_, w)) = queue.grant(|_, _| true) {
                prop_assert!(open.remove(&w.ticket).is_some());
                order.push(w.ticket);
            }
            prop_assert!(open.is_empty() && queue.is_empty());
            orders.push(order);
        }
        prop_assert_eq!(&orders[0], &orders[1]);
    }

    /// While two workspaces both wait, their granted costs by weight differ by at
    /// most one request of each.
    #[test]
    fn grants_follow_the_weights(
        costs in prop::collection::vec((1..1000_u64, 1..1000_u64), 20),
        shares in (1..1000_u32, 1..1000_u32),
    ) {
        let start = Instant::now();
        let config = LaneConfig { priority: 50, max_waiting: 100 };
        let mut queue = Queue::default();
        for (i, (a, b)) in costs.iter().enumerate() {
            let i = i as u64;
            queue.push(&lane("chat"), config, queued(2 * i, "a", shares.0, *a, start));
            queue.push(&lane("chat"), config, queued(2 * i + 1, "b", shares.1, *b, start));
        }
        let (mut granted, mut left) = ([0_u64; 2], [20; 2]);
        let weights = [f64::from(shares.0), f64::from(shares.1)];
        let bound = 1000.0 / weights[0] + 1000.0 / weights[1] + 1.0;
        while left[0] > 0 && left[1] > 0 {
            let (_, w) = queue.grant(|_, _| true).expect("both wait");
            let at = usize::from(w.workspace.as_ref() == "b");
            granted[at] += w.cost;
            left[at] -= 1;
            let gap = granted[0] as f64 / weights[0] - granted[1] as f64 / weights[1];
            prop_assert!(gap.abs() <= bound, "{granted:?} by {weights:?}");
        }
    }

    /// Under any load of higher priority, a request of the lowest is granted after at
    /// most [`RESERVE_DIVISOR`] times its own cost, and one more request.
    #[test]
    fn lowest_priority_does_not_starve(
        costs in prop::collection::vec(1..1000_u64, 2000),
        low in 1..1000_u64,
        may_bypass in any::<bool>(),
    ) {
        let start = Instant::now();
        let mut queue = Queue::default();
        queue.push(&lane("archive"), config(0), queued(0, "a", 1, low, start));
        let mut cost_before = 0;
        for (i, cost) in costs.iter().enumerate() {
            if may_bypass && queue.try_bypass(&lane("door"), 100, *cost) {
                cost_before += cost;
                prop_assert!(cost_before < RESERVE_DIVISOR * low + 1000, "cost {cost_before} bypassed a request of cost {low}");
                continue;
            }
            queue.push(&lane("door"), config(100), queued(i as u64 + 1, "b", 1, *cost, start));
            let (id, w) = queue.grant(|_, _| true).expect("some wait");
            if id == lane("archive") {
                return Ok(());
            }
            cost_before += w.cost;
            prop_assert!(cost_before < RESERVE_DIVISOR * low + 1000, "cost {cost_before} was granted before a request of cost {low}");
        }
        prop_assert!(cost_before < RESERVE_DIVISOR * low, "the low-priority request was never granted");
    }
}

#[test]
fn higher_priority_goes_first() {
    let (start, mut queue) = (Instant::now(), Queue::default());
    queue.push(&lane("archive"), config(10), queued(1, "a", 1, 100, start));
    queue.push(&lane("door"), config(90), queued(2, "a", 1, 100, start));
    assert_eq!(queue.grant(|_, _| true).expect("some wait").1.ticket, 2);
    // A lane without room does not block lanes of lower priority.
    queue.push(&lane("door"), config(90), queued(3, "a", 1, 100, start));
    let granted = queue.grant(|id, _| *id != lane("door"));
    assert_eq!(granted.expect("some wait").1.ticket, 1);
}

#[test]
fn no_bypass_within_a_lane_or_priority() {
    let (start, mut queue) = (Instant::now(), Queue::default());
    assert!(queue.try_bypass(&lane("door"), 90, 1));
    queue.push(&lane("chat"), config(90), queued(1, "a", 1, 100, start));
    assert!(!queue.try_bypass(&lane("door"), 90, 1) && !queue.try_bypass(&lane("chat"), 95, 1));
    assert!(queue.try_bypass(&lane("urgent"), 95, 1) && !queue.try_bypass(&lane("archive"), 10, 1));
    let elsewhere = LaneId { class: "archive".into(), destination: "other".into() };
    assert!(queue.try_bypass(&elsewhere, 10, 1));
}

#[test]
fn full_lane_makes_room_for_a_workspace_below_its_share() {
    let (start, mut queue) = (Instant::now(), Queue::default());
    let mut push = |ticket, space, share| {
        queue.push(&lane("chat"), config(50), queued(ticket, space, share, 1, start))
    };
    for ticket in 0..MAX_WAITING as u64 {
        assert_eq!(push(ticket, "large", 1), PushOutcome::Queued);
    }
    assert_eq!(push(90, "large", 1), PushOutcome::Full);
    let displaced: BTreeSet<_> =
        (0..4).map(|i| format!("{:?}", push(100 + i, "small", 1))).collect();
    assert_eq!(displaced.len(), 4, "{displaced:?}");
    // Both workspaces now hold half.
    assert_eq!(push(200, "small", 1), PushOutcome::Full);
    assert_eq!(push(201, "large", 1), PushOutcome::Full);
}

#[test]
fn cost_ahead_counts_other_workspaces_up_to_their_share() {
    let (start, mut queue) = (Instant::now(), Queue::default());
    let wide = LaneConfig { priority: 50, max_waiting: 100 };
    for ticket in 0..50 {
        queue.push(&lane("chat"), wide, queued(ticket, "large", 1, 10, start));
    }
    let ahead = |space| queue.cost_ahead(&lane("chat"), 50, &queued(99, space, 1, 10, start));
    assert_eq!((ahead("large"), ahead("small")), (500, 10));
}

#[rstest]
#[case::at_once(0, 0, 0, 10_000, None)]
#[case::in_time(2_000, 30_000, 10_000, 5_000, None)]
#[case::too_long_a_prompt(8_000, 0, 10_000, 5_000, Some(3))]
#[case::too_long_a_queue(1_000, 100_000, 10_000, 5_000, Some(6))]
#[case::unknown_speed(1_000, 100_000, 0, 5_000, None)]
#[case::a_little_too_late(5_010, 0, 0, 5_000, Some(1))]
#[case::capped_retry_after(1, u64::MAX, 1, 5_000, Some(300))]
fn unreachable_deadline_is_refused_with_retry_after(
    #[case] first_ms: u64,
    #[case] ahead: u64,
    #[case] speed: u64,
    #[case] left_ms: u64,
    #[case] retry_after_s: Option<u64>,
) {
    let forecast = Forecast { ttft: Duration::from_millis(first_ms), ahead_tokens: ahead, speed };
    let left = Duration::from_millis(left_ms);
    let refused =
        |chance| forecast.check_deadline(left, chance).err().and_then(|f| f.retry_after());
    assert_eq!(refused(0.0), retry_after_s.map(Duration::from_secs));
    assert_eq!(refused(1.0), retry_after_s.map(|s| Duration::from_secs(s).mul_f64(1.5)));
}
