//! Plain-text tables.

/// Formats rows as columns, each as wide as its widest cell.
pub fn table<const N: usize>(rows: &[[String; N]]) -> String {
    let width = |i: usize| rows.iter().map(|r| r[i].chars().count()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..N).map(width).collect();
    let line = |row: &[String; N]| {
        let cells: Vec<String> =
            row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}")).collect();
        cells.join("  ").trim_end().to_owned() + "\n"
    };
    rows.iter().map(line).collect()
}
