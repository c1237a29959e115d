use godwitspool_types::Millis;

/// How long a host may answer by what it owns. Times are by the lease clock, which counts the time that the host
/// was suspended.
///
/// Load pattern: a host is suspended for longer than its membership lasts, and wakes up while the group can't be
/// reached: another host has owned its partitions meanwhile, and nobody tells it. An outage of the store
/// must not stop reads, so they go on while attempts to renew fail without a gap.
///
/// ```
/// use godwitspool_host::batch::OwnershipLease;
/// use godwitspool_types::Millis;
///
/// let ttl = Millis(2_000);
/// let mut lease = OwnershipLease::default();
/// lease.renew(Millis(1_000), ttl);
/// assert!(lease.is_valid(Millis(3_000)));
/// assert!(!lease.is_valid(Millis(3_001)));
/// lease.fail(Millis(1_700), Millis(2_400), ttl);
/// assert!(lease.is_valid(Millis(4_400)), "an outage");
/// lease.fail(Millis(9_000), Millis(9_700), ttl);
/// assert!(!lease.is_valid(Millis(9_700)), "suspended before the attempt");
/// lease.renew(Millis(9_800), ttl);
/// assert!(lease.is_valid(Millis(9_900)));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct OwnershipLease {
    /// When it ends; `None` before the first renewal, where it has no end.
    until: Option<Millis>,
}

impl OwnershipLease {
    /// Records that the store has confirmed a renewal that was sent at `sent`.
    pub fn renew(&mut self, sent: Millis, ttl: Millis) {
        self.until = Some(sent + ttl);
    }

    /// Records that an attempt to renew that began at `began` has failed.
    pub fn fail(&mut self, began: Millis, now: Millis, ttl: Millis) {
        if self.is_valid(began) {
            self.until = self.until.map(|until| until.max(now + ttl));
        }
    }

    /// Returns whether the host may answer by what it owns.
    pub fn is_valid(&self, now: Millis) -> bool {
        self.until.is_none_or(|until| now <= until)
    }
}
