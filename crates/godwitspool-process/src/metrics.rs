//! Metrics of a process, in the OpenMetrics text format.

use std::{
    fmt,
    sync::{Mutex, MutexGuard, PoisonError},
};

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

/// The registry of one process. Parts ask it for their metrics and keep them.
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

    /// Registers a histogram of seconds, from a millisecond to half an hour.
    pub fn seconds_histogram(&self, name: &str, help: &str) -> Histogram {
        let histogram = Histogram::new(exponential_buckets(0.001, 2.0, 21));
        self.registry().register(name, help, histogram.clone());
        histogram
    }

    /// Registers a counter for each reason.
    pub fn counter_by_reason(&self, name: &str, help: &str) -> CounterByReason {
        let reasons = CounterByReason::default();
        self.registry().register(name, help, reasons.0.clone());
        reasons
    }

    /// Registers counters that are kept elsewhere and read when they are asked for.
    ///
    /// ```
    /// use godwitspool_process::{Metrics, Watched};
    ///
    /// let metrics = Metrics::default();
    /// metrics.watch(|| vec![Watched { name: "pauses", help: "Pauses noticed", value: 3 }]);
    /// assert!(metrics.text().contains("godwitspool_pauses_total 3"));
    /// ```
    pub fn watch(&self, read: impl Fn() -> Vec<Watched> + Send + Sync + 'static) {
        let watch = Box::new(Watch(Box::new(read)));
        self.registry().register_collector(watch);
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
pub struct CounterByReason(Family<Reason, Counter>);

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Reason {
    reason: &'static str,
}

impl CounterByReason {
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

/// A counter that is kept elsewhere.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Watched {
    /// Name.
    pub name: &'static str,
    /// What it counts.
    pub help: &'static str,
    /// The count.
    pub value: u64,
}

struct Watch(Box<dyn Fn() -> Vec<Watched> + Send + Sync>);

impl fmt::Debug for Watch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Watch").finish_non_exhaustive()
    }
}

impl Collector for Watch {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        for Watched { name, help, value } in (self.0)() {
            let counter = ConstCounter::new(value);
            let kind = counter.metric_type();
            counter.encode(encoder.encode_descriptor(name, help, None, kind)?)?;
        }
        Ok(())
    }
}
