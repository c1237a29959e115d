use godwitspool_types::Millis;

/// Time within which a request must be sent to the target that was chosen for it.
pub const CHOICE_LIFETIME: Millis = Millis(300);

/// How current the copy of the targets' entries is. Times are by the lease clock, which counts the
/// time that the host was suspended.
///
/// Load pattern: reads of the entries hang, because connections fall silent or a cut heals, while
/// targets are replaced one after the other. A choice by entries that old would send requests to
/// targets that have left. An outage of the store must not stop the service, so a choice may rest on
/// old entries while reads fail; but the failure must be as recent as entries would have to be.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    /// Age up to which entries, and failed reads of them, count; `None` is no limit.
    max_age: Option<Millis>,
    /// When the newest successful read began; `None` before the first one.
    confirmed: Option<Millis>,
    /// When the newest failed attempt to read began, if any has failed.
    failed: Option<Millis>,
    now: Millis,
}

/// What a choice of a target rests on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Basis {
    /// The entries have been read recently.
    Current,
    /// Neither the entries nor a failed read is recent: a read is still under way, or the host was
    /// suspended. No target may be chosen.
    Stale,
    /// The entries are old, and a recent attempt to read newer ones has failed.
    Unreachable,
}

impl Freshness {
    /// Creates the state before the first read, with the maximum age of what choices rest on.
    pub fn new(max_age: Millis) -> Self {
        Self {
            max_age: Some(max_age),
            ..Self::default()
        }
    }

    /// Sets the current time, and when the newest failed attempt to read began.
    pub fn advance(&mut self, now: Millis, failed: Option<Millis>) {
        self.now = now;
        self.failed = self.failed.max(failed);
    }

    /// Records that a read of the entries that began at `began` succeeded.
    pub fn confirm(&mut self, began: Millis) {
        self.confirmed = self.confirmed.max(Some(began));
    }

    /// Returns how old the newest read is; `None` before the first one.
    pub fn age(&self) -> Option<Millis> {
        self.confirmed.map(|confirmed| self.now - confirmed)
    }

    /// Returns what a choice rests on now.
    ///
    /// ```
    /// use godwitspool_host::version::{Basis, Freshness};
    /// use godwitspool_types::Millis;
    ///
    /// let mut freshness = Freshness::new(Millis(1_500));
    /// freshness.confirm(Millis(100));
    /// freshness.advance(Millis(1_600), None);
    /// assert_eq!(freshness.basis(), Basis::Current);
    /// freshness.advance(Millis(1_601), None);
    /// assert_eq!(freshness.basis(), Basis::Stale);
    /// freshness.advance(Millis(2_000), Some(Millis(1_200)));
    /// assert_eq!(freshness.basis(), Basis::Unreachable);
    /// ```
    pub fn basis(&self) -> Basis {
        let Some(max_age) = self.max_age else {
            return Basis::Current;
        };
        let is_recent = |at: Option<Millis>| at.is_some_and(|at| self.now - at <= max_age);
        if is_recent(self.confirmed) {
            Basis::Current
        } else if is_recent(self.failed) {
            Basis::Unreachable
        } else {
            Basis::Stale
        }
    }
}
