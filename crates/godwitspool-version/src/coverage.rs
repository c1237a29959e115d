//! Which requests of which entry hosts and incarnations the seals cover.

use std::collections::BTreeMap;

use godwitspool_types::{HostName, Incarnation};
use serde::{Deserialize, Serialize};

use crate::{HostLife, UsageRange};

/// Requests covered by seals so far, by host and incarnation.
///
/// ```
/// use godwitspool_version::{Coverage, HostLife, UsageRange};
///
/// let mut coverage = Coverage::default();
/// let source = HostLife::default();
/// let ranges = [UsageRange { first: 1, last: 5, source: source.clone() }];
/// assert!(coverage.cover(&ranges, 0));
/// assert!(!coverage.cover(&ranges, 0));
/// assert!(coverage.contains(&source, 5));
/// assert!(!coverage.contains(&source, 6));
/// ```
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Coverage {
    lives: BTreeMap<HostName, BTreeMap<Incarnation, LifeCoverage>>,
}

#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
struct LifeCoverage {
    spans: Vec<Span>,
    /// Latest window in which a seal covered requests of the incarnation.
    window: u64,
}

#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
struct Span {
    first: u64,
    last: u64,
}

impl Coverage {
    /// Covers all of the ranges, or none if they overlap each other or a covered request. Returns
    /// whether they are covered now.
    pub fn cover(&mut self, ranges: &[UsageRange], window: u64) -> bool {
        if !self.is_uncovered(ranges) || !are_disjoint(ranges) {
            return false;
        }
        for range in ranges {
            let life = self
                .lives
                .entry(range.source.host.clone())
                .or_default()
                .entry(range.source.incarnation)
                .or_default();
            life.add(Span {
                first: range.first,
                last: range.last,
            });
            life.window = life.window.max(window);
        }
        true
    }

    /// Returns whether a request is covered.
    pub fn contains(&self, source: &HostLife, sequence: u64) -> bool {
        self.life(source).is_some_and(|life| {
            life.spans
                .iter()
                .any(|span| span.first <= sequence && sequence <= span.last)
        })
    }

    /// Removes the incarnations that no seal of this window or a later one covers.
    pub fn remove_before(&mut self, window: u64) {
        for lives in self.lives.values_mut() {
            lives.retain(|_, life| life.window >= window);
        }
        self.lives.retain(|_, lives| !lives.is_empty());
    }

    /// Counts the incarnations in the coverage, over all hosts.
    pub fn lives(&self) -> usize {
        self.lives.values().map(BTreeMap::len).sum()
    }

    fn is_uncovered(&self, ranges: &[UsageRange]) -> bool {
        ranges.iter().all(|range| {
            self.life(&range.source).is_none_or(|life| {
                life.spans
                    .iter()
                    .all(|span| range.last < span.first || span.last < range.first)
            })
        })
    }

    fn life(&self, source: &HostLife) -> Option<&LifeCoverage> {
        self.lives.get(&source.host)?.get(&source.incarnation)
    }
}

impl LifeCoverage {
    fn add(&mut self, added: Span) {
        self.spans.push(added);
        self.spans.sort_unstable();
        let mut merged = Vec::<Span>::with_capacity(self.spans.len());
        for span in &self.spans {
            match merged.last_mut() {
                Some(last) if last.last.saturating_add(1) >= span.first => {
                    last.last = last.last.max(span.last);
                }
                _ => merged.push(*span),
            }
        }
        self.spans = merged;
    }
}

fn are_disjoint(ranges: &[UsageRange]) -> bool {
    let mut sorted = ranges.iter().collect::<Vec<_>>();
    sorted.sort_unstable_by(|a, b| (&a.source, a.first).cmp(&(&b.source, b.first)));
    sorted.iter().all(|range| range.first <= range.last)
        && sorted
            .windows(2)
            .all(|pair| pair[0].source != pair[1].source || pair[0].last < pair[1].first)
}
