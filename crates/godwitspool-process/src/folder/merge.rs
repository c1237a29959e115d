//! Merges two trees; values of the later one replace those of the earlier one.

use crate::{
    folder::Override,
    yaml::{Entry, Node, Value},
};

/// Merges a later tree into an earlier one and adds the replaced values to `overrides`.
pub(super) fn merge(earlier: Node, later: Node, overrides: &mut Vec<Override>) -> Node {
    merge_at("", earlier, later, overrides)
}

fn merge_at(path: &str, earlier: Node, later: Node, overrides: &mut Vec<Override>) -> Node {
    let place = later.place.clone();
    let value = match (earlier.value, later.value) {
        (Value::Map(into), Value::Map(from)) => {
            Value::Map(merge_entries(path, into, from, overrides))
        }
        (Value::List(mut into), Value::List(from)) => {
            into.extend(from);
            Value::List(into)
        }
        // An empty value replaces nothing.
        (value, Value::Null) | (Value::Null, value) => value,
        (replaced, value) => {
            if replaced != value {
                overrides.push(Override {
                    path: path.to_owned(),
                    winner: place.clone(),
                    loser: earlier.place,
                });
            }
            value
        }
    };
    Node { place, value }
}

fn merge_entries(
    path: &str,
    mut into: Vec<Entry>,
    from: Vec<Entry>,
    overrides: &mut Vec<Override>,
) -> Vec<Entry> {
    for entry in from {
        let Some(at) = into.iter().position(|other| other.key == entry.key) else {
            into.push(entry);
            continue;
        };
        let path = if path.is_empty() {
            entry.key.clone()
        } else {
            format!("{path}.{}", entry.key)
        };
        let earlier = into.remove(at);
        let node = merge_at(&path, earlier.node, entry.node, overrides);
        into.insert(at, Entry { node, ..entry });
    }
    into
}
