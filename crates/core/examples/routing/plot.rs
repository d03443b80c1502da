//! Plot of the p95 of short prompts over the load, as SVG.

use std::error::Error;
use std::path::Path;

use plotters::prelude::{
    BLACK, BLUE, ChartBuilder, Color, GREEN, IntoDrawingArea, IntoLogRange, LineSeries, MAGENTA,
    PathElement, RED, RGBColor, SVGBackend, WHITE,
};

use crate::policy::ALL;

/// Size of a plot, in pixels.
const SIZE: (u32, u32) = (720, 420);
const COLORS: [RGBColor; 5] = [BLACK, BLUE, GREEN, MAGENTA, RED];

/// Draws one line for each policy: load in percent, p95 in seconds.
pub fn draw(mix: &str, lines: &[Vec<(f64, f64)>]) -> Result<(), Box<dyn Error>> {
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs");
    let path = docs.join(format!("routing-{mix}.svg"));
    let area = SVGBackend::new(&path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(format!("{mix}: p95 first token of prompts under 8k"), ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d(45.0..125.0, (0.1..60.0).log_scale())?;
    chart.configure_mesh().x_desc("load, %").y_desc("seconds").draw()?;
    for ((policy, line), color) in ALL.iter().zip(lines).zip(COLORS) {
        chart
            .draw_series(LineSeries::new(line.iter().copied(), color.stroke_width(2)))?
            .label(policy.name())
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color));
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw()?;
    area.present()?;
    Ok(())
}
