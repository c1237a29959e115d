use std::collections::{HashMap, HashSet};

use godwitspool_types::{Millis, ModelName, TargetName};

use crate::{
    dialect::{LoadMode, LoadOrder},
    version::{LOAD_TIME, Target},
};

/// An accepted order whose effect hasn't shown after so long is given again: loads, and the time
/// until a target's entry tells.
const ORDER_TIMEOUT: Millis = Millis(4_000);
/// Targets for one load at a time; with more loads at once each takes longer.
const TARGETS_PER_LOAD: usize = 5;
/// Loads at once that never slow each other.
const MIN_CONCURRENT_LOADS: usize = 2;
/// A target that failed so often in a row isn't reached and isn't waited for.
const MAX_FAILURES: u32 = 2;

/// A load that was ordered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Loading {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: u64,
    /// When it was ordered.
    pub since: Millis,
}

/// What is known when loads are planned.
#[derive(Clone, Debug)]
pub struct LoadView<'a> {
    /// Usable targets of one service.
    pub targets: Vec<&'a Target>,
    /// Which model each target follows.
    pub assigned: &'a HashMap<TargetName, ModelName>,
    /// Newest version of each model.
    pub newest_versions: &'a HashMap<ModelName, u64>,
    /// Loads that were ordered.
    pub loading: &'a HashMap<TargetName, Loading>,
    /// What happens to running requests.
    pub mode: LoadMode,
    /// The time.
    pub now: Millis,
}

/// How urgent a load is; the first is the most urgent.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Need {
    /// Hardly any target can serve the model's newest step.
    Short,
    /// Too few targets will be able to serve the next step.
    Next,
    /// The target can serve neither.
    Behind,
    /// The target has nothing else to do.
    Idle,
}

/// Returns when the next load may start, if some are in progress.
pub fn next_load<'a>(
    loading: impl IntoIterator<Item = &'a Loading>,
    now: Millis,
) -> Option<Millis> {
    let ends = loading.into_iter().map(|load| load.since + LOAD_TIME);
    ends.filter(|end| *end > now).min()
}

/// Decides which targets load now.
///
/// Load pattern: each model gets a new version every few seconds, a step accepts the version before
/// too, few targets may load at once, and a target serves nothing of a model while it loads it. So
/// each model keeps half of its targets at the newest version: they serve this step and the next,
/// and each target loads every other version. Models that hardly any reachable target can serve come
/// first, with targets of other models if need be.
pub fn plan_loads(view: &LoadView<'_>) -> Vec<LoadOrder> {
    let now = view.now;
    let max_loads = (view.targets.len() / TARGETS_PER_LOAD).max(MIN_CONCURRENT_LOADS);
    let in_progress = view
        .loading
        .values()
        .filter(|load| now - load.since < LOAD_TIME)
        .count();
    let available = max_loads.saturating_sub(in_progress);
    if available == 0 {
        return Vec::new();
    }
    let mut models: Vec<&ModelName> = view.newest_versions.keys().collect();
    models.sort();
    let is_reachable = |target: &&&Target| target.failures < MAX_FAILURES;
    let share = view.targets.iter().filter(is_reachable).count() / models.len().max(1);
    let mut candidates: Vec<(Need, u64, &TargetName, &ModelName)> = Vec::new();
    for model in models {
        let newest = view.newest_versions[model];
        let versions: Vec<(&Target, u64)> = view
            .targets
            .iter()
            .filter(is_reachable)
            .map(|target| (*target, view.expected(target, model)))
            .collect();
        let count_at_least = |least: u64| versions.iter().filter(|(_, at)| *at >= least).count();
        let (usable, up_to_date) = (
            count_at_least(newest.saturating_sub(1)),
            count_at_least(newest),
        );
        let half = share.div_ceil(2).max(1);
        let own = |target: &Target| view.assigned.get(&target.entry.name) == Some(model);
        // The most outdated first; those that run least lose least.
        let mut behind: Vec<&(&Target, u64)> = versions
            .iter()
            .filter(|(target, at)| *at < newest && !view.is_loading(target))
            .collect();
        behind.sort_by_key(|(target, at)| (!own(target), *at, target.total_running(now)));
        for (rank, (target, at)) in behind.into_iter().enumerate() {
            let own = own(target);
            let need = if usable + rank < half.min(2) {
                Need::Short
            } else if own && up_to_date + rank < half {
                Need::Next
            } else if own && at + 1 < newest {
                Need::Behind
            } else if own && target.total_running(now) == 0 {
                Need::Idle
            } else {
                continue;
            };
            candidates.push((need, newest - at, &target.entry.name, model));
        }
    }
    candidates.sort_by(|a, b| a.0.cmp(&b.0).then(b.1.cmp(&a.1)).then(a.2.cmp(b.2)));
    let mut taken = HashSet::new();
    let orders = candidates
        .into_iter()
        .filter(|(_, _, target, _)| taken.insert(*target));
    let orders = orders.filter_map(|(_, _, name, model)| {
        let target = view
            .targets
            .iter()
            .find(|target| target.entry.name == *name)?;
        Some(LoadOrder {
            target: name.clone(),
            address: target.entry.address,
            model: model.clone(),
            version: view.newest_versions[model],
            mode: view.mode,
        })
    });
    orders.take(available).collect()
}

impl LoadView<'_> {
    /// Returns the version of a model that a target has, or will have soon.
    fn expected(&self, target: &Target, model: &ModelName) -> u64 {
        let current = target.entry.models.get(model).copied().unwrap_or_default();
        let ordered = self.loading.get(&target.entry.name);
        let ordered =
            ordered.filter(|load| load.model == *model && self.now - load.since < ORDER_TIMEOUT);
        ordered.map_or(current, |load| load.version.max(current))
    }

    fn is_loading(&self, target: &Target) -> bool {
        let ordered = self.loading.get(&target.entry.name);
        ordered.is_some_and(|load| self.now - load.since < LOAD_TIME)
    }
}
