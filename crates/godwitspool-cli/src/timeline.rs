//! Merges the log lines of several hosts into a timeline of one request, batch, item, target, lease
//! or usage window.

mod host_clocks;
mod log_line;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    fs::File,
    io::{BufRead, BufReader, Write},
    path::{Path, PathBuf},
    sync::Arc,
};

use host_clocks::HostClocks;
use log_line::{LogLine, names_in};
use snafu::ResultExt;

use crate::error::{CliError, FileSnafu};

/// Time before the subject's first line and after its last one in which context lines are shown
/// too. It is longer than a target's entry takes to expire.
const CONTEXT_MARGIN_S: f64 = 3.0;

/// Messages about changes of the hosts' state, which give context, and for each the field that
/// relates it to a subject.
const CONTEXT_MESSAGES: [(&str, &str); 26] = [
    ("batch ended", "batch"),
    ("batch submitted", "batch"),
    ("batch taken over", "batch"),
    ("batch was ended before its submission was stored", "batch"),
    ("batches wait for a newer configuration", "host"),
    ("duties begun", "epoch"),
    ("duties given up", "epoch"),
    ("duties taken over", "epoch"),
    ("end of an unknown batch kept", "batch"),
    ("host drains", "host"),
    ("host ends", "host"),
    ("host starts", "host"),
    ("load begins", "target_name"),
    ("load ordered", "target_name"),
    ("partition closed", "partition"),
    ("partition lost", "partition"),
    ("partition opened", "partition"),
    ("settings read again", "host"),
    ("store answers again", "partition"),
    ("store call failed, repeated", "partition"),
    ("store lost, other hosts are asked", "host"),
    ("store regained", "host"),
    ("target gone", "target_name"),
    ("target says that it leaves", "target_name"),
    ("target's entry", "target_name"),
    ("target's entry removed", "target_name"),
];

/// The hosts, batches, targets and so on to which a subject's lines refer.
#[derive(Debug, Default)]
struct Related {
    /// Values of the related fields, by field name.
    values: BTreeMap<String, BTreeSet<String>>,
    /// Time of the first and the last line.
    span: Option<(f64, f64)>,
}

/// A line of the timeline.
struct Row {
    line: LogLine,
    /// Time with the host's clock corrected, in seconds since 1970.
    time: f64,
    /// Whether the line names the subject itself.
    own: bool,
    /// Number of other hosts that wrote the same line.
    others: usize,
}

/// Prints the timeline of a subject, with the hosts' clocks corrected. Reads the files three times
/// (clocks, subject, context), so that only the timeline is kept in memory.
///
/// # Errors
///
/// Returns an error when a file can't be read or no line names the subject.
pub(crate) fn explain(
    subject: &str,
    files: &[PathBuf],
    out: &mut impl Write,
) -> Result<(), CliError> {
    let mut clocks = HostClocks::default();
    for file in files {
        read_lines(file, |line| clocks.add(&line))?;
    }
    clocks.compare();
    let mut related = Related::default();
    for file in files {
        read_lines(file, |line| {
            if line.names(subject) {
                related.add(&line, clocks.corrected(&line));
            }
        })?;
    }
    if related.span.is_none() {
        let name = subject.to_owned();
        return Err(CliError::NoLine { name });
    }
    let mut rows: Vec<Row> = Vec::new();
    for file in files {
        read_lines(file, |line| {
            let own = line.names(subject);
            let time = clocks.corrected(&line);
            if own || related.includes(&line, time) {
                let others = 0;
                rows.push(Row {
                    line,
                    time,
                    own,
                    others,
                });
            }
        })?;
    }
    rows.sort_by(|a, b| a.time.total_cmp(&b.time));
    print(&merge(rows), &clocks, out)
}

impl Related {
    fn add(&mut self, line: &LogLine, time: f64) {
        let (first, last) = self.span.unwrap_or((time, time));
        self.span = Some((first.min(time), last.max(time)));
        self.add_value("host", &line.host);
        for (key, value) in &line.fields {
            match key.as_str() {
                // The targets to which a request was sent.
                "tried" => {
                    for name in names_in(value) {
                        self.add_value("target_name", name);
                    }
                }
                "batch" | "epoch" | "partition" | "target_name" => self.add_value(key, value),
                _ => {}
            }
        }
    }

    fn add_value(&mut self, key: &str, value: &str) {
        let values = self.values.entry(key.to_owned()).or_default();
        values.insert(value.to_owned());
    }

    /// Returns whether a line gives context: it is near in time and is about a related value.
    fn includes(&self, line: &LogLine, time: f64) -> bool {
        let near = self.span.is_some_and(|(first, last)| {
            time >= first - CONTEXT_MARGIN_S && time <= last + CONTEXT_MARGIN_S
        });
        let kind = CONTEXT_MESSAGES
            .iter()
            .find(|(message, _)| near && *message == line.message);
        let Some((_, key)) = kind else {
            return false;
        };
        let value = match *key {
            "host" => Some(&*line.host),
            key => line.field(key),
        };
        let known = self.values.get(*key);
        value.is_some_and(|value| known.is_some_and(|known| known.contains(value)))
    }
}

/// Merges equal lines of several hosts into the first of them.
fn merge(rows: Vec<Row>) -> Vec<Row> {
    let mut first: HashMap<(String, String), usize> = HashMap::new();
    let mut merged: Vec<Row> = Vec::new();
    for next in rows {
        let fact = (next.line.message.clone(), next.line.details());
        match first.get(&fact) {
            Some(index) if merged[*index].line.host != next.line.host => {
                merged[*index].others += 1;
            }
            _ => {
                first.insert(fact, merged.len());
                merged.push(next);
            }
        }
    }
    merged
}

fn print(rows: &[Row], clocks: &HostClocks, out: &mut impl Write) -> Result<(), CliError> {
    let hosts: BTreeSet<&Arc<str>> = rows.iter().map(|row| &row.line.host).collect();
    for host in hosts {
        let line = rows.iter().find(|row| row.line.host == *host);
        let skew = line.map(|row| clocks.skew(host, row.line.time));
        match skew.flatten() {
            None => writeln!(out, "clock of {host}: nothing to compare it with")?,
            Some(skew) if skew > 0.0 => writeln!(out, "clock of {host}: {skew:.3} s ahead")?,
            Some(skew) if skew < 0.0 => writeln!(out, "clock of {host}: {:.3} s behind", -skew)?,
            Some(_) => {}
        }
    }
    let first = rows.iter().find(|row| row.own);
    let zero = first.map(|row| row.time).unwrap_or_default();
    writeln!(out, "seconds from {zero:.3}; * names the subject itself")?;
    for Row {
        line,
        time,
        own,
        others,
    } in rows
    {
        let mark = if *own { '*' } else { ' ' };
        let (at, host, message) = (time - zero, &line.host, &line.message);
        let details = line.details();
        let others = match others {
            0 => String::new(),
            others => format!(" (and {others} other hosts)"),
        };
        writeln!(out, "{mark}{at:+9.3} {host}: {message} {details}{others}")?;
    }
    Ok(())
}

/// Reads the lines of a file and skips those that aren't log lines of a host.
fn read_lines(path: &Path, mut visit: impl FnMut(LogLine)) -> Result<(), CliError> {
    let name = path.file_stem().unwrap_or_default().to_string_lossy();
    let mut host: Arc<str> = Arc::from(&*name);
    let file = File::open(path).context(FileSnafu { path })?;
    for text in BufReader::new(file).split(b'\n') {
        let text = text.context(FileSnafu { path })?;
        let Some(line) = LogLine::read(&String::from_utf8_lossy(&text), &host) else {
            continue;
        };
        host = Arc::clone(&line.host);
        visit(line);
    }
    Ok(())
}
