//! How much of an engine training may take, so that headroom is left for the interactive.

use godwitspool_types::Millis;

/// The training share of one engine, kept by the one host that places training work on it.
///
/// Headroom follows the most interactive requests that were seen lately. Engines admit whatever
/// they get, so training is cut as soon as less than half of the headroom is free.
///
/// ```
/// use godwitspool_request::TrainingShare;
/// use godwitspool_types::Millis;
///
/// let mut share = TrainingShare::new(16);
/// share.observe(0, Millis(0));
/// assert_eq!(share.room(10), 2);
/// share.observe(8, Millis(100));
/// assert_eq!(share.cuts(12), 8);
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct TrainingShare {
    interactive: u32,
    peak: f64,
    seen: Millis,
    slots: u32,
}

impl TrainingShare {
    /// Smallest part of the slots that is kept free of training.
    const LEAST: f64 = 0.25;
    /// Headroom over the most interactive requests seen lately.
    const MARGIN: f64 = 1.5;
    /// Span after which a peak counts half.
    const HALF_LIFE: Millis = Millis(10_000);

    /// Starts with the least headroom.
    pub fn new(slots: u32) -> Self {
        Self {
            interactive: 0,
            peak: 0.0,
            seen: Millis::ZERO,
            slots,
        }
    }

    /// Records how many interactive requests the engine runs.
    pub fn observe(&mut self, interactive: u32, now: Millis) {
        let halvings = (now - self.seen).0 as f64 / Self::HALF_LIFE.0 as f64;
        self.peak = (self.peak * 0.5_f64.powf(halvings)).max(f64::from(interactive));
        self.seen = now;
        self.interactive = interactive;
    }

    /// Returns how many more training streams the engine may get beside those it runs.
    pub fn room(&self, training: u32) -> u32 {
        self.allowed().saturating_sub(training)
    }

    /// Returns how many of the training streams that the engine runs are to be cut and resumed
    /// later.
    pub fn cuts(&self, training: u32) -> u32 {
        let busy = self.interactive + training;
        let free = self.slots.saturating_sub(busy);
        let spare = self.headroom().saturating_sub(self.interactive);
        if busy > self.slots || free * 2 < spare {
            training.saturating_sub(self.allowed())
        } else {
            0
        }
    }

    fn allowed(&self) -> u32 {
        self.slots.saturating_sub(self.headroom())
    }

    fn headroom(&self) -> u32 {
        let least = f64::from(self.slots) * Self::LEAST;
        let wanted = (self.peak * Self::MARGIN).max(least);
        (wanted.ceil() as u32).min(self.slots)
    }
}
