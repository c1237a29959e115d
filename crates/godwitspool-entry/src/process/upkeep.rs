//! Background threads of the entry: apply new views, serve the queues, read loads, renew limit
//! grants, report demand, send usage records.

use std::{
    collections::BTreeSet,
    io,
    sync::Arc,
    thread::{self, JoinHandle},
    time::Duration,
};

use godwitspool_connection::{
    messages::{ServingRequest, TargetLoad, View},
    platform::{TargetEntry, TargetState},
};
use godwitspool_request::{homes, stable_hash};
use godwitspool_types::{HostName, Millis};
use godwitspool_version::ServiceKind;

use crate::{
    process::{billing, demand, serving, shared::Shared},
    request::{idempotency, quota},
};

const POLL_INTERVAL: Duration = Duration::from_millis(20);
const LOAD_INTERVAL: Duration = Duration::from_millis(250);
const LIMIT_INTERVAL: Duration = Duration::from_secs(1);

/// The main function of a thread, which returns once the entry stops.
type Task = fn(&Arc<Shared>);

/// Starts the background threads.
pub(crate) fn start(shared: &Arc<Shared>) -> io::Result<Vec<JoinHandle<()>>> {
    let tasks: [(&str, Task); 5] = [
        ("billing", billing::run),
        ("demand", demand::run),
        ("limits", renew),
        ("loads", read_loads),
        ("view", follow_view),
    ];
    let spawn = |(name, task): (&str, Task)| {
        let shared = Arc::clone(shared);
        let thread = thread::Builder::new().name(name.to_owned());
        thread.spawn(move || task(&shared))
    };
    tasks.into_iter().map(spawn).collect()
}

/// Applies new views, ends requests whose key is withdrawn and serves the queues.
fn follow_view(shared: &Arc<Shared>) {
    // Starts empty, so that a view that arrived before this thread started is applied too.
    let mut seen = Arc::new(View::default());
    while !shared.stopped() {
        let view = shared.view();
        let now = shared.serving.now();
        if view.revision != seen.revision || view.offset != seen.offset {
            apply_view(shared, &view, &seen);
        } else if !Arc::ptr_eq(&view, &seen) {
            shared.serving.keys.confirm(Millis(view.age_ms), now);
        }
        shared.serving.keys.cancel_withdrawn(now);
        shared.serving.dispatch.tick(now);
        seen = view;
        thread::sleep(POLL_INTERVAL);
    }
}

/// Applies a view that differs from `seen`.
///
/// A host that is gone counts as lost only if neither view showed it as leaving: a leaving host
/// hands over its idempotency keys itself.
fn apply_view(shared: &Arc<Shared>, view: &View, seen: &View) {
    shared.serving.keys.update(view, shared.serving.now());
    shared.serving.dispatch.update_targets(view);
    let before = shared.serving.update_members(view, &shared.settings.host);
    let members = shared.serving.members();
    if before != members {
        let was_leaving: BTreeSet<&HostName> = seen
            .members
            .iter()
            .filter(|member| member.leaving)
            .map(|member| &member.host)
            .collect();
        let lost = |host: &&HostName| {
            let leaves = view
                .members
                .iter()
                .any(|member| member.leaving && member.host == **host);
            !members.contains(host) && !was_leaving.contains(host) && !leaves
        };
        let lost: Vec<HostName> = before.iter().filter(lost).cloned().collect();
        idempotency::update_members(shared, members.to_vec(), &lost);
    }
}

fn renew(shared: &Arc<Shared>) {
    while !shared.stopped() {
        quota::renew(shared);
        sleep_unless_stopped(shared, LIMIT_INTERVAL);
    }
}

/// Reads the loads of the engines assigned to this host, and sends them to the other hosts of the
/// data centre.
fn read_loads(shared: &Arc<Shared>) {
    while !shared.stopped() {
        let view = shared.view();
        let readers: Vec<HostName> = view
            .members
            .iter()
            .filter(|member| member.dc == shared.settings.dc && !member.leaving)
            .map(|member| member.host.clone())
            .collect();
        let loads = read_assigned(shared, &view, &readers);
        shared.serving.dispatch.report(&loads);
        shared.rollouts.report(&loads);
        if !loads.is_empty() {
            for host in readers.iter().filter(|host| **host != shared.settings.host) {
                let message = ServingRequest::Loads(loads.clone());
                serving::call(shared, host, message);
            }
        }
        sleep_unless_stopped(shared, LOAD_INTERVAL);
    }
}

/// Reads the loads of the engines in this data centre that rendezvous hashing over `readers`
/// assigns to this host.
fn read_assigned(shared: &Arc<Shared>, view: &View, readers: &[HostName]) -> Vec<TargetLoad> {
    let is_assigned = |entry: &&TargetEntry| {
        let key = stable_hash(entry.target.as_str().as_bytes());
        let reader = homes(key, readers, HostName::as_str, 1).first().copied();
        let rules = view.configuration.services.get(&entry.service);
        entry.dc == shared.settings.dc
            && entry.state != TargetState::Starting
            && rules.is_some_and(|rules| rules.kind == ServiceKind::Engine)
            && reader.is_none_or(|reader| *reader == shared.settings.host)
    };
    thread::scope(|scope| {
        let reads: Vec<_> = view
            .targets
            .iter()
            .filter(is_assigned)
            .map(|entry| scope.spawn(move || (entry, shared.client(entry.address).load())))
            .collect();
        let loads = reads.into_iter().filter_map(|read| {
            let (entry, load) = read.join().ok()?;
            let load = load.ok()?;
            Some(TargetLoad {
                busy: load.running + load.waiting,
                target: entry.target.clone(),
                weights: load.weights,
            })
        });
        loads.collect()
    })
}

/// Sleeps in short steps, so that the thread ends soon after the entry stops.
fn sleep_unless_stopped(shared: &Arc<Shared>, span: Duration) {
    let mut left = span;
    while !shared.stopped() && !left.is_zero() {
        let step = left.min(POLL_INTERVAL);
        thread::sleep(step);
        left -= step;
    }
}
