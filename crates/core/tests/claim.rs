//! At most one of several requests with the same identifier is sent.

use std::collections::{BTreeMap, BTreeSet};

use mimosapass_core::claim::{Claim, ClaimResult, Settlement, Step, WriteResult, after_conflict};
use mimosapass_core::idempotency::{Decision, Record, State, StoredResponse, decide, digest, key};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

/// Outcome of one call to the key-value service.
#[derive(Clone, Copy, Debug)]
enum Fate {
    /// It is applied and answered.
    Ok,
    /// It is applied and the answer is lost.
    AnswerLost,
    /// It is applied later and not answered.
    Delayed,
    /// It is rejected without being applied.
    Rejected,
}

/// One step of an actor and the faults that affect it.
#[derive(Clone, Copy, Debug)]
#[expect(clippy::struct_excessive_bools, reason = "each is drawn independently")]
struct Turn {
    actor: usize,
    fate: Fate,
    /// Whether the target runs the request if the claim is won; else it refuses.
    runs: bool,
    /// Whether the actor gives up instead of making its next call.
    gives_up: bool,
    /// Whether all delayed writes are applied first.
    applies_delayed: bool,
    /// Whether the actor ends without another step.
    crashes: bool,
    /// Whether the actor reads an old value after a conflict.
    stale: bool,
}

const NO_FAULT: Turn = Turn {
    actor: 0,
    fate: Fate::Ok,
    runs: true,
    gives_up: false,
    applies_delayed: false,
    crashes: false,
    stale: false,
};

#[derive(Debug)]
enum Actor {
    Claiming {
        claim: Claim,
        step: Step,
    },
    Finalizing {
        record: Record,
        expected: u64,
    },
    Ended,
    /// Ended without finalizing its record.
    Crashed,
}

/// A key-value service with a single key.
#[derive(Debug, Default)]
struct Store {
    revision: u64,
    stored: Option<(u64, Record)>,
    previous: Option<(u64, Record)>,
    delayed: Vec<(u64, Record)>,
}

impl Store {
    fn put(&mut self, at: u64, record: &Record, fate: Fate) -> WriteResult {
        match fate {
            Fate::Ok => self.write(at, record),
            Fate::AnswerLost => {
                self.write(at, record);
                WriteResult::Unknown
            }
            Fate::Delayed => {
                self.delayed.push((at, record.clone()));
                WriteResult::Unknown
            }
            Fate::Rejected => WriteResult::NotApplied,
        }
    }

    fn write(&mut self, at: u64, record: &Record) -> WriteResult {
        if self.stored.as_ref().map_or(0, |(r, _)| *r) != at {
            return WriteResult::Conflict;
        }
        self.revision += 1;
        self.previous = self.stored.replace((self.revision, record.clone()));
        WriteResult::Done(self.revision)
    }

    fn apply_delayed(&mut self) {
        for (at, record) in std::mem::take(&mut self.delayed) {
            self.write(at, &record);
        }
    }

    /// Reads the key; a delayed answer is the value before the last write.
    fn found(&self, fate: Fate) -> Option<(u64, &Record)> {
        let read = if matches!(fate, Fate::Delayed) { &self.previous } else { &self.stored };
        read.as_ref().map(|(at, r)| (*at, r))
    }

    fn at(&self) -> u64 {
        self.stored.as_ref().map_or(0, |(at, _)| *at)
    }
}

fn record(token: u64, state: State) -> Record {
    Record { token, digest: 7, deadline_ms: 100, state }
}

fn with_state(record: &Record, state: State) -> Record {
    Record { state, ..record.clone() }
}

/// Makes one step of an actor; returns whether the target ran the request.
fn take_turn(actor: &mut Actor, store: &mut Store, turn: Turn) -> bool {
    let (next, ran) = match std::mem::replace(actor, Actor::Ended) {
        Actor::Claiming { .. } | Actor::Finalizing { .. } if turn.crashes => {
            (Actor::Crashed, false)
        }
        Actor::Claiming { claim, step } if turn.gives_up => (give_up(&claim, &step), false),
        Actor::Claiming { claim, step } => advance_claim(claim, step, store, turn),
        Actor::Finalizing { record, expected } => (finalize(record, expected, store, turn), false),
        ended => (ended, false),
    };
    *actor = next;
    ran
}

fn give_up(claim: &Claim, step: &Step) -> Actor {
    let written = match step {
        Step::End(ClaimResult::Won(revision)) => Some(*revision),
        Step::End(ClaimResult::Lost(_) | ClaimResult::Unavailable) | Step::Get | Step::Put(_) => {
            claim.unconfirmed_write()
        }
    };
    match written {
        Some(expected) => {
            Actor::Finalizing { record: with_state(claim.record(), State::Unsent), expected }
        }
        None => Actor::Ended,
    }
}

fn advance_claim(mut claim: Claim, step: Step, store: &mut Store, turn: Turn) -> (Actor, bool) {
    let step = match step {
        Step::Put(at) => {
            let result = store.put(at, claim.record(), turn.fate);
            claim.on_write(result)
        }
        Step::Get if matches!(turn.fate, Fate::Ok | Fate::Delayed) => {
            claim.on_read(store.found(turn.fate), 0)
        }
        Step::Get => Step::Get,
        Step::End(ClaimResult::Won(revision)) => {
            let state = if turn.runs { State::Ran(200) } else { State::Unsent };
            let record = with_state(claim.record(), state);
            return (Actor::Finalizing { record, expected: revision }, turn.runs);
        }
        step @ Step::End(_) => return (give_up(&claim, &step), false),
    };
    (Actor::Claiming { claim, step }, false)
}

fn finalize(record: Record, expected: u64, store: &mut Store, turn: Turn) -> Actor {
    match store.put(expected, &record, turn.fate) {
        WriteResult::Done(_) => Actor::Ended,
        WriteResult::Conflict => {
            let read = if turn.stale { Fate::Delayed } else { Fate::Ok };
            match after_conflict(&record, store.at(), store.found(read)) {
                Settlement::Write(expected) => Actor::Finalizing { record, expected },
                Settlement::Done => Actor::Ended,
                Settlement::Reread => Actor::Finalizing { record, expected },
            }
        }
        WriteResult::NotApplied | WriteResult::Unknown => Actor::Finalizing { record, expected },
    }
}

fn new_claim(token: u64) -> Actor {
    Actor::Claiming { claim: Claim::new(record(token, State::Sending)), step: Step::Get }
}

/// Runs the actor to its end: an open claim is given up, a won one is refused.
fn finish(actor: &mut Actor, store: &mut Store) {
    while !matches!(actor, Actor::Ended | Actor::Crashed) {
        let won = matches!(actor, Actor::Claiming { step: Step::End(_), .. });
        take_turn(actor, store, Turn { runs: false, gives_up: !won, ..NO_FAULT });
    }
}

fn turn(actors: usize) -> impl Strategy<Value = Turn> {
    let fate = prop_oneof![
        4 => Just(Fate::Ok),
        2 => Just(Fate::AnswerLost),
        2 => Just(Fate::Delayed),
        1 => Just(Fate::Rejected)
    ];
    let rare = || prop::bool::weighted(0.1);
    (0..actors, fate, any::<bool>(), rare(), rare(), prop::bool::weighted(0.02), any::<bool>())
        .prop_map(|(actor, fate, runs, gives_up, applies_delayed, crashes, stale)| Turn {
            actor,
            fate,
            runs,
            gives_up,
            applies_delayed,
            crashes,
            stale,
        })
}

fn config() -> ProptestConfig {
    ProptestConfig { cases: 1500, rng_seed: RngSeed::Fixed(5), ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config())]

    /// Under any lost, delayed or paused calls and crashes, the target runs the
    /// request at most once. If it did not run and no actor crashed, the next
    /// request with the identifier runs.
    #[test]
    fn a_request_runs_at_most_once_and_can_be_repeated_if_it_did_not_run(
        turns in prop::collection::vec(turn(4), 0..80),
    ) {
        let mut store = Store::default();
        let mut actors: BTreeMap<usize, Actor> = (0..4).map(|i| (i, new_claim(i as u64))).collect();
        let mut runs = 0;
        for turn in turns {
            if turn.applies_delayed {
                store.apply_delayed();
            }
            let actor = actors.get_mut(&turn.actor).expect("an actor of that number");
            runs += u32::from(take_turn(actor, &mut store, turn));
            prop_assert!(runs <= 1, "it ran twice");
        }
        for actor in actors.values_mut() {
            finish(actor, &mut store);
        }
        store.apply_delayed();
        let crashed = actors.values().any(|a| matches!(a, Actor::Crashed));
        let mut last = new_claim(9);
        while !matches!(last, Actor::Ended) {
            runs += u32::from(take_turn(&mut last, &mut store, NO_FAULT));
        }
        prop_assert!(runs <= 1, "the repeat ran it twice");
        prop_assert!(runs == 1 || crashed, "a request that did not run could not be repeated");
    }
}

#[rstest]
#[case::own(record(1, State::Sending), Decision::Send)]
#[case::sending_by_another(record(2, State::Sending), Decision::Running)]
#[case::overdue(Record { deadline_ms: 10, ..record(2, State::Sending) }, Decision::OutcomeUnknown)]
#[case::given_up(record(2, State::Unsent), Decision::Claim)]
#[case::ran(record(2, State::Ran(201)), Decision::Ran(201))]
#[case::broken(record(2, State::Broken), Decision::OutcomeUnknown)]
#[case::other_body(Record { digest: 8, ..record(2, State::Unsent) }, Decision::Mismatch)]
fn the_stored_record_decides(#[case] stored: Record, #[case] decision: Decision) {
    assert_eq!(decide(&record(1, State::Sending), &stored, 50), decision);
}

#[test]
fn only_small_text_answers_are_stored() {
    let small = StoredResponse { status: 200, headers: Vec::new(), body: "ok".to_owned() };
    assert_eq!(State::answered(200, &[], b"ok"), State::Done(small));
    assert_eq!(State::answered(200, &[], &[b'a'; 5000]), State::Ran(200));
    assert_eq!(State::answered(200, &[], &[0xff]), State::Ran(200));
}

#[test]
fn keys_are_scoped_by_workspace_and_service() {
    let scopes = [("atlas", "book"), ("dokaz", "book"), ("atlas", "give"), ("atlasb", "ook")];
    let keys: BTreeSet<_> = scopes.iter().map(|(w, s)| key(w, s, "7")).collect();
    assert_eq!(keys.len(), scopes.len());
    assert_ne!(digest("POST", "/a", b"x"), digest("POST", "/a", b"y"));
    assert_ne!(digest("POST", "/a", b"x"), digest("PUT", "/a", b"x"));
}
