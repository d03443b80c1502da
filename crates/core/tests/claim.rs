//! At most one of any requests with one identifier gets to send.

use std::collections::{BTreeMap, BTreeSet};

use mimosapass_core::claim::{Claim, ClaimResult, Settlement, Step, WriteResult, after_conflict};
use mimosapass_core::idempotency::{Decision, Record, State, StoredResponse, decide, digest, key};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

/// What becomes of one call to the key-value service.
#[derive(Clone, Copy, Debug)]
enum Fate {
    /// It is carried out and answered.
    Ok,
    /// It is carried out and the answer is lost.
    Lost,
    /// It is carried out later and nothing is answered now.
    Late,
    /// It is not carried out and says so.
    Out,
}

/// What an actor does when it is its turn.
#[derive(Clone, Copy, Debug)]
#[expect(clippy::struct_excessive_bools, reason = "each is drawn alone")]
struct Turn {
    actor: usize,
    fate: Fate,
    /// For a winner: whether the target runs it; otherwise it refuses.
    runs: bool,
    /// Gives up in place of its next call.
    gives_up: bool,
    /// Carries out all late writes first.
    lands: bool,
    /// Ends without another step.
    dies: bool,
    /// Reads an old value after a conflict.
    stale: bool,
}

const CALM: Turn = Turn {
    actor: 0,
    fate: Fate::Ok,
    runs: true,
    gives_up: false,
    lands: false,
    dies: false,
    stale: false,
};

#[derive(Debug)]
enum Actor {
    Claiming {
        claim: Claim,
        step: Step,
    },
    Settling {
        want: Record,
        expected: u64,
    },
    Ended,
    /// Ended without having settled.
    Dead,
}

#[derive(Debug, Default)]
struct Cell {
    revision: u64,
    stored: Option<(u64, Record)>,
    former: Option<(u64, Record)>,
    late: Vec<(u64, Record)>,
}

impl Cell {
    fn put(&mut self, at: u64, record: &Record, fate: Fate) -> WriteResult {
        match fate {
            Fate::Ok => self.write(at, record),
            Fate::Lost => {
                self.write(at, record);
                WriteResult::Unknown
            }
            Fate::Late => {
                self.late.push((at, record.clone()));
                WriteResult::Unknown
            }
            Fate::Out => WriteResult::NotApplied,
        }
    }

    fn write(&mut self, at: u64, record: &Record) -> WriteResult {
        if self.stored.as_ref().map_or(0, |(r, _)| *r) != at {
            return WriteResult::Conflict;
        }
        self.revision += 1;
        self.former = self.stored.replace((self.revision, record.clone()));
        WriteResult::Done(self.revision)
    }

    fn land(&mut self) {
        for (at, record) in std::mem::take(&mut self.late) {
            self.write(at, &record);
        }
    }

    /// Reads the cell; a late answer is the value before the last write.
    fn found(&self, fate: Fate) -> Option<(u64, &Record)> {
        let read = if matches!(fate, Fate::Late) { &self.former } else { &self.stored };
        read.as_ref().map(|(at, r)| (*at, r))
    }

    fn at(&self) -> u64 {
        self.stored.as_ref().map_or(0, |(at, _)| *at)
    }
}

fn record(token: u64, state: State) -> Record {
    Record { token, digest: 7, deadline_ms: 100, state }
}

fn with(record: &Record, state: State) -> Record {
    Record { state, ..record.clone() }
}

/// Plays one turn; returns whether the target ran the request in it.
fn play(actor: &mut Actor, cell: &mut Cell, turn: Turn) -> bool {
    let (next, ran) = match std::mem::replace(actor, Actor::Ended) {
        Actor::Claiming { .. } | Actor::Settling { .. } if turn.dies => (Actor::Dead, false),
        Actor::Claiming { claim, step } if turn.gives_up => (give_up(&claim, &step), false),
        Actor::Claiming { claim, step } => claiming(claim, step, cell, turn),
        Actor::Settling { want, expected } => (settling(want, expected, cell, turn), false),
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
        Some(expected) => Actor::Settling { want: with(claim.record(), State::Unsent), expected },
        None => Actor::Ended,
    }
}

fn claiming(mut claim: Claim, step: Step, cell: &mut Cell, turn: Turn) -> (Actor, bool) {
    let step = match step {
        Step::Put(at) => {
            let wrote = cell.put(at, claim.record(), turn.fate);
            claim.on_write(wrote)
        }
        Step::Get if matches!(turn.fate, Fate::Ok | Fate::Late) => {
            claim.on_read(cell.found(turn.fate), 0)
        }
        Step::Get => Step::Get,
        Step::End(ClaimResult::Won(revision)) => {
            let state = if turn.runs { State::Ran(200) } else { State::Unsent };
            let want = with(claim.record(), state);
            return (Actor::Settling { want, expected: revision }, turn.runs);
        }
        step @ Step::End(_) => return (give_up(&claim, &step), false),
    };
    (Actor::Claiming { claim, step }, false)
}

fn settling(want: Record, expected: u64, cell: &mut Cell, turn: Turn) -> Actor {
    match cell.put(expected, &want, turn.fate) {
        WriteResult::Done(_) => Actor::Ended,
        WriteResult::Conflict => {
            let read = if turn.stale { Fate::Late } else { Fate::Ok };
            match after_conflict(&want, cell.at(), cell.found(read)) {
                Settlement::Write(expected) => Actor::Settling { want, expected },
                Settlement::Done => Actor::Ended,
                Settlement::Reread => Actor::Settling { want, expected },
            }
        }
        WriteResult::NotApplied | WriteResult::Unknown => Actor::Settling { want, expected },
    }
}

fn begin(token: u64) -> Actor {
    Actor::Claiming { claim: Claim::new(record(token, State::Sending)), step: Step::Get }
}

/// Lets the actor end: an open claim is given up, a won one refused, all settled.
fn quieten(actor: &mut Actor, cell: &mut Cell) {
    while !matches!(actor, Actor::Ended | Actor::Dead) {
        let won = matches!(actor, Actor::Claiming { step: Step::End(_), .. });
        play(actor, cell, Turn { runs: false, gives_up: !won, ..CALM });
    }
}

fn turn(actors: usize) -> impl Strategy<Value = Turn> {
    let fate = prop_oneof![
        4 => Just(Fate::Ok),
        2 => Just(Fate::Lost),
        2 => Just(Fate::Late),
        1 => Just(Fate::Out)
    ];
    let rare = || prop::bool::weighted(0.1);
    (0..actors, fate, any::<bool>(), rare(), rare(), prop::bool::weighted(0.02), any::<bool>())
        .prop_map(|(actor, fate, runs, gives_up, lands, dies, stale)| Turn {
            actor,
            fate,
            runs,
            gives_up,
            lands,
            dies,
            stale,
        })
}

fn config() -> ProptestConfig {
    ProptestConfig { cases: 1500, rng_seed: RngSeed::Fixed(5), ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config())]

    /// Whatever is lost, late, paused or dead, the target runs it at most once.
    /// When nothing ran and nobody died, the next request gets through.
    #[test]
    fn runs_at_most_once_and_a_true_refusal_can_be_repeated(
        turns in prop::collection::vec(turn(4), 0..80),
    ) {
        let mut cell = Cell::default();
        let mut actors: BTreeMap<usize, Actor> = (0..4).map(|i| (i, begin(i as u64))).collect();
        let mut runs = 0;
        for turn in turns {
            if turn.lands {
                cell.land();
            }
            let actor = actors.get_mut(&turn.actor).expect("an actor of that number");
            runs += u32::from(play(actor, &mut cell, turn));
            prop_assert!(runs <= 1, "it ran twice");
        }
        for actor in actors.values_mut() {
            quieten(actor, &mut cell);
        }
        cell.land();
        let died = actors.values().any(|a| matches!(a, Actor::Dead));
        let mut last = begin(9);
        while !matches!(last, Actor::Ended) {
            runs += u32::from(play(&mut last, &mut cell, CALM));
        }
        prop_assert!(runs <= 1, "the repeat ran it twice");
        prop_assert!(runs == 1 || died, "a true refusal could not be repeated");
    }
}

#[rstest]
#[case::ours(record(1, State::Sending), Decision::Send)]
#[case::sent_by_another(record(2, State::Sending), Decision::Running)]
#[case::overdue(Record { deadline_ms: 10, ..record(2, State::Sending) }, Decision::OutcomeUnknown)]
#[case::given_up(record(2, State::Unsent), Decision::Claim)]
#[case::ran(record(2, State::Ran(201)), Decision::Ran(201))]
#[case::broke_off(record(2, State::Broken), Decision::OutcomeUnknown)]
#[case::other_body(Record { digest: 8, ..record(2, State::Unsent) }, Decision::Mismatch)]
fn decides_by_what_was_found(#[case] found: Record, #[case] decision: Decision) {
    assert_eq!(decide(&record(1, State::Sending), &found, 50), decision);
}

#[test]
fn a_small_text_is_stored_and_nothing_else() {
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
