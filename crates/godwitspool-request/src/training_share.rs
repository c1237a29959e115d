//! How much of an engine training may take, so that headroom is left for the interactive.

use godwitspool_types::Millis;

/// The training share of one engine, kept by the one host that places training work on it.
///
/// Headroom is what interactive requests take on average, their usual spread, and a reserve. Engines
/// admit whatever they get, so training is cut as soon as less than half of the reserve is free.
///
/// ```
/// use godwitspool_request::TrainingShare;
/// use godwitspool_types::Millis;
///
/// let mut share = TrainingShare::new(16);
/// share.observe(0, Millis(0));
/// assert_eq!(share.room(10), 2);
/// assert_eq!(share.cuts(12), 0);
/// share.observe(8, Millis(100));
/// assert_eq!(share.cuts(12), 6);
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct TrainingShare {
    interactive: u32,
    mean: f64,
    seen: Millis,
    slots: u32,
    spread: f64,
}

impl TrainingShare {
    /// Smallest part of the slots that is kept free of training.
    const LEAST: f64 = 0.25;
    /// Part of the slots that is kept free beside interactive requests.
    const RESERVE: f64 = 0.125;
    /// Span in which the means take up most of a change.
    const MEMORY: Millis = Millis(5_000);

    /// Starts with the least headroom.
    pub fn new(slots: u32) -> Self {
        Self {
            interactive: 0,
            mean: 0.0,
            seen: Millis::ZERO,
            slots,
            spread: 0.0,
        }
    }

    /// Records how many interactive requests the engine runs.
    pub fn observe(&mut self, interactive: u32, now: Millis) {
        let age = (now - self.seen).0 as f64 / Self::MEMORY.0 as f64;
        let weight = 1.0 - (-age).exp();
        let gap = f64::from(interactive) - self.mean;
        self.spread += (gap.abs() - self.spread) * weight;
        self.mean += gap * weight;
        self.seen = now;
        self.interactive = interactive;
    }

    /// Returns how many more training streams the engine may get beside those it runs.
    pub fn room(&self, training: u32) -> u32 {
        let busy = self.interactive + training + self.reserve();
        let free = self.slots.saturating_sub(busy);
        self.allowed().saturating_sub(training).min(free)
    }

    /// Returns how many of the training streams that the engine runs are to be cut and resumed
    /// later.
    pub fn cuts(&self, training: u32) -> u32 {
        let busy = self.interactive + training;
        let free = self.slots.saturating_sub(busy);
        if free * 2 >= self.reserve() {
            return 0;
        }
        (busy + self.reserve())
            .saturating_sub(self.slots)
            .min(training)
    }

    fn allowed(&self) -> u32 {
        self.slots.saturating_sub(self.headroom())
    }

    fn headroom(&self) -> u32 {
        let least = f64::from(self.slots) * Self::LEAST;
        let wanted = self.mean + self.spread + f64::from(self.reserve());
        (wanted.max(least).ceil() as u32).min(self.slots)
    }

    fn reserve(&self) -> u32 {
        (f64::from(self.slots) * Self::RESERVE).ceil() as u32
    }
}
