//! Prints the outcomes as a table.

use std::time::Duration;

use crate::request::Seen;

/// Prints one line for each request.
pub fn print(rows: &[Seen]) {
    line("", "request", "zone", "target", ["first", "whole"], "outcome", "why");
    for row in rows {
        let mark = if row.right { "ok" } else { "WRONG" };
        let first = row.first.map_or_else(|| "-".to_owned(), millis);
        let times = [first.as_str(), &millis(row.whole)];
        line(mark, row.name, row.zone, &row.target, times, &row.outcome, &row.why);
    }
}

fn line(
    mark: &str,
    name: &str,
    zone: &str,
    target: &str,
    [first, whole]: [&str; 2],
    outcome: &str,
    why: &str,
) {
    println!(
        "{mark:<5} {name:<24} {zone:<10} {target:<12} {first:>8} {whole:>8}  {outcome:<28}  {why}"
    );
}

fn millis(time: Duration) -> String {
    format!("{:.1} ms", time.as_secs_f64() * 1e3)
}
