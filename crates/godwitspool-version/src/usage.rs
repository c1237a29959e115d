//! Usage from the time at which an entry host counts it until it is reported to the platform.

use std::collections::BTreeMap;

use godwitspool_types::{Dc, HostName, Millis, Term};

use crate::{
    Coverage, HostLife, UsageFigures, UsageRange, UsageSeal, WindowFrozen, WindowTable, sum_figures,
};

/// Usage of one request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestUsage {
    /// Figures of the request; `requests` is 1.
    pub figures: UsageFigures,
    /// Sequence number of the request on its entry host.
    pub sequence: u64,
    /// Entry host that counted the request.
    pub source: HostLife,
}

/// Usage that this host stores until a seal covers it.
///
/// ```
/// use godwitspool_types::Millis;
/// use godwitspool_version::{Coverage, HeldUsage, HostLife, RequestUsage, UsageFigures};
///
/// let usage = RequestUsage {
///     figures: UsageFigures { requests: 1, ..UsageFigures::default() },
///     sequence: 1,
///     source: HostLife::default(),
/// };
/// let mut held = HeldUsage::default();
/// assert!(held.hold(usage.clone(), &Coverage::default(), Millis(0)));
/// assert!(!held.hold(usage, &Coverage::default(), Millis(0)));
/// assert_eq!(held.len(), 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct HeldUsage {
    by_source: BTreeMap<HostLife, BTreeMap<u64, Held>>,
}

#[derive(Clone, Debug)]
struct Held {
    figures: UsageFigures,
    since: Millis,
}

impl HeldUsage {
    /// Stores the usage of a request. Returns false if it is already stored or covered.
    pub fn hold(&mut self, usage: RequestUsage, coverage: &Coverage, now: Millis) -> bool {
        if coverage.contains(&usage.source, usage.sequence) {
            return false;
        }
        let held = Held {
            figures: usage.figures,
            since: now,
        };
        let by_sequence = self.by_source.entry(usage.source).or_default();
        match by_sequence.entry(usage.sequence) {
            std::collections::btree_map::Entry::Occupied(_) => false,
            std::collections::btree_map::Entry::Vacant(vacant) => {
                vacant.insert(held);
                true
            }
        }
    }

    /// Removes the usage that seals cover.
    pub fn forget_covered(&mut self, coverage: &Coverage) {
        for (source, by_sequence) in &mut self.by_source {
            by_sequence.retain(|sequence, _| !coverage.contains(source, *sequence));
        }
        self.by_source
            .retain(|_, by_sequence| !by_sequence.is_empty());
    }

    /// Creates a seal of the usage from this data centre's hosts, which are those for which
    /// `is_own` returns true. Usage from other hosts is included if it has been held since
    /// `orphaned_since` or earlier, because its own data centre must have lost it.
    pub fn seal(
        &self,
        dc: &Dc,
        window: u64,
        is_own: impl Fn(&HostName) -> bool,
        orphaned_since: Millis,
    ) -> UsageSeal {
        let mut ranges = Vec::<UsageRange>::new();
        let mut figures = Vec::new();
        for (source, by_sequence) in &self.by_source {
            let own = is_own(&source.host);
            for (sequence, held) in by_sequence {
                if own || held.since <= orphaned_since {
                    extend(&mut ranges, source, *sequence);
                    figures.push(&held.figures);
                }
            }
        }
        UsageSeal {
            dc: dc.clone(),
            figures: sum_figures(figures),
            ranges,
            window,
        }
    }

    /// Returns all usage that is held, by entry host and sequence number.
    pub fn all(&self) -> impl Iterator<Item = RequestUsage> {
        self.by_source.iter().flat_map(|(source, by_sequence)| {
            by_sequence.iter().map(|(sequence, held)| RequestUsage {
                figures: held.figures.clone(),
                sequence: *sequence,
                source: source.clone(),
            })
        })
    }

    /// Returns the number of requests whose usage is held.
    pub fn len(&self) -> usize {
        self.by_source.values().map(BTreeMap::len).sum()
    }

    /// Returns whether no usage is held.
    pub fn is_empty(&self) -> bool {
        self.by_source.is_empty()
    }
}

fn extend(ranges: &mut Vec<UsageRange>, source: &HostLife, sequence: u64) {
    match ranges.last_mut() {
        Some(last) if last.source == *source && last.last + 1 == sequence => last.last = sequence,
        _ => ranges.push(UsageRange {
            first: sequence,
            last: sequence,
            source: source.clone(),
        }),
    }
}

/// A step of the usage lease's holder on a window.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum UsageStep {
    /// Record the frozen figures of a window in the log.
    Freeze(WindowFrozen),
    /// Report frozen figures to the platform. The step is returned until the platform acknowledges
    /// them.
    Report(WindowFrozen),
}

/// Inputs of [`usage_steps`].
#[derive(Clone, Copy, Debug)]
pub struct UsageView<'a> {
    /// Windows, as folded from the log.
    pub table: &'a WindowTable,
    /// Number of the current window. Older windows are over and may be frozen.
    pub current: u64,
    /// Data centres that seal each window.
    pub dcs: &'a [Dc],
    /// Number of windows to wait for a data centre's seal.
    pub seal_wait_windows: u64,
}

/// Returns what the holder of the usage lease has to do under its term.
///
/// Windows are frozen oldest first, each as soon as all its seals are in the log, and then
/// reported. If a data centre is unreachable, its seal is waited for during `seal_wait_windows`.
/// The window is then frozen with that data centre listed as missing, and its usage is counted in a
/// later window.
///
/// ```
/// use godwitspool_types::Term;
/// use godwitspool_version::{UsageView, WindowTable, usage_steps};
///
/// let table = WindowTable::default();
/// let view = UsageView { table: &table, current: 9, dcs: &[], seal_wait_windows: 60 };
/// assert!(usage_steps(view, Term(3)).is_empty());
/// ```
pub fn usage_steps(view: UsageView<'_>, term: Term) -> Vec<UsageStep> {
    let reports = view.table.unreported().cloned().map(UsageStep::Report);
    reports.chain(freeze(view, term)).collect()
}

fn freeze(view: UsageView<'_>, term: Term) -> Option<UsageStep> {
    let first = view.table.windows.keys().next().copied();
    let window = match view.table.last_frozen {
        Some(last) => last + 1,
        None => first?,
    };
    if window >= view.current {
        return None;
    }
    let is_missing = |dc: &&Dc| !view.table.is_sealed(window, dc);
    let missing = view
        .dcs
        .iter()
        .filter(is_missing)
        .cloned()
        .collect::<Vec<_>>();
    if !missing.is_empty() && view.current - window <= view.seal_wait_windows {
        return None;
    }
    Some(UsageStep::Freeze(WindowFrozen {
        figures: view.table.sum(window),
        missing,
        term,
        window,
    }))
}
