//! What the collected lines of several hosts tell of one request, batch, item, target, lease or
//! usage window.

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

use crate::error::{CliError, LinesSnafu};

/// Seconds before the first line and after the last one in which changes of what hosts believe are
/// shown as well: longer than an entry of a target takes to lapse.
const MARGIN_S: f64 = 3.0;

/// Lines that tell what hosts believed, and the field by which each belongs to a story.
const CONTEXT: [(&str, &str); 22] = [
    ("batch ended", "batch"),
    ("batch submitted", "batch"),
    ("batch taken over", "batch"),
    ("duties begun", "epoch"),
    ("duties given up", "epoch"),
    ("duties taken over", "epoch"),
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
    ("target's entry", "target_name"),
    ("target's entry removed", "target_name"),
];

/// What a subject's lines refer to.
#[derive(Debug, Default)]
struct Related {
    /// Values by field.
    values: BTreeMap<String, BTreeSet<String>>,
    /// Time of the first and the last line.
    span: Option<(f64, f64)>,
}

/// A line of the story, and how many other hosts wrote the same.
struct Told {
    line: LogLine,
    time: f64,
    own: bool,
    others: usize,
}

/// Prints a subject's story in the order of time, the hosts' clocks put right. Reads the files
/// three times (clocks, subject, context), so that memory holds the story only.
///
/// # Errors
///
/// When a file can't be read, or no line names the subject.
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
    let mut told: Vec<Told> = Vec::new();
    for file in files {
        read_lines(file, |line| {
            let own = line.names(subject);
            let time = clocks.corrected(&line);
            if own || related.includes(&line, time) {
                let others = 0;
                told.push(Told {
                    line,
                    time,
                    own,
                    others,
                });
            }
        })?;
    }
    told.sort_by(|a, b| a.time.total_cmp(&b.time));
    print(&merge(told), &clocks, out)
}

impl Related {
    fn add(&mut self, line: &LogLine, time: f64) {
        let (first, last) = self.span.unwrap_or((time, time));
        self.span = Some((first.min(time), last.max(time)));
        self.put("host", &line.host);
        for (key, value) in &line.fields {
            match key.as_str() {
                // Targets that a request was sent to.
                "tried" => {
                    for name in names_in(value) {
                        self.put("target_name", name);
                    }
                }
                "batch" | "epoch" | "partition" | "target_name" => self.put(key, value),
                _ => {}
            }
        }
    }

    fn put(&mut self, key: &str, value: &str) {
        let values = self.values.entry(key.to_owned()).or_default();
        values.insert(value.to_owned());
    }

    /// Tells whether a line says what hosts believed of something that the story is about.
    fn includes(&self, line: &LogLine, time: f64) -> bool {
        let near = self
            .span
            .is_some_and(|(first, last)| time >= first - MARGIN_S && time <= last + MARGIN_S);
        let kind = CONTEXT
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

/// Keeps the first of lines that several hosts wrote of the same fact.
fn merge(told: Vec<Told>) -> Vec<Told> {
    let mut first: HashMap<(String, String), usize> = HashMap::new();
    let mut merged: Vec<Told> = Vec::new();
    for next in told {
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

fn print(told: &[Told], clocks: &HostClocks, out: &mut impl Write) -> Result<(), CliError> {
    let hosts: BTreeSet<&Arc<str>> = told.iter().map(|told| &told.line.host).collect();
    for host in hosts {
        let line = told.iter().find(|told| told.line.host == *host);
        let lead = line.map(|told| clocks.lead(host, told.line.time));
        match lead.flatten() {
            None => writeln!(out, "clock of {host}: nothing to compare it with")?,
            Some(lead) if lead > 0.0 => writeln!(out, "clock of {host}: {lead:.3} s ahead")?,
            Some(lead) if lead < 0.0 => writeln!(out, "clock of {host}: {:.3} s behind", -lead)?,
            Some(_) => {}
        }
    }
    let first = told.iter().find(|told| told.own);
    let zero = first.map(|told| told.time).unwrap_or_default();
    writeln!(out, "seconds from {zero:.3}; * names the subject itself")?;
    for Told {
        line,
        time,
        own,
        others,
    } in told
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

/// Reads the lines of a file; what isn't a host's line is passed over.
fn read_lines(path: &Path, mut visit: impl FnMut(LogLine)) -> Result<(), CliError> {
    let name = path.file_stem().unwrap_or_default().to_string_lossy();
    let mut host: Arc<str> = Arc::from(&*name);
    let file = File::open(path).context(LinesSnafu { path })?;
    for text in BufReader::new(file).split(b'\n') {
        let text = text.context(LinesSnafu { path })?;
        let Some(line) = LogLine::read(&String::from_utf8_lossy(&text), &host) else {
            continue;
        };
        host = Arc::clone(&line.host);
        visit(line);
    }
    Ok(())
}
