//! Usage windows, folded from the log. Each is open, then sealed by the data centres, frozen and
//! reported.

use std::collections::BTreeMap;

use godwitspool_types::{Dc, Offset, Term};
use serde::{Deserialize, Serialize};

use crate::{Coverage, UsageFigures, UsageSeal, WindowFrozen};

const MAX_REPORTED_WINDOWS: usize = 64;
/// Number of windows for which the coverage of an incarnation is kept after its last seal.
const COVERAGE_RETENTION_WINDOWS: u64 = 2_880;

/// Usage windows, as folded from the log.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WindowTable {
    /// Requests that the seals cover.
    pub coverage: Coverage,
    /// Number of the last frozen window. Windows are frozen in ascending order.
    pub last_frozen: Option<u64>,
    /// Windows with a seal or frozen figures, by number. Of the reported ones, the latest 64 are
    /// kept.
    pub windows: BTreeMap<u64, WindowState>,
}

/// The state of a window.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WindowState {
    /// Frozen figures; `None` while the window is open.
    pub frozen: Option<WindowFrozen>,
    /// Whether the platform has acknowledged the figures.
    pub reported: bool,
    /// Sealed figures, by data centre.
    pub seals: BTreeMap<Dc, SealedFigures>,
}

/// Figures that a data centre sealed for a window.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SealedFigures {
    /// Sums by workspace and service.
    pub figures: Vec<UsageFigures>,
    /// Offset of the seal's record.
    pub offset: Offset,
}

impl WindowTable {
    /// Applies a seal and returns whether it takes effect. It must be the first one of its data
    /// centre in a window that is not frozen, and cover only requests that no other seal covers.
    pub fn seal(&mut self, offset: Offset, seal: &UsageSeal) -> bool {
        if !self.is_open(seal.window) || self.is_sealed(seal.window, &seal.dc) {
            return false;
        }
        if !self.coverage.cover(&seal.ranges, seal.window) {
            return false;
        }
        let sealed = SealedFigures {
            figures: seal.figures.clone(),
            offset,
        };
        let state = self.windows.entry(seal.window).or_default();
        state.seals.insert(seal.dc.clone(), sealed);
        true
    }

    /// Freezes a window and returns whether that takes effect. The figures must have the term of
    /// the current `holder` and equal the sum of the window's seals. Windows are frozen in
    /// ascending order, and not before an older window that has seals.
    pub fn freeze(&mut self, frozen: &WindowFrozen, holder: Option<Term>) -> bool {
        let counts = holder == Some(frozen.term)
            && self.is_open(frozen.window)
            && self.is_oldest_unfrozen(frozen.window)
            && frozen.figures == self.sum(frozen.window);
        if !counts {
            return false;
        }
        self.last_frozen = Some(frozen.window);
        let state = self.windows.entry(frozen.window).or_default();
        state.frozen = Some(frozen.clone());
        let oldest = frozen.window.saturating_sub(COVERAGE_RETENTION_WINDOWS);
        self.coverage.remove_before(oldest);
        true
    }

    /// Marks a window as acknowledged by the platform and returns whether it was frozen and not
    /// marked yet.
    pub fn report(&mut self, window: u64) -> bool {
        let Some(state) = self.windows.get_mut(&window) else {
            return false;
        };
        if state.frozen.is_none() || state.reported {
            return false;
        }
        state.reported = true;
        self.evict_reported();
        true
    }

    /// Returns whether a window still accepts seals.
    pub fn is_open(&self, window: u64) -> bool {
        self.last_frozen.is_none_or(|last| window > last)
    }

    /// Returns whether a data centre has sealed a window.
    pub fn is_sealed(&self, window: u64, dc: &Dc) -> bool {
        self.windows
            .get(&window)
            .is_some_and(|state| state.seals.contains_key(dc))
    }

    /// Returns the sum of a window's seals, in order of workspace and service.
    ///
    /// ```
    /// use godwitspool_version::WindowTable;
    ///
    /// assert!(WindowTable::default().sum(3).is_empty());
    /// ```
    pub fn sum(&self, window: u64) -> Vec<UsageFigures> {
        let seals = self.windows.get(&window).map(|state| &state.seals);
        let figures = seals
            .into_iter()
            .flat_map(BTreeMap::values)
            .flat_map(|sealed| &sealed.figures);
        sum_figures(figures)
    }

    /// Returns the frozen windows that the platform has not acknowledged yet, oldest first.
    pub fn unreported(&self) -> impl Iterator<Item = &WindowFrozen> {
        self.windows
            .values()
            .filter(|state| !state.reported)
            .filter_map(|state| state.frozen.as_ref())
    }

    fn is_oldest_unfrozen(&self, window: u64) -> bool {
        let older = self.windows.range(..window);
        older.into_iter().all(|(_, state)| state.frozen.is_some())
    }

    fn evict_reported(&mut self) {
        let reported = self.windows.values().filter(|state| state.reported).count();
        let surplus = reported.saturating_sub(MAX_REPORTED_WINDOWS);
        let old = self
            .windows
            .iter()
            .filter(|(_, state)| state.reported)
            .map(|(window, _)| *window)
            .take(surplus)
            .collect::<Vec<_>>();
        for window in old {
            self.windows.remove(&window);
        }
    }
}

/// Sums figures by workspace and service, and returns the sums in that order.
///
/// ```
/// use godwitspool_version::{UsageFigures, sum_figures};
///
/// let one = UsageFigures { requests: 1, ..UsageFigures::default() };
/// assert_eq!(sum_figures([&one, &one])[0].requests, 2);
/// ```
pub fn sum_figures<'a>(figures: impl IntoIterator<Item = &'a UsageFigures>) -> Vec<UsageFigures> {
    let mut sums = BTreeMap::new();
    for added in figures {
        let sum = sums
            .entry((added.workspace.clone(), added.service.clone()))
            .or_insert_with(|| UsageFigures {
                workspace: added.workspace.clone(),
                service: added.service.clone(),
                ..UsageFigures::default()
            });
        sum.requests += added.requests;
        sum.prompt_tokens += added.prompt_tokens;
        sum.output_tokens += added.output_tokens;
    }
    sums.into_values().collect()
}
