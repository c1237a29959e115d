//! The state of a lease, folded from the log.

use godwitspool_types::{Offset, Term};
use serde::{Deserialize, Serialize};

use crate::{HostLife, LeaseRecord, LeaseStep};

/// A lease as folded from the log. It is the same on every host that has read up to the same
/// offset.
///
/// A claim names the lease record that it follows and takes effect only while that record is the
/// last, so a plain append acts as a compare-and-set. The claim's offset becomes the term and the
/// fencing token.
///
/// ```
/// use godwitspool_types::{Offset, Term};
/// use godwitspool_version::{HostLife, Lease, LeaseKind, LeaseRecord, LeaseStep};
///
/// let mut lease = Lease::default();
/// let claim = LeaseRecord {
///     holder: HostLife::default(),
///     lease: LeaseKind::Orders,
///     step: LeaseStep::Claim { after: None },
/// };
/// assert!(lease.apply(Offset(4), &claim));
/// assert!(!lease.apply(Offset(5), &claim));
/// assert_eq!(lease.term(), Some(Term(4)));
/// ```
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Lease {
    /// The holder; `None` before the first claim and after a release.
    pub holder: Option<LeaseHolder>,
    /// Offset of the last lease record that took effect.
    pub last: Option<Offset>,
}

/// The holder of a lease.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct LeaseHolder {
    /// Host and incarnation that hold the lease.
    pub life: HostLife,
    /// Term of the lease, which is the offset of the claim.
    pub term: Term,
}

impl Lease {
    /// Applies a record and returns whether it takes effect.
    pub fn apply(&mut self, offset: Offset, record: &LeaseRecord) -> bool {
        let counts = match &record.step {
            LeaseStep::Claim { after } => *after == self.last,
            LeaseStep::Renew(term) | LeaseStep::Release(term) => {
                self.is_held(&record.holder, *term)
            }
        };
        if !counts {
            return false;
        }
        self.last = Some(offset);
        match &record.step {
            LeaseStep::Claim { .. } => {
                self.holder = Some(LeaseHolder {
                    life: record.holder.clone(),
                    term: Term(offset.0),
                });
            }
            LeaseStep::Renew(_) => {}
            LeaseStep::Release(_) => self.holder = None,
        }
        true
    }

    /// Returns the term of the holder, if there is one.
    pub fn term(&self) -> Option<Term> {
        self.holder.as_ref().map(|holder| holder.term)
    }

    fn is_held(&self, life: &HostLife, term: Term) -> bool {
        self.holder
            .as_ref()
            .is_some_and(|holder| holder.term == term && holder.life == *life)
    }
}
