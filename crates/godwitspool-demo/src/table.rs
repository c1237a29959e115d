//! The table that is printed at the end of a run.

use std::fmt;

use crate::Figures;

/// Formats figures as a table.
pub(crate) struct Table<'a>(pub(crate) &'a Figures);

impl fmt::Display for Table<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self(figures) = self;
        heading(f, "interactive callers")?;
        row(f, "whole answers", figures.interactive_ok)?;
        row(f, "refused to the last", figures.interactive_refused)?;
        for (reason, count) in &figures.refused_by_reason {
            row(f, &format!("  {reason}"), count)?;
        }
        row(f, "broken off", figures.interactive_failed)?;
        for (reason, count) in &figures.failed_by_reason {
            row(f, &format!("  {reason}"), count)?;
        }
        let median = format!(
            "{} / {}",
            figures.interactive_p50_ms, figures.interactive_p99_ms
        );
        row(f, "median / 99th percentile, ms", median)?;
        let worst = figures.worst_workspace_ok_ratio * 100.0;
        row(f, "worst workspace, % whole", format!("{worst:.2}"))?;
        row(
            f,
            "worst workspace, 99th percentile, ms",
            figures.worst_workspace_p99_ms,
        )?;
        heading(f, "trainers")?;
        row(f, "steps whole", figures.steps_complete)?;
        row(f, "samples", figures.samples_delivered)?;
        let idle = figures.trainer_idle_ratio * 100.0;
        row(f, "time waited for a batch, %", format!("{idle:.1}"))?;
        heading(f, "targets and usage")?;
        row(
            f,
            "target seconds paid for",
            format!("{:.1}", figures.target_seconds),
        )?;
        let reclaimable = figures.cheap_target_ratio * 100.0;
        row(
            f,
            "of these on reclaimable targets, %",
            format!("{reclaimable:.1}"),
        )?;
        row(f, "target orders", figures.orders_sent)?;
        row(f, "usage windows", figures.windows_reported)?;
        row(
            f,
            "answers that no window bills",
            figures.usage_lost_requests,
        )?;
        heading(f, "broken promises")?;
        if figures.is_clean() {
            row(f, "none", 0)?;
        }
        for (promise, count) in &figures.violations {
            row(f, promise, count)?;
        }
        Ok(())
    }
}

fn heading(f: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    writeln!(f, "\n{text}")
}

fn row(f: &mut fmt::Formatter<'_>, name: &str, value: impl fmt::Display) -> fmt::Result {
    writeln!(f, "  {name:<60} {:>12}", value.to_string())
}
