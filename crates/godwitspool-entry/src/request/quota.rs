//! Rate and concurrency limits of workspaces, shared by all hosts.

use std::{
    collections::HashMap,
    sync::{Arc, PoisonError},
};

use godwitspool_connection::messages::{LimitPart, ServingAnswer, ServingRequest};
use godwitspool_request::{
    Grant, LimitDemand, LimitHome, LimitUsage, Limits, Refusal, stable_hash,
};
use godwitspool_sync::{Mutex, MutexGuard};
use godwitspool_types::{HostName, Millis, Workspace};

use crate::process::{serving, shared::Shared};

/// Minimum time between two requests to the home host of one workspace's limits.
const MIN_ASK_INTERVAL: Millis = Millis(200);

#[derive(Debug, Default)]
struct State {
    asked_at: HashMap<Workspace, Millis>,
    homes: HashMap<Workspace, LimitHome>,
    usages: HashMap<Workspace, LimitUsage>,
}

/// Usage of the limits on this host, and the limits whose home is this host.
#[derive(Debug, Default)]
pub(crate) struct Quota(Mutex<State>);

/// Counts a request against the limits of its workspace until the guard is dropped.
#[derive(Debug)]
pub(crate) struct QuotaGuard {
    shared: Arc<Shared>,
    workspace: Workspace,
}

impl Drop for QuotaGuard {
    fn drop(&mut self) {
        let mut state = self.shared.serving.quota.lock();
        if let Some(usage) = state.usages.get_mut(&self.workspace) {
            usage.end();
        }
    }
}

/// Counts a request against the limits of its workspace. When this host's part of them is used up,
/// it asks the home host for more.
pub(crate) fn begin(shared: &Arc<Shared>, workspace: &Workspace) -> Result<QuotaGuard, Refusal> {
    let limits = limits(shared, workspace);
    let now = shared.serving.now();
    let guard = || QuotaGuard {
        shared: Arc::clone(shared),
        workspace: workspace.clone(),
    };
    let quota = &shared.serving.quota;
    let Err(refusal) = quota.try_begin(workspace, limits, now) else {
        return Ok(guard());
    };
    if limits.hosts < 2 || !quota.may_ask(workspace, now) {
        return Err(refusal);
    }
    ask(shared, workspace);
    quota
        .try_begin(workspace, limits, shared.serving.now())
        .map(|()| guard())
}

/// Renews this host's parts of the limits of all workspaces that it has served.
pub(crate) fn renew(shared: &Arc<Shared>) {
    let workspaces: Vec<Workspace> = {
        let state = shared.serving.quota.lock();
        state.usages.keys().cloned().collect()
    };
    if shared.serving.members().len() < 2 {
        return;
    }
    for workspace in workspaces {
        ask(shared, &workspace);
    }
}

/// Grants a host its part of the limits of a workspace whose home is this host.
pub(crate) fn answer(
    shared: &Arc<Shared>,
    workspace: &Workspace,
    host: &HostName,
    demand: LimitDemand,
) -> Option<LimitPart> {
    let limits = limits(shared, workspace);
    let now = shared.serving.now();
    let mut state = shared.serving.quota.lock();
    let home = state
        .homes
        .entry(workspace.clone())
        .or_insert_with(|| LimitHome::new(now));
    home.ask(host, demand, limits, now).map(|grant| LimitPart {
        concurrency: grant.concurrency,
        rate: grant.rate,
    })
}

/// Asks the home host of a workspace's limits for a part of them.
fn ask(shared: &Arc<Shared>, workspace: &Workspace) {
    let asked_at = shared.serving.now();
    let Some(demand) = shared.serving.quota.demand(workspace, asked_at) else {
        return;
    };
    let request = ServingRequest::Limits {
        arrived: demand.arrived,
        host: shared.settings.host.clone(),
        running: demand.running,
        workspace: workspace.clone(),
    };
    let key = stable_hash(workspace.as_str().as_bytes());
    let home = shared.serving.home(shared, key);
    if let Some(ServingAnswer::Grant(Some(part))) = serving::call(shared, &home, request) {
        let grant = Grant {
            concurrency: part.concurrency,
            rate: part.rate,
        };
        let mut state = shared.serving.quota.lock();
        if let Some(usage) = state.usages.get_mut(workspace) {
            usage.grant(grant, asked_at);
        }
    }
}

/// Returns the limits of a workspace. One without rules is practically unlimited.
fn limits(shared: &Arc<Shared>, workspace: &Workspace) -> Limits {
    let view = shared.view();
    let hosts = shared.serving.members().len() as u32;
    let rules = view.configuration.workspaces.get(workspace);
    Limits {
        concurrency: rules.map_or(u32::MAX / 2, |rules| rules.concurrency),
        hosts,
        rate: rules.map_or(u32::MAX / 2, |rules| rules.rate_per_s),
    }
}

impl Quota {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn try_begin(&self, workspace: &Workspace, limits: Limits, now: Millis) -> Result<(), Refusal> {
        let mut state = self.lock();
        let usage = state.usages.entry(workspace.clone()).or_default();
        usage.begin(limits, now)
    }

    fn may_ask(&self, workspace: &Workspace, now: Millis) -> bool {
        let asked_at = self.lock().asked_at.get(workspace).copied();
        asked_at.is_none_or(|asked_at| now - asked_at >= MIN_ASK_INTERVAL)
    }

    /// Returns this host's demand, and records that the home host is asked now.
    fn demand(&self, workspace: &Workspace, now: Millis) -> Option<LimitDemand> {
        let mut state = self.lock();
        state.asked_at.insert(workspace.clone(), now);
        state.usages.get_mut(workspace).map(LimitUsage::report)
    }
}
