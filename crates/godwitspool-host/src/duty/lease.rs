use godwitspool_types::Millis;

/// A host's lease on the duties, by the clock that leases are measured by.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Lease {
    /// Fencing token of the term.
    pub epoch: u64,
    /// End of the lease, unless it is extended before.
    pub until: Millis,
}

impl Lease {
    /// Returns the lease after the store has dealt the duties to this host until `until`. A lease
    /// that is still valid is extended and keeps its epoch. After an expired one a new term begins
    /// under `epoch`, since another host may have held the duties meanwhile.
    ///
    /// Load pattern: a host is cut off for longer than its lease, another host takes over, and the
    /// duties are dealt to the first one again once it is back.
    ///
    /// ```
    /// use godwitspool_host::duty::Lease;
    /// use godwitspool_types::Millis;
    ///
    /// let first = Lease::renew(None, 12, Millis(2_000), Millis(0));
    /// let extended = Lease::renew(Some(first), 13, Millis(2_700), Millis(700));
    /// assert_eq!((extended.epoch, extended.until), (12, Millis(2_700)));
    /// let later = Lease::renew(Some(extended), 17, Millis(9_000), Millis(7_000));
    /// assert_eq!(later.epoch, 17);
    /// ```
    pub fn renew(held: Option<Self>, epoch: u64, until: Millis, now: Millis) -> Self {
        let held = held.filter(|held| held.is_valid(now));
        Self {
            epoch: held.map_or(epoch, |held| held.epoch),
            until,
        }
    }

    /// Returns whether the lease is valid.
    pub fn is_valid(&self, now: Millis) -> bool {
        now < self.until
    }
}
