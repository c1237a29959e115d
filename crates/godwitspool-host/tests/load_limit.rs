//! The limit on loads, replayed with storages of weights that serve few targets at full speed.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::HashMap;

use godwitspool_host::{
    dialect::LoadMode,
    duty::{LoadLimit, LoadView, Loading, plan_loads},
    version::{Fleet, TargetEntry},
};
use godwitspool_types::{Dc, Millis, ModelName, ServiceName, TargetName};
use rstest::rstest;

const MODELS: usize = 4;
/// Time between two versions of a model.
const PERIOD_MS: u64 = 4_000;
const STEPS: u64 = 12;
const POLL_INTERVAL_MS: usize = 100;
/// Delay from the end of a load until the target's entry has shown it to the host.
const ENTRY_DELAY_MS: u64 = 1_500;
/// Work of one load in milliseconds at full speed.
const LOAD_MS: f64 = 900.0;

/// A load at the storage.
struct Load {
    target: TargetName,
    model: ModelName,
    version: u64,
    left_ms: f64,
    shown_at: Option<u64>,
}

/// Replays a cadence of versions with a storage that serves `at_once` loads at full speed and shares that
/// speed among more. Returns the minimum number of targets of any model that could serve its step, once
/// the limit has settled.
fn replay(
    targets: usize,
    at_once: usize,
    mut most: impl FnMut(&mut LoadLimit, usize) -> usize,
) -> usize {
    let mut fleet = fleet(targets);
    let service = ServiceName::from("engine");
    let models: Vec<ModelName> = (0..MODELS).map(model).collect();
    let assigned = fleet.assign_models(&service, &models);
    let mut named: HashMap<ModelName, u64> =
        models.iter().cloned().map(|model| (model, 1)).collect();
    let mut loading: HashMap<TargetName, Loading> = HashMap::new();
    let mut loads: Vec<Load> = Vec::new();
    let mut limit = LoadLimit::default();
    let mut least = targets;
    for at in (0..STEPS * PERIOD_MS).step_by(POLL_INTERVAL_MS) {
        let now = Millis(at);
        let active = loads.iter().filter(|load| load.shown_at.is_none()).count();
        let speed = (at_once as f64 / active.max(1) as f64).min(1.0);
        for load in loads.iter_mut().filter(|load| load.shown_at.is_none()) {
            load.left_ms -= POLL_INTERVAL_MS as f64 * speed;
            if load.left_ms <= 0.0 {
                load.shown_at = Some(at + ENTRY_DELAY_MS);
            }
        }
        loads.retain(|load| {
            let shown = load.shown_at.is_some_and(|shown_at| shown_at <= at);
            if shown {
                fleet.observe_version(&load.target, &load.model, load.version);
            }
            !shown
        });
        for (number, model) in models.iter().enumerate() {
            let phase = number as u64 * PERIOD_MS / MODELS as u64;
            if at >= PERIOD_MS && (at - phase) % PERIOD_MS < POLL_INTERVAL_MS as u64 {
                let version = named.get_mut(model).unwrap();
                let needed = *version;
                *version += 1;
                let all = fleet.usable(&service);
                let shown = all
                    .iter()
                    .filter(|target| target.entry.models[model] >= needed);
                let loaded = loads.iter().filter(|load| {
                    load.shown_at.is_some() && load.model == *model && load.version >= needed
                });
                let serving = shown.count() + loaded.count();
                if at >= STEPS * PERIOD_MS / 2 {
                    least = least.min(serving);
                }
            }
        }
        limit.update(now, |target, model| {
            fleet.get(target).map(|target| target.entry.models[model])
        });
        let targets = fleet.usable(&service);
        let orders = plan_loads(&LoadView {
            most: most(&mut limit, targets.len()),
            scarce: limit.is_scarce(targets.len()),
            targets,
            assigned: &assigned,
            newest_versions: &named,
            loading: &loading,
            mode: LoadMode::Continue,
            now,
        });
        for order in orders {
            limit.begin(
                order.target.clone(),
                order.model.clone(),
                order.version,
                now,
            );
            let load = Loading {
                model: order.model.clone(),
                version: order.version,
                since: now,
            };
            loading.insert(order.target.clone(), load);
            // A target that loads refuses further orders.
            if loads
                .iter()
                .all(|load| load.target != order.target || load.shown_at.is_some())
            {
                loads.push(Load {
                    target: order.target,
                    model: order.model,
                    version: order.version,
                    left_ms: LOAD_MS,
                    shown_at: None,
                });
            }
        }
    }
    least
}

fn fleet(targets: usize) -> Fleet {
    let mut fleet = Fleet::default();
    for number in 0..targets {
        fleet.apply(TargetEntry {
            name: TargetName::from(format!("t{number}")),
            service: ServiceName::from("engine"),
            address: ([127, 0, 0, 1], 80).into(),
            dc: Dc::from("north"),
            slots: 6,
            draining: false,
            models: (0..MODELS).map(|number| (model(number), 1)).collect(),
            born: 1,
            cold_left: Millis(0),
        });
    }
    fleet
}

fn model(number: usize) -> ModelName {
    ModelName::from(format!("m{number}"))
}

/// Guards against steps that no target can serve: a fifth of a large fleet loads at the same time, and
/// every load takes so long that a newer version is named before it ends.
#[rstest]
#[case::large_fleet(1_000, 9)]
#[case::larger_fleet(3_000, 9)]
#[case::slow_storage(1_000, 4)]
fn targets_of_every_model_keep_up_with_a_slow_storage(
    #[case] targets: usize,
    #[case] at_once: usize,
) {
    let limited = replay(targets, at_once, |limit, targets| limit.most(targets));
    let fifth = replay(targets, at_once, |_, targets| targets / 5);
    // Two steps of a model in which the storage serves all models alike, less what a halved limit leaves
    // unused.
    let wanted = at_once * PERIOD_MS as usize / LOAD_MS as usize / MODELS;
    assert!(limited >= wanted / 2, "{limited} targets, wanted {wanted}");
    assert!(
        limited > fifth,
        "{limited} targets, {fifth} with a fifth at once"
    );
}

/// Guards against a limit below what the operators' sheets state for fleets of the usual size.
#[rstest]
#[case(11, 2)]
#[case(45, 9)]
#[case(48, 9)]
fn fleets_of_the_usual_size_load_a_fifth_at_a_time(#[case] targets: usize, #[case] most: usize) {
    assert_eq!(LoadLimit::default().most(targets), most);
}
