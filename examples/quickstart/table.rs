//! Prints the outcomes as a table.

use std::time::Duration;

use crate::request::Outcome;

/// Prints the header and one line for each request.
pub fn print(rows: &[Outcome]) {
    print_line("", "request", "zone", "target", ["first", "whole"], "outcome", "why");
    for row in rows {
        let mark = if row.as_expected { "ok" } else { "WRONG" };
        let first = row.first.map_or_else(|| "-".to_owned(), format_ms);
        let times = [first.as_str(), &format_ms(row.total)];
        print_line(mark, row.name, row.zone, &row.target, times, &row.summary, &row.why);
    }
}

fn print_line(
    mark: &str,
    name: &str,
    zone: &str,
    target: &str,
    [first, total]: [&str; 2],
    outcome: &str,
    why: &str,
) {
    println!(
        "{mark:<5} {name:<24} {zone:<10} {target:<12} {first:>8} {total:>8}  {outcome:<28}  {why}"
    );
}

fn format_ms(time: Duration) -> String {
    format!("{:.1} ms", time.as_secs_f64() * 1e3)
}
