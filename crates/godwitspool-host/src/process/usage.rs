use std::{
    collections::{BTreeMap, HashMap},
    sync::PoisonError,
    time::Duration,
};

use godwitspool_sync::{Mutex, MutexGuard};
use godwitspool_types::Workspace;

/// Number of this host's requests by window and workspace, until they are taken for the store.
#[derive(Debug)]
pub struct UsageCounts {
    length_ms: u64,
    windows: Mutex<BTreeMap<u64, HashMap<Workspace, u64>>>,
}

impl UsageCounts {
    /// Creates empty counts for windows of the given length, at least 1 ms.
    pub fn new(length: Duration) -> Self {
        Self {
            length_ms: (length.as_millis() as u64).max(1),
            windows: Mutex::default(),
        }
    }

    /// Returns the number of the window that contains a Unix time.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use godwitspool_host::process::UsageCounts;
    ///
    /// assert_eq!(UsageCounts::new(Duration::from_secs(5)).window(12_000), 2);
    /// ```
    pub fn window(&self, unix_ms: u64) -> u64 {
        unix_ms / self.length_ms
    }

    /// Returns the Unix time in milliseconds at which a window ends.
    pub fn end_ms(&self, window: u64) -> u64 {
        (window + 1) * self.length_ms
    }

    /// Counts a request that started at a Unix time.
    pub fn count(&self, workspace: &Workspace, unix_ms: u64) {
        let window = self.window(unix_ms);
        let mut windows = self.lock();
        let counts = windows.entry(window).or_default();
        *counts.entry(workspace.clone()).or_default() += 1;
    }

    /// Removes and returns the counts of windows that ended at or before a Unix time. `u64::MAX`
    /// takes all windows.
    pub fn take_ended(&self, unix_ms: u64) -> Vec<(u64, Vec<(Workspace, u64)>)> {
        let mut windows = self.lock();
        let open = windows.split_off(&self.window(unix_ms));
        let ended = std::mem::replace(&mut *windows, open);
        let sorted = |counts: HashMap<Workspace, u64>| {
            let mut counts: Vec<_> = counts.into_iter().collect();
            counts.sort();
            counts
        };
        ended
            .into_iter()
            .map(|(window, counts)| (window, sorted(counts)))
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, HashMap<Workspace, u64>>> {
        self.windows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
