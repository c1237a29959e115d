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
    /// that is still valid is extended and keeps its epoch. After an expired one a new term begins,
    /// since another host may have held the duties meanwhile. Its epoch is at least `epoch` and above
    /// that of the expired term, which the store would otherwise fence.
    ///
    /// Load pattern: a host is cut off for longer than its lease, or the store is away for all, and the
    /// duties are dealt to the host again, after another one has held them or in the same generation
    /// of the group.
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
    /// let again = Lease::renew(Some(later), 16, Millis(15_000), Millis(13_000));
    /// assert_eq!(again.epoch, 18);
    /// ```
    pub fn renew(held: Option<Self>, epoch: u64, until: Millis, now: Millis) -> Self {
        let epoch = match held {
            Some(held) if held.is_valid(now) => held.epoch,
            Some(held) => epoch.max(held.epoch + 1),
            None => epoch,
        };
        Self { epoch, until }
    }

    /// Ends the term. The next renewal begins another one.
    pub fn expire(&mut self) {
        self.until = Millis::ZERO;
    }

    /// Returns whether the lease is valid.
    pub fn is_valid(&self, now: Millis) -> bool {
        now < self.until
    }
}

/// What a host knows of earlier holders when it begins a term of the duties.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TermStart {
    /// Whether the store has confirmed that no other host began a term since this host's last one.
    pub uninterrupted: bool,
    /// Whether targets and the platform refuse lower fencing tokens.
    pub fenced: bool,
    /// When this host last acted, if it has held the duties before.
    pub last_action: Option<Millis>,
    /// Duration of the lease.
    pub lease: Millis,
    /// The current time.
    pub now: Millis,
}

impl TermStart {
    /// Returns the time from which on the host may act in the new term. A host that has held the duties
    /// before waits for one lease after its last action, so that holders never alternate within a lease.
    /// Without fencing, every new holder waits until the lease of an earlier one must have expired. No
    /// wait is needed if nobody else can have acted meanwhile.
    ///
    /// Load pattern: the store is away for all hosts for longer than a lease, and deals the duties to the
    /// same host again, while trainers wait for versions that no target has loaded.
    ///
    /// ```
    /// use godwitspool_host::duty::TermStart;
    /// use godwitspool_types::Millis;
    ///
    /// let taken_over = TermStart { lease: Millis(3_000), now: Millis(9_000), ..TermStart::default() };
    /// assert_eq!(taken_over.active_from(), Millis(12_000));
    /// let regained = TermStart { uninterrupted: true, ..taken_over };
    /// assert_eq!(regained.active_from(), Millis(9_000));
    /// ```
    pub fn active_from(&self) -> Millis {
        if self.uninterrupted {
            return self.now;
        }
        if !self.fenced {
            return self.now + self.lease;
        }
        let own = self.last_action.map(|last_action| last_action + self.lease);
        own.map_or(self.now, |own| own.max(self.now))
    }
}
