//! Which class to start, at which price, and how many of what can be reclaimed.

use godwitspool_types::{ClassName, Dc, Millis, ServiceName};

use super::{Scaling, Shortage};
use crate::{
    ClassRules, ScalingView,
    scaling_view::{classes_of, count_service, has_kept, room},
};

impl Scaling {
    /// Returns a class's price in a data centre, with the risk of being reclaimed.
    pub(super) fn price(&self, dc: &Dc, class: &ClassName, rules: &ClassRules) -> u64 {
        let reclaims = self
            .places
            .get(&(dc.clone(), class.clone()))
            .map_or(0, |memory| u64::from(memory.reclaims.min(10)));
        let percent = 100 + reclaims * self.rules.reclaim_percent;
        rules.cost_per_hour.max(1) * percent / 100
    }

    /// Finds the cheapest class that may be started, at its price with risk.
    pub(super) fn cheapest<'a>(
        &self,
        view: ScalingView<'a>,
        shortage: &Shortage<'_>,
        now: Millis,
    ) -> Option<(&'a ClassName, &'a ClassRules)> {
        let dc = shortage.dc;
        classes_of(view, shortage.service)
            .filter(|(class, _)| {
                self.is_open(dc, class, self.rules.settle, now) && room(view, dc, class) > 0
            })
            .filter(|(_, rules)| {
                !rules.reclaimable
                    || (shortage.interactive == 0 || !has_kept(view, shortage.service))
                        && self.reclaimable_room(view, shortage.service) > 0
            })
            .min_by_key(|(class, rules)| self.price(dc, class, rules))
    }

    /// Counts the reclaimable targets that may be added while the service keeps enough that can't be
    /// reclaimed.
    pub(super) fn reclaimable_room(&self, view: ScalingView<'_>, service: &ServiceName) -> u32 {
        if !has_kept(view, service) {
            return u32::MAX;
        }
        let percent = self.rules.reclaimable_percent.min(99);
        let kept = count_service(view, service, false);
        let most = kept * percent / (100 - percent);
        most.saturating_sub(count_service(view, service, true))
    }

    /// Counts the targets that can't be reclaimed among those to be added, so that reclaimable ones may
    /// do the rest.
    pub(super) fn kept_share(
        &self,
        view: ScalingView<'_>,
        service: &ServiceName,
        wanted: u32,
    ) -> u32 {
        let kept = count_service(view, service, false);
        let total = kept + count_service(view, service, true) + wanted;
        let share = total * (100 - self.rules.reclaimable_percent.min(100));
        share.div_ceil(100).saturating_sub(kept).max(1)
    }

    pub(super) fn has_reclaimable(
        &self,
        view: ScalingView<'_>,
        dc: &Dc,
        service: &ServiceName,
        now: Millis,
    ) -> bool {
        classes_of(view, service).any(|(class, rules)| {
            let place = (dc.clone(), class.clone());
            let memory = self.places.get(&place);
            let is_shut = memory.is_some_and(|memory| now < memory.shut_until);
            rules.reclaimable && !is_shut && room(view, dc, class) > 0
        })
    }
}
