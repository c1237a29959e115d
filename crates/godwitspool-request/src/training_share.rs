//! How many of an engine's slots training may use, so that interactive requests keep headroom.

use godwitspool_types::Millis;

/// The training share of one engine, kept by the only host that places training work on it.
///
/// The headroom is the mean number of interactive requests plus their mean deviation plus a
/// reserve. An engine admits every request it receives, so training streams are cut as soon as less
/// than half of the reserve is free.
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
    observed_at: Millis,
    slots: u32,
    deviation: f64,
}

impl TrainingShare {
    /// Smallest fraction of the slots that is kept free of training.
    const MIN_HEADROOM_FRACTION: f64 = 0.25;
    /// Fraction of the slots that is kept free in addition to those of interactive requests.
    const RESERVE_FRACTION: f64 = 0.125;
    /// Time constant of the moving means.
    const TIME_CONSTANT: Millis = Millis(5_000);

    /// Creates the share of an engine with this many slots; it starts with the minimum headroom.
    pub fn new(slots: u32) -> Self {
        Self {
            interactive: 0,
            mean: 0.0,
            observed_at: Millis::ZERO,
            slots,
            deviation: 0.0,
        }
    }

    /// Records how many interactive requests the engine runs at `now`.
    pub fn observe(&mut self, interactive: u32, now: Millis) {
        let age = (now - self.observed_at).0 as f64 / Self::TIME_CONSTANT.0 as f64;
        let weight = 1.0 - (-age).exp();
        let difference = f64::from(interactive) - self.mean;
        self.deviation += (difference.abs() - self.deviation) * weight;
        self.mean += difference * weight;
        self.observed_at = now;
        self.interactive = interactive;
    }

    /// Returns how many training streams may start on the engine while it runs `training` of them.
    pub fn room(&self, training: u32) -> u32 {
        let busy = self.interactive + training + self.reserve();
        let free = self.slots.saturating_sub(busy);
        self.allowed().saturating_sub(training).min(free)
    }

    /// Returns how many of the `training` streams that the engine runs must be cut, to be resumed
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
        let min_headroom = f64::from(self.slots) * Self::MIN_HEADROOM_FRACTION;
        let wanted = self.mean + self.deviation + f64::from(self.reserve());
        (wanted.max(min_headroom).ceil() as u32).min(self.slots)
    }

    fn reserve(&self) -> u32 {
        (f64::from(self.slots) * Self::RESERVE_FRACTION).ceil() as u32
    }
}
