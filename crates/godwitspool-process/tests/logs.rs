//! Log lines in both formats.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use godwitspool_process::{LogFormat, logs::line};
use log::{Level, Record};
use proptest::prelude::*;
use rstest::rstest;

fn format_line(format: LogFormat, request: &str, message: &str) -> String {
    let pairs = [("request", request)];
    let time = Duration::from_millis(12_034);
    line(
        format,
        time,
        &Record::builder()
            .args(format_args!("{message}"))
            .key_values(&pairs)
            .level(Level::Info)
            .target("entry")
            .build(),
    )
}

#[rstest]
#[case(
    LogFormat::KeyValue,
    "time=12.034 level=info part=entry message=\"stream ended\" request=4af1"
)]
#[case(
    LogFormat::Json,
    r#"{"time":12.034,"level":"info","part":"entry","message":"stream ended","request":"4af1"}"#
)]
fn a_line_has_its_pairs(#[case] format: LogFormat, #[case] expected: &str) {
    assert_eq!(format_line(format, "4af1", "stream ended"), expected);
}

proptest! {
    #[test]
    fn any_value_stays_within_its_line(request in ".*", message in ".*") {
        let json = format_line(LogFormat::Json, &request, &message);
        let parsed: serde_json::Value = serde_json::from_str(&json).unwrap();
        prop_assert_eq!(&parsed["request"], &request);
        prop_assert_eq!(&parsed["message"], &message);
        prop_assert!(!json.contains('\n'));
        let pairs = format_line(LogFormat::KeyValue, &request, &message);
        prop_assert!(!pairs.chars().any(char::is_control));
    }
}
