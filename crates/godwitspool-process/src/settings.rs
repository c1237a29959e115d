//! Settings: one small YAML file for each daemon.

mod entry;
mod steward;

use std::path::Path;

use godwitspool_types::{FileName, Finding, Place};

use crate::{
    Findings,
    yaml::{self, Fields, Node, Value},
};

pub use entry::EntrySettings;
pub use steward::{PeerSettings, StewardSettings};

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LogFormat {
    /// One JSON object per line.
    Json,
    /// `key=value` pairs.
    #[default]
    KeyValue,
}

fn read_file(path: &Path) -> Result<String, Findings> {
    std::fs::read_to_string(path).map_err(|error| {
        let finding = Finding {
            place: Place {
                file: FileName::from(path.display().to_string()),
                line: 1,
                column: 1,
            },
            message: format!("can't be read: {error}"),
        };
        Findings::from(vec![finding])
    })
}

fn parse_tree(file: &str, text: &str) -> Result<Node, Findings> {
    yaml::parse(&FileName::from(file), text).map_err(|finding| Findings::from(vec![finding]))
}

fn read_log(fields: &mut Fields<'_>) -> Option<LogFormat> {
    fields.read("log", "key-value or json", |value| match value {
        Value::Text(text) if text == "json" => Some(LogFormat::Json),
        Value::Text(text) if text == "key-value" => Some(LogFormat::KeyValue),
        _ => None,
    })
}
