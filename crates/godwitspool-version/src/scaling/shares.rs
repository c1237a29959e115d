//! Which class of targets to start, at which price, and how many of them may be reclaimable.

use godwitspool_types::{ClassName, Dc, Millis, ServiceName};

use super::{Scaling, SlotDemand};
use crate::{
    ClassRules, ScalingView,
    scaling_view::{classes_of, count_service, has_non_reclaimable, room_below_ceiling},
};

impl Scaling {
    /// Returns the price of a class in a data centre, with a surcharge for each of up to ten
    /// reclaims.
    pub(super) fn price(&self, dc: &Dc, class: &ClassName, rules: &ClassRules) -> u64 {
        let reclaims = self
            .class_states
            .get(&(dc.clone(), class.clone()))
            .map_or(0, |state| u64::from(state.reclaims.min(10)));
        let percent = 100 + reclaims * self.rules.reclaim_surcharge_percent;
        rules.cost_per_hour.max(1) * percent / 100
    }

    /// Returns the class with the lowest price of those that may be started. For interactive
    /// requests, a service that has a non-reclaimable class uses only such classes.
    pub(super) fn cheapest<'a>(
        &self,
        view: ScalingView<'a>,
        demand: &SlotDemand<'_>,
        now: Millis,
    ) -> Option<(&'a ClassName, &'a ClassRules)> {
        let dc = demand.dc;
        classes_of(view, demand.service)
            .filter(|(class, _)| {
                self.may_order(dc, class, self.rules.restore_interval, now)
                    && room_below_ceiling(view, dc, class) > 0
            })
            .filter(|(_, rules)| {
                !rules.reclaimable
                    || (demand.interactive_shortage == 0
                        || !has_non_reclaimable(view, demand.service))
                        && self.reclaimable_room(view, demand.service) > 0
            })
            .min_by_key(|(class, rules)| self.price(dc, class, rules))
    }

    /// Returns how many reclaimable targets may be added without exceeding their maximum
    /// percentage. There is no limit for a service whose classes are all reclaimable.
    pub(super) fn reclaimable_room(&self, view: ScalingView<'_>, service: &ServiceName) -> u32 {
        if !has_non_reclaimable(view, service) {
            return u32::MAX;
        }
        let percent = self.rules.max_reclaimable_percent.min(99);
        let non_reclaimable = count_service(view, service, false);
        let max_reclaimable = non_reclaimable * percent / (100 - percent);
        max_reclaimable.saturating_sub(count_service(view, service, true))
    }

    /// Returns how many of the targets to be added, at least one, must be non-reclaimable so that
    /// reclaimable ones may make up the rest.
    pub(super) fn non_reclaimable_share(
        &self,
        view: ScalingView<'_>,
        service: &ServiceName,
        wanted: u32,
    ) -> u32 {
        let non_reclaimable = count_service(view, service, false);
        let total = non_reclaimable + count_service(view, service, true) + wanted;
        let share = total * (100 - self.rules.max_reclaimable_percent.min(100));
        share.div_ceil(100).saturating_sub(non_reclaimable).max(1)
    }

    /// Returns whether the service has a reclaimable class that is below its ceiling and not in
    /// backoff.
    pub(super) fn has_reclaimable(
        &self,
        view: ScalingView<'_>,
        dc: &Dc,
        service: &ServiceName,
        now: Millis,
    ) -> bool {
        classes_of(view, service).any(|(class, rules)| {
            let class_key = (dc.clone(), class.clone());
            let state = self.class_states.get(&class_key);
            let is_backing_off = state.is_some_and(|state| now < state.backoff_until);
            rules.reclaimable && !is_backing_off && room_below_ceiling(view, dc, class) > 0
        })
    }
}
