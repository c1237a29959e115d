//! Metrics of a process, in the OpenMetrics text format.

use std::{fmt, sync::PoisonError};

use godwitspool_sync::{Mutex, MutexGuard};
use prometheus_client::{
    collector::Collector,
    encoding::{DescriptorEncoder, EncodeLabelSet, EncodeMetric, text::encode},
    metrics::{
        counter::{ConstCounter, Counter},
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

/// The metrics registry of a process. Each part registers its metrics and keeps their handles.
///
/// ```
/// use godwitspool_process::Metrics;
///
/// let metrics = Metrics::default();
/// let refusals = metrics.counter_by_reason("refusals", "Requests refused, by reason");
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

    /// Registers a histogram of times in seconds, with 21 buckets that double from 1 ms to 17 min.
    pub fn seconds_histogram(&self, name: &str, help: &str) -> Histogram {
        let histogram = Histogram::new(exponential_buckets(0.001, 2.0, 21));
        self.registry().register(name, help, histogram.clone());
        histogram
    }

    /// Registers a counter with a `reason` label.
    pub fn counter_by_reason(&self, name: &str, help: &str) -> CounterByReason {
        let reasons = CounterByReason::default();
        self.registry().register(name, help, reasons.0.clone());
        reasons
    }

    /// Registers counters that other code keeps; `read` is called for each [`Metrics::text`].
    ///
    /// ```
    /// use godwitspool_process::{CounterSample, Metrics};
    ///
    /// let metrics = Metrics::default();
    /// let pauses = CounterSample { name: "pauses", help: "Pauses noticed", value: 3 };
    /// metrics.register_counters(move || vec![pauses]);
    /// assert!(metrics.text().contains("godwitspool_pauses_total 3"));
    /// ```
    pub fn register_counters(&self, read: impl Fn() -> Vec<CounterSample> + Send + Sync + 'static) {
        let collector = Box::new(CounterCollector(Box::new(read)));
        self.registry().register_collector(collector);
    }

    /// Returns all metrics in the OpenMetrics text format.
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

/// A counter with a `reason` label, for refusals, retries and other events.
#[derive(Clone, Debug, Default)]
pub struct CounterByReason(Family<Reason, Counter>);

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Reason {
    reason: &'static str,
}

impl CounterByReason {
    /// Increments the counter of a reason.
    pub fn count(&self, reason: &'static str) {
        self.add(reason, 1);
    }

    /// Adds a number of events to the counter of a reason.
    pub fn add(&self, reason: &'static str, events: u64) {
        self.0.get_or_create(&Reason { reason }).inc_by(events);
    }

    /// Returns the value of a reason's counter.
    pub fn counted(&self, reason: &'static str) -> u64 {
        self.0.get_or_create(&Reason { reason }).get()
    }
}

/// The current value of a counter that is kept outside the registry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CounterSample {
    /// Name of the metric, without the `godwitspool_` prefix and the `_total` suffix.
    pub name: &'static str,
    /// Help text of the metric.
    pub help: &'static str,
    /// Events since the process started.
    pub value: u64,
}

struct CounterCollector(Box<dyn Fn() -> Vec<CounterSample> + Send + Sync>);

impl fmt::Debug for CounterCollector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CounterCollector").finish_non_exhaustive()
    }
}

impl Collector for CounterCollector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        for CounterSample { name, help, value } in (self.0)() {
            let counter = ConstCounter::new(value);
            let kind = counter.metric_type();
            counter.encode(encoder.encode_descriptor(name, help, None, kind)?)?;
        }
        Ok(())
    }
}
