//! Qualifies the names in each file with the file's party.

use std::collections::{BTreeMap, BTreeSet};

use godwitspool_types::{FileName, Finding, Place};

use crate::yaml::{EXPECTED_NAME, Entry, Node, Value, is_name};

/// Sections whose names are qualified with the party.
const QUALIFIED_SECTIONS: [Section; 4] = [
    Section::Classes,
    Section::Dcs,
    Section::Services,
    Section::Workspaces,
];

/// A section in which two parties may use the same name.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Section {
    Classes,
    Dcs,
    Services,
    Workspaces,
}

impl Section {
    pub fn key(self) -> &'static str {
        match self {
            Self::Classes => "classes",
            Self::Dcs => "dcs",
            Self::Services => "services",
            Self::Workspaces => "workspaces",
        }
    }

    fn of(key: &str) -> Option<Self> {
        QUALIFIED_SECTIONS
            .into_iter()
            .find(|section| section.key() == key)
    }
}

/// A parsed file and its party.
pub(super) struct File {
    name: FileName,
    party: Option<String>,
    top: Node,
}

impl File {
    /// Takes the `party` entry out of a file's tree.
    pub fn open(name: &FileName, mut top: Node, findings: &mut Vec<Finding>) -> Self {
        let mut party = None;
        if let Value::Map(entries) = &mut top.value
            && let Some(at) = entries.iter().position(|entry| entry.key == "party")
        {
            let entry = entries.remove(at);
            match entry.node.value {
                Value::Text(text) if is_name(&text) => party = Some(text),
                other => findings.push(Finding {
                    place: entry.node.place,
                    message: format!("party is {other}, expected {EXPECTED_NAME}"),
                }),
            }
        }
        Self {
            name: name.clone(),
            party,
            top,
        }
    }

    /// Returns the entries of a section.
    fn section(&self, key: &str) -> &[Entry] {
        let entry = entries(&self.top).iter().find(|entry| entry.key == key);
        entry.map_or(&[], |entry| entries(&entry.node))
    }

    fn trainers(&self) -> &[Entry] {
        self.section("trainers")
    }

    /// Returns a name qualified with the file's party, unless it is qualified already.
    fn with_party(&self, name: &str) -> String {
        match &self.party {
            Some(party) if !name.contains('/') => format!("{party}/{name}"),
            _ => name.to_owned(),
        }
    }
}

fn entries(node: &Node) -> &[Entry] {
    match &node.value {
        Value::Map(entries) => entries,
        _ => &[],
    }
}

/// The names defined in all files, and each file's party.
#[derive(Debug, Default)]
pub(super) struct Names {
    /// Full names of data centres by the names that parties give them with `same_as`.
    aliases: BTreeMap<String, String>,
    defined: BTreeSet<(Section, String)>,
    parties: BTreeMap<FileName, String>,
}

impl Names {
    /// Collects the names of all files.
    pub fn collect(files: &[File], findings: &mut Vec<Finding>) -> Self {
        let mut names = Self::default();
        for file in files {
            if let Some(party) = &file.party {
                names.parties.insert(file.name.clone(), party.clone());
            }
            report_shared_trainers(file, files, findings);
            for section in QUALIFIED_SECTIONS {
                for entry in file.section(section.key()) {
                    names.define(file, section, entry);
                }
            }
        }
        names
    }

    fn define(&mut self, file: &File, section: Section, entry: &Entry) {
        let name = file.with_party(&entry.key);
        match same_as(&entry.node) {
            Some(Value::Text(real)) if section == Section::Dcs => {
                self.aliases.insert(name, real.clone());
            }
            _ if entry.key.contains('/') => {}
            _ => {
                self.defined.insert((section, name));
            }
        }
    }

    /// Returns the full name that a reference in a file refers to, or `None` if it is not defined.
    ///
    /// A name of the file's own party takes precedence over the same name without a party.
    pub fn resolve(&self, section: Section, name: &str, place: &Place) -> Option<String> {
        let own = self
            .parties
            .get(&place.file)
            .filter(|_| !name.contains('/'))
            .map(|party| format!("{party}/{name}"));
        own.into_iter()
            .chain([name.to_owned()])
            .find_map(|full| self.follow_alias(section, full))
    }

    fn follow_alias(&self, section: Section, full: String) -> Option<String> {
        if let Some(real) = self.aliases.get(&full).filter(|_| section == Section::Dcs) {
            return self.keep_defined(section, real.clone());
        }
        self.keep_defined(section, full)
    }

    fn keep_defined(&self, section: Section, full: String) -> Option<String> {
        let key = (section, full);
        self.defined.contains(&key).then_some(key.1)
    }

    /// Returns the file's tree with all names in [`QUALIFIED_SECTIONS`] replaced by full names.
    pub fn qualify(&self, file: &File, findings: &mut Vec<Finding>) -> Node {
        let mut top = file.top.clone();
        if let Value::Map(sections) = &mut top.value {
            for section in sections {
                let Some(kind) = Section::of(&section.key) else {
                    continue;
                };
                if let Value::Map(entries) = &mut section.node.value {
                    report_duplicates(entries, findings);
                    for entry in entries {
                        self.qualify_entry(file, kind, entry, findings);
                    }
                }
            }
        }
        top
    }

    fn qualify_entry(
        &self,
        file: &File,
        section: Section,
        entry: &mut Entry,
        findings: &mut Vec<Finding>,
    ) {
        match self.full_name(file, section, entry) {
            Ok(full) => entry.key = full,
            Err(message) => findings.push(Finding {
                place: entry.place.clone(),
                message,
            }),
        }
        if let (Section::Dcs, Value::Map(fields)) = (section, &mut entry.node.value) {
            fields.retain(|field| {
                field.key != "same_as" || !matches!(field.node.value, Value::Text(_))
            });
            for field in fields {
                if matches!(field.key.as_str(), "ceiling" | "floor") {
                    self.qualify_classes(&mut field.node);
                }
            }
        }
    }

    fn full_name(&self, file: &File, section: Section, entry: &Entry) -> Result<String, String> {
        let (kind, key) = (section.key(), &entry.key);
        let (party, plain) = match key.split_once('/') {
            Some((party, plain)) => (Some(party), plain),
            None => (None, key.as_str()),
        };
        if !is_name(plain) {
            return Err(format!(
                "{kind} has the name {key:?}, expected {EXPECTED_NAME}"
            ));
        }
        if let (Some(named), Some(own)) = (party, &file.party)
            && named != own
        {
            return Err(format!(
                "{kind} {key} belongs to party {named}, this file to {own}"
            ));
        }
        self.resolve(section, key, &entry.place)
            .ok_or_else(|| format!("{kind} {key} refers to nothing"))
    }

    /// Replaces the classes of a `floor` or `ceiling` by their full names. Undefined names are kept
    /// and reported when the configuration is read.
    fn qualify_classes(&self, bounds: &mut Node) {
        if let Value::Map(entries) = &mut bounds.value {
            for entry in entries {
                if let Some(full) = self.resolve(Section::Classes, &entry.key, &entry.place) {
                    entry.key = full;
                }
            }
        }
    }
}

fn same_as(node: &Node) -> Option<&Value> {
    let entry = entries(node).iter().find(|entry| entry.key == "same_as")?;
    Some(&entry.node.value)
}

/// Reports trainers that another party defines too. Trainer names are unique in the whole fleet,
/// since callers use them in paths.
fn report_shared_trainers(file: &File, files: &[File], findings: &mut Vec<Finding>) {
    let others = files
        .iter()
        .take_while(|other| other.name != file.name)
        .filter(|other| other.party != file.party)
        .flat_map(File::trainers);
    for other in others {
        for entry in file.trainers().iter().filter(|e| e.key == other.key) {
            findings.push(Finding {
                place: entry.place.clone(),
                message: format!(
                    "trainer {} belongs to another party at {}, expected a name of its own",
                    entry.key, other.place
                ),
            });
        }
    }
}

fn report_duplicates(entries: &[Entry], findings: &mut Vec<Finding>) {
    for (at, entry) in entries.iter().enumerate() {
        if let Some(first) = entries[..at].iter().find(|other| other.key == entry.key) {
            findings.push(Finding {
                place: entry.place.clone(),
                message: format!(
                    "{} appears twice, first in line {}",
                    entry.key, first.place.line
                ),
            });
        }
    }
}
