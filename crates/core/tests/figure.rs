//! Figures in every form that writers of other systems use.

use std::time::Duration;

use mimosapass_core::figure::{MAX_TIME, millis, parse, parse_whole, seconds, whole};
use proptest::prelude::*;
use rstest::rstest;

#[rstest]
#[case::whole("8", Some(8.0))]
#[case::with_a_point("8.0", Some(8.0))]
#[case::fraction("7.5", Some(7.5))]
#[case::small_fraction("0.0001", Some(0.0001))]
#[case::exponent("1e1", Some(10.0))]
#[case::signed_exponent("1.5E+1", Some(15.0))]
#[case::negative_exponent("5e-1", Some(0.5))]
#[case::zero("0", Some(0.0))]
#[case::negative_zero("-0.0", Some(0.0))]
#[case::spaces(" 8 ", Some(8.0))]
#[case::large("1e30", Some(1e30))]
#[case::nothing("", None)]
#[case::text("soon", None)]
#[case::unit("8s", None)]
#[case::truth("false", None)]
#[case::negative("-1", None)]
#[case::infinite("inf", None)]
#[case::too_large("1e400", None)]
#[case::not_a_number("NaN", None)]
fn figure_is_read_in_every_form(#[case] text: &str, #[case] wanted: Option<f64>) {
    assert_eq!(parse(text), wanted);
}

#[rstest]
#[case::whole("3", Some(3))]
#[case::with_a_point("3.0", Some(3))]
#[case::exponent("3e0", Some(3))]
#[case::largest("18446744073709551615", Some(u64::MAX))]
#[case::fraction("3.5", None)]
#[case::too_large("1e30", None)]
#[case::negative("-3", None)]
fn whole_number_is_read_in_every_form(#[case] text: &str, #[case] wanted: Option<u64>) {
    assert_eq!(parse_whole(text), wanted);
}

#[rstest]
#[case::fraction(7.5, Duration::from_millis(7_500))]
#[case::zero(0.0, Duration::ZERO)]
#[case::negative(-1.0, Duration::ZERO)]
#[case::very_large(1e300, MAX_TIME)]
#[case::infinite(f64::INFINITY, MAX_TIME)]
#[case::not_a_number(f64::NAN, Duration::ZERO)]
fn time_is_bounded(#[case] figure: f64, #[case] wanted: Duration) {
    assert_eq!(seconds(figure), wanted);
    assert_eq!(millis(figure * 1000.0), wanted);
}

proptest! {
    #[test]
    fn whole_numbers_have_one_meaning(number in 0_u64..1 << 53) {
        for text in [format!("{number}"), format!("{number}.0"), format!("{number}e0")] {
            prop_assert_eq!(parse_whole(&text), Some(number));
            prop_assert_eq!(parse(&text).and_then(whole), Some(number));
        }
    }
}
