//! The YAML tree and its parser.

use std::fmt;

use godwitspool_types::{FileName, Finding, Place};
use serde::{
    Deserialize, Deserializer,
    de::{MapAccess, SeqAccess, Visitor},
};
use serde_saphyr::{
    Location, Spanned, from_str_with_options,
    options::{DuplicateKeyPolicy, MergeKeyPolicy},
};

/// A node of the tree.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// File, line and column where the value begins.
    pub place: Place,
    /// Parsed value; its items or entries have places of their own.
    pub value: Value,
}

/// The value of a node.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// `true` or `false`; other spellings such as `yes` are strings.
    Bool(bool),
    /// A number with a fraction, or an integer above [`i64::MAX`].
    Float(f64),
    /// An integer.
    Int(i64),
    /// A sequence.
    List(Vec<Node>),
    /// A mapping in the order of the file; keys may repeat.
    Map(Vec<Entry>),
    /// An empty value or `null`.
    Null,
    /// A string.
    Text(String),
}

/// An entry of a mapping.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Key of the entry.
    pub key: String,
    /// Place of the key; that of the value is in `node`.
    pub place: Place,
    /// Value of the entry.
    pub node: Node,
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bool(value) => write!(f, "{value}"),
            Self::Float(value) => write!(f, "{value}"),
            Self::Int(value) => write!(f, "{value}"),
            Self::List(_) => f.write_str("a list"),
            Self::Map(_) => f.write_str("a mapping"),
            Self::Null => f.write_str("empty"),
            Self::Text(text) => write!(f, "{text:?}"),
        }
    }
}

/// Parses a file's text.
///
/// # Errors
///
/// Returns one finding if the text is not valid YAML.
///
/// ```
/// use godwitspool_process::yaml::{Value, parse};
///
/// let node = parse(&"a.yaml".into(), "term: 3s\n").unwrap();
/// let Value::Map(entries) = node.value else { panic!() };
/// assert_eq!(entries[0].node.place.to_string(), "a.yaml:1:7");
/// ```
pub fn parse(file: &FileName, text: &str) -> Result<Node, Finding> {
    let options = serde_saphyr::options! {
        duplicate_keys: DuplicateKeyPolicy::PassThrough,
        merge_keys: MergeKeyPolicy::Error,
        strict_booleans: true,
        with_snippet: false,
    };
    let raw = from_str_with_options::<Spanned<Raw>>(text, options);
    raw.map(|raw| node(file, raw)).map_err(|error| {
        let place = error
            .location()
            .map_or_else(Place::default, |location| place(file, &location));
        let message = error.without_snippet().to_string();
        Finding {
            place: Place {
                file: file.clone(),
                ..place
            },
            message: format!("not YAML: {}", message.lines().next().unwrap_or_default()),
        }
    })
}

fn place(file: &FileName, location: &Location) -> Place {
    Place {
        file: file.clone(),
        line: location.line(),
        column: location.column(),
    }
}

fn node(file: &FileName, raw: Spanned<Raw>) -> Node {
    let value = match raw.value {
        Raw::Bool(value) => Value::Bool(value),
        Raw::Float(value) => Value::Float(value),
        Raw::Int(value) => Value::Int(value),
        Raw::List(items) => Value::List(items.into_iter().map(|item| node(file, item)).collect()),
        Raw::Map(entries) => Value::Map(
            entries
                .into_iter()
                .map(|(key, value)| Entry {
                    place: place(file, &key.referenced),
                    key: key.value,
                    node: node(file, value),
                })
                .collect(),
        ),
        Raw::Null => Value::Null,
        Raw::Text(text) => Value::Text(text),
    };
    Node {
        place: place(file, &raw.referenced),
        value,
    }
}

/// The tree as serde deserializes it, before places are set.
enum Raw {
    Bool(bool),
    Float(f64),
    Int(i64),
    List(Vec<Spanned<Raw>>),
    Map(Vec<(Spanned<String>, Spanned<Raw>)>),
    Null,
    Text(String),
}

impl<'de> Deserialize<'de> for Raw {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(RawVisitor)
    }
}

struct RawVisitor;

impl<'de> Visitor<'de> for RawVisitor {
    type Value = Raw;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a YAML value")
    }

    fn visit_bool<E>(self, value: bool) -> Result<Raw, E> {
        Ok(Raw::Bool(value))
    }

    fn visit_f64<E>(self, value: f64) -> Result<Raw, E> {
        Ok(Raw::Float(value))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Raw, E> {
        Ok(Raw::Int(value))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Raw, E> {
        Ok(i64::try_from(value).map_or(Raw::Float(value as f64), Raw::Int))
    }

    fn visit_str<E>(self, value: &str) -> Result<Raw, E> {
        Ok(Raw::Text(value.to_owned()))
    }

    fn visit_unit<E>(self) -> Result<Raw, E> {
        Ok(Raw::Null)
    }

    fn visit_none<E>(self) -> Result<Raw, E> {
        Ok(Raw::Null)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut access: A) -> Result<Raw, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = access.next_element()? {
            items.push(item);
        }
        Ok(Raw::List(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<Raw, A::Error> {
        let mut entries = Vec::new();
        while let Some(entry) = access.next_entry()? {
            entries.push(entry);
        }
        Ok(Raw::Map(entries))
    }
}
