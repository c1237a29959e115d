//! Checks a platform's configuration file before it is sent.

use std::{
    fs,
    io::{self, Write},
    path::Path,
};

use godwitspool_platform::{Advice, Checked, check_configuration};
use godwitspool_types::FileName;
use serde::Serialize;
use serde_json::Value;
use snafu::ResultExt;

use crate::{
    difference::{Difference, difference},
    error::{CliError, FileSnafu},
};

/// The result of a check as JSON.
#[derive(Debug, Serialize)]
struct Report<'a> {
    differences: &'a [Difference],
    findings: Vec<ReportedFinding<'a>>,
}

#[derive(Debug, Serialize)]
struct ReportedFinding<'a> {
    file: &'a str,
    line: u64,
    column: u64,
    message: &'a str,
    action: &'a str,
}

impl<'a> From<&'a Advice> for ReportedFinding<'a> {
    fn from(advice: &'a Advice) -> Self {
        let place = &advice.finding.place;
        Self {
            file: place.file.as_str(),
            line: place.line,
            column: place.column,
            message: &advice.finding.message,
            action: &advice.action,
        }
    }
}

/// Checks a configuration file, and prints the findings and what differs from the file in force.
///
/// Findings in the file in force aren't reported, except that it must be readable.
pub(crate) fn check_file(
    path: &Path,
    in_force: Option<&Path>,
    json: bool,
    out: &mut impl Write,
) -> Result<(), CliError> {
    let old = in_force.map(|path| load(path, None)).transpose()?;
    if let Some(undecodable) = old.as_ref().filter(|old| old.fields.is_none()) {
        return report(&[], &undecodable.advice, json, out);
    }
    let new = load(path, old.as_ref())?;
    let old = old.and_then(|old| old.fields);
    let differences = compare(old.as_ref(), new.fields.as_ref());
    report(&differences, &new.advice, json, out)?;
    if !json {
        if in_force.is_some() {
            writeln!(out, "{} fields differ", differences.len())?;
        }
        writeln!(out, "no findings")?;
    }
    Ok(())
}

fn load(path: &Path, in_force: Option<&Checked>) -> Result<Checked, CliError> {
    let text = fs::read_to_string(path).context(FileSnafu { path })?;
    let file = FileName::from(path.display().to_string());
    Ok(check_configuration(&file, &text, in_force))
}

fn compare(old: Option<&Value>, new: Option<&Value>) -> Vec<Difference> {
    let both = old.zip(new);
    both.map_or_else(Vec::new, |(old, new)| difference(old, new))
}

/// Prints the differences, and as JSON also the findings. Fails if there are findings.
fn report(
    differences: &[Difference],
    advice: &[Advice],
    json: bool,
    out: &mut impl Write,
) -> Result<(), CliError> {
    if json {
        let report = Report {
            differences,
            findings: advice.iter().map(ReportedFinding::from).collect(),
        };
        let text = serde_json::to_string_pretty(&report).map_err(io::Error::from)?;
        writeln!(out, "{text}")?;
    } else {
        for difference in differences {
            writeln!(out, "{difference}")?;
        }
    }
    if advice.is_empty() {
        return Ok(());
    }
    let lines: Vec<_> = advice.iter().map(ToString::to_string).collect();
    let text = if json {
        format!("{} findings", lines.len())
    } else {
        lines.join("\n")
    };
    Err(CliError::Findings { text })
}
