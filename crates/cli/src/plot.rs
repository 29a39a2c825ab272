//! The burn report as an HTML page with a bar chart.

use std::fs;
use std::path::Path;

use plotters::prelude::BLUE;
use plotters::prelude::ChartBuilder;
use plotters::prelude::Color;
use plotters::prelude::IntoDrawingArea;
use plotters::prelude::RED;
use plotters::prelude::Rectangle;
use plotters::prelude::SVGBackend;
use plotters::prelude::WHITE;

use crate::BurnLine;

/// Width and height of the chart in pixels.
const CHART_SIZE: (u32, u32) = (960, 420);
/// Smallest upper end of the burn-rate axis; keeps low rates visibly low.
const AXIS_MAX_FLOOR: f64 = 2.0;

/// Writes the page to `path`; fails with a message when the chart or the file cannot be written.
pub(crate) fn write(path: &Path, lines: &[BurnLine], missing: &[String]) -> Result<(), String> {
    let svg = draw_chart(lines).map_err(|e| e.to_string())?;
    let mut rows = String::new();
    for l in lines {
        rows.push_str(&format!(
            "<tr><td>{}</td><td>{}</td><td>{}</td><td>{:.1}%</td><td>{:.1}%</td></tr>\n",
            l.service,
            l.workspace,
            l.requests,
            l.whole_budget_left * 100.0,
            l.first_budget_left * 100.0
        ));
    }
    let missing = missing.iter().map(|m| format!("<li>{m}</li>")).collect::<String>();
    let page = format!(
        "<!doctype html><meta charset=utf-8><title>Service-level burn</title>\n\
         <h1>Service-level burn</h1>\n<p>Burn rate over one hour: whole answers in blue, first \
         byte in red, one pair of bars for each row of the table.</p>\n{svg}\n\
         <table border=1><tr><th>service<th>workspace<th>requests in 6 h<th>whole budget left\
         <th>first-byte budget left</tr>\n{rows}</table>\n<h2>Entries not reached</h2>\
         <ul>{missing}</ul>\n"
    );
    fs::write(path, page).map_err(|e| e.to_string())
}

fn draw_chart(lines: &[BurnLine]) -> Result<String, Box<dyn std::error::Error>> {
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, CHART_SIZE).into_drawing_area();
        root.fill(&WHITE)?;
        let one_hour_rate = |r: &[f64; 4]| if r[1].is_finite() { r[1] } else { 0.0 };
        let rates =
            lines.iter().map(|l| one_hour_rate(&l.whole_burn).max(one_hour_rate(&l.first_burn)));
        let axis_max = rates.fold(AXIS_MAX_FLOOR, f64::max);
        let mut chart = ChartBuilder::on(&root)
            .margin(10)
            .build_cartesian_2d(0.0..lines.len().max(1) as f64, 0.0..axis_max)?;
        for (i, l) in lines.iter().enumerate() {
            let x = i as f64;
            let bar_corners = |from: f64, height: f64| [(x + from, 0.0), (x + from + 0.4, height)];
            let whole =
                Rectangle::new(bar_corners(0.05, one_hour_rate(&l.whole_burn)), BLUE.filled());
            let first =
                Rectangle::new(bar_corners(0.5, one_hour_rate(&l.first_burn)), RED.filled());
            chart.draw_series([whole, first])?;
        }
        root.present()?;
    }
    Ok(svg)
}
