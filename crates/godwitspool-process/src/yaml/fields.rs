//! Reads the fields of a mapping and collects what is wrong.

use std::net::SocketAddr;

use godwitspool_types::{Finding, Millis, Place};

use super::{Entry, Node, Value};

/// Reads a mapping's fields one by one; [`Fields::finish`] then names the fields nobody read.
#[derive(Debug)]
pub struct Fields<'a> {
    entries: Vec<&'a Entry>,
    findings: Vec<Finding>,
    known: Vec<&'static str>,
    place: Place,
}

impl<'a> Fields<'a> {
    /// Opens a mapping. Anything else, and each key that stands twice, is a finding.
    pub fn open(node: &'a Node) -> Self {
        let mut fields = Self {
            entries: Vec::new(),
            findings: Vec::new(),
            known: Vec::new(),
            place: node.place.clone(),
        };
        match &node.value {
            Value::Map(entries) => entries.iter().for_each(|entry| fields.enter(entry)),
            Value::Null => {}
            other => fields.find(&node.place, format!("found {other}, expected a mapping")),
        }
        fields
    }

    fn enter(&mut self, entry: &'a Entry) {
        if let Some(first) = self.entries.iter().find(|e| e.key == entry.key) {
            let line = first.place.line;
            let message = format!("{} stands twice, first in line {line}", entry.key);
            self.find(&entry.place, message);
        } else {
            self.entries.push(entry);
        }
    }

    /// Adds a finding.
    pub fn find(&mut self, place: &Place, message: impl Into<String>) {
        self.findings.push(Finding {
            place: place.clone(),
            message: message.into(),
        });
    }

    /// Adds findings made elsewhere.
    pub fn extend(&mut self, findings: impl IntoIterator<Item = Finding>) {
        self.findings.extend(findings);
    }

    /// Returns where the mapping stands.
    pub fn place(&self) -> &Place {
        &self.place
    }

    /// Returns a field's entry, when it stands in the file.
    pub fn entry(&mut self, key: &'static str) -> Option<&'a Entry> {
        self.known.push(key);
        self.entries.iter().find(|entry| entry.key == key).copied()
    }

    /// Reads a field with a parser that says what it expects.
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
            self.find(&entry.node.place, message);
        }
        value
    }

    /// Names a field that must stand in the file.
    pub fn require<T>(&mut self, key: &'static str, value: Option<T>) -> Option<T> {
        if value.is_none() && !self.entries.iter().any(|entry| entry.key == key) {
            let place = self.place.clone();
            self.find(&place, format!("{key} is missing"));
        }
        value
    }

    /// Reads a name: a string that is not empty and has no space or slash.
    pub fn name(&mut self, key: &'static str) -> Option<&'a str> {
        let entry = self.entry(key)?;
        match &entry.node.value {
            Value::Text(text) if is_name(text) => Some(text),
            other => {
                let message = format!("{key} is {other}, expected {NAME}");
                self.find(&entry.node.place, message);
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

    /// Reads a whole number within bounds.
    pub fn count(&mut self, key: &'static str, least: u32, most: u32) -> Option<u32> {
        let expected = format!("a whole number from {least} to {most}");
        self.read(key, &expected, |value| match value {
            Value::Int(number) => u32::try_from(*number)
                .ok()
                .filter(|number| (least..=most).contains(number)),
            _ => None,
        })
    }

    /// Reads a duration with its unit.
    pub fn duration(&mut self, key: &'static str) -> Option<Millis> {
        self.read(key, DURATION, |value| match value {
            Value::Text(text) => parse_duration(text),
            _ => None,
        })
    }

    /// Reads an address by IP number.
    pub fn address(&mut self, key: &'static str) -> Option<SocketAddr> {
        let expected = "an IP number and a port, such as 10.0.0.1:7000";
        self.read(key, expected, |value| match value {
            Value::Text(text) => text.parse().ok(),
            _ => None,
        })
    }

    /// Reads the items of a list.
    pub fn list(&mut self, key: &'static str) -> &'a [Node] {
        let Some(entry) = self.entry(key) else {
            return &[];
        };
        match &entry.node.value {
            Value::List(items) => items,
            Value::Null => &[],
            other => {
                let message = format!("{key} is {other}, expected a list");
                self.find(&entry.node.place, message);
                &[]
            }
        }
    }

    /// Reads the entries of a mapping.
    pub fn map(&mut self, key: &'static str) -> &'a [Entry] {
        let Some(entry) = self.entry(key) else {
            return &[];
        };
        match &entry.node.value {
            Value::Map(entries) => entries,
            Value::Null => &[],
            other => {
                let message = format!("{key} is {other}, expected a mapping");
                self.find(&entry.node.place, message);
                &[]
            }
        }
    }

    /// Returns the findings, with one for each field that is not known.
    pub fn finish(mut self) -> Vec<Finding> {
        let known = self.known.join(", ");
        for entry in std::mem::take(&mut self.entries) {
            if !self.known.contains(&entry.key.as_str()) {
                let message = format!("unknown key {}, expected one of: {known}", entry.key);
                self.find(&entry.place, message);
            }
        }
        self.findings
    }
}

const DURATION: &str = "a duration with its unit, such as 500ms, 3s, 7min or 1h";
pub(crate) const NAME: &str = "a name without spaces or slashes";

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
