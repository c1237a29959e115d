//! Evacuated data centres and cold targets, as reported to the operators.

use godwitspool_process::{CounterByReason, Gauge, Metrics};
use godwitspool_types::{Dc, TargetName};

use super::Shared;
use crate::http::Exchange;

/// Metrics of evacuated data centres and of cold targets.
#[derive(Debug)]
pub struct PlaceMetrics {
    /// Number of evacuations of data centres, and of requests refused for them, by what happened.
    pub evacuations: CounterByReason,
    /// Number of services all of whose targets are in evacuated data centres.
    pub unserved: Gauge,
    /// Number of targets that became cold, by what showed it.
    pub cold_targets: CounterByReason,
}

impl PlaceMetrics {
    /// Registers the metrics.
    pub fn new(metrics: &Metrics) -> Self {
        Self {
            evacuations: metrics.counter_by_reason(
                "evacuations",
                "Evacuations and restorations of data centres, and requests refused for them",
            ),
            unserved: metrics.gauge(
                "evacuated_services",
                "Services all of whose targets are in evacuated data centres",
            ),
            cold_targets: metrics.counter_by_reason(
                "cold_targets",
                "Targets that became cold, by what showed it",
            ),
        }
    }
}

impl Shared {
    /// Evacuates or restores a data centre by the operators' record at an offset.
    pub(super) fn apply_evacuation(&self, dc: &Dc, active: bool, offset: u64) {
        let now = self.clock.now();
        let mut fleet = self.fleet();
        let (news, targets) = fleet.set_evacuated(dc, active, now);
        // The operators' topic may be read before the targets' entries as the host starts.
        let are_targets_known = fleet.freshness.age().is_some();
        drop(fleet);
        if !news {
            return;
        }
        let counter = &self.places.evacuations;
        if !active {
            log::info!(dc:%, targets, offset; "data centre restored");
            counter.count("restored");
            return;
        }
        log::info!(dc:%, targets, offset; "data centre evacuated");
        counter.count("evacuated");
        if targets == 0 && are_targets_known {
            log::warn!(
                dc:%, offset;
                "no target is known in the evacuated data centre; check the name in the key"
            );
            counter.count("without targets");
        }
    }

    /// Returns whether an exchange that has sent nothing must not be sent any more, because its target was
    /// evacuated while the connection was being opened.
    pub fn is_withheld(&self, target: &TargetName, exchange: &Exchange) -> bool {
        !exchange.was_sent() && self.fleet().is_evacuated(target)
    }

    /// Reports the services that have lost their last target to an evacuation, or have one again.
    pub(super) fn report_unserved(&self) {
        let (lost, regained) = self.fleet().update_unserved();
        for service in &lost {
            log::warn!(service:%; "all targets of the service are in evacuated data centres");
        }
        for service in &regained {
            log::info!(service:%; "the service has targets outside evacuated data centres again");
        }
        let change = lost.len() as i64 - regained.len() as i64;
        self.places.unserved.inc_by(change);
    }

    /// Reports that a target has become cold, and what showed it.
    pub(super) fn report_cold(&self, target: &TargetName, reason: &'static str) {
        log::info!(target_name:% = target, reason; "target is cold");
        self.places.cold_targets.count(reason);
    }
}
