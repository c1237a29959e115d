//! Publication order of a model's weight versions.

use godwitspool_types::WeightVersion;
use serde::{Deserialize, Serialize};

use crate::Sample;

const MAX_VERSIONS: usize = 256;

/// Whether a version or a sample is within the staleness bound. Later variants are worse.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Freshness {
    /// Within the bound.
    Fresh {
        /// Number of versions published since.
        age: u32,
    },
    /// The version is not in the order: it is newer than the configuration read so far, or so old
    /// that it was evicted.
    Unknown,
    /// Beyond the bound.
    TooOld {
        /// Number of versions published since.
        age: u32,
    },
}

/// The most recent weight versions, at most 256, of one service's model, in order of publication.
///
/// The caller keeps one order for each qualified service, so that equal version names in two fleets
/// are not confused. The age of a version counts from its last publication, so a version that is
/// rolled back to becomes the newest one.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionOrder {
    versions: Vec<WeightVersion>,
}

impl VersionOrder {
    /// Makes a version the newest one. Publishing the newest version again has no effect.
    pub fn publish(&mut self, version: &WeightVersion) {
        if self.versions.last() == Some(version) {
            return;
        }
        self.versions.retain(|old| old != version);
        self.versions.push(version.clone());
        if self.versions.len() > MAX_VERSIONS {
            self.versions.remove(0);
        }
    }

    /// Appends the versions that follow this order's newest one in another order.
    ///
    /// If the other order does not contain this order's newest version, all its versions are
    /// appended, unless this order already contains the other one's newest version.
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

    /// Returns the newest version, or `None` if none was published.
    pub fn newest(&self) -> Option<&WeightVersion> {
        self.versions.last()
    }

    /// Compares the age of one version with `bound`, the maximum number of newer versions.
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

    /// Returns the freshness of a sample, which is the worst freshness of its spans.
    ///
    /// A sample is always fresh while no version is published.
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
        let freshnesses = spans.map(|span| self.freshness(&span.version, bound));
        freshnesses.max().unwrap_or(Freshness::Fresh { age: 0 })
    }
}
