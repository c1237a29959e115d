//! The difference between two configurations, field by field.

use std::{
    collections::{BTreeMap, HashMap},
    fmt,
};

use serde::Serialize;
use serde_json::Value;

/// A field that differs; a missing value means that the field was added or removed.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub(crate) struct Difference {
    path: String,
    old: Option<String>,
    new: Option<String>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { path, old, new } = self;
        match (old, new) {
            (Some(old), Some(new)) => write!(f, "~ {path}: {old} -> {new}"),
            (Some(old), None) => write!(f, "- {path}: {old}"),
            (None, Some(new)) => write!(f, "+ {path}: {new}"),
            (None, None) => write!(f, "  {path}"),
        }
    }
}

/// Returns the fields that differ, sorted by path. Items of lists are compared by name, so their order
/// counts only among items of the same name.
pub(crate) fn difference(old: &Value, new: &Value) -> Vec<Difference> {
    let (old, new) = (fields(old), fields(new));
    let paths = old
        .keys()
        .chain(new.keys().filter(|path| !old.contains_key(*path)));
    let mut differences: Vec<_> = paths
        .filter(|path| old.get(*path) != new.get(*path))
        .map(|path| Difference {
            path: path.clone(),
            old: old.get(path).cloned(),
            new: new.get(path).cloned(),
        })
        .collect();
    differences.sort_by(|one, other| one.path.cmp(&other.path));
    differences
}

fn fields(value: &Value) -> BTreeMap<String, String> {
    let mut fields = BTreeMap::new();
    flatten("", value, &mut fields);
    fields
}

fn flatten(path: &str, value: &Value, fields: &mut BTreeMap<String, String>) {
    match value {
        Value::Array(items) => {
            let mut counts = HashMap::new();
            for item in items {
                let names = ["digest", "name", "service"];
                let name = names.iter().find_map(|name| item.get(name));
                let name = name.unwrap_or(item);
                let mut name = text(name);
                let count: &mut u32 = counts.entry(name.clone()).or_default();
                *count += 1;
                if *count > 1 {
                    name = format!("{name}#{count}");
                }
                flatten(&join(path, &name), item, fields);
            }
        }
        Value::Object(entries) => {
            for (key, value) in entries {
                flatten(&join(path, key), value, fields);
            }
        }
        scalar => {
            fields.insert(path.to_owned(), text(scalar));
        }
    }
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_owned()
    } else {
        format!("{path}.{key}")
    }
}

fn text(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}
