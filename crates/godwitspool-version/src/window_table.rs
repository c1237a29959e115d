//! Usage windows as the log knows them: open, sealed by data centres, frozen, reported.

use std::collections::BTreeMap;

use godwitspool_types::{Dc, Offset, Term};
use serde::{Deserialize, Serialize};

use crate::{Coverage, UsageFigures, UsageSeal, WindowFrozen};

const KEPT_REPORTED: usize = 64;
const KEPT_LIVES_WINDOWS: u64 = 2_880;

/// Usage windows, as folded from the log.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WindowTable {
    /// Requests that the seals have covered.
    pub coverage: Coverage,
    /// The last window that was frozen; windows are frozen in rising order.
    pub last_frozen: Option<u64>,
    /// Windows with a seal or frozen figures.
    pub windows: BTreeMap<u64, WindowState>,
}

/// What is known of a window.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WindowState {
    /// Frozen figures.
    pub frozen: Option<WindowFrozen>,
    /// Set once the platform has acknowledged the figures.
    pub reported: bool,
    /// Figures by data centre.
    pub seals: BTreeMap<Dc, SealedFigures>,
}

/// Figures of a data centre in a window.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SealedFigures {
    /// The figures.
    pub figures: Vec<UsageFigures>,
    /// Where the seal stands in the log.
    pub offset: Offset,
}

impl WindowTable {
    /// Takes in a seal and tells whether it counts: the first one of its data centre in a window
    /// that is not frozen, covering only requests that no other seal has covered.
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

    /// Takes in frozen figures and tells whether they count: under the term of the current holder, in
    /// rising order of windows without passing one that has seals, and equal to the sum of the seals.
    pub fn freeze(&mut self, frozen: &WindowFrozen, holder: Option<Term>) -> bool {
        let counts = holder == Some(frozen.term)
            && self.is_open(frozen.window)
            && self.is_oldest(frozen.window)
            && frozen.figures == self.sum(frozen.window);
        if !counts {
            return false;
        }
        self.last_frozen = Some(frozen.window);
        let state = self.windows.entry(frozen.window).or_default();
        state.frozen = Some(frozen.clone());
        let oldest = frozen.window.saturating_sub(KEPT_LIVES_WINDOWS);
        self.coverage.forget_before(oldest);
        true
    }

    /// Notes that a window's figures were acknowledged and tells whether that is news.
    pub fn report(&mut self, window: u64) -> bool {
        let Some(state) = self.windows.get_mut(&window) else {
            return false;
        };
        if state.frozen.is_none() || state.reported {
            return false;
        }
        state.reported = true;
        self.forget_reported();
        true
    }

    /// Tells whether a window still takes seals.
    pub fn is_open(&self, window: u64) -> bool {
        self.last_frozen.is_none_or(|last| window > last)
    }

    /// Tells whether a data centre has sealed a window.
    pub fn is_sealed(&self, window: u64, dc: &Dc) -> bool {
        self.windows
            .get(&window)
            .is_some_and(|state| state.seals.contains_key(dc))
    }

    /// Adds the seals of a window up, in order of workspace and service.
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

    /// Returns frozen windows that are not yet acknowledged, oldest first.
    pub fn unreported(&self) -> impl Iterator<Item = &WindowFrozen> {
        self.windows
            .values()
            .filter(|state| !state.reported)
            .filter_map(|state| state.frozen.as_ref())
    }

    fn is_oldest(&self, window: u64) -> bool {
        let older = self.windows.range(..window);
        older.into_iter().all(|(_, state)| state.frozen.is_some())
    }

    fn forget_reported(&mut self) {
        let reported = self.windows.values().filter(|state| state.reported).count();
        let surplus = reported.saturating_sub(KEPT_REPORTED);
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

/// Adds figures up by workspace and service, in that order.
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
