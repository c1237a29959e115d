//! How far the hosts' clocks differ.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use super::LogLine;

/// Facts that speak for a host's clock at a time; more of them would blur a step of the clock.
const FACTS_NEAR: usize = 9;
/// Rank of the fact, of those near, that counts, as a share: a host may hear of a fact late, for as
/// long as it is cut off, and never early.
const RANK_SHARE: usize = 4;
/// Differences below this many seconds are told as none: messages take as long.
const SAME_S: f64 = 0.05;

/// Clocks of hosts, compared by facts that several of them wrote down as messages reached them:
/// versions, configurations and loads of weights.
#[derive(Debug, Default)]
pub(crate) struct HostClocks {
    /// Time of each fact at each host.
    facts: HashMap<String, BTreeMap<Arc<str>, f64>>,
    /// By host: its time and how far ahead it is then, ascending.
    leads: HashMap<Arc<str>, Vec<(f64, f64)>>,
}

impl HostClocks {
    /// Takes a line over if it tells of a fact that reaches every host.
    pub(crate) fn add(&mut self, line: &LogLine) {
        let Some(fact) = shared_fact(line) else {
            return;
        };
        let times = self.facts.entry(fact).or_default();
        times.entry(Arc::clone(&line.host)).or_insert(line.time);
    }

    /// Compares the clocks once all lines were added.
    pub(crate) fn compare(&mut self) {
        for times in self.facts.values().filter(|times| times.len() > 1) {
            let mut sorted: Vec<f64> = times.values().copied().collect();
            sorted.sort_by(f64::total_cmp);
            // The middle host's clock counts: few clocks are wrong at once.
            let middle = sorted[(sorted.len() - 1) / 2];
            for (host, time) in times {
                let leads = self.leads.entry(Arc::clone(host)).or_default();
                leads.push((*time, time - middle));
            }
        }
        for leads in self.leads.values_mut() {
            leads.sort_by(|a, b| a.0.total_cmp(&b.0));
        }
    }

    /// Returns how many seconds a host's clock is ahead at a time of its own; `None` if no fact
    /// tells.
    pub(crate) fn lead(&self, host: &str, time: f64) -> Option<f64> {
        let leads = self.leads.get(host)?;
        let behind = leads.partition_point(|(at, _)| *at <= time);
        let from = behind.saturating_sub(FACTS_NEAR.div_ceil(2));
        let from = from.min(leads.len().saturating_sub(FACTS_NEAR));
        let near = &leads[from..leads.len().min(from + FACTS_NEAR)];
        let mut near: Vec<f64> = near.iter().map(|(_, lead)| *lead).collect();
        near.sort_by(f64::total_cmp);
        let lead = near.get(near.len() / RANK_SHARE).copied()?;
        Some(if lead.abs() < SAME_S { 0.0 } else { lead })
    }

    /// Returns a line's time by the middle host's clock.
    pub(crate) fn corrected(&self, line: &LogLine) -> f64 {
        line.time - self.lead(&line.host, line.time).unwrap_or_default()
    }
}

/// Returns what identifies a fact that is told to every host within milliseconds.
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
