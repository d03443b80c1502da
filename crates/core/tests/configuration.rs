//! Properties of the active version and of the readiness of a new instance.

use std::time::{Duration, Instant};

use mimosapass_core::readiness::{ANSWER_TIMEOUT, FETCH_TIMEOUT, NotReady, PeerAnswers, Readiness};
use mimosapass_core::version::{ActiveHead, Head, HeadComparison};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

fn fixed() -> ProptestConfig {
    ProptestConfig { rng_seed: RngSeed::Fixed(5), cases: 256, ..ProptestConfig::default() }
}

fn head(version: u64) -> Head {
    Head { version, digest: version * 7 }
}

fn heads() -> impl Strategy<Value = Head> {
    (0_u64..20, 0_u64..3).prop_map(|(version, digest)| Head { version, digest })
}

proptest! {
    #![proptest_config(fixed())]

    #[test]
    fn the_active_version_never_decreases(offered in prop::collection::vec(heads(), 0..60)) {
        let mut active = ActiveHead::default();
        for head in offered {
            let before = active.head();
            let comparison = active.compare(head);
            let newer = active.install(head);
            prop_assert_eq!(newer, comparison == HeadComparison::Newer);
            prop_assert!(active.head().version >= before.version);
            // The text of a version never changes.
            prop_assert!(active.head().version > before.version || active.head() == before);
        }
    }

    #[test]
    fn instances_that_receive_the_same_heads_agree(
        offered in prop::collection::vec(1_u64..30, 1..40),
        seed in any::<u64>(),
    ) {
        let mut shuffled = offered.clone();
        let by = |v: &u64| v.wrapping_mul(seed | 1).rotate_left(17);
        shuffled.sort_by_key(by);
        let end = |order: &[u64]| order.iter().fold(ActiveHead::default(), |mut active, v| {
            active.install(head(*v));
            active
        }).head();
        prop_assert_eq!(end(&offered), end(&shuffled));
    }

    #[test]
    fn no_instance_is_ready_without_a_version_or_with_an_older_one(
        active in 0_u64..6,
        platform in prop::option::of(0_u64..6),
        highest in 0_u64..6,
        silent in 0_usize..3,
        ms in 0_u64..19_000,
    ) {
        let start = Instant::now();
        let mut readiness = Readiness::new(start);
        if let Some(version) = platform {
            readiness.record_platform(version);
        }
        let answers = PeerAnswers { highest, answered: usize::from(highest > 0), silent };
        let now = start + Duration::from_millis(ms);
        let ready = readiness.check(head(active), answers, now).is_ok();
        let best = highest.max(platform.unwrap_or(0));
        prop_assert!(!ready || (active > 0 && active >= best));
        let timed_out = now >= start + ANSWER_TIMEOUT;
        let complete = platform.is_some() && silent == 0;
        prop_assert_eq!(ready, active > 0 && active >= best && (complete || timed_out));
    }
}

#[rstest]
#[case::nothing_known(0, None, 0, 0, NotReady::NoConfig { platform: false, peers: 0 })]
#[case::empty_store(0, Some(0), 0, 0, NotReady::NoConfig { platform: true, peers: 0 })]
#[case::peer_knows_more(3, Some(3), 4, 0, NotReady::Outdated(4))]
#[case::store_knows_more(3, Some(5), 3, 0, NotReady::Outdated(5))]
#[case::store_is_silent(3, None, 3, 0, NotReady::AwaitingAnswers { platform: false, silent: 0 })]
#[case::peer_is_silent(3, Some(3), 3, 2, NotReady::AwaitingAnswers { platform: true, silent: 2 })]
fn a_new_instance_waits(
    #[case] active: u64,
    #[case] platform: Option<u64>,
    #[case] highest: u64,
    #[case] silent: usize,
    #[case] reason: NotReady,
) {
    let start = Instant::now();
    let mut readiness = Readiness::new(start);
    if let Some(version) = platform {
        readiness.record_platform(version);
    }
    let answers = PeerAnswers { highest, answered: 0, silent };
    assert_eq!(readiness.check(head(active), answers, start), Err(reason));
    // After the time-out an older version is accepted, but not none at all.
    let late = readiness.check(head(active), answers, start + FETCH_TIMEOUT);
    assert_eq!(late.is_ok(), active > 0);
}

#[test]
fn a_ready_instance_stays_ready() {
    let start = Instant::now();
    let mut readiness = Readiness::new(start);
    readiness.record_platform(3);
    assert_eq!(readiness.check(head(3), PeerAnswers::default(), start), Ok(()));
    let answers = PeerAnswers { highest: 9, answered: 1, silent: 4 };
    assert_eq!(readiness.check(head(3), answers, start), Ok(()));
}
