use std::{collections::HashMap, sync::Arc};

use godwitspool_types::{ModelName, ServiceName, TargetName};

use super::Fleet;

/// The model of each target of a service.
pub type AssignedModels = Arc<HashMap<TargetName, ModelName>>;

/// Models that are assigned to targets, kept until the targets or models change.
///
/// Load pattern: a step submits hundreds of items at the same time, and each is placed by the same
/// assignment. For 3,000 targets it takes longer to compute than everything else that starts an item.
///
/// ```
/// use godwitspool_host::version::{Assignments, Fleet};
/// use godwitspool_types::ServiceName;
///
/// let (fleet, service) = (Fleet::default(), ServiceName::from("engine"));
/// let mut assignments = Assignments::default();
/// assert!(assignments.of(&fleet, &service, &[]).is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Assignments(HashMap<ServiceName, Known>);

#[derive(Clone, Debug)]
struct Known {
    /// Revision of the fleet by which the models were assigned.
    revision: u64,
    models: Vec<ModelName>,
    assigned: AssignedModels,
}

impl Assignments {
    /// Returns what [`Fleet::assign_models`] returns for a service and its models.
    pub fn of(
        &mut self,
        fleet: &Fleet,
        service: &ServiceName,
        models: &[ModelName],
    ) -> AssignedModels {
        let known = self.0.get(service);
        let current =
            known.filter(|known| known.revision == fleet.revision() && known.models == models);
        if let Some(known) = current {
            return Arc::clone(&known.assigned);
        }
        let assigned = Arc::new(fleet.assign_models(service, models));
        let known = Known {
            revision: fleet.revision(),
            models: models.to_vec(),
            assigned: Arc::clone(&assigned),
        };
        self.0.insert(service.clone(), known);
        assigned
    }
}
