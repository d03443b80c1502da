//! Queues: nothing is lost, shares hold, none starves, all is bounded.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use mimosapass_core::forecast::Forecast;
use mimosapass_core::queue::{
    LaneConfig, LaneId, PushOutcome, Queue, QueuedRequest, RESERVE_DIVISOR, Ticket,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

/// Most requests in a lane of these tests.
const MOST: usize = 8;

fn lane(class: &str) -> LaneId {
    LaneId { class: class.into(), work: "chat".into() }
}

fn rules(priority: u8) -> LaneConfig {
    LaneConfig { priority, max_waiting: MOST }
}

fn waiting(
    ticket: Ticket,
    workspace: &str,
    share: u32,
    cost: u64,
    start: Instant,
) -> QueuedRequest {
    let came = start + Duration::from_millis(ticket);
    QueuedRequest { ticket, workspace: workspace.into(), weight: share, cost, enqueued_at: came }
}

/// One step of a run: a request comes, one goes, or one leaves the queue.
#[derive(Clone, Debug)]
enum Act {
    Push { lane: usize, space: usize, cost: u64 },
    Grant { closed: usize },
    Remove { pick: usize },
}

/// Class and priority of the lanes, and weight of the workspaces.
const LANES: [(&str, u8); 3] = [("door", 90), ("chat", 90), ("archive", 10)];
const SPACES: [(&str, u32); 3] = [("large", 1), ("small", 4), ("other", 2)];

fn act() -> impl Strategy<Value = Act> {
    prop_oneof![
        3 => (0..3_usize, 0..3_usize, 1..1000_u64)
            .prop_map(|(lane, space, cost)| Act::Push { lane, space, cost }),
        2 => (0..6_usize).prop_map(|closed| Act::Grant { closed }),
        1 => any::<usize>().prop_map(|pick| Act::Remove { pick }),
    ]
}

/// Requests that wait, by ticket: lane and workspace.
type Open = BTreeMap<Ticket, (usize, usize)>;

/// Plays one act; returns the ticket that was granted, if one was.
fn play(
    queue: &mut Queue,
    open: &mut Open,
    next: Ticket,
    act: &Act,
    start: Instant,
) -> Option<u64> {
    match act {
        Act::Push { lane: l, space: s, cost } => {
            let ((class, priority), (space, share)) = (LANES[*l], SPACES[*s]);
            let came = waiting(next, space, share, *cost, start);
            let pushed = queue.push(&lane(class), rules(priority), came);
            if let PushOutcome::Displaced(ticket) = pushed {
                assert!(open.remove(&ticket).is_some(), "a stranger was displaced");
            }
            if pushed != PushOutcome::Full {
                open.insert(next, (*l, *s));
            }
            None
        }
        Act::Grant { closed } => {
            let shut = LANES.get(*closed).map(|(class, _)| lane(class));
            let granted = queue.grant(|id, _| Some(id) != shut.as_ref());
            let ticket = granted.map(|(id, w)| {
                assert_ne!(Some(id), shut, "there was no room");
                w.ticket
            });
            if let Some(ticket) = ticket {
                assert!(open.remove(&ticket).is_some(), "it was granted twice");
            }
            ticket
        }
        Act::Remove { pick } => {
            let ticket = *open.keys().nth(pick % open.len().max(1))?;
            let (l, s) = open.remove(&ticket)?;
            assert!(queue.remove(&lane(LANES[l].0), SPACES[s].0, ticket));
            None
        }
    }
}

fn config() -> ProptestConfig {
    ProptestConfig { cases: 500, rng_seed: RngSeed::Fixed(11), ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config())]

    /// Each request leaves by exactly one way, and the same run has the same order.
    #[test]
    fn nothing_is_lost_and_order_is_fixed(acts in prop::collection::vec(act(), 0..150)) {
        let start = Instant::now();
        let mut orders = Vec::new();
        for _ in 0..2 {
            let (mut queue, mut open, mut order) = (Queue::default(), Open::new(), Vec::new());
            for (next, act) in acts.iter().enumerate() {
                order.extend(play(&mut queue, &mut open, next as u64, act, start));
                prop_assert_eq!(queue.len(), open.len());
                for l in 0..LANES.len() {
                    prop_assert!(open.values().filter(|(at, _)| *at == l).count() <= MOST);
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

    /// While two workspaces both wait, what they got by weight differs by at
    /// most one request of each.
    #[test]
    fn shares_hold(
        costs in prop::collection::vec((1..1000_u64, 1..1000_u64), 20),
        shares in (1..1000_u32, 1..1000_u32),
    ) {
        let start = Instant::now();
        let rules = LaneConfig { priority: 50, max_waiting: 100 };
        let mut queue = Queue::default();
        for (i, (a, b)) in costs.iter().enumerate() {
            let i = i as u64;
            queue.push(&lane("chat"), rules, waiting(2 * i, "a", shares.0, *a, start));
            queue.push(&lane("chat"), rules, waiting(2 * i + 1, "b", shares.1, *b, start));
        }
        let (mut got, mut left) = ([0_u64; 2], [20; 2]);
        let weights = [f64::from(shares.0), f64::from(shares.1)];
        let bound = 1000.0 / weights[0] + 1000.0 / weights[1] + 1.0;
        while left[0] > 0 && left[1] > 0 {
            let (_, w) = queue.grant(|_, _| true).expect("both wait");
            let at = usize::from(w.workspace.as_ref() == "b");
            got[at] += w.cost;
            left[at] -= 1;
            let gap = got[0] as f64 / weights[0] - got[1] as f64 / weights[1];
            prop_assert!(gap.abs() <= bound, "{got:?} by {weights:?}");
        }
    }

    /// However much comes above it, the lowest class is granted after at most
    /// [`RESERVE_DIVISOR`] times its own cost, and one request more.
    #[test]
    fn the_lowest_class_does_not_starve(
        costs in prop::collection::vec(1..1000_u64, 2000),
        low in 1..1000_u64,
        hurries in any::<bool>(),
    ) {
        let start = Instant::now();
        let mut queue = Queue::default();
        queue.push(&lane("archive"), rules(0), waiting(0, "a", 1, low, start));
        let mut above = 0;
        for (i, cost) in costs.iter().enumerate() {
            if hurries && queue.try_bypass(&lane("door"), 100, *cost) {
                above += cost;
                prop_assert!(above < RESERVE_DIVISOR * low + 1000, "{above} passed {low}");
                continue;
            }
            queue.push(&lane("door"), rules(100), waiting(i as u64 + 1, "b", 1, *cost, start));
            let (id, w) = queue.grant(|_, _| true).expect("some wait");
            if id == lane("archive") {
                return Ok(());
            }
            above += w.cost;
            prop_assert!(above < RESERVE_DIVISOR * low + 1000, "{above} went before {low}");
        }
        prop_assert!(above < RESERVE_DIVISOR * low, "it never went");
    }
}

#[test]
fn a_higher_priority_goes_first() {
    let (start, mut queue) = (Instant::now(), Queue::default());
    queue.push(&lane("archive"), rules(10), waiting(1, "a", 1, 100, start));
    queue.push(&lane("door"), rules(90), waiting(2, "a", 1, 100, start));
    assert_eq!(queue.grant(|_, _| true).expect("some wait").1.ticket, 2);
    // No room for the door does not hold the archive back.
    queue.push(&lane("door"), rules(90), waiting(3, "a", 1, 100, start));
    let granted = queue.grant(|id, _| *id != lane("door"));
    assert_eq!(granted.expect("some wait").1.ticket, 1);
}

#[test]
fn nobody_passes_those_of_its_own_lane_or_priority() {
    let (start, mut queue) = (Instant::now(), Queue::default());
    assert!(queue.try_bypass(&lane("door"), 90, 1));
    queue.push(&lane("chat"), rules(90), waiting(1, "a", 1, 100, start));
    assert!(!queue.try_bypass(&lane("door"), 90, 1) && !queue.try_bypass(&lane("chat"), 95, 1));
    assert!(queue.try_bypass(&lane("urgent"), 95, 1) && !queue.try_bypass(&lane("archive"), 10, 1));
    let elsewhere = LaneId { class: "archive".into(), work: "other".into() };
    assert!(queue.try_bypass(&elsewhere, 10, 1));
}

#[test]
fn a_full_lane_makes_room_for_a_workspace_below_its_share() {
    let (start, mut queue) = (Instant::now(), Queue::default());
    let mut push = |ticket, space, share| {
        queue.push(&lane("chat"), rules(50), waiting(ticket, space, share, 1, start))
    };
    for ticket in 0..MOST as u64 {
        assert_eq!(push(ticket, "large", 1), PushOutcome::Queued);
    }
    assert_eq!(push(90, "large", 1), PushOutcome::Full);
    let displaced: BTreeSet<_> =
        (0..4).map(|i| format!("{:?}", push(100 + i, "small", 1))).collect();
    assert_eq!(displaced.len(), 4, "{displaced:?}");
    // Both hold half now.
    assert_eq!(push(200, "small", 1), PushOutcome::Full);
    assert_eq!(push(201, "large", 1), PushOutcome::Full);
}

#[test]
fn what_is_ahead_counts_others_up_to_their_share() {
    let (start, mut queue) = (Instant::now(), Queue::default());
    let wide = LaneConfig { priority: 50, max_waiting: 100 };
    for ticket in 0..50 {
        queue.push(&lane("chat"), wide, waiting(ticket, "large", 1, 10, start));
    }
    let ahead = |space| queue.cost_ahead(&lane("chat"), 50, &waiting(99, space, 1, 10, start));
    assert_eq!((ahead("large"), ahead("small")), (500, 10));
}

#[rstest]
#[case::at_once(0, 0, 0, 10_000, None)]
#[case::in_time(2_000, 30_000, 10_000, 5_000, None)]
#[case::too_long_a_prompt(8_000, 0, 10_000, 5_000, Some(3))]
#[case::too_long_a_queue(1_000, 100_000, 10_000, 5_000, Some(6))]
#[case::unknown_speed(1_000, 100_000, 0, 5_000, None)]
#[case::a_little_too_late(5_010, 0, 0, 5_000, Some(1))]
#[case::hopeless(1, u64::MAX, 1, 5_000, Some(300))]
fn a_deadline_that_cannot_be_met_is_refused_with_a_time(
    #[case] first_ms: u64,
    #[case] ahead: u64,
    #[case] speed: u64,
    #[case] left_ms: u64,
    #[case] back: Option<u64>,
) {
    let forecast = Forecast { ttft: Duration::from_millis(first_ms), ahead_tokens: ahead, speed };
    let left = Duration::from_millis(left_ms);
    let refused =
        |chance| forecast.check_deadline(left, chance).err().and_then(|f| f.retry_after());
    assert_eq!(refused(0.0), back.map(Duration::from_secs));
    assert_eq!(refused(1.0), back.map(|s| Duration::from_secs(s).mul_f64(1.5)));
}
