//! Planning of loads, replayed with the cadence of a deployment's trainers.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::HashMap;

use godwitspool_host::{
    dialect::{LoadMode, LoadOrder},
    duty::{LoadView, Loading, plan_loads},
    version::{Fleet, LOAD_TIME, TargetEntry},
};
use godwitspool_types::{Dc, Millis, ModelName, ServiceName, TargetName};

/// Number of targets and models, and time between two versions of a model, as in the smaller
/// deployment.
const TARGETS: usize = 11;
const MODELS: usize = 3;
const PERIOD_MS: u64 = 4_000;
/// Number of steps of the replay.
const STEPS: u64 = 10;
/// Interval between two runs of the planner.
const POLL_INTERVAL_MS: usize = 50;
/// Number of concurrent loads that don't slow each other down.
const CONCURRENT_LOADS: usize = 2;

fn model(number: usize) -> ModelName {
    ModelName::from(format!("m{number}"))
}

fn fleet() -> Fleet {
    let mut fleet = Fleet::default();
    for number in 0..TARGETS {
        fleet.apply(TargetEntry {
            name: TargetName::from(format!("t{number}")),
            service: ServiceName::from("engine"),
            address: ([127, 0, 0, 1], 80).into(),
            dc: Dc::from("north"),
            slots: 12,
            draining: false,
            models: (0..MODELS).map(|number| (model(number), 1)).collect(),
            born: 1,
            cold_left: Millis::ZERO,
        });
    }
    fleet
}

/// Replays the cadence with a policy. Returns the minimum number of targets that could serve a step
/// when it arrived, and the duration of the longest load in milliseconds.
fn replay(policy: impl Fn(&LoadView<'_>) -> Vec<LoadOrder>) -> (usize, u64) {
    let mut fleet = fleet();
    let service = ServiceName::from("engine");
    let models: Vec<ModelName> = (0..MODELS).map(model).collect();
    let mut named: HashMap<ModelName, u64> =
        models.iter().cloned().map(|model| (model, 1)).collect();
    let mut loading: HashMap<TargetName, Loading> = HashMap::new();
    let mut running: Vec<(TargetName, ModelName, u64, u64)> = Vec::new();
    let (mut least, mut longest) = (TARGETS, 0);
    for at in (0..STEPS * PERIOD_MS).step_by(POLL_INTERVAL_MS) {
        let now = Millis(at);
        running.retain(|(target, model, version, ends)| {
            if *ends <= at {
                fleet.observe_version(target, model, *version);
            }
            *ends > at
        });
        // Models get their versions a third of a period apart.
        for (number, model) in models.iter().enumerate() {
            let phase = number as u64 * PERIOD_MS / MODELS as u64;
            if at >= PERIOD_MS && (at - phase) % PERIOD_MS < POLL_INTERVAL_MS as u64 {
                let version = named.get_mut(model).unwrap();
                *version += 1;
                let needed = *version - 1;
                let serves = |target: &&&godwitspool_host::version::Target| {
                    target.entry.models[model] >= needed
                };
                least = least.min(fleet.usable(&service).iter().filter(serves).count());
            }
        }
        let orders = policy(&LoadView {
            targets: fleet.usable(&service),
            assigned: &fleet.assign_models(&service, &models),
            newest_versions: &named,
            loading: &loading,
            mode: LoadMode::Continue,
            most: CONCURRENT_LOADS,
            scarce: false,
            now,
        });
        for order in orders {
            // Beyond two concurrent loads, each further one takes proportionally longer.
            let slowed = (running.len() + 1).div_ceil(CONCURRENT_LOADS) as u64;
            let ends = at + LOAD_TIME.0 * slowed;
            let load = Loading {
                model: order.model.clone(),
                version: order.version,
                since: now,
            };
            loading.insert(order.target.clone(), load);
            longest = longest.max(ends - at);
            running.push((order.target, order.model, order.version, ends));
        }
    }
    (least, longest)
}

/// Orders all outdated targets to load at the same time.
fn all_at_once(view: &LoadView<'_>) -> Vec<LoadOrder> {
    let behind = view.targets.iter().filter_map(|target| {
        let name = &target.entry.name;
        let model = view.assigned.get(name)?;
        let newest = view.newest_versions[model];
        let ordered = view
            .loading
            .get(name)
            .is_some_and(|load| load.version >= newest);
        (target.entry.models[model] < newest && !ordered).then(|| LoadOrder {
            target: name.clone(),
            address: target.entry.address,
            born: target.entry.born,
            model: model.clone(),
            version: newest,
            mode: view.mode,
        })
    });
    behind.collect()
}

#[test]
fn each_step_finds_a_target_and_loads_do_not_slow_each_other() {
    let (least, longest) = replay(plan_loads);
    assert!(least >= 1, "no target could serve a step");
    assert_eq!(longest, LOAD_TIME.0, "loads slowed each other down");
    let (_, simple) = replay(all_at_once);
    assert!(longest < simple, "{longest} ms, not below {simple} ms");
}

#[test]
fn a_model_without_targets_comes_first_and_uses_targets_of_others() {
    let fleet = fleet();
    let service = ServiceName::from("engine");
    let models: Vec<ModelName> = (0..MODELS).map(model).collect();
    let named = HashMap::from([(model(0), 2), (model(1), 9), (model(2), 2)]);
    let assigned = fleet.assign_models(&service, &models);
    let orders = plan_loads(&LoadView {
        targets: fleet.usable(&service),
        assigned: &assigned,
        newest_versions: &named,
        loading: &HashMap::new(),
        mode: LoadMode::Continue,
        most: CONCURRENT_LOADS,
        scarce: false,
        now: Millis(10_000),
    });
    assert_eq!(orders.len(), CONCURRENT_LOADS);
    assert!(
        orders
            .iter()
            .all(|order| order.model == model(1) && order.version == 9)
    );
}

/// Guards against LOST: a target that couldn't be reached twice gets no order any more, although it is
/// back, and with enough such targets a version is loaded by none.
#[test]
fn an_unreachable_target_is_tried_again_when_nothing_is_more_urgent() {
    use godwitspool_host::version::Outcome;

    let mut fleet = fleet();
    let service = ServiceName::from("engine");
    let models: Vec<ModelName> = (0..MODELS).map(model).collect();
    let lost = TargetName::from("t0");
    let fail = |fleet: &mut godwitspool_host::version::Fleet, now| {
        fleet.start(&lost);
        fleet.finish(&lost, Outcome::Failed, now);
    };
    for _ in 0..3 {
        fail(&mut fleet, Millis(0));
    }
    let named: HashMap<ModelName, u64> = models.iter().cloned().map(|model| (model, 2)).collect();
    let assigned = fleet.assign_models(&service, &models);
    let mut loading = HashMap::new();
    let (mut sound_at, mut tries) = (Millis(0), Vec::new());
    for round in 0..40 {
        let now = Millis(10_000 + round * 500);
        let orders = plan_loads(&LoadView {
            targets: fleet.usable(&service),
            assigned: &assigned,
            newest_versions: &named,
            loading: &loading,
            mode: LoadMode::Continue,
            most: CONCURRENT_LOADS,
            scarce: false,
            now,
        });
        for order in orders {
            if order.target == lost {
                tries.push(now);
                fail(&mut fleet, now);
                continue;
            }
            sound_at = now;
            fleet.observe_version(&order.target, &order.model, order.version);
            let load = Loading {
                model: order.model,
                version: order.version,
                since: now,
            };
            loading.insert(order.target, load);
        }
    }
    assert!(tries.len() > 3, "it is tried again: {tries:?}");
    assert!(tries[0] >= sound_at, "sound targets come first");
    let spaced = tries
        .windows(2)
        .all(|pair| pair[1] - pair[0] >= Millis(2_000));
    assert!(spaced, "it takes no place from others for long: {tries:?}");
}
