//! The order in which the versions of a service's model were published.

use godwitspool_types::WeightVersion;
use serde::{Deserialize, Serialize};

use crate::Sample;

const KEPT_VERSIONS: usize = 256;

/// How a version or a sample stands to the staleness bound.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Freshness {
    /// Within the bound.
    Fresh {
        /// Versions published since.
        age: u32,
    },
    /// A version that isn't known here: newer than the configuration read so far, or forgotten.
    Unknown,
    /// Beyond the bound.
    TooOld {
        /// Versions published since.
        age: u32,
    },
}

/// Versions of one service's model in order of publication.
///
/// The owner keeps one for each qualified service, so that equal names in two fleets stay apart.
/// A version that is published again counts from its last publication: a roll-back makes it new.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionOrder {
    versions: Vec<WeightVersion>,
}

impl VersionOrder {
    /// Appends a version; the newest version again changes nothing.
    pub fn publish(&mut self, version: &WeightVersion) {
        if self.versions.last() == Some(version) {
            return;
        }
        self.versions.retain(|old| old != version);
        self.versions.push(version.clone());
        if self.versions.len() > KEPT_VERSIONS {
            self.versions.remove(0);
        }
    }

    /// Appends the versions that another order has after this one's newest.
    pub fn catch_up(&mut self, other: &Self) {
        let newest = self.versions.last();
        let common = other
            .versions
            .iter()
            .rposition(|version| Some(version) == newest);
        let is_ahead = other
            .newest()
            .is_some_and(|newest| self.versions.contains(newest));
        let start = match common {
            Some(common) => common + 1,
            None if is_ahead => return,
            None => 0,
        };
        other.versions[start..]
            .iter()
            .for_each(|version| self.publish(version));
    }

    /// Returns the newest version.
    pub fn newest(&self) -> Option<&WeightVersion> {
        self.versions.last()
    }

    /// Judges one version against a bound in versions.
    pub fn freshness(&self, version: &WeightVersion, bound: u32) -> Freshness {
        match self
            .versions
            .iter()
            .rev()
            .position(|known| known == version)
        {
            None => Freshness::Unknown,
            Some(age) if age as u32 <= bound => Freshness::Fresh { age: age as u32 },
            Some(age) => Freshness::TooOld { age: age as u32 },
        }
    }

    /// Judges a sample by the worst of its spans: the oldest version counts. While no version is
    /// published there is nothing to lag behind.
    ///
    /// ```
    /// use godwitspool_rollout::{Freshness, Sample, SampleId, VersionOrder};
    ///
    /// let mut order = VersionOrder::default();
    /// ["v1", "v2", "v3"].map(|version| order.publish(&version.into()));
    /// let mut sample = Sample::new(SampleId::default());
    /// sample.push("a", &"v1".into());
    /// sample.push("b", &"v3".into());
    /// assert_eq!(order.sample_freshness(&sample, 1), Freshness::TooOld { age: 2 });
    /// ```
    pub fn sample_freshness(&self, sample: &Sample, bound: u32) -> Freshness {
        if self.versions.is_empty() {
            return Freshness::Fresh { age: 0 };
        }
        let spans = sample.spans.iter();
        let judged = spans.map(|span| self.freshness(&span.version, bound));
        judged.max().unwrap_or(Freshness::Fresh { age: 0 })
    }
}
