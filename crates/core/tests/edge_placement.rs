//! Choice of targets under mixed loads of short and long prompts.

use std::sync::Arc;
use std::time::{Duration, Instant};

use mimosapass_core::edge::cost::Engine;
use mimosapass_core::edge::fleet::Target;
use mimosapass_core::edge::load::{Assignment, Load};
use mimosapass_core::edge::order::{Turn, positions};
use mimosapass_core::edge::placement::{Candidate, Placement, PlacementRequest, choose, is_long};

/// An engine with typical costs: a pass takes 45 ms.
fn engine() -> Engine {
    Engine {
        slots: 16,
        memory_tokens: 450_000,
        step_ms: 0.9,
        request_ms: 0.005,
        context_ms: 0.0025,
        tokens_per_ms: 256.0,
        pairs_ms: 0.09,
        chunk: 2_048,
        stride: 46,
        hop_ms: 0.1,
        mean_prompt: 13_000.0,
        mean_answer: 1_500.0,
    }
}

/// Longest gaps of chats and of reviews.
const STRICT: Duration = Duration::from_millis(200);
const LOOSE: Duration = Duration::from_millis(800);

fn targets(count: usize) -> Vec<Arc<Target>> {
    let target = |i: usize| Target {
        id: format!("t{i:02}").as_str().into(),
        service: "pool".into(),
        addr: "127.0.0.1:9000".parse().expect("an address"),
        zone: "a".into(),
        slots: 16,
        draining: false,
        started_ms: 1,
        seq: 1,
        warmup: Duration::ZERO,
    };
    (0..count).map(|i| Arc::new(target(i))).collect()
}

/// Returns the targets as one block, which all schedulers fill in the same order.
fn candidates(targets: &[Arc<Target>], long: bool) -> Vec<Candidate<'_>> {
    let zones: Vec<_> = targets.iter().map(|t| &t.zone).collect();
    let mut candidates: Vec<Candidate<'_>> =
        std::iter::zip(targets, positions(&zones, "a", Turn::default()))
            .map(|(target, position)| Candidate {
                target,
                slowdown: 1.0,
                extra_latency: Duration::ZERO,
                position,
            })
            .collect();
    if long {
        candidates.reverse();
    }
    candidates
}

fn request(prompt: u64, goal_ms: u64) -> PlacementRequest {
    PlacementRequest {
        work: None,
        prompt,
        answer: 800,
        value: 1.0 + prompt as f64 / 10_000.0,
        time_left: Duration::from_millis(goal_ms),
        long: is_long(&engine(), prompt, STRICT),
        whole: false,
    }
}

/// A fleet, and the requests that were sent to it.
struct Replay {
    targets: Vec<Arc<Target>>,
    load: Load,
    now: Instant,
    next: u64,
}

impl Replay {
    fn new(count: usize) -> Self {
        Self { targets: targets(count), load: Load::default(), now: Instant::now(), next: 0 }
    }

    fn choose(&self, request: &PlacementRequest) -> Option<Placement> {
        let candidates = candidates(&self.targets, request.long);
        choose(request, Some(&engine()), &candidates, &self.load, self.now)
    }

    /// Sends a request to its placement; `decoding` says that its prefill has ended.
    fn send(&mut self, request: &PlacementRequest, placement: &Placement, decoding: bool) {
        self.next += 1;
        let assignment = Assignment {
            prompt: request.prompt,
            parts: placement.helpers.len() as u32 + 1,
            answering: true,
            memory_tokens: placement.memory_tokens,
            answer: request.answer,
            max_gap: if request.long { LOOSE } else { STRICT },
            value: request.value,
            work: Duration::ZERO,
            sent_at: self.now,
            decoding_since: decoding.then_some(self.now),
        };
        self.load.begin(&placement.target.id, self.next, assignment, Some(&engine()));
        for helper in placement.helpers.iter().filter(|_| !decoding) {
            let assignment =
                Assignment { answering: false, memory_tokens: helper.kept_tokens, ..assignment };
            self.load.begin(&helper.target.id, self.next, assignment, Some(&engine()));
        }
    }

    /// Returns how many targets have requests.
    fn used(&self) -> usize {
        let used = |t: &&Arc<Target>| self.load.assignments(&t.id).next().is_some();
        self.targets.iter().filter(used).count()
    }
}

/// Chats at a steady rate fill few engines, so that others stay free for long prompts.
#[test]
fn short_prompts_share_engines() {
    let mut replay = Replay::new(12);
    let chat = request(5_000, 300);
    for _ in 0..20 {
        let placement = replay.choose(&chat).expect("room");
        assert!(placement.first_event <= Duration::from_millis(300));
        replay.send(&chat, &placement, true);
    }
    assert!(replay.used() <= 4, "20 chats are on {} engines", replay.used());
}

/// Guards against the load of trace quiet-1 of atlas-loc, where eleven chats within 70 ms
/// went to one engine.
#[test]
fn burst_of_short_prompts_spreads_over_engines() {
    let mut replay = Replay::new(12);
    let chat = request(5_000, 300);
    for _ in 0..30 {
        let placement = replay.choose(&chat).expect("room");
        assert!(
            placement.first_event <= Duration::from_millis(300),
            "predicted {:?}",
            placement.first_event
        );
        replay.send(&chat, &placement, false);
    }
}

/// Parts of a long prompt go to engines without strict streams.
#[test]
fn long_prompt_avoids_strict_streams() {
    let mut replay = Replay::new(8);
    let chat = request(5_000, 300);
    for _ in 0..10 {
        let placement = replay.choose(&chat).expect("room");
        replay.send(&chat, &placement, true);
    }
    let placement = replay.choose(&request(210_000, 3_000)).expect("room");
    assert!(placement.interference < 0.01, "interference {}", placement.interference);
    assert!(
        placement.first_event <= Duration::from_millis(1_800),
        "predicted {:?}",
        placement.first_event
    );
}

/// A prompt that one engine cannot process in time is split over several.
#[test]
fn prompt_too_slow_for_one_engine_is_split() {
    let replay = Replay::new(8);
    let review = request(300_000, 3_000);
    assert!(engine().prefill_time(300_000, 1) > review.time_left);
    let placement = replay.choose(&review).expect("room");
    assert!(!placement.helpers.is_empty() && placement.first_event < review.time_left);
    assert!(
        placement.helpers.iter().all(|h| h.kept_tokens == 0),
        "it fits into one engine's memory"
    );
}

/// Long prompts wait in the queue while all engines are in prefill. An engine
/// processes the newest part first, so a prompt that waits there would be overtaken.
#[test]
fn long_prompt_waits_while_all_engines_are_in_prefill() {
    let mut replay = Replay::new(4);
    let review = request(300_000, 3_000);
    let mut placed = 0;
    while let Some(placement) = replay.choose(&review) {
        replay.send(&review, &placement, false);
        placed += 1;
        assert!(placed <= 4, "an engine got a second long prompt");
    }
    assert!(replay.choose(&request(3_000, 300)).is_some(), "a short one is still placed");
}

/// Prompts of up to a million tokens exceed the memory of one engine.
#[test]
fn prompt_larger_than_an_engine_is_kept_by_several() {
    let replay = Replay::new(16);
    let placement = replay.choose(&request(1_000_000, 6_000)).expect("room");
    let kept: u64 = placement.helpers.iter().map(|h| h.kept_tokens).sum();
    assert_eq!(kept + placement.memory_tokens, 1_000_800);
    assert!(placement.memory_tokens <= 450_000);
    assert!(placement.helpers.iter().all(|h| h.kept_tokens <= 450_000));
}

#[test]
fn memory_in_use_is_not_assigned_again() {
    let mut replay = Replay::new(1);
    let review = request(300_000, 20_000);
    let placement = replay.choose(&review).expect("room");
    replay.send(&review, &placement, true);
    assert!(replay.choose(&review).is_none(), "300k and 300k do not fit into 450k");
}

/// Generates a test from a prompt's length, and whether it is long for strict streams.
macro_rules! lengths {
    ($($name:ident: $tokens:expr => $long:expr;)+) => {
        $(#[test]
        fn $name() {
            assert_eq!(is_long(&engine(), $tokens, STRICT), $long);
        })+
    };
}

lengths! {
    usual_chat_is_short: 5_000 => false;
    largest_chat_is_long: 23_800 => true;
    summary_is_long: 45_000 => true;
}

#[test]
fn service_gets_the_least_used_target() {
    let mut replay = Replay::new(3);
    let call = PlacementRequest { long: false, ..request(0, 300) };
    for _ in 0..3 {
        let candidates = candidates(&replay.targets, false);
        let placement = choose(&call, None, &candidates, &replay.load, replay.now).expect("room");
        replay.send(&call, &placement, false);
    }
    assert_eq!(replay.used(), 3);
}
