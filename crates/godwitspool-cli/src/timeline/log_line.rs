//! Parses the lines of a host's log.

use std::sync::Arc;

/// A line of a host's log.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct LogLine {
    /// Host that wrote the line.
    pub host: Arc<str>,
    /// Time by that host's clock, in seconds since 1970.
    pub time: f64,
    /// Text of the message.
    pub message: String,
    /// Other fields, in order, without `level` and `part`.
    pub fields: Vec<(String, String)>,
}

impl LogLine {
    /// Parses a line. The host is that of the `host` field, else the last word of a prefix that a
    /// collector may have added, else `host`. Returns `None` if the text has no log line.
    pub(crate) fn read(text: &str, host: &Arc<str>) -> Option<Self> {
        let start = text.find("time=")?;
        let prefix = text[..start].split_whitespace().next_back();
        let mut pairs = pairs(&text[start..]).into_iter();
        let (_, time) = pairs.next()?;
        let time = time.parse().ok()?;
        let mut fields: Vec<(String, String)> = pairs.collect();
        let message = fields.iter().position(|(key, _)| key == "message")?;
        let (_, message) = fields.remove(message);
        fields.retain(|(key, _)| !matches!(key.as_str(), "level" | "part"));
        let mut line = Self {
            host: prefix.map_or_else(|| Arc::clone(host), Arc::from),
            time,
            message,
            fields,
        };
        if let Some(name) = line.field("host") {
            line.host = Arc::from(name);
        }
        Some(line)
    }

    /// Returns the value of a field.
    pub(crate) fn field(&self, key: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        let (_, value) = fields.find(|(known, _)| known == key)?;
        Some(value)
    }

    /// Returns whether a field contains this identifier, alone or in a list.
    pub(crate) fn names(&self, id: &str) -> bool {
        self.fields
            .iter()
            .any(|(_, value)| value == id || names_in(value).any(|name| name == id))
    }

    /// Returns the fields in the format of the log.
    pub(crate) fn details(&self) -> String {
        let texts = self.fields.iter().map(|(key, value)| {
            if value.contains(char::is_whitespace) {
                format!("{key}={value:?}")
            } else {
                format!("{key}={value}")
            }
        });
        texts.collect::<Vec<_>>().join(" ")
    }
}

/// Returns the names in a value, which may be a list.
pub(crate) fn names_in(value: &str) -> impl Iterator<Item = &str> {
    let names = value.split(|c: char| !c.is_alphanumeric() && !"-_.".contains(c));
    names.filter(|name| !name.is_empty())
}

/// Splits a text into its `key=value` pairs. Values with spaces are quoted.
fn pairs(text: &str) -> Vec<(String, String)> {
    let mut pairs = Vec::new();
    let mut rest = text.trim_end();
    while let Some((key, after)) = rest.split_once('=') {
        let (value, length) = after.strip_prefix('"').map_or_else(
            || {
                let length = after.find(' ').unwrap_or(after.len());
                (after[..length].to_owned(), length)
            },
            unquote,
        );
        pairs.push((key.trim_start().to_owned(), value));
        rest = &after[length..];
    }
    pairs
}

/// Reads up to the closing quote. Returns the value and its length in the text, including quotes.
fn unquote(quoted: &str) -> (String, usize) {
    let mut value = String::new();
    let mut chars = quoted.char_indices();
    while let Some((at, c)) = chars.next() {
        match c {
            '"' => return (value, at + 2),
            '\\' => match chars.next() {
                Some((_, 'n')) => value.push('\n'),
                Some((_, other)) => value.push(other),
                None => break,
            },
            other => value.push(other),
        }
    }
    // The line ends within the value.
    (value, quoted.len() + 1)
}
