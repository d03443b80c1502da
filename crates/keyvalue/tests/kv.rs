//! Contract of the key-value service: each case holds of the service, here the
//! stand-in, as its client sees it.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::thread;
use std::time::{Duration, Instant};

use mimosapass_keyvalue::kv::{KvClient, KvError, MAX_VALUE_BYTES, Revision};
use mimosapass_standin::platform::{Faults, Platform};
use rstest::rstest;

const LOCAL: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// Time after which an answer counts as lost in these tests.
const SHORT: Duration = Duration::from_millis(150);
/// A wait that no passing case lets run out.
const LONG: Duration = Duration::from_secs(20);

fn service() -> (Platform, KvClient) {
    let platform = Platform::start(LOCAL).expect("starts");
    let kv = KvClient::new(&platform.addr().to_string());
    (platform, kv)
}

fn value(kv: &KvClient, key: &str) -> Option<String> {
    kv.get(key).expect("an answer").map(|e| e.value)
}

#[test]
fn a_key_is_created_once() {
    let (_platform, kv) = service();
    assert_eq!(kv.get("a"), Ok(None));
    let first = kv.put("a", "1", 0, None).expect("created");
    assert_eq!(kv.put("a", "2", 0, None), Err(KvError::Conflict(first)));
    let entry = kv.get("a").expect("an answer").expect("it stands");
    assert_eq!((entry.revision, entry.value.as_str()), (first, "1"));
}

#[test]
fn a_swap_needs_the_present_revision_and_makes_a_higher_one() {
    let (_platform, kv) = service();
    let first = kv.put("a", "1", 0, None).expect("created");
    let second = kv.put("a", "2", first, None).expect("swapped");
    assert!(second > first);
    assert_eq!(kv.put("a", "3", first, None), Err(KvError::Conflict(second)));
    assert_eq!(kv.delete("a", first), Err(KvError::Conflict(second)));
    assert_eq!(value(&kv, "a").as_deref(), Some("2"));
}

/// A late write at an old revision must never take effect on a new key.
#[test]
fn no_revision_is_used_twice_even_after_a_delete() {
    let (_platform, kv) = service();
    let first = kv.put("a", "1", 0, None).expect("created");
    assert_eq!(kv.delete("a", first), Ok(()));
    assert_eq!(kv.get("a"), Ok(None));
    let again = kv.put("a", "2", 0, None).expect("created anew");
    assert!(again > first);
    assert_eq!(kv.put("a", "3", first, None), Err(KvError::Conflict(again)));
}

#[test]
fn of_writers_at_one_moment_one_wins_each_round() {
    let (_platform, kv) = service();
    let rounds = 20;
    thread::scope(|scope| {
        let counting = || {
            (0..rounds).for_each(|_| while !count(&kv) {});
        };
        let all: Vec<_> = (0..4).map(|_| scope.spawn(counting)).collect();
        for writer in all {
            writer.join().expect("it ends");
        }
    });
    assert_eq!(value(&kv, "count"), Some((4 * rounds).to_string()));
}

/// Adds one by a read and a swap; returns whether the swap took effect.
fn count(kv: &KvClient) -> bool {
    let (at, old) = kv
        .get("count")
        .expect("an answer")
        .map_or((0, 0), |e| (e.revision, e.value.parse::<u32>().expect("a number")));
    match kv.put("count", &(old + 1).to_string(), at, None) {
        Ok(_) => true,
        Err(KvError::Conflict(_)) => false,
        Err(e) => panic!("{e}"),
    }
}

#[test]
fn a_key_goes_with_its_lease_unless_renewed() {
    let (_platform, kv) = service();
    let brief = kv.grant(Duration::from_secs(1)).expect("granted");
    let kept = kv.grant(Duration::from_mins(1)).expect("granted");
    kv.put("brief", "1", 0, Some(brief)).expect("created");
    kv.put("kept", "1", 0, Some(kept)).expect("created");
    assert_eq!(kv.renew(kept), Ok(()));
    thread::sleep(Duration::from_millis(1300));
    assert_eq!((kv.get("brief"), value(&kv, "kept")), (Ok(None), Some("1".to_owned())));
    assert_eq!(kv.renew(brief), Err(KvError::LeaseExpired));
    assert_eq!(kv.put("brief", "2", 0, Some(brief)), Err(KvError::LeaseExpired));
    assert_eq!(kv.get("brief"), Ok(None));
}

#[test]
fn renewals_carry_a_lease_past_its_first_end() {
    let (_platform, kv) = service();
    let lease = kv.grant(Duration::from_millis(1500)).expect("granted");
    kv.put("a", "1", 0, Some(lease)).expect("created");
    for _ in 0..4 {
        thread::sleep(Duration::from_millis(500));
        assert_eq!(kv.renew(lease), Ok(()));
    }
    assert_eq!(value(&kv, "a").as_deref(), Some("1"));
}

/// A write without the lease takes the key off it.
#[test]
fn a_write_sets_the_lease_of_its_key_anew() {
    let (_platform, kv) = service();
    let lease = kv.grant(Duration::from_secs(1)).expect("granted");
    let first = kv.put("a", "1", 0, Some(lease)).expect("created");
    kv.put("a", "2", first, None).expect("swapped");
    thread::sleep(Duration::from_millis(1300));
    assert_eq!(value(&kv, "a").as_deref(), Some("2"));
}

#[test]
fn a_watch_ends_with_the_next_write_or_with_its_time() {
    let (_platform, kv) = service();
    let first = kv.put("a", "1", 0, None).expect("created");
    assert_eq!(kv.watch("a", first, SHORT), Ok(None));
    let found = thread::scope(|scope| {
        let watching = scope.spawn(|| kv.watch("a", first, LONG));
        thread::sleep(SHORT);
        kv.put("a", "2", first, None).expect("swapped");
        watching.join().expect("it ends")
    });
    assert_eq!(found.expect("an answer").expect("a change").value, "2");
}

#[test]
fn a_watch_skips_what_was_overwritten_and_repeats_when_asked_again() {
    let (_platform, kv) = service();
    let first = kv.put("a", "1", 0, None).expect("created");
    let second = kv.put("a", "2", first, None).expect("swapped");
    let third = kv.put("a", "3", second, None).expect("swapped");
    let see = |after: Revision| {
        let found = kv.watch("a", after, LONG).expect("an answer").expect("a change");
        (found.revision, found.value)
    };
    assert_eq!(see(first), (third, "3".to_owned()));
    assert_eq!(see(first), (third, "3".to_owned()));
    assert_eq!(see(second), (third, "3".to_owned()));
}

#[test]
fn the_largest_value_passes_whole() {
    let (_platform, kv) = service();
    let large = "x".repeat(MAX_VALUE_BYTES);
    kv.put("a", &large, 0, None).expect("created");
    assert_eq!(value(&kv, "a"), Some(large));
}

#[rstest]
#[case::carried_out(Faults { lose_writes: 1, ..Faults::default() }, true)]
#[case::not_carried_out(Faults { drop_writes: 1, ..Faults::default() }, false)]
#[case::carried_out_too_slowly(Faults { answer_ms: 600, ..Faults::default() }, true)]
#[case::slow_before_it(Faults { delay_ms: 600, ..Faults::default() }, true)]
fn a_write_without_an_answer_is_unknown(#[case] faults: Faults, #[case] stands: bool) {
    let (platform, kv) = service();
    platform.set(faults);
    let lost = kv.with_timeout(SHORT).put("a", "1", 0, None);
    assert!(matches!(lost, Err(KvError::OutcomeUnknown(_))), "{lost:?}");
    platform.set(Faults::default());
    // A slow write still takes effect, later than its answer was awaited.
    let end = Instant::now() + if stands { LONG } else { Duration::from_millis(900) };
    while value(&kv, "a").is_none() && Instant::now() < end {
        thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(value(&kv, "a").is_some(), stands);
}

/// Every call of the client, by name.
fn every(kv: &KvClient) -> Vec<(&'static str, Option<KvError>)> {
    vec![
        ("get", kv.get("a").err()),
        ("watch", kv.watch("a", 0, Duration::ZERO).err()),
        ("put", kv.put("a", "1", 0, None).err()),
        ("delete", kv.delete("a", 7).err()),
        ("grant", kv.grant(SHORT).err()),
        ("renew", kv.renew(1).err()),
    ]
}

#[test]
fn in_an_outage_nothing_is_done_and_each_call_says_so() {
    let (platform, kv) = service();
    platform.set(Faults { outage: true, ..Faults::default() });
    for (call, error) in every(&kv) {
        assert!(matches!(error, Some(KvError::Unavailable(_))), "{call}: {error:?}");
    }
    platform.set(Faults::default());
    assert_eq!(kv.get("a"), Ok(None));
}

#[test]
fn with_nobody_there_each_call_says_so() {
    let addr = TcpListener::bind(LOCAL).and_then(|l| l.local_addr()).expect("an address");
    for (call, error) in every(&KvClient::new(&addr.to_string())) {
        assert!(matches!(error, Some(KvError::Unavailable(_))), "{call}: {error:?}");
    }
}

/// A listener that accepts by its backlog and never answers.
#[test]
fn a_frozen_service_leaves_each_call_unknown_in_its_time() {
    let listener = TcpListener::bind(LOCAL).expect("bound");
    let addr = listener.local_addr().expect("an address");
    for (call, error) in every(&KvClient::new(&addr.to_string()).with_timeout(SHORT)) {
        assert!(matches!(error, Some(KvError::OutcomeUnknown(_))), "{call}: {error:?}");
    }
}
