//! Time limits of the promises.

use godwitspool_types::Millis;

/// Time limits of the promises.
///
/// ```
/// use godwitspool_history::Bounds;
/// use godwitspool_types::Millis;
///
/// assert_eq!(Bounds::default().withdrawn, Millis(3_000));
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time from the acceptance of a configuration until it is in force everywhere; 9 s by default.
    pub in_force: Millis,
    /// Time from the start of a target's leaving until it gets no new work; 3 s by default.
    pub leaving: Millis,
    /// Time from the withdrawal of a key until it stops working; 3 s by default.
    pub withdrawn: Millis,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            in_force: Millis(9_000),
            leaving: Millis(3_000),
            withdrawn: Millis(3_000),
        }
    }
}
