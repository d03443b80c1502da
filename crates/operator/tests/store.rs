//! Tests of the configuration store with the key-value service of the stand-in.

use std::net::SocketAddr;

use mimosapass_keyvalue::kv::KvClient;
use mimosapass_operator::document::{Document, parse};
use mimosapass_operator::store::{self, RETAINED_VERSIONS, StoreError, StoredHead};
use mimosapass_standin::platform::{Faults, Platform};
use rstest::rstest;

fn platform() -> (Platform, KvClient) {
    let local: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    let platform = Platform::start(local).expect("platform starts");
    let kv = KvClient::new(&platform.addr().to_string());
    (platform, kv)
}

fn document(name: &str) -> Document {
    let text = format!(
        "models: [{{name: m}}]\npools: [{{name: p, models: [m]}}]\n\
         classes: [{{name: c, promise_ms: 1, deadline_ms: 1}}]\nworkspaces: [{{name: {name}}}]\n"
    );
    parse(&text).expect("valid configuration")
}

fn apply(kv: &KvClient, name: &str, base: &StoredHead, token: u64) -> Result<u64, StoreError> {
    store::apply(kv, &document(name), base, "test", token).map(|r| r.version)
}

#[test]
fn a_swap_is_accepted_after_a_lost_answer_and_a_later_version() {
    let (_platform, kv) = platform();
    let base = store::read_head(&kv).expect("head is read");
    assert_eq!(apply(&kv, "first", &base, 7), Ok(1));
    let next = store::read_head(&kv).expect("head is read");
    assert_eq!(apply(&kv, "second", &next, 8), Ok(2));
    // The first writer got no answer and checks the outcome only now.
    assert_eq!(apply(&kv, "first", &base, 7), Ok(1));
    assert_eq!(store::read_head(&kv).expect("head is read").record.version, 2);
}

#[test]
fn a_conflict_leaves_no_parts_behind() {
    let (platform, kv) = platform();
    let base = store::read_head(&kv).expect("head is read");
    assert_eq!(apply(&kv, "first", &base, 7), Ok(1));
    assert_eq!(apply(&kv, "late", &base, 8), Err(StoreError::Conflict(1)));
    assert_eq!(platform.keys("config/parts/").len(), 1);
    let head = store::read_head(&kv).expect("head is read");
    assert_eq!(
        store::read_document(&kv, &head.record).expect("document is read").digest,
        document("first").digest
    );
}

#[test]
fn a_stale_read_is_not_reported_as_a_conflict() {
    let (platform, kv) = platform();
    let base = store::read_head(&kv).expect("head is read");
    assert_eq!(apply(&kv, "first", &base, 7), Ok(1));
    let base = store::read_head(&kv).expect("head is read");
    assert_eq!(apply(&kv, "second", &base, 8), Ok(2));
    let base = store::read_head(&kv).expect("head is read");
    platform.set(Faults { stale: true, lose_writes: 9, ..Faults::default() });
    assert_eq!(apply(&kv, "third", &base, 9), Err(StoreError::OutcomeUnknown));
    platform.set(Faults::default());
    assert_eq!(store::read_head(&kv).expect("head is read").record.version, 3);
    assert_eq!(apply(&kv, "third", &base, 9), Ok(3));
}

#[rstest]
#[case::calm(Faults::default())]
#[case::one_history_lost(Faults { lose_writes: 3, ..Faults::default() })]
fn old_versions_are_deleted(#[case] faults: Faults) {
    let (platform, kv) = platform();
    platform.set(faults);
    for token in 0..RETAINED_VERSIONS + 8 {
        let base = store::read_head(&kv).expect("head is read");
        assert_eq!(apply(&kv, "same", &base, token), Ok(token + 1));
    }
    let max = RETAINED_VERSIONS as usize + 1;
    assert!(platform.keys("config/parts/").len() <= max);
    assert!(platform.keys("config/history/").len() <= max);
}

/// A head record that lists parts without end is not read part by part.
#[test]
fn a_document_of_too_many_parts_is_corrupt() {
    let (_platform, kv) = platform();
    kv.put("part", &"x".repeat(100_000), 0, None).expect("written");
    let record = store::HeadRecord {
        version: 1,
        parts: vec!["part".to_owned(); 100],
        ..store::HeadRecord::default()
    };
    let read = store::read_document(&kv, &record);
    assert!(matches!(read, Err(StoreError::Corrupt(_))), "{read:?}");
}
