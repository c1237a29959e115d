use std::collections::{HashMap, HashSet};

use godwitspool_types::{Millis, ModelName, TargetName};

use crate::{
    dialect::{LoadMode, LoadOrder},
    version::{LOAD_TIME, Target},
};

/// Time after which an accepted order is repeated if the target's entry doesn't show its effect. It
/// covers the load itself and the delay until the entry is read.
const ORDER_TIMEOUT: Millis = Millis(4_000);
/// Number of consecutive failures from which on a target counts as unreachable: it isn't counted on, and
/// is tried again only while there is nothing more urgent.
const MAX_FAILURES: u32 = 2;

/// A load that was ordered from a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Loading {
    /// Name of the model.
    pub model: ModelName,
    /// Ordered version; 0 if the target is not known to have accepted the order.
    pub version: u64,
    /// When the order was sent.
    pub since: Millis,
}

/// The state on which [`plan_loads`] decides.
#[derive(Clone, Debug)]
pub struct LoadView<'a> {
    /// Usable targets of one service, reachable or not.
    pub targets: Vec<&'a Target>,
    /// Model that each target is assigned to.
    pub assigned: &'a HashMap<TargetName, ModelName>,
    /// Newest version of each model.
    pub newest_versions: &'a HashMap<ModelName, u64>,
    /// Latest load that was ordered from each target.
    pub loading: &'a HashMap<TargetName, Loading>,
    /// What the targets do with a model's running requests.
    pub mode: LoadMode,
    /// Maximum number of concurrent loads.
    pub most: usize,
    /// Whether that is fewer than the service would use, so that its models compete for loads.
    pub scarce: bool,
    /// Current time.
    pub now: Millis,
}

/// The urgency of a load, most urgent first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Need {
    /// Fewer than two reachable targets can serve the model's current step, or none if the model
    /// has a share of at most two targets.
    Short,
    /// Fewer than half of the model's share of targets can serve the next step.
    Next,
    /// The target is too old for the current step.
    Behind,
    /// The target is idle, so the load delays nothing.
    Idle,
}

/// Returns when the first load in progress ends, so that another may start; `None` if no load is in
/// progress.
pub fn next_load<'a>(
    loading: impl IntoIterator<Item = &'a Loading>,
    now: Millis,
) -> Option<Millis> {
    let ends = loading.into_iter().map(|load| load.since + LOAD_TIME);
    ends.filter(|end| *end > now).min()
}

/// Decides which targets load which version now; returns the orders, most urgent first.
///
/// Load pattern: each model gets a new version every few seconds, a step also accepts the previous
/// version, only a few targets may load concurrently, and a target doesn't serve a model while it
/// loads it. Therefore half of a model's targets are kept at the newest version: they serve the
/// current step and the next one, and each target loads every second version. Models with fewer
/// than two targets for the current step come first, and may use targets that are assigned to other
/// models.
pub fn plan_loads(view: &LoadView<'_>) -> Vec<LoadOrder> {
    let now = view.now;
    let in_progress = view
        .loading
        .values()
        .filter(|load| now - load.since < LOAD_TIME)
        .count();
    let available = view.most.saturating_sub(in_progress);
    if available == 0 {
        return Vec::new();
    }
    let mut models: Vec<&ModelName> = view.newest_versions.keys().collect();
    models.sort();
    let is_reachable = |target: &&&Target| target.failures < MAX_FAILURES;
    let share = view.targets.iter().filter(is_reachable).count() / models.len().max(1);
    let mut candidates: Vec<(Need, usize, u64, &Target, &ModelName)> = Vec::new();
    for model in models {
        let newest = view.newest_versions[model];
        let versions: Vec<(&Target, u64)> = view
            .targets
            .iter()
            .filter(is_reachable)
            .map(|target| (*target, view.expected(target, model)))
            .collect();
        let count_at_least = |oldest: u64| versions.iter().filter(|(_, at)| *at >= oldest).count();
        let (usable, up_to_date) = (
            count_at_least(newest.saturating_sub(1)),
            count_at_least(newest),
        );
        let half = share.div_ceil(2).max(1);
        let own = |target: &Target| view.assigned.get(&target.entry.name) == Some(model);
        // Own targets come first, then the oldest versions, then the fewest running requests, which
        // a load would delay.
        let mut behind: Vec<&(&Target, u64)> = versions
            .iter()
            .filter(|(target, at)| *at < newest && !view.is_loading(target))
            .collect();
        behind.sort_by_cached_key(|(target, at)| (!own(target), *at, target.total_running(now)));
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
            candidates.push((need, up_to_date + rank, newest - at, target, model));
        }
    }
    // While loads are scarce, the model with the fewest targets for its next step comes first among equal
    // needs. Otherwise models whose versions are named most often would get all of them.
    candidates.sort_by(|a, b| {
        let rank = |(need, up_to_date, ..): &(Need, usize, u64, &Target, &ModelName)| match need {
            Need::Next if view.scarce => (*need, *up_to_date),
            _ => (*need, 0),
        };
        let order = rank(a).cmp(&rank(b)).then(b.2.cmp(&a.2));
        order.then_with(|| a.3.entry.name.cmp(&b.3.entry.name))
    });
    let mut taken = HashSet::new();
    let orders = candidates
        .into_iter()
        .filter(|(_, _, _, target, _)| taken.insert(&target.entry.name));
    let orders = orders.map(|(_, _, _, target, model)| LoadOrder {
        target: target.entry.name.clone(),
        address: target.entry.address,
        born: target.entry.born,
        model: model.clone(),
        version: view.newest_versions[model],
        mode: view.mode,
    });
    let mut orders: Vec<LoadOrder> = orders.take(available).collect();
    // Leaves room for a load that becomes urgent meanwhile.
    if orders.len() + 1 < available {
        orders.extend(retry(view));
    }
    orders
}

/// Returns an order to the target that has been unreachable for longest and is due to be tried again, so
/// that a target comes back although nothing but orders is sent to it.
fn retry(view: &LoadView<'_>) -> Option<LoadOrder> {
    let due = view.targets.iter().filter(|target| {
        target.failures >= MAX_FAILURES
            && target.paused_until <= view.now
            && !view.is_loading(target)
    });
    let outdated = due.filter_map(|target| {
        let model = view.assigned.get(&target.entry.name)?;
        let version = *view.newest_versions.get(model)?;
        (view.expected(target, model) < version).then_some((target, model, version))
    });
    let (target, model, version) = outdated.min_by_key(|(target, ..)| target.paused_until)?;
    Some(LoadOrder {
        target: target.entry.name.clone(),
        address: target.entry.address,
        born: target.entry.born,
        model: model.clone(),
        version,
        mode: view.mode,
    })
}

impl LoadView<'_> {
    /// Returns the version of a model that a target has, or has been ordered to load.
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
