//! Checks a configuration before it is sent: an operators' folder or a platform's file.

use std::{
    fmt, fs,
    io::{self, Write},
    path::Path,
};

use godwitspool_platform::{Advice, Checked, check_configuration};
use godwitspool_process::folder;
use godwitspool_types::{FileName, Finding};
use godwitspool_version::Configuration;
use serde::Serialize;
use serde_json::Value;
use snafu::ResultExt;

use crate::{
    difference::{Difference, difference},
    error::{CliError, FileSnafu},
    publish,
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
    /// What to do, unless the message says it.
    action: Option<&'a str>,
}

impl<'a> From<&'a Advice> for ReportedFinding<'a> {
    fn from(advice: &'a Advice) -> Self {
        Self {
            action: Some(&advice.action),
            ..Self::from(&advice.finding)
        }
    }
}

impl<'a> From<&'a Finding> for ReportedFinding<'a> {
    fn from(finding: &'a Finding) -> Self {
        Self {
            file: finding.place.file.as_str(),
            line: finding.place.line,
            column: finding.place.column,
            message: &finding.message,
            action: None,
        }
    }
}

/// Checks a folder, and prints which settings override others, the findings, and what differs from the
/// folder in force.
pub(crate) fn check_folder(
    path: &Path,
    in_force: Option<&Path>,
    json: bool,
    out: &mut impl Write,
) -> Result<(), CliError> {
    let old = in_force.map(folder::load).transpose();
    let loaded = old.and_then(|old| Ok((old, folder::load(path)?)));
    let (old, folder) = match loaded {
        Ok(loaded) => loaded,
        Err(findings) => return report(&[], findings.iter(), json, out),
    };
    let old = old.map(|old| publish::fields(&old.configuration));
    let new = publish::fields(&folder.configuration);
    let differences = compare(old.as_ref(), Some(&new));
    if !json {
        for replaced in &folder.overrides {
            writeln!(out, "{replaced}")?;
        }
    }
    report(&differences, folder.unused.iter(), json, out)?;
    if json {
        return Ok(());
    }
    if in_force.is_some() {
        writeln!(out, "{} fields differ", differences.len())?;
    }
    let Configuration {
        classes,
        dcs,
        services,
        trainers,
        workspaces,
        ..
    } = &folder.configuration;
    writeln!(
        out,
        "no findings: {} data centres, {} services, {} classes, {} workspaces, {} trainers",
        dcs.len(),
        services.len(),
        classes.len(),
        workspaces.len(),
        trainers.len()
    )?;
    Ok(())
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
fn report<'a, T>(
    differences: &[Difference],
    findings: impl IntoIterator<Item = &'a T>,
    json: bool,
    out: &mut impl Write,
) -> Result<(), CliError>
where
    T: fmt::Display + 'a,
    ReportedFinding<'a>: From<&'a T>,
{
    let findings: Vec<_> = findings.into_iter().collect();
    if json {
        let report = Report {
            differences,
            findings: findings
                .iter()
                .copied()
                .map(ReportedFinding::from)
                .collect(),
        };
        let text = serde_json::to_string_pretty(&report).map_err(io::Error::from)?;
        writeln!(out, "{text}")?;
    } else {
        for difference in differences {
            writeln!(out, "{difference}")?;
        }
    }
    if findings.is_empty() {
        return Ok(());
    }
    let lines: Vec<_> = findings.iter().map(ToString::to_string).collect();
    let text = if json {
        format!("{} findings", lines.len())
    } else {
        lines.join("\n")
    };
    Err(CliError::Findings { text })
}
