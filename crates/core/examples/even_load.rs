//! Prints how evenly many entries load uneven upstreams from stale load reports, without and with
//! balancing, and plots a part of it to the SVG file that is named by the first argument.

#[path = "../tests/even_load/simulation.rs"]
mod simulation;

use std::error::Error;

use plotters::prelude::*;
use simulation::{Kind, Measure, Scenario, run};

const KINDS: [(Kind, RGBColor); 4] = [
    (Kind::Steady, BLUE),
    (Kind::Burst, RGBColor(0, 140, 60)),
    (Kind::HotPrefix, RED),
    (Kind::NewUpstreams, RGBColor(160, 90, 0)),
];
const ENTRIES: [usize; 4] = [3, 24, 100, 300];
/// Age of the reports in the plotted runs, in milliseconds.
const PLOTTED_AGE_MS: u64 = 300;

struct Row {
    scenario: Scenario,
    before: Measure,
    after: Measure,
}

fn main() -> Result<(), Box<dyn Error>> {
    println!(
        "| load | upstreams | entries | report age ms | largest/mean | idle beside queue | wait p50 ms | p99 ms |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    let mut rows = Vec::new();
    for (upstreams, slots) in [(41, 48), (3, 6)] {
        for (kind, _) in KINDS {
            for entries in ENTRIES {
                for report_age_ms in [50, 300, 1_000] {
                    let scenario = Scenario {
                        kind,
                        entries,
                        upstreams,
                        slots,
                        report_age_ms,
                        is_balanced: false,
                    };
                    let after = run(Scenario { is_balanced: true, ..scenario });
                    let row = Row { scenario, before: run(scenario), after };
                    print_row(&row);
                    rows.push(row);
                }
            }
        }
    }
    if let Some(path) = std::env::args().nth(1) {
        plot(&rows, &path)?;
    }
    Ok(())
}

fn print_row(row: &Row) {
    let Row { scenario, before, after } = row;
    println!(
        "| {:?} | {} | {} | {} | {:.2} / {:.2} | {:.2} / {:.2} | {} / {} | {} / {} |",
        scenario.kind,
        scenario.upstreams,
        scenario.entries,
        scenario.report_age_ms,
        before.largest_over_mean,
        after.largest_over_mean,
        before.idle_beside_queue,
        after.idle_beside_queue,
        before.wait_p50_ms,
        after.wait_p50_ms,
        before.wait_p99_ms,
        after.wait_p99_ms,
    );
}

/// Plots the runs with 41 upstreams: thin lines without balancing, thick ones with it.
fn plot(rows: &[Row], path: &str) -> Result<(), Box<dyn Error>> {
    let root = SVGBackend::new(path, (1_000, 420)).into_drawing_area();
    root.fill(&WHITE)?;
    let (left, right) = root.split_horizontally(500);
    let ratio = |it: &Measure| it.largest_over_mean;
    let wait = |it: &Measure| it.wait_p99_ms as f64;
    plot_panel(&left, rows, "largest over mean load", &ratio)?;
    plot_panel(&right, rows, "p99 of the wait for a first event, ms", &wait)?;
    root.present()?;
    Ok(())
}

fn plot_panel(
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    rows: &[Row],
    caption: &str,
    value: &dyn Fn(&Measure) -> f64,
) -> Result<(), Box<dyn Error>> {
    let plotted =
        |it: &&Row| it.scenario.upstreams == 41 && it.scenario.report_age_ms == PLOTTED_AGE_MS;
    let largest = rows.iter().filter(plotted).map(|it| value(&it.before).max(value(&it.after)));
    let largest = largest.fold(0.0, f64::max) * 1.05;
    let mut chart = ChartBuilder::on(area)
        .caption(caption, ("sans-serif", 16))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d((3.0..300.0).log_scale(), 0.0..largest)?;
    let x_description = "entries (log); thin: before, thick: balanced; reports 300 ms old";
    chart.configure_mesh().x_desc(x_description).draw()?;
    for (kind, colour) in KINDS {
        let of_kind = || rows.iter().filter(plotted).filter(|it| it.scenario.kind == kind);
        let point = |it: &Row, measure| (it.scenario.entries as f64, value(measure));
        let before = of_kind().map(|it| point(it, &it.before));
        chart.draw_series(LineSeries::new(before, colour.stroke_width(1)))?;
        let after = of_kind().map(|it| point(it, &it.after));
        chart
            .draw_series(LineSeries::new(after, colour.stroke_width(3)))?
            .label(format!("{kind:?}"))
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(3)));
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    Ok(())
}
