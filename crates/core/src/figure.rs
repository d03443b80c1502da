//! Figures that others write: settings, entries of the store, headers.
//!
//! A figure may be a whole number, a fraction or a number with an exponent, whatever unit it has:
//! writers of other systems write 8 as `8`, `8.0` or `8e0`.

use std::time::Duration;

/// Longest time that a figure stands for, 31 years; longer ones mean the same.
///
/// Sums of times stay far from what a clock can hold.
pub const MAX_TIME: Duration = Duration::from_secs(1_000_000_000);

/// Parses a figure; `None` for a text, a negative number, or one that is not finite.
pub fn parse(text: &str) -> Option<f64> {
    let text = text.trim();
    // The parser also takes names such as `inf`.
    let plausible = text.bytes().any(|b| b.is_ascii_digit());
    text.parse().ok().filter(|n: &f64| plausible && n.is_finite() && *n >= 0.0)
}

/// Returns the whole number that a figure is; `None` for a fraction, or if it is too large.
pub fn whole(figure: f64) -> Option<u64> {
    // Above 2^53 not every whole number has a figure of its own.
    const MAX_EXACT: f64 = (1_u64 << 53) as f64;
    ((0.0..=MAX_EXACT).contains(&figure) && figure.fract() == 0.0).then_some(figure as u64)
}

/// Parses a whole number, which may be written as `3`, `3.0` or `3e0`.
pub fn parse_whole(text: &str) -> Option<u64> {
    text.trim().parse().ok().or_else(|| parse(text).and_then(whole))
}

/// Returns a time of so many seconds, [`MAX_TIME`] at most; none for a negative number.
pub fn seconds(figure: f64) -> Duration {
    let longest = MAX_TIME.as_secs_f64();
    Duration::try_from_secs_f64(figure.clamp(0.0, longest)).unwrap_or_default()
}

/// Returns a time of so many milliseconds, [`MAX_TIME`] at most; none for a negative number.
pub fn millis(figure: f64) -> Duration {
    seconds(figure / 1000.0)
}
