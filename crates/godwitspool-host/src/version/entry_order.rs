use std::collections::HashMap;

use godwitspool_types::{Millis, TargetName};

/// Time within which the store may still do a write that it has left unanswered.
const LATE_WRITE: Millis = Millis(15_000);

/// The newest entry of each target, by the target's own count.
///
/// Load pattern: the store does a target's write seconds after it gave no answer, behind newer ones of the target. An
/// entry that says ready then takes the place of one that says draining, or of one that was removed, and the target
/// gets requests until its next entry, or until it is gone.
///
/// ```
/// use godwitspool_host::version::EntryOrder;
/// use godwitspool_types::{Millis, TargetName};
///
/// let mut order = EntryOrder::default();
/// let name = TargetName::from("t-1");
/// let mut is_newest = |born, seq, now| order.is_newest(&name, born, Some(seq), Millis(now));
/// assert!(is_newest(7, 4, 0));
/// assert!(!is_newest(7, 3, 2_000));
/// assert!(is_newest(7, 4, 2_000));
/// // A new start counts anew, and entries of the one before are late.
/// assert!(is_newest(8, 1, 3_000));
/// assert!(!is_newest(7, 5, 4_000));
/// // Nothing is late for so long.
/// assert!(is_newest(7, 5, 30_000));
/// ```
#[derive(Clone, Debug, Default)]
pub struct EntryOrder {
    newest: HashMap<TargetName, Newest>,
}

#[derive(Clone, Copy, Debug)]
struct Newest {
    born: u64,
    seq: u64,
    read_at: Millis,
}

impl EntryOrder {
    /// Records an entry that was read. Returns whether none of the target's own newer ones was read before. Entries
    /// that don't tell their start or number have no order.
    pub fn is_newest(
        &mut self,
        name: &TargetName,
        born: u64,
        seq: Option<u64>,
        now: Millis,
    ) -> bool {
        let Some(seq) = seq.filter(|_| born > 0) else {
            return true;
        };
        let known = self.newest.get(name);
        let known = known.filter(|known| now - known.read_at < LATE_WRITE);
        if known.is_some_and(|known| (known.born, known.seq) > (born, seq)) {
            return false;
        }
        let newest = Newest {
            born,
            seq,
            read_at: now,
        };
        self.newest.insert(name.clone(), newest);
        true
    }

    /// Forgets entries behind which no write can be late any more.
    pub fn prune(&mut self, now: Millis) {
        self.newest
            .retain(|_, newest| now - newest.read_at < LATE_WRITE);
    }
}
