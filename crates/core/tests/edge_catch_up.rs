//! When peers are asked for what the store has not told.

use std::time::Duration;

use mimosapass_core::edge::catch_up::{is_store_silent, may_request};

const MS: Duration = Duration::from_millis(1);

/// Generates a test from whether the last call failed, the age of the last answer, the time
/// since the start in milliseconds, and whether the store is silent.
macro_rules! stores {
    ($($name:ident: $failing:expr, $age:expr, $uptime:expr => $silent:expr;)+) => {
        $(#[test]
        fn $name() {
            let age: Option<u32> = $age;
            assert_eq!(is_store_silent($failing, age.map(|ms| MS * ms), MS * $uptime), $silent);
        })+
    };
}

stores! {
    first_listing_is_under_way: false, None, 1_000 => false;
    first_listing_hangs: false, None, 2_000 => true;
    first_listing_is_refused: true, None, 10 => true;
    watch_is_under_way: false, Some(1_600), 60_000 => false;
    watch_hangs: false, Some(1_900), 60_000 => true;
    watch_is_refused: true, Some(10), 60_000 => true;
}

#[test]
fn whole_list_is_not_asked_for_again_while_it_may_be_under_way() {
    assert!(may_request(false, None));
    assert!(!may_request(false, Some(MS * 700)));
    assert!(may_request(false, Some(MS * 2_000)));
    assert!(!may_request(true, Some(MS * 500)));
    assert!(may_request(true, Some(MS * 600)));
}
