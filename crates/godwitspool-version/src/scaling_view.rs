//! What the scaling policy sees: targets, work and orders.

use godwitspool_types::{ClassName, Dc, ServiceName, TargetName};

use crate::{ClassRules, Configuration, OrderTable, TargetAction};

/// A target as the policy sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ObservedTarget {
    /// Class.
    pub class: ClassName,
    /// Data centre.
    pub dc: Dc,
    /// What it does.
    pub phase: TargetPhase,
    /// Name.
    pub target: TargetName,
}

/// What a target does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetPhase {
    /// Serves or is about to.
    Active,
    /// Ends, or is being drained.
    Leaving,
    /// Is taken away by the platform.
    Reclaimed,
}

/// Work for a service in a data centre.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ServiceLoad {
    /// Data centre.
    pub dc: Dc,
    /// Service.
    pub service: ServiceName,
    /// Interactive requests running or waiting.
    pub interactive: u32,
    /// Training samples running or waiting.
    pub training: u32,
}

/// What the policy decides by.
#[derive(Clone, Copy, Debug)]
pub struct ScalingView<'a> {
    /// Configuration in force.
    pub configuration: &'a Configuration,
    /// Work.
    pub loads: &'a [ServiceLoad],
    /// Orders of this and earlier holders.
    pub orders: &'a OrderTable,
    /// Targets.
    pub targets: &'a [ObservedTarget],
}

// ---

pub(crate) fn classes_of<'a>(
    view: ScalingView<'a>,
    service: &ServiceName,
) -> impl Iterator<Item = (&'a ClassName, &'a ClassRules)> {
    let classes = view.configuration.classes.iter();
    classes.filter(move |(_, rules)| rules.service == *service)
}

pub(crate) fn bounds(view: ScalingView<'_>, dc: &Dc, class: &ClassName) -> (u32, u32) {
    let Some(rules) = view.configuration.dcs.get(dc) else {
        return (0, 0);
    };
    let floor = rules.floor.get(class).copied().unwrap_or(0);
    let ceiling = rules.ceiling.get(class).copied().unwrap_or(floor);
    (floor, ceiling.max(floor))
}

pub(crate) fn room(view: ScalingView<'_>, dc: &Dc, class: &ClassName) -> u32 {
    let counted = count(view, dc, class, TargetPhase::Active) + starting(view, dc, class);
    bounds(view, dc, class).1.saturating_sub(counted)
}

/// Tells whether the service has a class that can't be reclaimed.
pub(crate) fn has_kept(view: ScalingView<'_>, service: &ServiceName) -> bool {
    classes_of(view, service).any(|(_, rules)| !rules.reclaimable)
}

/// Counts the targets that interactive requests are given to: those that can't be reclaimed, if the
/// service has a class of them.
pub(crate) fn kept_capacity(view: ScalingView<'_>, dc: &Dc, service: &ServiceName) -> u32 {
    let has_kept = has_kept(view, service);
    classes_of(view, service)
        .filter(|(_, rules)| !has_kept || !rules.reclaimable)
        .map(|(class, _)| count(view, dc, class, TargetPhase::Active) + starting(view, dc, class))
        .sum()
}

/// Counts the targets of a service in all data centres, by whether they can be reclaimed.
pub(crate) fn count_service(
    view: ScalingView<'_>,
    service: &ServiceName,
    reclaimable: bool,
) -> u32 {
    let classes = classes_of(view, service).filter(|(_, rules)| rules.reclaimable == reclaimable);
    let counts = classes.flat_map(|(class, _)| {
        let dcs = view.configuration.dcs.keys();
        dcs.map(move |dc| count(view, dc, class, TargetPhase::Active) + starting(view, dc, class))
    });
    counts.sum()
}

/// Counts the targets that serve a service or are about to.
pub(crate) fn capacity(view: ScalingView<'_>, dc: &Dc, service: &ServiceName) -> u32 {
    classes_of(view, service)
        .map(|(class, _)| count(view, dc, class, TargetPhase::Active) + starting(view, dc, class))
        .sum()
}

pub(crate) fn has_reclaimed(view: ScalingView<'_>, dc: &Dc, service: &ServiceName) -> bool {
    classes_of(view, service).any(|(class, _)| count(view, dc, class, TargetPhase::Reclaimed) > 0)
}

pub(crate) fn count(view: ScalingView<'_>, dc: &Dc, class: &ClassName, phase: TargetPhase) -> u32 {
    let targets = view.targets.iter();
    let of_class = targets.filter(|seen| seen.dc == *dc && seen.class == *class);
    of_class.filter(|seen| seen.phase == phase).count() as u32
}

/// Counts targets that were ordered and don't yet stand in the platform's lagging list.
pub(crate) fn starting(view: ScalingView<'_>, dc: &Dc, class: &ClassName) -> u32 {
    let orders = view.orders.open.iter();
    let of_class = orders.filter(|open| open.intent.dc == *dc && open.intent.class == *class);
    of_class
        .map(|open| match &open.intent.action {
            TargetAction::Start(targets) => *targets,
            TargetAction::Stop(_) => 0,
        })
        .sum()
}

pub(crate) fn idle_names(
    view: ScalingView<'_>,
    dc: &Dc,
    class: &ClassName,
    targets: u32,
) -> Vec<TargetName> {
    let counted = view
        .targets
        .iter()
        .filter(|seen| seen.dc == *dc && seen.class == *class && seen.phase == TargetPhase::Active);
    let names = counted.map(|seen| seen.target.clone());
    names.take(targets as usize).collect()
}
