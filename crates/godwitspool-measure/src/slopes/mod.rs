//! Slopes: the cost of each additional host, target, token and so on. Each is the slope of a line
//! that is fitted to measurements at three or more sizes.

mod configuration;
mod gossip;
mod rollout;
mod serving;
mod stream;
mod usage;

use crate::{Options, Series, Table};

/// Measures every slope and fits a line to each.
pub(crate) fn run(options: &Options) -> Vec<Table> {
    let mut points = Series::points_table("slopes");
    let columns = [
        "series",
        "of",
        "unit",
        "intercept",
        "slope",
        "residual_percent",
    ];
    let mut fits = Table::new("fits", &columns);
    for series in measure_all(options) {
        series.append_to(&mut points);
        if let Some(fit) = series.fit() {
            fits.push_row([
                series.name.to_owned(),
                series.size_unit.to_owned(),
                series.unit.to_owned(),
                format!("{:.4}", fit.intercept),
                format!("{:.6}", fit.slope),
                format!("{:.1}", fit.residual * 100.0),
            ]);
        }
    }
    vec![points, fits]
}

fn measure_all(options: &Options) -> Vec<Series> {
    let mut all = configuration::measure();
    all.extend(gossip::measure(options.seed));
    all.extend(usage::measure());
    all.extend(rollout::measure());
    all.extend(serving::measure(options.seed));
    match stream::measure() {
        Ok(series) => all.extend(series),
        Err(error) => eprintln!("slopes of streams were not measured: {error}"),
    }
    all
}
