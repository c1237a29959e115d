//! Parsers of values that have a unit or a fixed set of words.

use std::collections::BTreeMap;

use godwitspool_types::KeyDigest;
use godwitspool_version::{KeyRule, ServiceKind, UnconfirmedKeys};

use crate::yaml::{Fields, Value, parse_duration};

pub(super) fn read_keys(fields: &mut Fields<'_>) -> Vec<KeyRule> {
    let mut keys: BTreeMap<KeyDigest, KeyRule> = BTreeMap::new();
    for node in fields.list("keys") {
        let mut key = Fields::open(node);
        let digest = key.read("digest", "64 hexadecimal digits", digest);
        let digest = key.require("digest", digest);
        let withdrawn = key.flag("withdrawn").unwrap_or_default();
        fields.extend(key.finish());
        if let Some(digest) = digest {
            let new = KeyRule {
                digest,
                withdrawn: false,
            };
            keys.entry(digest).or_insert(new).withdrawn |= withdrawn;
        }
    }
    keys.into_values().collect()
}

pub(super) fn read_unconfirmed(fields: &mut Fields<'_>) -> Option<UnconfirmedKeys> {
    let expected = "serve, or `refuse after` and a duration, such as refuse after 5min";
    fields.read("unconfirmed_keys", expected, |value| match value {
        Value::Text(text) if text == "serve" => Some(UnconfirmedKeys::Serve),
        Value::Text(text) => {
            let span = parse_duration(text.strip_prefix("refuse after ")?)?;
            Some(UnconfirmedKeys::RefuseAfterS(span.0.div_ceil(1_000) as u32))
        }
        _ => None,
    })
}

pub(super) fn kind(value: &Value) -> Option<ServiceKind> {
    match value {
        Value::Text(text) if text == "engine" => Some(ServiceKind::Engine),
        Value::Text(text) if text == "plain" => Some(ServiceKind::Plain),
        _ => None,
    }
}

pub(super) fn digest(value: &Value) -> Option<KeyDigest> {
    match value {
        Value::Text(text) => KeyDigest::try_from(text.clone()).ok(),
        _ => None,
    }
}

pub(super) fn whole(value: &Value, max: u32) -> Option<u32> {
    match value {
        Value::Int(number) => u32::try_from(*number).ok().filter(|number| *number <= max),
        _ => None,
    }
}

pub(super) fn rate(value: &Value, unit: &str) -> Option<u32> {
    match value {
        Value::Text(text) => text.strip_suffix(unit)?.parse().ok(),
        _ => None,
    }
}

/// Parses a cost such as `2.40/h` into thousandths, without rounding. More than three decimals are
/// an error.
pub(super) fn cost(value: &Value) -> Option<u64> {
    let Value::Text(text) = value else {
        return None;
    };
    let amount = text.strip_suffix("/h")?;
    let (whole, fraction) = amount.split_once('.').unwrap_or((amount, "0"));
    let digits = |text: &str| !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    if !digits(whole) || !digits(fraction) || fraction.len() > 3 {
        return None;
    }
    let thousandths: u64 = format!("{fraction:0<3}").parse().ok()?;
    let whole: u64 = whole.parse().ok()?;
    whole.checked_mul(1_000)?.checked_add(thousandths)
}
