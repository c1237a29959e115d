//! Times within which promises are to be met.

use godwitspool_types::Millis;

/// Times within which promises are to be met.
///
/// ```
/// use godwitspool_history::Bounds;
/// use godwitspool_types::Millis;
///
/// assert_eq!(Bounds::default().withdrawn, Millis(3_000));
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// From the acceptance of a configuration until it is in force everywhere.
    pub in_force: Millis,
    /// From the moment that a target leaves until it gets no new work.
    pub leaving: Millis,
    /// From the withdrawal of a key until it stops working.
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
