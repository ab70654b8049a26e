//! Plot of a run over time.

use std::path::Path;

use plotters::prelude::*;

use super::load_metrics::SecondCounts;
use super::load_report::LoadReport;

const SIZE: (u32, u32) = (1000, 900);
const LABEL_AREA: u32 = 50;

type PlotResult = Result<(), Box<dyn std::error::Error>>;

struct PlotLine {
    label: &'static str,
    color: RGBColor,
    value: fn(&SecondCounts) -> f64,
}

const GOODPUT: &[PlotLine] = &[
    PlotLine {
        label: "offered",
        color: BLACK,
        value: |second| second.offered as f64,
    },
    PlotLine {
        label: "reads",
        color: BLUE,
        value: |second| second.reads as f64,
    },
    PlotLine {
        label: "writes",
        color: GREEN,
        value: |second| second.writes as f64,
    },
    PlotLine {
        label: "failed",
        color: RED,
        value: |second| second.failed as f64,
    },
];

const SHARE: &[PlotLine] = &[PlotLine {
    label: "reads from replicas, %",
    color: BLUE,
    value: |second| 100.0 * second.replica_reads as f64 / (second.reads.max(1) as f64),
}];

const AGE: &[PlotLine] = &[
    PlotLine {
        label: "reported age, ms",
        color: BLUE,
        value: |second| second.stated_age_ms as f64,
    },
    PlotLine {
        label: "observed age, ms",
        color: RED,
        value: |second| second.observed_age_ms as f64,
    },
];

/// Draws goodput, replica share and data age per second as SVG.
pub fn draw_plot(report: &LoadReport, path: &Path) -> PlotResult {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let areas = root.split_evenly((3, 1));
    let title = format!("{} goodput per second", report.deployment);
    draw_chart(&areas[0], &title, report, GOODPUT)?;
    draw_chart(&areas[1], "replica share", report, SHARE)?;
    draw_chart(&areas[2], "maximum data age", report, AGE)?;
    root.present()?;
    Ok(())
}

fn draw_chart(
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    title: &str,
    report: &LoadReport,
    lines: &[PlotLine],
) -> PlotResult {
    let seconds = &report.per_second;
    let values = lines.iter().flat_map(|line| seconds.iter().map(line.value));
    let top = values.fold(1.0, f64::max) * 1.1;
    let end = seconds.len().max(1) as f64;
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(LABEL_AREA / 2)
        .y_label_area_size(LABEL_AREA)
        .build_cartesian_2d(0.0..end, 0.0..top)?;
    chart
        .configure_mesh()
        .light_line_style(WHITE)
        .x_desc("s")
        .draw()?;
    for line in lines {
        let points = seconds.iter().enumerate();
        let points = points.map(|(at, second)| (at as f64 + 0.5, (line.value)(second)));
        let color = line.color;
        chart
            .draw_series(LineSeries::new(points, color))?
            .label(line.label)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 15, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    Ok(())
}
