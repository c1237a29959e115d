//! Reports the load of this entry by service to this host's steward.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    thread,
    time::Duration,
};

use godwitspool_connection::{
    messages::{Demand, ServiceDemand, StewardAnswer, StewardRequest},
    peer::{Link, LinkBounds},
};
use godwitspool_types::{Millis, ServiceName};

use crate::process::shared::Shared;

const ANSWER_TIMEOUT: Millis = Millis(1_000);
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Requests or samples of one service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Load {
    pub(crate) running: u32,
    pub(crate) waiting: u32,
}

/// Loads by service.
pub(crate) type Loads = BTreeMap<ServiceName, Load>;

/// Reports demand until the entry stops.
pub(crate) fn run(shared: &Arc<Shared>) {
    let bounds = LinkBounds::default().with_answer_timeout(ANSWER_TIMEOUT);
    let steward = Link::<StewardRequest, StewardAnswer>::new(shared.settings.steward, bounds);
    while !shared.stopped() {
        if let Err(error) = steward.call(&StewardRequest::Demand(demand(shared))) {
            log::debug!("can't report demand to the steward: {error}");
        }
        thread::sleep(REPORT_INTERVAL);
    }
}

fn demand(shared: &Shared) -> Demand {
    let interactive = shared.serving.dispatch.loads();
    let training = shared.rollouts.loads();
    let names: BTreeSet<_> = interactive.keys().chain(training.keys()).cloned().collect();
    let service = |service: ServiceName| {
        let calls = interactive.get(&service).copied().unwrap_or_default();
        let samples = training.get(&service).copied().unwrap_or_default();
        ServiceDemand {
            interactive: calls.running,
            training: samples.running,
            waiting: calls.waiting,
            backlog: samples.waiting,
            service,
        }
    };
    Demand {
        host: shared.settings.host.clone(),
        services: names.into_iter().map(service).collect(),
        suspects: Vec::new(),
    }
}
