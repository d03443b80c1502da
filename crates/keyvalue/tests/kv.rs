//! Contract of the key-value service as its client sees it, tested on the stand-in.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::thread;
use std::time::{Duration, Instant};

use mimosapass_keyvalue::kv::{KvClient, KvError, MAX_VALUE_BYTES, Revision};
use mimosapass_standin::platform::{Faults, Platform};
use rstest::rstest;

const LOCAL: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// Timeout after which a response counts as lost.
const SHORT_WAIT: Duration = Duration::from_millis(150);
/// Wait that never elapses in a passing test.
const LONG_WAIT: Duration = Duration::from_secs(20);

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
    let entry = kv.get("a").expect("an answer").expect("it exists");
    assert_eq!((entry.revision, entry.value.as_str()), (first, "1"));
}

#[test]
fn a_swap_needs_the_current_revision_and_yields_a_higher_one() {
    let (_platform, kv) = service();
    let first = kv.put("a", "1", 0, None).expect("created");
    let second = kv.put("a", "2", first, None).expect("swapped");
    assert!(second > first);
    assert_eq!(kv.put("a", "3", first, None), Err(KvError::Conflict(second)));
    assert_eq!(kv.delete("a", first), Err(KvError::Conflict(second)));
    assert_eq!(value(&kv, "a").as_deref(), Some("2"));
}

/// A delayed write at an old revision must never take effect on a recreated key.
#[test]
fn revisions_are_never_reused_even_after_a_delete() {
    let (_platform, kv) = service();
    let first = kv.put("a", "1", 0, None).expect("created");
    assert_eq!(kv.delete("a", first), Ok(()));
    assert_eq!(kv.get("a"), Ok(None));
    let recreated = kv.put("a", "2", 0, None).expect("recreated");
    assert!(recreated > first);
    assert_eq!(kv.put("a", "3", first, None), Err(KvError::Conflict(recreated)));
}

#[test]
fn of_concurrent_swaps_one_wins_per_revision() {
    let (_platform, kv) = service();
    let rounds = 20;
    thread::scope(|scope| {
        let increments = || {
            (0..rounds).for_each(|_| while !increment(&kv) {});
        };
        let writers: Vec<_> = (0..4).map(|_| scope.spawn(increments)).collect();
        for writer in writers {
            writer.join().expect("it ends");
        }
    });
    assert_eq!(value(&kv, "count"), Some((4 * rounds).to_string()));
}

/// Increments the counter with one read and swap; returns whether the swap succeeded.
fn increment(kv: &KvClient) -> bool {
    let (revision, old) = kv
        .get("count")
        .expect("an answer")
        .map_or((0, 0), |e| (e.revision, e.value.parse::<u32>().expect("a number")));
    match kv.put("count", &(old + 1).to_string(), revision, None) {
        Ok(_) => true,
        Err(KvError::Conflict(_)) => false,
        Err(e) => panic!("{e}"),
    }
}

#[test]
fn a_key_expires_with_its_lease_unless_renewed() {
    let (_platform, kv) = service();
    let expiring = kv.grant(Duration::from_secs(1)).expect("granted");
    let renewed = kv.grant(Duration::from_mins(1)).expect("granted");
    kv.put("brief", "1", 0, Some(expiring)).expect("created");
    kv.put("kept", "1", 0, Some(renewed)).expect("created");
    assert_eq!(kv.renew(renewed), Ok(()));
    thread::sleep(Duration::from_millis(1300));
    assert_eq!((kv.get("brief"), value(&kv, "kept")), (Ok(None), Some("1".to_owned())));
    assert_eq!(kv.renew(expiring), Err(KvError::LeaseExpired));
    assert_eq!(kv.put("brief", "2", 0, Some(expiring)), Err(KvError::LeaseExpired));
    assert_eq!(kv.get("brief"), Ok(None));
}

#[test]
fn renewals_extend_a_lease_past_its_first_expiry() {
    let (_platform, kv) = service();
    let lease = kv.grant(Duration::from_millis(1500)).expect("granted");
    kv.put("a", "1", 0, Some(lease)).expect("created");
    for _ in 0..4 {
        thread::sleep(Duration::from_millis(500));
        assert_eq!(kv.renew(lease), Ok(()));
    }
    assert_eq!(value(&kv, "a").as_deref(), Some("1"));
}

/// A write without a lease detaches the key from its lease.
#[test]
fn a_write_replaces_the_lease_of_its_key() {
    let (_platform, kv) = service();
    let lease = kv.grant(Duration::from_secs(1)).expect("granted");
    let first = kv.put("a", "1", 0, Some(lease)).expect("created");
    kv.put("a", "2", first, None).expect("swapped");
    thread::sleep(Duration::from_millis(1300));
    assert_eq!(value(&kv, "a").as_deref(), Some("2"));
}

#[test]
fn a_watch_ends_with_the_next_write_or_its_timeout() {
    let (_platform, kv) = service();
    let first = kv.put("a", "1", 0, None).expect("created");
    assert_eq!(kv.watch("a", first, SHORT_WAIT), Ok(None));
    let found = thread::scope(|scope| {
        let watching = scope.spawn(|| kv.watch("a", first, LONG_WAIT));
        thread::sleep(SHORT_WAIT);
        kv.put("a", "2", first, None).expect("swapped");
        watching.join().expect("it ends")
    });
    assert_eq!(found.expect("an answer").expect("a change").value, "2");
}

#[test]
fn a_watch_returns_only_the_latest_write_and_can_be_repeated() {
    let (_platform, kv) = service();
    let first = kv.put("a", "1", 0, None).expect("created");
    let second = kv.put("a", "2", first, None).expect("swapped");
    let third = kv.put("a", "3", second, None).expect("swapped");
    let see = |after: Revision| {
        let found = kv.watch("a", after, LONG_WAIT).expect("an answer").expect("a change");
        (found.revision, found.value)
    };
    assert_eq!(see(first), (third, "3".to_owned()));
    assert_eq!(see(first), (third, "3".to_owned()));
    assert_eq!(see(second), (third, "3".to_owned()));
}

#[test]
fn a_value_of_the_maximum_size_is_stored() {
    let (_platform, kv) = service();
    let large = "x".repeat(MAX_VALUE_BYTES);
    kv.put("a", &large, 0, None).expect("created");
    assert_eq!(value(&kv, "a"), Some(large));
}

#[rstest]
#[case::executed(Faults { lose_writes: 1, ..Faults::default() }, true)]
#[case::not_executed(Faults { drop_writes: 1, ..Faults::default() }, false)]
#[case::executed_with_a_slow_response(Faults { answer_ms: 600, ..Faults::default() }, true)]
#[case::executed_after_a_delay(Faults { delay_ms: 600, ..Faults::default() }, true)]
fn a_write_without_a_response_has_an_unknown_outcome(
    #[case] faults: Faults,
    #[case] takes_effect: bool,
) {
    let (platform, kv) = service();
    platform.set(faults);
    let lost = kv.with_timeout(SHORT_WAIT).put("a", "1", 0, None);
    assert!(matches!(lost, Err(KvError::OutcomeUnknown(_))), "{lost:?}");
    platform.set(Faults::default());
    // A slow write still takes effect, but after the client's timeout.
    let end = Instant::now() + if takes_effect { LONG_WAIT } else { Duration::from_millis(900) };
    while value(&kv, "a").is_none() && Instant::now() < end {
        thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(value(&kv, "a").is_some(), takes_effect);
}

/// Makes every call of the client; returns the errors by name.
fn all_calls(kv: &KvClient) -> Vec<(&'static str, Option<KvError>)> {
    vec![
        ("get", kv.get("a").err()),
        ("watch", kv.watch("a", 0, Duration::ZERO).err()),
        ("put", kv.put("a", "1", 0, None).err()),
        ("delete", kv.delete("a", 7).err()),
        ("grant", kv.grant(SHORT_WAIT).err()),
        ("renew", kv.renew(1).err()),
    ]
}

#[test]
fn in_an_outage_each_call_is_unavailable_and_has_no_effect() {
    let (platform, kv) = service();
    platform.set(Faults { outage: true, ..Faults::default() });
    for (call, error) in all_calls(&kv) {
        assert!(matches!(error, Some(KvError::Unavailable(_))), "{call}: {error:?}");
    }
    platform.set(Faults::default());
    assert_eq!(kv.get("a"), Ok(None));
}

#[test]
fn without_a_listener_each_call_is_unavailable() {
    let addr = TcpListener::bind(LOCAL).and_then(|l| l.local_addr()).expect("an address");
    for (call, error) in all_calls(&KvClient::new(&addr.to_string())) {
        assert!(matches!(error, Some(KvError::Unavailable(_))), "{call}: {error:?}");
    }
}

/// The listener accepts connections into its backlog and never responds.
#[test]
fn with_a_frozen_service_each_call_times_out_with_an_unknown_outcome() {
    let listener = TcpListener::bind(LOCAL).expect("bound");
    let addr = listener.local_addr().expect("an address");
    for (call, error) in all_calls(&KvClient::new(&addr.to_string()).with_timeout(SHORT_WAIT)) {
        assert!(matches!(error, Some(KvError::OutcomeUnknown(_))), "{call}: {error:?}");
    }
}

/// Guards against a key that reaches another one, or cannot be sent.
#[rstest]
#[case::space("once/a b")]
#[case::parameters("once/a?revision=7&lease=9")]
#[case::fragment("once/a#b")]
#[case::escape("once/%2e%2Fb")]
#[case::beyond_ascii("once/\u{e9}\u{1f3b5}")]
#[case::others("once/[{|}]^`\\\"<>")]
#[case::line_end("once/a\r\nb")]
#[case::plain("once/a-b_c.d~e:f!$&'()*+,;=@")]
fn any_key_is_written_and_read_as_itself(#[case] key: &str) {
    let (platform, kv) = service();
    let first = kv.put(key, "1", 0, None).expect("created");
    assert_eq!(platform.keys(""), [key]);
    assert_eq!(value(&kv, key).as_deref(), Some("1"));
    let watched = kv.watch(key, 0, SHORT_WAIT).expect("an answer");
    assert_eq!(watched.map(|e| e.revision), Some(first));
    assert_eq!(kv.delete(key, first), Ok(()));
    assert_eq!(platform.keys(""), [""; 0]);
}
