//! Usage between the entry that counted it and the report to the platform.

use std::collections::BTreeMap;

use godwitspool_types::{Dc, HostName, Millis, Term};

use crate::{
    Coverage, HostLife, UsageFigures, UsageRange, UsageSeal, WindowFrozen, WindowTable, sum_figures,
};

/// Usage of one request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestUsage {
    /// Figures, with one request.
    pub figures: UsageFigures,
    /// Sequence number on the entry.
    pub sequence: u64,
    /// Entry that counted.
    pub source: HostLife,
}

/// Usage that this host holds and no counted seal has covered yet.
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
    lives: BTreeMap<HostLife, BTreeMap<u64, Held>>,
}

#[derive(Clone, Debug)]
struct Held {
    figures: UsageFigures,
    since: Millis,
}

impl HeldUsage {
    /// Holds a request's usage; false if it is held or covered already.
    pub fn hold(&mut self, usage: RequestUsage, coverage: &Coverage, now: Millis) -> bool {
        if coverage.contains(&usage.source, usage.sequence) {
            return false;
        }
        let held = Held {
            figures: usage.figures,
            since: now,
        };
        let life = self.lives.entry(usage.source).or_default();
        match life.entry(usage.sequence) {
            std::collections::btree_map::Entry::Occupied(_) => false,
            std::collections::btree_map::Entry::Vacant(vacant) => {
                vacant.insert(held);
                true
            }
        }
    }

    /// Lets go what the seals have covered.
    pub fn forget_covered(&mut self, coverage: &Coverage) {
        for (source, life) in &mut self.lives {
            life.retain(|sequence, _| !coverage.contains(source, *sequence));
        }
        self.lives.retain(|_, life| !life.is_empty());
    }

    /// Makes a seal of what is held from the hosts named, and of what nobody has sealed for so long
    /// that its own data centre must have lost it.
    pub fn seal(
        &self,
        dc: &Dc,
        window: u64,
        is_own: impl Fn(&HostName) -> bool,
        orphaned: Millis,
    ) -> UsageSeal {
        let mut ranges = Vec::<UsageRange>::new();
        let mut figures = Vec::new();
        for (source, life) in &self.lives {
            let own = is_own(&source.host);
            for (sequence, held) in life {
                if own || held.since <= orphaned {
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

    /// Returns everything that is held.
    pub fn all(&self) -> impl Iterator<Item = RequestUsage> {
        self.lives.iter().flat_map(|(source, life)| {
            life.iter().map(|(sequence, held)| RequestUsage {
                figures: held.figures.clone(),
                sequence: *sequence,
                source: source.clone(),
            })
        })
    }

    /// Counts the requests that are held.
    pub fn len(&self) -> usize {
        self.lives.values().map(BTreeMap::len).sum()
    }

    /// Tells whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.lives.is_empty()
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

// ---

/// What the holder of the usage lease does about windows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum UsageStep {
    /// Freezes a window's figures in the log.
    Freeze(WindowFrozen),
    /// Reports frozen figures to the platform, again until acknowledged.
    Report(WindowFrozen),
}

/// What the usage decisions go by.
#[derive(Clone, Copy, Debug)]
pub struct UsageView<'a> {
    /// Windows as folded.
    pub table: &'a WindowTable,
    /// Window that runs now.
    pub current: u64,
    /// Data centres whose seals are waited for.
    pub dcs: &'a [Dc],
    /// Windows for which a data centre's seal is waited for.
    pub seal_wait_windows: u64,
}

/// Says what to do under a term: freeze each window once all its seals are there, oldest first, and
/// report what is frozen. A data centre that is cut off is waited for; after the patience the window is
/// frozen with that data centre named as missing, and its usage goes into a later window.
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
