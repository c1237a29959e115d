//! Structured log lines: `key=value` pairs or one JSON object per line.
//!
//! The subjects of a line are logged as pairs; the request id has the key `request`:
//!
//! ```
//! log::info!(request = "4af1", target_name = "engine-3"; "stream ended");
//! ```

use std::{
    fmt::Write as _,
    io,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use log::{
    Level, LevelFilter, Record, SetLoggerError,
    kv::{Error, Key, Value, VisitSource},
};

use crate::LogFormat;

/// Installs a logger for the process that writes to standard error.
///
/// # Errors
///
/// Fails if a logger is already installed.
pub fn install(format: LogFormat) -> Result<(), SetLoggerError> {
    fern::Dispatch::new()
        .level(LevelFilter::Info)
        .format(move |out, _, record| {
            let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
            let line = line(format, since_epoch.unwrap_or_default(), record);
            out.finish(format_args!("{line}"));
        })
        .chain(io::stderr())
        .apply()
}

/// Formats a line without its line break; `time` counts from the Unix epoch.
///
/// ```
/// use std::time::Duration;
///
/// use godwitspool_process::{LogFormat, logs::line};
///
/// let record = log::Record::builder()
///     .args(format_args!("two words"))
///     .level(log::Level::Warn)
///     .target("entry")
///     .build();
/// let line = line(LogFormat::KeyValue, Duration::from_millis(1_500), &record);
/// assert_eq!(line, "time=1.500 level=warn part=entry message=\"two words\"");
/// ```
pub fn line(format: LogFormat, time: Duration, record: &Record<'_>) -> String {
    let mut pairs = Pairs(vec![
        pair("level", &level(record.level())),
        pair("part", &record.target()),
        pair("message", record.args()),
    ]);
    // The visitor returns no error.
    drop(record.key_values().visit(&mut pairs));
    let time = format!("{}.{:03}", time.as_secs(), time.subsec_millis());
    match format {
        LogFormat::Json => pairs.json(&time),
        LogFormat::KeyValue => pairs.key_value(&time),
    }
}

fn level(level: Level) -> &'static str {
    match level {
        Level::Error => "error",
        Level::Warn => "warn",
        Level::Info => "info",
        Level::Debug => "debug",
        Level::Trace => "trace",
    }
}

struct Pair {
    key: String,
    value: String,
}

fn pair(key: impl Into<String>, value: &impl ToString) -> Pair {
    Pair {
        key: key.into(),
        value: value.to_string(),
    }
}

struct Pairs(Vec<Pair>);

impl Pairs {
    fn json(&self, time: &str) -> String {
        let mut line = format!("{{\"time\":{time}");
        for Pair { key, value } in &self.0 {
            let key = serde_json::Value::from(key.as_str());
            let value = serde_json::Value::from(value.as_str());
            // Writing to a string doesn't fail.
            let _ = write!(line, ",{key}:{value}");
        }
        line.push('}');
        line
    }

    fn key_value(&self, time: &str) -> String {
        let mut line = format!("time={time}");
        for Pair { key, value } in &self.0 {
            let plain = !value.is_empty() && value.chars().all(is_plain);
            // Writing to a string doesn't fail.
            let _ = if plain {
                write!(line, " {key}={value}")
            } else {
                write!(line, " {key}={value:?}")
            };
        }
        line
    }
}

/// Returns whether a value with this character needs no quotes.
fn is_plain(c: char) -> bool {
    c.is_ascii_graphic() && !matches!(c, '"' | '=' | '\\')
}

impl<'kvs> VisitSource<'kvs> for Pairs {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.0.push(pair(key.as_str(), &value));
        Ok(())
    }
}
