//! Metrics of a process, in the OpenMetrics text format.

use std::{
    fmt,
    sync::{Mutex, MutexGuard, PoisonError},
};

use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

/// The registry of one process. Parts ask it for their metrics and keep them.
///
/// ```
/// use godwitspool_process::Metrics;
///
/// let metrics = Metrics::default();
/// let refusals = metrics.reasons("refusals", "Requests refused, by reason");
/// refusals.count("rate");
/// assert!(metrics.text().contains("godwitspool_refusals_total{reason=\"rate\"} 1"));
/// ```
pub struct Metrics(Mutex<Registry>);

impl Default for Metrics {
    fn default() -> Self {
        Self(Mutex::new(Registry::with_prefix("godwitspool")))
    }
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

impl Metrics {
    /// Registers a counter.
    pub fn counter(&self, name: &str, help: &str) -> Counter {
        let counter = Counter::default();
        self.registry().register(name, help, counter.clone());
        counter
    }

    /// Registers a gauge.
    pub fn gauge(&self, name: &str, help: &str) -> Gauge {
        let gauge = Gauge::default();
        self.registry().register(name, help, gauge.clone());
        gauge
    }

    /// Registers a histogram of seconds, from a millisecond to half an hour.
    pub fn seconds(&self, name: &str, help: &str) -> Histogram {
        let histogram = Histogram::new(exponential_buckets(0.001, 2.0, 21));
        self.registry().register(name, help, histogram.clone());
        histogram
    }

    /// Registers a counter for each reason.
    pub fn reasons(&self, name: &str, help: &str) -> Reasons {
        let reasons = Reasons::default();
        self.registry().register(name, help, reasons.0.clone());
        reasons
    }

    /// Returns all metrics as text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string doesn't fail.
        let _ = encode(&mut text, &self.registry());
        text
    }

    fn registry(&self) -> MutexGuard<'_, Registry> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A counter for each reason of a refusal, a retry or another event.
#[derive(Clone, Debug, Default)]
pub struct Reasons(Family<Reason, Counter>);

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Reason {
    reason: &'static str,
}

impl Reasons {
    /// Counts one more event.
    pub fn count(&self, reason: &'static str) {
        self.add(reason, 1);
    }

    /// Counts more events.
    pub fn add(&self, reason: &'static str, events: u64) {
        self.0.get_or_create(&Reason { reason }).inc_by(events);
    }

    /// Returns how many events were counted for a reason.
    pub fn counted(&self, reason: &'static str) -> u64 {
        self.0.get_or_create(&Reason { reason }).get()
    }
}
