//! When the known configuration counts as current.

use std::time::Duration;

use mimosapass_core::edge::currency::{MAX_AGE, PeerView, is_current};

const NEW: Duration = Duration::from_millis(100);
const OLD: Duration = Duration::from_secs(9);

fn peer(version: u64, age: Duration, cut_off: bool) -> PeerView {
    PeerView { version, age, cut_off }
}

/// Generates a test from the age of the store's last answer, the peers, and whether version 7
/// is current.
macro_rules! views {
    ($($name:ident: $store:expr, [$($peer:expr),*] => $current:expr;)+) => {
        $(#[test]
        fn $name() {
            let peers: Vec<PeerView> = vec![$($peer),*];
            assert_eq!(is_current(7, $store, peers.into_iter()), $current);
        })+
    };
}

views! {
    store_answers: Some(MAX_AGE), [] => true;
    store_silent_and_no_peers: Some(OLD), [] => false;
    nothing_known: None, [] => false;
    a_peer_is_ahead: Some(NEW), [peer(7, NEW, false), peer(8, OLD, true)] => false;
    a_peer_reaches_the_store: Some(OLD), [peer(7, NEW, false)] => true;
    a_peer_reached_the_store_long_ago: Some(OLD), [peer(7, OLD, false)] => false;
    all_peers_are_cut_off_too: Some(OLD), [peer(7, NEW, true), peer(7, NEW, true)] => false;
    a_peer_that_reaches_the_store_is_behind: Some(OLD), [peer(6, NEW, false)] => false;
    store_answers_and_peers_are_behind: Some(NEW), [peer(6, NEW, false)] => true;
}
