//! Differences between two configurations.

use std::{collections::BTreeMap, hash::Hash};

use godwitspool_types::{
    ClassName, Dc, ModelName, ServiceName, TrainerName, WeightVersion, Workspace,
};
use serde::{Deserialize, Serialize};

use crate::{ClassRules, Configuration, DcRules, ServiceRules, TrainerRules, WorkspaceRules};

/// A change of the configuration. Each map holds, by name, the new rules, or `None` if the name is
/// removed; unchanged names are absent.
///
/// ```
/// use godwitspool_version::{Configuration, ConfigurationChange};
///
/// let old = Configuration::default();
/// let mut new = old.clone();
/// new.open_routes.insert("status".into());
///
/// let mut changed = old.clone();
/// ConfigurationChange::between(&old, &new).apply(&mut changed);
/// assert_eq!(changed, new);
/// ```
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct ConfigurationChange {
    /// Changed classes of targets.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub classes: BTreeMap<ClassName, Option<ClassRules>>,
    /// Changed data centres.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub dcs: BTreeMap<Dc, Option<DcRules>>,
    /// Services that start (`true`) or stop (`false`) accepting requests without a key.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub open_routes: BTreeMap<ServiceName, bool>,
    /// Changed services, by qualified name.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub services: BTreeMap<ServiceName, Option<ServiceRules>>,
    /// Changed trainers.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub trainers: BTreeMap<TrainerName, Option<TrainerRules>>,
    /// Changed weight versions, by model.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub weights: BTreeMap<ModelName, Option<WeightVersion>>,
    /// Changed workspaces.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub workspaces: BTreeMap<Workspace, Option<WorkspaceRules>>,
}

impl ConfigurationChange {
    /// Returns the change that turns the old configuration into the new one.
    pub fn between(old: &Configuration, new: &Configuration) -> Self {
        let closed = old.open_routes.difference(&new.open_routes);
        let opened = new.open_routes.difference(&old.open_routes);
        Self {
            classes: map_between(&old.classes, &new.classes),
            dcs: map_between(&old.dcs, &new.dcs),
            open_routes: closed
                .map(|service| (service.clone(), false))
                .chain(opened.map(|service| (service.clone(), true)))
                .collect(),
            services: map_between(&old.services, &new.services),
            trainers: map_between(&old.trainers, &new.trainers),
            weights: map_between(&old.weights, &new.weights),
            workspaces: map_between(&old.workspaces, &new.workspaces),
        }
    }

    /// Applies the change to a configuration.
    pub fn apply(&self, configuration: &mut Configuration) {
        apply_map(&self.classes, &mut configuration.classes);
        apply_map(&self.dcs, &mut configuration.dcs);
        apply_map(&self.services, &mut configuration.services);
        apply_map(&self.trainers, &mut configuration.trainers);
        apply_map(&self.weights, &mut configuration.weights);
        apply_map(&self.workspaces, &mut configuration.workspaces);
        for (service, open) in &self.open_routes {
            if *open {
                configuration.open_routes.insert(service.clone());
            } else {
                configuration.open_routes.remove(service);
            }
        }
    }

    /// Returns whether the change has no effect.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

fn map_between<K: Clone + Hash + Ord, V: Clone + PartialEq>(
    old: &BTreeMap<K, V>,
    new: &BTreeMap<K, V>,
) -> BTreeMap<K, Option<V>> {
    let removed = old
        .keys()
        .filter(|name| !new.contains_key(name))
        .map(|name| (name.clone(), None));
    let set = new
        .iter()
        .filter(|(name, rules)| old.get(name) != Some(rules))
        .map(|(name, rules)| (name.clone(), Some(rules.clone())));
    removed.chain(set).collect()
}

fn apply_map<K: Clone + Ord, V: Clone>(
    change: &BTreeMap<K, Option<V>>,
    rules: &mut BTreeMap<K, V>,
) {
    for (name, changed) in change {
        match changed {
            Some(changed) => rules.insert(name.clone(), changed.clone()),
            None => rules.remove(name),
        };
    }
}
