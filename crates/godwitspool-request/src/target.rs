//! What is known about one target.

use godwitspool_types::{ClassName, Dc, ModelName, ServiceName, TargetName, WeightVersion};

use crate::Breaker;

/// Short identity of a target within one process, valid while the target is known or works.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TargetId(pub(crate) u32);

/// What the platform and the configuration say about a target.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TargetFacts {
    /// Class.
    pub class: ClassName,
    /// Cost of an hour, in thousandths of the currency.
    pub cost: u64,
    /// Data centre.
    pub dc: Dc,
    /// Model that it serves; empty for plain services.
    pub model: ModelName,
    /// Whether the platform may reclaim it.
    pub reclaimable: bool,
    /// Service, qualified.
    pub service: ServiceName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub accepts_work: bool,
    /// Name.
    pub target: TargetName,
}

/// Load as a target reported it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    /// Requests that run or wait.
    pub busy: u32,
    /// Weight version in use.
    pub weights: WeightVersion,
}

/// Weight of a new report in the mean of the others' load.
const REPORT_WEIGHT: f32 = 0.05;

/// A target with its load.
#[derive(Clone, Debug, Default)]
pub(crate) struct Target {
    pub(crate) breaker: Breaker,
    pub(crate) facts: TargetFacts,
    /// Set once the target is no longer listed; it stays until its last request ends.
    pub(crate) gone: bool,
    pub(crate) hash: u64,
    /// Requests of other hosts, going by the last reports.
    pub(crate) others: u32,
    /// Mean of the others' requests; none before the first report.
    pub(crate) others_mean: Option<f32>,
    /// Own requests in flight.
    pub(crate) own: u32,
    /// Own requests in flight when the last report came.
    pub(crate) own_before: u32,
    pub(crate) weights: WeightVersion,
}

impl Target {
    /// Returns the load: the others' part as reported, and the own part as it is now.
    pub(crate) fn load(&self) -> u32 {
        self.others + self.own
    }

    /// Returns the load in thousandths of the slots.
    pub(crate) fn fill(&self) -> u32 {
        self.load() * 1_000 / self.facts.slots.max(1)
    }

    /// Takes a report. It lags, so it counts the own requests of about one report ago.
    pub(crate) fn report(&mut self, report: &LoadReport) {
        let others = report.busy.saturating_sub(self.own_before) as f32;
        // A mean keeps hosts from swinging together after each report.
        let mean = self.others_mean.unwrap_or(others);
        let mean = mean + (others - mean) * REPORT_WEIGHT;
        self.others_mean = Some(mean);
        self.others = mean.round() as u32;
        self.own_before = self.own;
        if self.weights != report.weights {
            self.weights = report.weights.clone();
        }
    }
}
