//! Reads the fields of a mapping and collects findings.

use std::net::SocketAddr;

use godwitspool_types::{Finding, Millis, Place};

use super::{Entry, Node, Value};

/// Reads a mapping's fields one by one; [`Fields::finish`] then reports the fields that were not
/// read.
#[derive(Debug)]
pub struct Fields<'a> {
    entries: Vec<&'a Entry>,
    findings: Vec<Finding>,
    known: Vec<&'static str>,
    place: Place,
}

impl<'a> Fields<'a> {
    /// Opens a mapping. An empty value counts as an empty mapping; any other value is a finding, as
    /// is each duplicate key.
    pub fn open(node: &'a Node) -> Self {
        let mut fields = Self {
            entries: Vec::new(),
            findings: Vec::new(),
            known: Vec::new(),
            place: node.place.clone(),
        };
        match &node.value {
            Value::Map(entries) => entries.iter().for_each(|entry| fields.add_entry(entry)),
            Value::Null => {}
            other => fields.report(&node.place, format!("found {other}, expected a mapping")),
        }
        fields
    }

    fn add_entry(&mut self, entry: &'a Entry) {
        if let Some(first) = self.entries.iter().find(|e| e.key == entry.key) {
            let line = first.place.line;
            let message = format!("{} appears twice, first in line {line}", entry.key);
            self.report(&entry.place, message);
        } else {
            self.entries.push(entry);
        }
    }

    /// Adds a finding.
    pub fn report(&mut self, place: &Place, message: impl Into<String>) {
        self.findings.push(Finding {
            place: place.clone(),
            message: message.into(),
        });
    }

    /// Adds findings from another reader, such as those of a nested mapping.
    pub fn extend(&mut self, findings: impl IntoIterator<Item = Finding>) {
        self.findings.extend(findings);
    }

    /// Returns the mapping's place.
    pub fn place(&self) -> &Place {
        &self.place
    }

    /// Returns a field's entry, or `None` if the mapping doesn't have it.
    pub fn entry(&mut self, key: &'static str) -> Option<&'a Entry> {
        self.known.push(key);
        self.entries.iter().find(|entry| entry.key == key).copied()
    }

    /// Reads a field with a parser. If the parser returns `None`, the finding names the expected
    /// values as `expected`.
    pub fn read<T>(
        &mut self,
        key: &'static str,
        expected: &str,
        parse: impl Fn(&Value) -> Option<T>,
    ) -> Option<T> {
        let entry = self.entry(key)?;
        let value = parse(&entry.node.value);
        if value.is_none() {
            let message = format!("{key} is {}, expected {expected}", entry.node.value);
            self.report(&entry.node.place, message);
        }
        value
    }

    /// Reports a required field that is missing, and returns `value` unchanged.
    pub fn require<T>(&mut self, key: &'static str, value: Option<T>) -> Option<T> {
        if value.is_none() && !self.entries.iter().any(|entry| entry.key == key) {
            let place = self.place.clone();
            self.report(&place, format!("{key} is missing"));
        }
        value
    }

    /// Reads a name: a non-empty string without spaces, control characters or slashes.
    pub fn name(&mut self, key: &'static str) -> Option<&'a str> {
        let entry = self.entry(key)?;
        match &entry.node.value {
            Value::Text(text) if is_name(text) => Some(text),
            other => {
                let message = format!("{key} is {other}, expected {EXPECTED_NAME}");
                self.report(&entry.node.place, message);
                None
            }
        }
    }

    /// Reads any string.
    pub fn text(&mut self, key: &'static str) -> Option<String> {
        self.read(key, "a string", |value| match value {
            Value::Text(text) => Some(text.clone()),
            _ => None,
        })
    }

    /// Reads `true` or `false`.
    pub fn flag(&mut self, key: &'static str) -> Option<bool> {
        self.read(key, "true or false", |value| match value {
            Value::Bool(flag) => Some(*flag),
            _ => None,
        })
    }

    /// Reads a whole number from `min` to `max`, inclusive.
    pub fn count(&mut self, key: &'static str, min: u32, max: u32) -> Option<u32> {
        let expected = format!("a whole number from {min} to {max}");
        self.read(key, &expected, |value| match value {
            Value::Int(number) => u32::try_from(*number)
                .ok()
                .filter(|number| (min..=max).contains(number)),
            _ => None,
        })
    }

    /// Reads a duration with its unit.
    pub fn duration(&mut self, key: &'static str) -> Option<Millis> {
        self.read(key, EXPECTED_DURATION, |value| match value {
            Value::Text(text) => parse_duration(text),
            _ => None,
        })
    }

    /// Reads a socket address with a numeric IP address.
    pub fn address(&mut self, key: &'static str) -> Option<SocketAddr> {
        let expected = "an IP number and a port, such as 10.0.0.1:7000";
        self.read(key, expected, |value| match value {
            Value::Text(text) => text.parse().ok(),
            _ => None,
        })
    }

    /// Reads the items of a list; a missing or empty field has none.
    pub fn list(&mut self, key: &'static str) -> &'a [Node] {
        let Some(entry) = self.entry(key) else {
            return &[];
        };
        match &entry.node.value {
            Value::List(items) => items,
            Value::Null => &[],
            other => {
                let message = format!("{key} is {other}, expected a list");
                self.report(&entry.node.place, message);
                &[]
            }
        }
    }

    /// Reads the entries of a mapping; a missing or empty field has none.
    pub fn map(&mut self, key: &'static str) -> &'a [Entry] {
        let Some(entry) = self.entry(key) else {
            return &[];
        };
        match &entry.node.value {
            Value::Map(entries) => entries,
            Value::Null => &[],
            other => {
                let message = format!("{key} is {other}, expected a mapping");
                self.report(&entry.node.place, message);
                &[]
            }
        }
    }

    /// Returns the findings, including one for each field that was not read.
    pub fn finish(mut self) -> Vec<Finding> {
        let known = self.known.join(", ");
        for entry in std::mem::take(&mut self.entries) {
            if !self.known.contains(&entry.key.as_str()) {
                let message = format!("unknown key {}, expected one of: {known}", entry.key);
                self.report(&entry.place, message);
            }
        }
        self.findings
    }
}

const EXPECTED_DURATION: &str = "a duration with its unit, such as 500ms, 3s, 7min or 1h";
pub(crate) const EXPECTED_NAME: &str = "a name without spaces or slashes";

pub(crate) fn is_name(text: &str) -> bool {
    !text.is_empty()
        && !text
            .chars()
            .any(|c| c.is_whitespace() || c.is_control() || c == '/')
}

/// Parses a duration such as `500ms`, `3s`, `7min` or `1h`.
///
/// ```
/// use godwitspool_process::yaml::parse_duration;
/// use godwitspool_types::Millis;
///
/// assert_eq!(parse_duration("7min"), Some(Millis(420_000)));
/// assert_eq!(parse_duration("7"), None);
/// ```
pub fn parse_duration(text: &str) -> Option<Millis> {
    let unit_at = text.find(|c: char| !c.is_ascii_digit())?;
    let (number, unit) = text.split_at(unit_at);
    let unit_ms = match unit {
        "ms" => 1,
        "s" => 1_000,
        "min" => 60_000,
        "h" => 3_600_000,
        _ => return None,
    };
    number.parse::<u64>().ok()?.checked_mul(unit_ms).map(Millis)
}
