//! Contract of the configuration store with the key-value service.

use std::net::SocketAddr;

use mimosapass_keyvalue::kv::KvClient;
use mimosapass_operator::document::{Document, parse};
use mimosapass_operator::store::{self, RETAINED_VERSIONS, StoreError, StoredHead};
use mimosapass_standin::platform::{Faults, Platform};
use rstest::rstest;

fn platform() -> (Platform, KvClient) {
    let local: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    let platform = Platform::start(local).expect("it starts");
    let kv = KvClient::new(&platform.addr().to_string());
    (platform, kv)
}

fn document(name: &str) -> Document {
    let text = format!(
        "models: [{{name: m}}]\npools: [{{name: p, models: [m]}}]\n\
         classes: [{{name: c, promise_ms: 1, deadline_ms: 1}}]\nworkspaces: [{{name: {name}}}]\n"
    );
    parse(&text).expect("it holds")
}

fn apply(kv: &KvClient, name: &str, base: &StoredHead, token: u64) -> Result<u64, StoreError> {
    store::apply(kv, &document(name), base, "test", token).map(|r| r.version)
}

#[test]
fn a_swap_whose_answer_was_lost_and_that_was_overtaken_was_accepted() {
    let (_platform, kv) = platform();
    let base = store::read_head(&kv).expect("a head");
    assert_eq!(apply(&kv, "first", &base, 7), Ok(1));
    let next = store::read_head(&kv).expect("a head");
    assert_eq!(apply(&kv, "second", &next, 8), Ok(2));
    // The first tool never saw its answer and settles only now.
    assert_eq!(apply(&kv, "first", &base, 7), Ok(1));
    assert_eq!(store::read_head(&kv).expect("a head").record.version, 2);
}

#[test]
fn a_race_that_was_lost_leaves_nothing_behind() {
    let (platform, kv) = platform();
    let base = store::read_head(&kv).expect("a head");
    assert_eq!(apply(&kv, "first", &base, 7), Ok(1));
    assert_eq!(apply(&kv, "late", &base, 8), Err(StoreError::Conflict(1)));
    assert_eq!(platform.keys("config/parts/").len(), 1);
    let head = store::read_head(&kv).expect("a head");
    assert_eq!(
        store::read_document(&kv, &head.record).expect("a text").digest,
        document("first").digest
    );
}

#[test]
fn a_stale_read_does_not_make_a_change_lost() {
    let (platform, kv) = platform();
    let base = store::read_head(&kv).expect("a head");
    assert_eq!(apply(&kv, "first", &base, 7), Ok(1));
    let base = store::read_head(&kv).expect("a head");
    assert_eq!(apply(&kv, "second", &base, 8), Ok(2));
    let base = store::read_head(&kv).expect("a head");
    platform.set(Faults { stale: true, lose_writes: 9, ..Faults::default() });
    assert_eq!(apply(&kv, "third", &base, 9), Err(StoreError::OutcomeUnknown));
    platform.set(Faults::default());
    assert_eq!(store::read_head(&kv).expect("a head").record.version, 3);
    assert_eq!(apply(&kv, "third", &base, 9), Ok(3));
}

#[rstest]
#[case::calm(Faults::default())]
#[case::one_history_lost(Faults { lose_writes: 3, ..Faults::default() })]
fn old_versions_are_deleted(#[case] faults: Faults) {
    let (platform, kv) = platform();
    platform.set(faults);
    for token in 0..RETAINED_VERSIONS + 8 {
        let base = store::read_head(&kv).expect("a head");
        assert_eq!(apply(&kv, "same", &base, token), Ok(token + 1));
    }
    let most = RETAINED_VERSIONS as usize + 1;
    assert!(platform.keys("config/parts/").len() <= most);
    assert!(platform.keys("config/history/").len() <= most);
}
