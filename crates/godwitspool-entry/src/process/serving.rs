//! State of the path for callers' interactive requests.

use std::sync::{Arc, PoisonError};

use godwitspool_connection::messages::{
    EntryAnswer, EntryRequest, ServingAnswer, ServingRequest, View,
};
use godwitspool_process::{Clock, CounterByReason, EntrySettings, Metrics};
use godwitspool_request::homes;
use godwitspool_sync::RwLock;
use godwitspool_types::{HostName, Millis, RequestId};

use crate::{
    process::shared::Shared,
    request::{
        authorize::Keys,
        dispatch::Dispatch,
        idempotency::IdempotencyKeys,
        journal::{Journal, Step},
        peers,
        quota::Quota,
        refusal::Refusal,
        suspicion::Suspicion,
    },
};

/// State of the path for callers' interactive requests.
#[derive(Debug)]
pub(crate) struct Serving {
    clock: Clock,
    pub(crate) dispatch: Dispatch,
    pub(crate) journal: Journal,
    pub(crate) idempotency: IdempotencyKeys,
    pub(crate) keys: Arc<Keys>,
    members: RwLock<Arc<Vec<HostName>>>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) quota: Quota,
    refusals: CounterByReason,
    pub(crate) retries: CounterByReason,
    pub(crate) suspicion: Suspicion,
}

impl Serving {
    pub(crate) fn new(settings: &EntrySettings) -> Self {
        let metrics = Metrics::default();
        let refusals = metrics.counter_by_reason("refusals", "Requests refused or cut, by reason");
        let retries = metrics.counter_by_reason("retries", "Attempts after the first, by reason");
        Self {
            clock: Clock::start(),
            dispatch: Dispatch::new(settings.dc.clone()),
            journal: Journal::default(),
            idempotency: IdempotencyKeys::default(),
            keys: Arc::default(),
            members: RwLock::new(Arc::new(vec![settings.host.clone()])),
            metrics: Arc::new(metrics),
            quota: Quota::default(),
            refusals,
            retries,
            suspicion: Suspicion::default(),
        }
    }

    /// Returns the time since the entry's start.
    pub(crate) fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Appends a step of a request to the journal.
    pub(crate) fn record_step(&self, id: RequestId, step: Step) {
        self.journal.append(id, step, self.now());
    }

    /// Counts a refusal in the metrics and appends it to the journal.
    pub(crate) fn record_refusal(&self, id: RequestId, refusal: &Refusal) {
        self.refusals.count(refusal.code());
        let step = Step::Refused {
            ran: refusal.ran().as_str(),
            reason: refusal.code().to_owned(),
        };
        self.record_step(id, step);
    }

    /// Replaces the members with those of a view that aren't leaving. Returns the previous members.
    pub(crate) fn update_members(&self, view: &View, own: &HostName) -> Arc<Vec<HostName>> {
        let staying = view.members.iter().filter(|member| !member.leaving);
        let mut names: Vec<HostName> = staying.map(|member| member.host.clone()).collect();
        if !names.contains(own) {
            names.push(own.clone());
        }
        names.sort();
        let mut members = self.members.write().unwrap_or_else(PoisonError::into_inner);
        std::mem::replace(&mut *members, Arc::new(names))
    }

    /// Returns the hosts that aren't leaving. This host is always among them.
    pub(crate) fn members(&self) -> Arc<Vec<HostName>> {
        let members = self.members.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&members)
    }

    /// Returns the home host of a key: the host that keeps its state.
    pub(crate) fn home(&self, shared: &Shared, key: u64) -> HostName {
        let members = self.members();
        let home = homes(key, &members, HostName::as_str, 1).first().copied();
        home.unwrap_or(&shared.settings.host).clone()
    }
}

/// Calls a host, which may be this one. Returns `None` when it can't be reached.
pub(crate) fn call(
    shared: &Arc<Shared>,
    host: &HostName,
    request: ServingRequest,
) -> Option<ServingAnswer> {
    if *host == shared.settings.host {
        return Some(peers::answer(shared, request));
    }
    let view = shared.view();
    let member = view.members.iter().find(|member| member.host == *host)?;
    let link = shared.links.to(member.entry);
    match link.call(&EntryRequest::Serving(request)) {
        Ok(EntryAnswer::Serving(answer)) => Some(answer),
        Ok(_) => None,
        Err(error) => {
            log::debug!(host:%; "can't call the entry: {error}");
            None
        }
    }
}
