//! SVG plots of measured values, which are read from the CSV files of other commands.

use std::{collections::BTreeMap, fs, io, path::Path};

use plotters::prelude::{
    ChartBuilder, Circle, Color, IntoDrawingArea, LineSeries, Palette, Palette99, RGBColor,
    SVGBackend, WHITE,
};
use serde::Deserialize;

use crate::Point;

const PLOT_SIZE_PIXELS: (u32, u32) = (640, 400);
const BORDER_COLOR: RGBColor = RGBColor(90, 90, 90);
const LABEL_PIXELS: u32 = 50;
const MARGIN_PIXELS: u32 = 12;
/// Each axis ends at this factor times its largest value.
const AXIS_MARGIN_FACTOR: f64 = 1.05;

/// Series of `slopes.csv` that are plotted, each in a file of its own.
const PLOTTED_SERIES: [&str; 6] = [
    "choice-us",
    "gossip-bytes",
    "open-stream-bytes",
    "sample-whole-bytes",
    "snapshot-bytes",
    "stream-us",
];

#[derive(Deserialize)]
struct SlopeRow {
    series: String,
    of: String,
    size: f64,
    figure: f64,
    unit: String,
}

#[derive(Deserialize)]
struct StragglerRow {
    stragglers: String,
    policy: String,
    step_s: f64,
}

/// Draws all plots into the folder that holds the CSV files. A series without rows is skipped.
///
/// # Errors
/// Returns an error if a CSV file can't be read or a plot can't be written.
pub fn draw_plots(folder: &Path) -> io::Result<()> {
    let rows: Vec<SlopeRow> = read(&folder.join("slopes.csv"))?;
    for name in PLOTTED_SERIES {
        let series_rows: Vec<_> = rows.iter().filter(|row| row.series == name).collect();
        let Some(first) = series_rows.first() else {
            continue;
        };
        let points = series_rows
            .iter()
            .map(|row| Point {
                x: row.size,
                y: row.figure,
            })
            .collect();
        let plot = Plot {
            lines: BTreeMap::from([(name.to_owned(), points)]),
            title: name,
            x_label: &first.of,
            y_label: &first.unit,
        };
        plot.write(&folder.join(format!("{name}.svg")))?;
    }
    draw_stragglers(folder)
}

/// Draws the step time of each policy. Each kind of straggler has one position on the x axis.
fn draw_stragglers(folder: &Path) -> io::Result<()> {
    let rows: Vec<StragglerRow> = read(&folder.join("stragglers.csv"))?;
    let mut kinds = Vec::new();
    let mut lines = BTreeMap::<String, Vec<Point>>::new();
    for row in &rows {
        let kind = kinds
            .iter()
            .position(|kind| *kind == row.stragglers)
            .unwrap_or_else(|| {
                kinds.push(row.stragglers.clone());
                kinds.len() - 1
            });
        let point = Point {
            x: kind as f64,
            y: row.step_s,
        };
        lines.entry(row.policy.clone()).or_default().push(point);
    }
    let label = kinds.join(", ");
    let plot = Plot {
        lines,
        title: "stragglers",
        x_label: &label,
        y_label: "step, s",
    };
    plot.write(&folder.join("stragglers.svg"))
}

fn read<T: for<'a> Deserialize<'a>>(path: &Path) -> io::Result<Vec<T>> {
    let text = fs::read(path)?;
    csv::Reader::from_reader(text.as_slice())
        .deserialize()
        .collect::<Result<_, _>>()
        .map_err(io::Error::other)
}

/// A chart with one or more lines.
struct Plot<'a> {
    lines: BTreeMap<String, Vec<Point>>,
    title: &'a str,
    x_label: &'a str,
    y_label: &'a str,
}

impl Plot<'_> {
    fn write(&self, path: &Path) -> io::Result<()> {
        self.draw(path)
            .map_err(|error| io::Error::other(error.to_string()))
    }

    fn draw(&self, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
        let largest = |pick: fn(&Point) -> f64| {
            let points = self.lines.values().flatten();
            points.map(pick).fold(f64::MIN_POSITIVE, f64::max) * AXIS_MARGIN_FACTOR
        };
        let area = SVGBackend::new(path, PLOT_SIZE_PIXELS).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(self.title, ("sans-serif", 18))
            .margin(MARGIN_PIXELS)
            .x_label_area_size(LABEL_PIXELS)
            .y_label_area_size(LABEL_PIXELS + MARGIN_PIXELS)
            .build_cartesian_2d(0.0..largest(|point| point.x), 0.0..largest(|point| point.y))?;
        chart
            .configure_mesh()
            .x_desc(self.x_label)
            .y_desc(self.y_label)
            .draw()?;
        for (index, (name, points)) in self.lines.iter().enumerate() {
            let color = Palette99::pick(index).to_rgba();
            let coordinates: Vec<_> = points.iter().map(|point| (point.x, point.y)).collect();
            chart
                .draw_series(LineSeries::new(coordinates.clone(), color))?
                .label(name)
                .legend(move |xy| Circle::new(xy, 4, color.filled()));
            chart.draw_series(
                coordinates
                    .into_iter()
                    .map(|xy| Circle::new(xy, 3, color.filled())),
            )?;
        }
        if self.lines.len() > 1 {
            chart
                .configure_series_labels()
                .border_style(BORDER_COLOR)
                .draw()?;
        }
        area.present()?;
        Ok(())
    }
}
