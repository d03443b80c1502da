//! Clients of the list of members, leases and throttled calls.

use std::net::SocketAddr;
use std::time::Duration;

use mimosapass_keyvalue::kv::{KvClient, KvError};
use mimosapass_keyvalue::leases;
use mimosapass_keyvalue::members::{Member, MembersClient, Role};
use mimosapass_keyvalue::throttle::ThrottledKv;
use mimosapass_standin::platform::{Faults, Platform};
use rstest::rstest;

const KEY: &str = "leaders/zone-a";
const LONG_TTL: Duration = Duration::from_mins(5);
const SHORT_TTL: Duration = Duration::from_millis(200);

fn platform() -> (Platform, KvClient) {
    let local: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    let platform = Platform::start(local).expect("it starts");
    let kv = KvClient::new(&platform.addr().to_string());
    (platform, kv)
}

fn member(name: &str) -> Member {
    Member {
        name: name.to_owned(),
        role: Role::Entry,
        zone: "zone-a".to_owned(),
        addr: "127.0.0.1:1".to_owned(),
        labels: [].into(),
        leaving: false,
    }
}

#[test]
fn an_unchanged_list_is_not_sent_again() {
    let (platform, _) = platform();
    let list = MembersClient::new(&platform.addr().to_string());
    let mut etag = None;
    platform.set_members(vec![member("a")]);
    assert_eq!(list.read_if_changed(&mut etag), Ok(Some(vec![member("a")])));
    assert_eq!(list.read_if_changed(&mut etag), Ok(None));
    platform.set_members(vec![member("a"), member("b")]);
    assert_eq!(list.read_if_changed(&mut etag).map(|l| l.map(|l| l.len())), Ok(Some(2)));
    assert_eq!(list.read().map(|l| l.len()), Ok(2));
}

#[rstest]
#[case::outage(Faults { outage: true, ..Faults::default() })]
#[case::slow(Faults { delay_ms: 1_500, ..Faults::default() })]
fn a_list_that_cannot_be_read_is_unavailable(#[case] faults: Faults) {
    let (platform, _) = platform();
    platform.set_members(vec![member("a")]);
    platform.set(faults);
    let list = MembersClient::new(&platform.addr().to_string());
    assert!(matches!(list.read_if_changed(&mut None), Err(KvError::Unavailable(_))));
}

#[test]
fn a_lease_has_one_holder_and_fencing_tokens_grow() {
    let (_platform, kv) = platform();
    let first = leases::acquire(&kv, KEY, "first", LONG_TTL).expect("an answer").expect("free");
    assert_eq!(leases::acquire(&kv, KEY, "second", LONG_TTL), Ok(None));
    leases::renew(&kv, &first).expect("renewed");
    leases::release(&kv, KEY, &first).expect("released");
    let second = leases::acquire(&kv, KEY, "second", LONG_TTL).expect("an answer").expect("free");
    assert!(second.fence > first.fence);
    leases::release(&kv, KEY, &first).expect_err("it belongs to another");
}

#[test]
fn an_expired_lease_is_not_renewed() {
    let (_platform, kv) = platform();
    let first = leases::acquire(&kv, KEY, "first", SHORT_TTL).expect("an answer").expect("free");
    std::thread::sleep(SHORT_TTL * 2);
    assert_eq!(leases::renew(&kv, &first), Err(KvError::LeaseExpired));
    let second = leases::acquire(&kv, KEY, "second", LONG_TTL).expect("an answer").expect("free");
    assert!(second.fence > first.fence);
}

#[test]
fn a_lease_is_held_after_a_lost_response() {
    let (platform, kv) = platform();
    platform.set(Faults { lose_writes: 1, ..Faults::default() });
    let held = leases::acquire(&kv, KEY, "first", LONG_TTL).expect("an answer").expect("ours");
    let entry = kv.get(KEY).expect("an answer").expect("a key");
    assert_eq!((entry.value.as_str(), entry.revision), ("first", held.fence));
}

#[test]
fn calls_are_throttled_while_the_service_fails() {
    let (platform, kv) = platform();
    let throttled = ThrottledKv::new(kv);
    platform.set(Faults { outage: true, ..Faults::default() });
    for _ in 0..50 {
        throttled.call(|kv| kv.get("x")).expect_err("an outage");
    }
    assert_eq!(platform.calls().failed, 1, "the other calls were not made");
}

#[test]
fn calls_are_limited_to_a_rate() {
    let (platform, kv) = platform();
    let throttled = ThrottledKv::new(kv);
    let made = (0..200).filter(|_| throttled.call(|kv| kv.get("x")).is_ok()).count();
    assert!(made <= 20, "{made} of 200 calls at once");
    assert_eq!(platform.calls().reads, made as u64);
}

#[test]
fn calls_of_one_part_do_not_hold_back_another() {
    let (platform, kv) = platform();
    let lease = ThrottledKv::new(kv);
    let watcher = lease.sharing_rate();
    platform.set(Faults { outage: true, ..Faults::default() });
    lease.call(|kv| kv.get("x")).expect_err("an outage");
    assert!(watcher.ready(), "it has made no call that failed");
    watcher.call(|kv| kv.get("x")).expect_err("an outage");
    assert_eq!(platform.calls().failed, 2, "each learns of the outage by its own call");
    let made = (0..200).filter(|_| lease.sharing_rate().call(|kv| kv.get("x")).is_err()).count();
    assert_eq!(made, 200);
    assert!(platform.calls().failed <= 8, "the rate is that of one client");
}
