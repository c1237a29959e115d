//! What the entry does by itself: follow the view, look at queues, read loads, renew parts of limits,
//! report demand, have usage held.

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

const LOOK_PAUSE: Duration = Duration::from_millis(20);
const LOAD_PAUSE: Duration = Duration::from_millis(250);
const LIMIT_PAUSE: Duration = Duration::from_secs(1);

/// What one thread does until the entry stops.
type Part = fn(&Arc<Shared>);

/// Starts the threads.
pub(crate) fn start(shared: &Arc<Shared>) -> io::Result<Vec<JoinHandle<()>>> {
    let parts: [(&str, Part); 5] = [
        ("billing", billing::run),
        ("demand", demand::run),
        ("limits", renew),
        ("loads", read_loads),
        ("view", watch),
    ];
    let spawn = |(name, part): (&str, Part)| {
        let shared = Arc::clone(shared);
        let thread = thread::Builder::new().name(name.to_owned());
        thread.spawn(move || part(&shared))
    };
    parts.into_iter().map(spawn).collect()
}

/// Follows the view and looks at the queues.
fn watch(shared: &Arc<Shared>) {
    // Not the present view: that may have come in before this thread began.
    let mut seen = Arc::new(View::default());
    while !shared.stopped() {
        let view = shared.view();
        let now = shared.serving.now();
        if view.revision != seen.revision || view.offset != seen.offset {
            learn(shared, &view, &seen);
        } else if !Arc::ptr_eq(&view, &seen) {
            shared.serving.keys.confirm(Millis(view.age_ms), now);
        }
        shared.serving.keys.cancel_withdrawn(now);
        shared.serving.dispatch.tick(now);
        seen = view;
        thread::sleep(LOOK_PAUSE);
    }
}

fn learn(shared: &Arc<Shared>, view: &View, seen: &View) {
    shared.serving.keys.learn(view, shared.serving.now());
    shared.serving.dispatch.learn(view);
    let before = shared.serving.update_members(view, &shared.settings.host);
    let members = shared.serving.members();
    if before != members {
        let left: BTreeSet<&HostName> = seen
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
            !members.contains(host) && !left.contains(host) && !leaves
        };
        let lost: Vec<HostName> = before.iter().filter(lost).cloned().collect();
        idempotency::update_members(shared, members.to_vec(), &lost);
    }
}

fn renew(shared: &Arc<Shared>) {
    while !shared.stopped() {
        quota::renew(shared);
        pause(shared, LIMIT_PAUSE);
    }
}

/// Reads the loads of the engines of which this host is the reader, and tells the data centre.
fn read_loads(shared: &Arc<Shared>) {
    while !shared.stopped() {
        let view = shared.view();
        let readers: Vec<HostName> = view
            .members
            .iter()
            .filter(|member| member.dc == shared.settings.dc && !member.leaving)
            .map(|member| member.host.clone())
            .collect();
        let loads = read_own(shared, &view, &readers);
        shared.serving.dispatch.report(&loads);
        shared.rollouts.report(&loads);
        if !loads.is_empty() {
            for host in readers.iter().filter(|host| **host != shared.settings.host) {
                let news = ServingRequest::Loads(loads.clone());
                serving::call(shared, host, news);
            }
        }
        pause(shared, LOAD_PAUSE);
    }
}

fn read_own(shared: &Arc<Shared>, view: &View, readers: &[HostName]) -> Vec<TargetLoad> {
    let own = |entry: &&TargetEntry| {
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
            .filter(own)
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

/// Sleeps in steps, so that the process ends soon.
fn pause(shared: &Arc<Shared>, span: Duration) {
    let mut left = span;
    while !shared.stopped() && !left.is_zero() {
        let step = left.min(LOOK_PAUSE);
        thread::sleep(step);
        left -= step;
    }
}
