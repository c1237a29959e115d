//! Targets whose change the platform's list may not show yet, because the list lags behind.

use std::collections::BTreeMap;

use godwitspool_types::{ClassName, Dc, Millis, TargetName};

use crate::{ObservedTarget, OrderIntent, TargetAction, TargetPhase};

/// Targets that were started or stopped recently.
#[derive(Clone, Debug, Default)]
pub(crate) struct AwaitedTargets(BTreeMap<TargetName, Awaited>);

#[derive(Clone, Debug)]
struct Awaited {
    class: ClassName,
    dc: Dc,
    phase: TargetPhase,
    until: Millis,
}

impl AwaitedTargets {
    /// Adds targets that an order has started or stopped. The list is corrected for them until it
    /// shows the change, or until `until`.
    pub(crate) fn add(&mut self, intent: &OrderIntent, names: &[TargetName], until: Millis) {
        let awaited = Awaited {
            class: intent.class.clone(),
            dc: intent.dc.clone(),
            phase: match intent.action {
                TargetAction::Start(_) => TargetPhase::Active,
                TargetAction::Stop(_) => TargetPhase::Leaving,
            },
            until,
        };
        let names = names.iter();
        self.0
            .extend(names.map(|name| (name.clone(), awaited.clone())));
    }

    /// Returns the targets as the platform's list will show them when it is up to date.
    pub(crate) fn expected(
        &mut self,
        listed: &[ObservedTarget],
        now: Millis,
    ) -> Vec<ObservedTarget> {
        self.0.retain(|name, awaited| {
            let entry = listed.iter().find(|seen| seen.target == *name);
            now < awaited.until && !awaited.is_in_effect(entry)
        });
        let unchanged = listed
            .iter()
            .filter(|seen| !self.0.contains_key(&seen.target));
        let awaited = self.0.iter().map(|(name, awaited)| ObservedTarget {
            class: awaited.class.clone(),
            dc: awaited.dc.clone(),
            phase: awaited.phase,
            target: name.clone(),
        });
        unchanged.cloned().chain(awaited).collect()
    }
}

impl Awaited {
    fn is_in_effect(&self, entry: Option<&ObservedTarget>) -> bool {
        match self.phase {
            TargetPhase::Active => entry.is_some(),
            TargetPhase::Leaving | TargetPhase::Reclaimed => {
                entry.is_none_or(|seen| seen.phase != TargetPhase::Active)
            }
        }
    }
}
