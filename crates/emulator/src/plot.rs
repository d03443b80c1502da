//! Plot of earned worth over load, as SVG.

use std::error::Error;
use std::path::Path;

use plotters::prelude::{
    BLACK, BLUE, ChartBuilder, Color, IntoDrawingArea, LineSeries, PathElement, RED, RGBColor,
    SVGBackend, WHITE,
};

use crate::policy::ALL_POLICIES;

/// Size of a plot, in pixels.
const SIZE: (u32, u32) = (720, 420);
const COLORS: [RGBColor; 3] = [BLACK, BLUE, RED];

/// Draws one line per policy: share of worth over relative load.
///
/// # Errors
///
/// Fails when the file cannot be written.
pub fn draw(path: &Path, title: &str, lines: &[Vec<(f64, f64)>]) -> Result<(), Box<dyn Error>> {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let max_load = lines.iter().flatten().map(|(load, _)| *load).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d(0.4..max_load, 0.0..1.0)?;
    chart.configure_mesh().x_desc("load, against the usual").y_desc("share of worth").draw()?;
    for ((policy, line), color) in ALL_POLICIES.iter().zip(lines).zip(COLORS) {
        chart
            .draw_series(LineSeries::new(line.iter().copied(), color.stroke_width(2)))?
            .label(policy.name())
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color));
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw()?;
    area.present()?;
    Ok(())
}
