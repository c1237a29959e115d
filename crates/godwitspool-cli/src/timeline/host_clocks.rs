//! Estimates the skew of the hosts' clocks.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use super::LogLine;

/// Number of facts nearest in time from which a clock's skew is estimated. More of them would blur
/// a step of the clock.
const NEAREST_FACTS: usize = 9;
/// The skew is the value at 1/4 of the sorted skews of the nearest facts. A low rank is right
/// because a host may log a fact late, for as long as it is unreachable, but never early.
const RANK_DIVISOR: usize = 4;
/// Skews below this many seconds count as 0, because messages take as long.
const MIN_SKEW_S: f64 = 0.05;

/// Skews of the hosts' clocks, from facts that several hosts logged when a message reached them:
/// weight versions, configurations and loads of weights.
#[derive(Debug, Default)]
pub(crate) struct HostClocks {
    /// Time of each fact by each host's clock.
    facts: HashMap<String, BTreeMap<Arc<str>, f64>>,
    /// By host, ascending: its time, and how many seconds its clock is ahead at that time.
    skews: HashMap<Arc<str>, Vec<(f64, f64)>>,
}

impl HostClocks {
    /// Adds a line if it is about a fact that reaches every host.
    pub(crate) fn add(&mut self, line: &LogLine) {
        let Some(fact) = shared_fact(line) else {
            return;
        };
        let times = self.facts.entry(fact).or_default();
        times.entry(Arc::clone(&line.host)).or_insert(line.time);
    }

    /// Compares the clocks; called once all lines have been added.
    pub(crate) fn compare(&mut self) {
        for times in self.facts.values().filter(|times| times.len() > 1) {
            let mut sorted: Vec<f64> = times.values().copied().collect();
            sorted.sort_by(f64::total_cmp);
            // The median is the reference, because few clocks are wrong at the same time.
            let median = sorted[(sorted.len() - 1) / 2];
            for (host, time) in times {
                let skews = self.skews.entry(Arc::clone(host)).or_default();
                skews.push((*time, time - median));
            }
        }
        for skews in self.skews.values_mut() {
            skews.sort_by(|a, b| a.0.total_cmp(&b.0));
        }
    }

    /// Returns how many seconds a host's clock is ahead at a time by that clock; `None` without
    /// facts to compare.
    pub(crate) fn skew(&self, host: &str, time: f64) -> Option<f64> {
        let skews = self.skews.get(host)?;
        let earlier = skews.partition_point(|(at, _)| *at <= time);
        let from = earlier.saturating_sub(NEAREST_FACTS.div_ceil(2));
        let from = from.min(skews.len().saturating_sub(NEAREST_FACTS));
        let nearest = &skews[from..skews.len().min(from + NEAREST_FACTS)];
        let mut nearest: Vec<f64> = nearest.iter().map(|(_, skew)| *skew).collect();
        nearest.sort_by(f64::total_cmp);
        let skew = nearest.get(nearest.len() / RANK_DIVISOR).copied()?;
        Some(if skew.abs() < MIN_SKEW_S { 0.0 } else { skew })
    }

    /// Returns a line's time with the skew of its host's clock removed.
    pub(crate) fn corrected(&self, line: &LogLine) -> f64 {
        line.time - self.skew(&line.host, line.time).unwrap_or_default()
    }
}

/// Returns the identity of a fact that reaches every host within milliseconds; `None` for other
/// lines.
fn shared_fact(line: &LogLine) -> Option<String> {
    let (kind, fields): (&str, &[&str]) = match line.message.as_str() {
        "configuration in force" => ("configuration", &["version"]),
        "version named" => ("version", &["model", "version"]),
        "load begins" | "load ordered" => ("load", &["target_name", "model", "version"]),
        _ => return None,
    };
    let values: Option<Vec<&str>> = fields.iter().map(|key| line.field(key)).collect();
    Some(format!("{kind} {}", values?.join(" ")))
}
