//! The configuration and load of one target.

use godwitspool_types::{ClassName, Dc, ModelName, ServiceName, TargetName, WeightVersion};

use crate::Breaker;

/// Identifies a target within one process. It may be reused once the target is removed and has no
/// requests in flight.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TargetId(pub(crate) u32);

/// What the platform and the configuration say about a target.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TargetFacts {
    /// Class that gives its price, start time and reclaimability.
    pub class: ClassName,
    /// Cost per hour, in thousandths of the currency.
    pub cost: u64,
    /// Data centre in which it runs.
    pub dc: Dc,
    /// Model that it serves; empty for a plain service.
    pub model: ModelName,
    /// Whether the platform may reclaim it.
    pub reclaimable: bool,
    /// Qualified name of the service that it serves.
    pub service: ServiceName,
    /// Maximum number of requests that it runs at the same time.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub accepts_work: bool,
    /// Name by which the target is looked up.
    pub target: TargetName,
}

/// The load that a target reported.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    /// Number of requests that run or wait on the target, from all hosts.
    pub busy: u32,
    /// Weight version that the target serves.
    pub weights: WeightVersion,
}

/// Weight of a new report in the moving mean of the load from other hosts.
const REPORT_SMOOTHING: f32 = 0.05;

/// A target with its load.
#[derive(Clone, Debug, Default)]
pub(crate) struct Target {
    pub(crate) breaker: Breaker,
    pub(crate) facts: TargetFacts,
    /// Set when the target is no longer listed. Its entry stays until its last request ends.
    pub(crate) gone: bool,
    pub(crate) hash: u64,
    /// Number of requests from other hosts, estimated from the last reports.
    pub(crate) others: u32,
    /// Moving mean of the requests from other hosts; `None` before the first report.
    pub(crate) others_mean: Option<f32>,
    /// This host's requests in flight.
    pub(crate) own: u32,
    /// This host's requests in flight when the last report arrived.
    pub(crate) own_before: u32,
    pub(crate) weights: WeightVersion,
}

impl Target {
    /// Returns the load: the reported requests of other hosts and this host's current requests.
    pub(crate) fn load(&self) -> u32 {
        self.others + self.own
    }

    /// Returns the load in thousandths of the slots.
    pub(crate) fn fill(&self) -> u32 {
        self.load() * 1_000 / self.facts.slots.max(1)
    }

    /// Applies a report. Reports lag, so this one contains this host's requests as they were at
    /// about the time of the previous report.
    pub(crate) fn report(&mut self, report: &LoadReport) {
        let others = report.busy.saturating_sub(self.own_before) as f32;
        // Without the mean, all hosts would change their choice together after each report and the
        // load would oscillate.
        let mean = self.others_mean.unwrap_or(others);
        let mean = mean + (others - mean) * REPORT_SMOOTHING;
        self.others_mean = Some(mean);
        self.others = mean.round() as u32;
        self.own_before = self.own;
        if self.weights != report.weights {
            self.weights = report.weights.clone();
        }
    }
}
