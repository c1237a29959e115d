use std::collections::HashMap;

use godwitspool_types::{Millis, TargetName};

/// Fraction of the time for which a leaving target serves on during which it gets requests that no
/// other target can take. The rest is for requests on their way.
const LAST_RESORT_FRACTION: f64 = 0.5;
/// Time after which a target without an entry is forgotten. Entries that lapse come back sooner.
const RETENTION: Millis = Millis(600_000);

/// Targets that have said in a response that they leave.
///
/// Load pattern: a target's entry still says that it is ready, because the store or this host's way to
/// it is disturbed, and callers go on sending. What the target says of itself is newer than any entry of
/// the same start, so neither an entry nor the lack of one revokes it.
///
/// ```
/// use godwitspool_host::version::Leaving;
/// use godwitspool_types::{Millis, TargetName};
///
/// let mut leaving = Leaving::new(Millis(2_000));
/// let name = TargetName::from("t-1");
/// assert!(leaving.observe(&name, 7, Millis(100)));
/// assert!(leaving.includes(&name, 7));
/// assert!(leaving.is_last_resort(&name, 7, Millis(1_000)));
/// assert!(!leaving.is_last_resort(&name, 7, Millis(1_100)));
/// // Another start of the target isn't concerned.
/// assert!(!leaving.includes(&name, 8));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Leaving {
    marks: HashMap<TargetName, Mark>,
    /// Time after the first such response during which a target may still get requests.
    last_resort: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Mark {
    /// Start of the target that leaves.
    born: u64,
    /// Time of the first response that said so.
    since: Millis,
}

impl Leaving {
    /// Creates an empty set. `drain` is the time for which a leaving target serves on.
    pub fn new(drain: Millis) -> Self {
        Self {
            marks: HashMap::new(),
            last_resort: Millis((drain.0 as f64 * LAST_RESORT_FRACTION) as u64),
        }
    }

    /// Records that a target has said that it leaves. Returns whether that is news.
    pub fn observe(&mut self, name: &TargetName, born: u64, now: Millis) -> bool {
        let known = self.marks.get(name);
        if known.is_some_and(|mark| mark.born >= born) {
            return false;
        }
        let mark = Mark { born, since: now };
        self.marks.insert(name.clone(), mark);
        true
    }

    /// Returns whether this start of a target leaves.
    pub fn includes(&self, name: &TargetName, born: u64) -> bool {
        self.marks.get(name).is_some_and(|mark| mark.born == born)
    }

    /// Returns whether a target that leaves may still get a request that no other target can take.
    pub fn is_last_resort(&self, name: &TargetName, born: u64, now: Millis) -> bool {
        let mark = self.marks.get(name).filter(|mark| mark.born == born);
        mark.is_some_and(|mark| now - mark.since < self.last_resort)
    }

    /// Forgets targets that are not `known` any more and have been leaving for long.
    pub fn prune(&mut self, known: impl Fn(&TargetName) -> bool, now: Millis) {
        self.marks
            .retain(|name, mark| known(name) || now - mark.since < RETENTION);
    }
}
