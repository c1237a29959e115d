use godwitspool_types::Millis;

/// Time after the store's return within which entries that expired during its outage are written
/// again, as the platform states it.
const ENTRY_RETURN: Millis = Millis(2_000);
/// Maximum time from the last read that failed until a removed entry counts as removed on purpose. It
/// bounds the use of a target that left during an outage that only this host saw.
const MAX_LAPSE: Millis = Millis(3_000);

/// Decides whether the removal of a target's entry may be due to an outage of the store.
///
/// Load pattern: during an outage the entries of all targets expire, and all are read as removed at
/// once. Dropping the targets would refuse every request until they have registered again. Later
/// removals are notices of targets that leave, which must be followed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lapse {
    /// When the last read that failed began, and whether reads have succeeded since.
    failed: Option<(Millis, bool)>,
    /// Until when removed entries may come back.
    until: Option<Millis>,
}

impl Lapse {
    /// Records a read that began at `began` and failed.
    pub fn fail(&mut self, began: Millis) {
        self.failed = Some((began, false));
    }

    /// Records a read that succeeded.
    pub fn succeed(&mut self, now: Millis) {
        if let Some((began, succeeded @ false)) = &mut self.failed {
            *succeeded = true;
            self.until = Some((now + ENTRY_RETURN).min(*began + MAX_LAPSE));
        }
    }

    /// Returns until when a target is kept whose entry is read as removed now; `None` if the removal
    /// means that the target leaves.
    ///
    /// ```
    /// use godwitspool_host::version::Lapse;
    /// use godwitspool_types::Millis;
    ///
    /// let mut lapse = Lapse::default();
    /// assert_eq!(lapse.keep_until(Millis(900)), None);
    /// lapse.fail(Millis(1_000));
    /// lapse.succeed(Millis(1_700));
    /// assert_eq!(lapse.keep_until(Millis(1_700)), Some(Millis(3_700)));
    /// assert_eq!(lapse.keep_until(Millis(3_700)), None);
    /// ```
    pub fn keep_until(&self, now: Millis) -> Option<Millis> {
        self.until.filter(|until| now < *until)
    }
}
