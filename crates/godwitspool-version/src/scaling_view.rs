//! The inputs of the scaling policy: targets, work and orders.

use godwitspool_types::{ClassName, Dc, ServiceName, TargetName};

use crate::{ClassRules, Configuration, OrderTable, TargetAction};

/// A target in the platform's list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ObservedTarget {
    /// Class of the target.
    pub class: ClassName,
    /// Data centre in which the target runs.
    pub dc: Dc,
    /// Whether the target serves, ends or is reclaimed.
    pub phase: TargetPhase,
    /// Name of the target.
    pub target: TargetName,
}

/// The phase of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetPhase {
    /// The target is serving or starting.
    Active,
    /// The target is being drained or is ending.
    Leaving,
    /// The platform is reclaiming the target.
    Reclaimed,
}

/// Work for a service in a data centre.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ServiceLoad {
    /// Data centre in which the work arises.
    pub dc: Dc,
    /// Qualified name of the service.
    pub service: ServiceName,
    /// Interactive requests running or waiting.
    pub interactive: u32,
    /// Training samples running or waiting.
    pub training: u32,
}

/// Inputs of [`Scaling::decide`](crate::Scaling::decide).
#[derive(Clone, Copy, Debug)]
pub struct ScalingView<'a> {
    /// Configuration in force.
    pub configuration: &'a Configuration,
    /// Work by data centre and service. A missing entry means no work.
    pub loads: &'a [ServiceLoad],
    /// Target orders of the current and earlier lease holders.
    pub orders: &'a OrderTable,
    /// Targets as the platform lists them.
    pub targets: &'a [ObservedTarget],
}

pub(crate) fn classes_of<'a>(
    view: ScalingView<'a>,
    service: &ServiceName,
) -> impl Iterator<Item = (&'a ClassName, &'a ClassRules)> {
    let classes = view.configuration.classes.iter();
    classes.filter(move |(_, rules)| rules.service == *service)
}

/// Returns the floor and the ceiling of a class in a data centre. The ceiling is at least the
/// floor.
pub(crate) fn bounds(view: ScalingView<'_>, dc: &Dc, class: &ClassName) -> (u32, u32) {
    let Some(rules) = view.configuration.dcs.get(dc) else {
        return (0, 0);
    };
    let floor = rules.floor.get(class).copied().unwrap_or(0);
    let ceiling = rules.ceiling.get(class).copied().unwrap_or(floor);
    (floor, ceiling.max(floor))
}

/// Returns how many targets of a class may be started in a data centre before it is at its ceiling.
pub(crate) fn room_below_ceiling(view: ScalingView<'_>, dc: &Dc, class: &ClassName) -> u32 {
    let total =
        count_targets(view, dc, class, TargetPhase::Active) + count_starting(view, dc, class);
    bounds(view, dc, class).1.saturating_sub(total)
}

/// Returns whether the service has a class that can't be reclaimed.
pub(crate) fn has_non_reclaimable(view: ScalingView<'_>, service: &ServiceName) -> bool {
    classes_of(view, service).any(|(_, rules)| !rules.reclaimable)
}

/// Counts the targets that may run interactive requests. These are the non-reclaimable targets if the
/// service has such a class, and all targets otherwise.
pub(crate) fn interactive_capacity(view: ScalingView<'_>, dc: &Dc, service: &ServiceName) -> u32 {
    let has_non_reclaimable = has_non_reclaimable(view, service);
    classes_of(view, service)
        .filter(|(_, rules)| !has_non_reclaimable || !rules.reclaimable)
        .map(|(class, _)| {
            count_targets(view, dc, class, TargetPhase::Active) + count_starting(view, dc, class)
        })
        .sum()
}

/// Counts a service's reclaimable or non-reclaimable targets in all data centres.
pub(crate) fn count_service(
    view: ScalingView<'_>,
    service: &ServiceName,
    reclaimable: bool,
) -> u32 {
    let classes = classes_of(view, service).filter(|(_, rules)| rules.reclaimable == reclaimable);
    let counts = classes.flat_map(|(class, _)| {
        let dcs = view.configuration.dcs.keys();
        dcs.map(move |dc| {
            count_targets(view, dc, class, TargetPhase::Active) + count_starting(view, dc, class)
        })
    });
    counts.sum()
}

/// Counts the targets of a service in a data centre that are serving, starting or ordered.
pub(crate) fn capacity(view: ScalingView<'_>, dc: &Dc, service: &ServiceName) -> u32 {
    classes_of(view, service)
        .map(|(class, _)| {
            count_targets(view, dc, class, TargetPhase::Active) + count_starting(view, dc, class)
        })
        .sum()
}

pub(crate) fn has_reclaimed(view: ScalingView<'_>, dc: &Dc, service: &ServiceName) -> bool {
    classes_of(view, service)
        .any(|(class, _)| count_targets(view, dc, class, TargetPhase::Reclaimed) > 0)
}

pub(crate) fn count_targets(
    view: ScalingView<'_>,
    dc: &Dc,
    class: &ClassName,
    phase: TargetPhase,
) -> u32 {
    let targets = view.targets.iter();
    let of_class = targets.filter(|seen| seen.dc == *dc && seen.class == *class);
    of_class.filter(|seen| seen.phase == phase).count() as u32
}

/// Counts the targets in open start orders. The platform's list doesn't show these yet.
pub(crate) fn count_starting(view: ScalingView<'_>, dc: &Dc, class: &ClassName) -> u32 {
    let orders = view.orders.open.iter();
    let of_class = orders.filter(|open| open.intent.dc == *dc && open.intent.class == *class);
    of_class
        .map(|open| match &open.intent.action {
            TargetAction::Start(targets) => *targets,
            TargetAction::Stop(_) => 0,
        })
        .sum()
}

/// Returns the names of up to `targets` active targets of a class in a data centre.
pub(crate) fn active_names(
    view: ScalingView<'_>,
    dc: &Dc,
    class: &ClassName,
    targets: u32,
) -> Vec<TargetName> {
    let active = view
        .targets
        .iter()
        .filter(|seen| seen.dc == *dc && seen.class == *class && seen.phase == TargetPhase::Active);
    let names = active.map(|seen| seen.target.clone());
    names.take(targets as usize).collect()
}
