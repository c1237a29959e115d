//! Work that leaves the data centre, as reported to the operators.

use godwitspool_process::{CounterByReason, Histogram, Metrics};
use godwitspool_types::{ServiceName, TargetName};

use super::Shared;
use crate::{
    http::Exchange,
    version::{Departure, Fleet},
};

/// Change of a share from which on a line is logged: smaller ones follow each other in short intervals.
const LOGGED_CHANGE: f64 = 0.1;

/// Metrics of work that leaves the data centre of this host.
#[derive(Debug)]
pub struct TripMetrics {
    /// Number of requests and reward calls that were sent to another data centre, by the reason.
    pub departures: CounterByReason,
    /// Number of bytes of requests and responses between data centres, by direction.
    pub bytes: CounterByReason,
    /// Time that leaving was expected to save a request, in seconds.
    pub saved: Histogram,
}

impl TripMetrics {
    /// Registers the metrics.
    pub fn new(metrics: &Metrics) -> Self {
        Self {
            departures: metrics.counter_by_reason(
                "departures",
                "Requests and reward calls sent to another data centre, by the reason",
            ),
            bytes: metrics.counter_by_reason(
                "remote_bytes",
                "Bytes of bodies to and from targets in other data centres",
            ),
            saved: metrics.seconds_histogram(
                "departure_saved_seconds",
                "Times that leaving the data centre was expected to save",
            ),
        }
    }
}

impl Shared {
    /// Updates the shares of a service's load that leave the data centre, and logs those that have
    /// changed noticeably.
    pub fn update_spill(&self, fleet: &mut Fleet, service: &ServiceName) {
        let dc = &self.settings.dc;
        for change in fleet.update_spill(service, dc, self.clock.now()) {
            if fleet.trips.spill.report(service, &change.dc, LOGGED_CHANGE) {
                log::info!(
                    service:%, dc:% = change.dc, share = change.share, saved_ms = change.saved_ms;
                    "share that leaves the data centre changes"
                );
            }
        }
    }

    /// Counts a request or reward call that was sent to another data centre.
    pub fn count_departure(&self, reason: Departure, saved_ms: f64) {
        self.trips.departures.count(reason.as_str());
        if reason == Departure::Busy {
            self.trips.saved.observe(saved_ms / 1_000.0);
        }
    }

    /// Records the time in which an exchange opened its connection, and the sizes of its bodies if it is
    /// complete.
    pub fn observe_exchange(
        &self,
        target: &TargetName,
        exchange: &Exchange,
        sizes: Option<(usize, usize)>,
    ) {
        let connect_ms = exchange
            .connect_time()
            .map(|took| took.as_secs_f64() * 1_000.0);
        if connect_ms.is_none() && sizes.is_none() {
            return;
        }
        let mut fleet = self.fleet();
        fleet.observe_exchange(target, connect_ms, sizes, self.clock.now());
        let dc = fleet.get(target).map(|target| target.entry.dc.clone());
        drop(fleet);
        if let Some((bytes_out, bytes_in)) = sizes
            && dc.is_some_and(|dc| dc != self.settings.dc)
        {
            self.trips.bytes.add("sent", bytes_out as u64);
            self.trips.bytes.add("received", bytes_in as u64);
        }
    }
}
