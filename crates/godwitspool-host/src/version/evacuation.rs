use std::collections::{BTreeSet, HashSet};

use godwitspool_types::{Dc, ServiceName};

/// Data centres that the operators have evacuated: no new work goes to a target there.
///
/// Load pattern: a data centre is about to lose its power or its network, and everything that is sent
/// there from then on is lost or late. The order comes as a key, may be written or removed several times,
/// and may name a data centre whose targets aren't known yet. The newest record of a key counts, so the
/// state of each data centre is replaced, never counted.
///
/// ```
/// use godwitspool_host::version::Evacuations;
/// use godwitspool_types::Dc;
///
/// let mut evacuations = Evacuations::default();
/// let dc = Dc::from("north");
/// assert!(evacuations.set(&dc, true));
/// assert!(!evacuations.set(&dc, true), "written twice");
/// assert!(evacuations.includes(&dc));
/// assert!(evacuations.set(&dc, false));
/// assert!(!evacuations.includes(&dc));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    dcs: HashSet<Dc>,
    /// Services all of whose targets are in evacuated data centres, as last reported.
    unserved: BTreeSet<ServiceName>,
}

impl Evacuations {
    /// Evacuates or restores a data centre. Returns whether that is news.
    pub fn set(&mut self, dc: &Dc, active: bool) -> bool {
        if active {
            self.dcs.insert(dc.clone())
        } else {
            self.dcs.remove(dc)
        }
    }

    /// Returns whether a data centre is evacuated.
    pub fn includes(&self, dc: &Dc) -> bool {
        self.dcs.contains(dc)
    }

    /// Returns whether no data centre is evacuated and no service was without targets.
    pub fn is_idle(&self) -> bool {
        self.dcs.is_empty() && self.unserved.is_empty()
    }

    /// Records the services that have no target left. Returns those that have just lost their last one, and
    /// those that have one again.
    pub fn update_unserved(
        &mut self,
        unserved: BTreeSet<ServiceName>,
    ) -> (Vec<ServiceName>, Vec<ServiceName>) {
        let lost = unserved.difference(&self.unserved).cloned().collect();
        let regained = self.unserved.difference(&unserved).cloned().collect();
        self.unserved = unserved;
        (lost, regained)
    }
}
