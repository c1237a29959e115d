//! Workspaces' rate and concurrency limits over all hosts.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use godwitspool_connection::messages::{LimitPart, ServingAnswer, ServingRequest};
use godwitspool_request::{
    Grant, LimitDemand, LimitHome, LimitUsage, Limits, Refusal, stable_hash,
};
use godwitspool_types::{HostName, Millis, Workspace};

use crate::process::{serving, shared::Shared};

/// Shortest time between two askings for one workspace.
const ASK_PAUSE: Millis = Millis(200);

#[derive(Debug, Default)]
struct State {
    asked: HashMap<Workspace, Millis>,
    homes: HashMap<Workspace, LimitHome>,
    usages: HashMap<Workspace, LimitUsage>,
}

/// Use of the workspaces' limits on this host, and the limits whose home it is.
#[derive(Debug, Default)]
pub(crate) struct Quota(Mutex<State>);

/// Counts a request of a workspace while it lives.
#[derive(Debug)]
pub(crate) struct Counted {
    shared: Arc<Shared>,
    workspace: Workspace,
}

impl Drop for Counted {
    fn drop(&mut self) {
        let mut state = self.shared.serving.quota.lock();
        if let Some(usage) = state.usages.get_mut(&self.workspace) {
            usage.end();
        }
    }
}

/// Counts a request in, asking the home for a part of the limits when this host's is used up.
pub(crate) fn begin(shared: &Arc<Shared>, workspace: &Workspace) -> Result<Counted, Refusal> {
    let limits = limits(shared, workspace);
    let now = shared.serving.now();
    let counted = || Counted {
        shared: Arc::clone(shared),
        workspace: workspace.clone(),
    };
    let quota = &shared.serving.quota;
    let Err(refusal) = quota.try_begin(workspace, limits, now) else {
        return Ok(counted());
    };
    if limits.hosts < 2 || !quota.may_ask(workspace, now) {
        return Err(refusal);
    }
    ask(shared, workspace);
    quota
        .try_begin(workspace, limits, shared.serving.now())
        .map(|()| counted())
}

/// Asks the homes for parts of the limits that this host's requests need.
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

/// Answers for a workspace whose home this host is.
pub(crate) fn answer(
    shared: &Arc<Shared>,
    workspace: &Workspace,
    host: &HostName,
    want: LimitDemand,
) -> Option<LimitPart> {
    let limits = limits(shared, workspace);
    let now = shared.serving.now();
    let mut state = shared.serving.quota.lock();
    let home = state
        .homes
        .entry(workspace.clone())
        .or_insert_with(|| LimitHome::new(now));
    home.ask(host, want, limits, now).map(|grant| LimitPart {
        concurrency: grant.concurrency,
        rate: grant.rate,
    })
}

fn ask(shared: &Arc<Shared>, workspace: &Workspace) {
    let asked = shared.serving.now();
    let Some(want) = shared.serving.quota.want(workspace, asked) else {
        return;
    };
    let request = ServingRequest::Limits {
        arrived: want.arrived,
        host: shared.settings.host.clone(),
        running: want.running,
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
            usage.grant(grant, asked);
        }
    }
}

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
        let asked = self.lock().asked.get(workspace).copied();
        asked.is_none_or(|asked| now - asked >= ASK_PAUSE)
    }

    /// Returns the demand, and notes that it was asked for now.
    fn want(&self, workspace: &Workspace, now: Millis) -> Option<LimitDemand> {
        let mut state = self.lock();
        state.asked.insert(workspace.clone(), now);
        state.usages.get_mut(workspace).map(LimitUsage::report)
    }
}
