use std::collections::HashMap;

use godwitspool_types::{Millis, ModelName, TargetName};

use crate::{
    dialect::{LoadMode, LoadOrder},
    version::Target,
};

/// Time that a load takes as a rule; after it another may start.
const LOAD_TIME: Millis = Millis(1_000);
/// An accepted order whose effect hasn't shown after so long is given again: loads, and the time
/// until a target's entry tells.
const ORDER_TIMEOUT: Millis = Millis(4_000);
/// Targets for one load at a time; with more loads at once each takes longer.
const TARGETS_PER_LOAD: usize = 5;
/// Loads at once that never slow each other.
const LOADS_LEAST: usize = 2;

/// A load that was ordered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Loading {
    /// The version.
    pub version: u64,
    /// When it was ordered.
    pub since: Millis,
}

/// Decides which targets load now.
///
/// Load pattern: each model gets a new version every few seconds, a step accepts the version before
/// too, and a target serves nothing of a model while it loads it. So each target follows one model,
/// the targets that are furthest behind load first, and few load at once: the others serve on.
pub fn plan_loads(
    targets: &[&Target],
    dealt: &HashMap<TargetName, ModelName>,
    named: &HashMap<ModelName, u64>,
    loading: &HashMap<TargetName, Loading>,
    mode: LoadMode,
    now: Millis,
) -> Vec<LoadOrder> {
    let most = (targets.len() / TARGETS_PER_LOAD).max(LOADS_LEAST);
    let busy = loading.values().filter(|load| now - load.since < LOAD_TIME).count();
    let mut behind: Vec<(u64, LoadOrder)> = Vec::new();
    for target in targets {
        let name = &target.entry.name;
        let Some(model) = dealt.get(name) else {
            continue;
        };
        let newest = named.get(model).copied().unwrap_or_default();
        let current = target.entry.models.get(model).copied().unwrap_or_default();
        let ordered = loading.get(name).filter(|load| now - load.since < ORDER_TIMEOUT);
        let pending = ordered.is_some_and(|load| {
            load.version >= newest || now - load.since < LOAD_TIME
        });
        let expected = ordered.map_or(current, |load| load.version.max(current));
        if newest > current && !pending {
            let order = LoadOrder {
                target: name.clone(),
                address: target.entry.address,
                model: model.clone(),
                version: newest,
                mode,
            };
            behind.push((newest - expected.min(newest), order));
        }
    }
    behind.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.target.cmp(&b.1.target)));
    let orders = behind.into_iter().map(|(_, order)| order);
    orders.take(most.saturating_sub(busy)).collect()
}
