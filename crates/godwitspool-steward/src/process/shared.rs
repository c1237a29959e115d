//! State that the steward's threads share.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, PoisonError},
};

use godwitspool_connection::{
    http::Platform,
    messages::{Demand, StewardAnswer, StewardRequest},
    peer::{Link, LinkBounds, LinkError},
};
use godwitspool_process::{
    Clock, CounterByReason, Metrics, StewardSettings, log_reader::LogReader, membership::Gossip,
};
use godwitspool_sync::{Mutex, MutexGuard};
use godwitspool_types::{HostName, Millis, Offset};
use godwitspool_version::{HeldUsage, Record, RecordBody};

use crate::{
    process::outbox::Outbox,
    version::{current_view::CurrentView, leases::Leases},
};

const PEER_ANSWER_TIMEOUT: Millis = Millis(500);
/// Number of links to other stewards at which all are closed before another one is opened.
const MAX_LINKS: usize = 64;

/// State that the steward's threads share.
pub(crate) struct Shared {
    pub(crate) current_view: CurrentView,
    pub(crate) clock: Clock,
    pub(crate) counts: Counts,
    pub(crate) demands: Mutex<HashMap<HostName, ReportedDemand>>,
    pub(crate) gossip: Arc<Gossip>,
    pub(crate) leases: Leases,
    links: Mutex<HashMap<SocketAddr, Arc<PeerLink>>>,
    pub(crate) outbox: Outbox,
    pub(crate) platform: Platform,
    pub(crate) reader: LogReader,
    pub(crate) retained: Mutex<Offset>,
    pub(crate) settings: StewardSettings,
    pub(crate) usage: Mutex<HeldUsage>,
}

type PeerLink = Link<StewardRequest, StewardAnswer>;

/// The last demand that an entry reported.
#[derive(Clone, Debug)]
pub(crate) struct ReportedDemand {
    /// Time of arrival on this host's clock.
    pub(crate) received: Millis,
    pub(crate) demand: Demand,
}

/// Counters by reason, exported as metrics.
#[derive(Debug)]
pub(crate) struct Counts {
    /// Appends that failed, by reason.
    pub(crate) append_errors: CounterByReason,
    /// Records appended, by stream.
    pub(crate) appends: CounterByReason,
    /// Terms begun and ended on this host.
    pub(crate) lease_steps: CounterByReason,
    /// Attempts to send a target order, by result.
    pub(crate) orders: CounterByReason,
    /// Attempts to report a usage window, by result.
    pub(crate) reports: CounterByReason,
    /// Weight swaps and what followed from them, by result.
    pub(crate) swaps: CounterByReason,
    /// Usage records and the calls that copy or gather them, by result.
    pub(crate) usage: CounterByReason,
}

impl Counts {
    pub(crate) fn new(metrics: &Metrics) -> Self {
        Self {
            append_errors: metrics
                .counter_by_reason("append_errors", "Appends that failed, by reason"),
            appends: metrics.counter_by_reason("appends", "Records appended to the log, by stream"),
            lease_steps: metrics
                .counter_by_reason("lease_steps", "Terms begun and ended on this host"),
            orders: metrics.counter_by_reason("orders", "Target orders, by how they ended"),
            reports: metrics.counter_by_reason("usage_reports", "Usage reports, by how they ended"),
            swaps: metrics.counter_by_reason("weight_swaps", "Weight swaps, by how they ended"),
            usage: metrics
                .counter_by_reason("usage_records", "Usage records, by what became of them"),
        }
    }
}

/// Parts of [`Shared`] that don't start empty.
pub(crate) struct Parts<'a> {
    pub(crate) clock: Clock,
    pub(crate) gossip: Arc<Gossip>,
    pub(crate) leases: Leases,
    pub(crate) metrics: &'a Metrics,
    pub(crate) platform: Platform,
    pub(crate) reader: LogReader,
    pub(crate) settings: StewardSettings,
}

impl Shared {
    pub(crate) fn new(parts: Parts<'_>) -> Self {
        Self {
            current_view: CurrentView::default(),
            clock: parts.clock,
            counts: Counts::new(parts.metrics),
            demands: Mutex::default(),
            gossip: parts.gossip,
            leases: parts.leases,
            links: Mutex::default(),
            outbox: Outbox::default(),
            platform: parts.platform,
            reader: parts.reader,
            retained: Mutex::default(),
            settings: parts.settings,
            usage: Mutex::default(),
        }
    }

    /// Queues a record for the log under a new identity.
    pub(crate) fn append(&self, body: RecordBody) {
        self.append_record(Record::new(body));
    }

    /// Queues a record for the log. It keeps its identity. If the queue is full, the record is
    /// dropped and counted.
    pub(crate) fn append_record(&self, record: Record) {
        if !self.outbox.offer(record) {
            self.counts.append_errors.count("queue-full");
        }
    }

    /// Sends a request to another steward and waits for the answer.
    pub(crate) fn ask(
        &self,
        address: SocketAddr,
        request: &StewardRequest,
    ) -> Result<StewardAnswer, LinkError> {
        self.link(address).call(request)
    }

    fn link(&self, address: SocketAddr) -> Arc<PeerLink> {
        let mut links = lock(&self.links);
        if links.len() >= MAX_LINKS && !links.contains_key(&address) {
            links.clear();
        }
        let bounds = LinkBounds::default().with_answer_timeout(PEER_ANSWER_TIMEOUT);
        let link = links
            .entry(address)
            .or_insert_with(|| Arc::new(Link::new(address, bounds)));
        Arc::clone(link)
    }
}

/// Locks a mutex. If a thread panicked while it held the lock, the data is used as it is.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
