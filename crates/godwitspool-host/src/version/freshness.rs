use godwitspool_types::Millis;

/// How current the copy of the targets' entries is. Times are by the lease clock, which counts the
/// time that the host was suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    /// When the newest successful read began; `None` before the first one.
    confirmed: Option<Millis>,
}

impl Freshness {
    /// Records that a read of the entries that began at `began` succeeded.
    pub fn confirm(&mut self, began: Millis) {
        self.confirmed = self.confirmed.max(Some(began));
    }

    /// Returns how old the newest read is; `None` before the first one.
    ///
    /// ```
    /// use godwitspool_host::version::Freshness;
    /// use godwitspool_types::Millis;
    ///
    /// let mut freshness = Freshness::default();
    /// assert_eq!(freshness.age(Millis(700)), None);
    /// freshness.confirm(Millis(500));
    /// assert_eq!(freshness.age(Millis(700)), Some(Millis(200)));
    /// ```
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.confirmed.map(|confirmed| now - confirmed)
    }
}
