use std::{collections::HashMap, fmt, sync::PoisonError};

use godwitspool_process::{CounterByReason, Metrics};
use godwitspool_request::{Repeat, RepeatBudget};
use godwitspool_sync::{Mutex, MutexGuard};
use godwitspool_types::{Millis, ServiceName, Workspace};

/// Budgets for requests that are sent to a further target although another one may be running them.
/// Each repeat is taken from the budgets of its service and of its workspace.
pub struct Repeats {
    budgets: Mutex<Budgets>,
    /// Number of repeats by kind, and of those that were denied or answered first.
    outcomes: CounterByReason,
}

impl fmt::Debug for Repeats {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Repeats").finish_non_exhaustive()
    }
}

#[derive(Default)]
struct Budgets {
    services: HashMap<ServiceName, RepeatBudget>,
    workspaces: HashMap<Workspace, RepeatBudget>,
}

impl Budgets {
    fn both(&mut self, service: &ServiceName, workspace: &Workspace) -> [&mut RepeatBudget; 2] {
        [
            self.services.entry(service.clone()).or_default(),
            self.workspaces.entry(workspace.clone()).or_default(),
        ]
    }
}

impl Repeats {
    /// Creates full budgets and registers their metric.
    pub fn new(metrics: &Metrics) -> Self {
        Self {
            budgets: Mutex::default(),
            outcomes: metrics.counter_by_reason(
                "repeats",
                "Requests sent to a further target by kind, those denied and those that answered first",
            ),
        }
    }

    /// Takes a repeat from both budgets, or returns `false` and takes nothing if one isn't enough.
    pub fn take(&self, service: &ServiceName, workspace: &Workspace, repeat: Repeat) -> bool {
        let mut budgets = self.lock();
        let mut both = budgets.both(service, workspace);
        let allowed = both.iter().all(|budget| budget.allows(repeat));
        if allowed {
            for budget in &mut both {
                budget.take(repeat);
            }
        }
        drop(budgets);
        self.outcomes.count(match (repeat, allowed) {
            (Repeat::Hedge, true) => "hedge",
            (Repeat::Hedge, false) => "hedge denied",
            (Repeat::Retry, true) => "retry",
            (Repeat::Retry, false) => "retry denied",
        });
        allowed
    }

    /// Returns a repeat that was taken and not sent.
    pub fn refund(&self, service: &ServiceName, workspace: &Workspace) {
        for budget in self.lock().both(service, workspace) {
            budget.refund();
        }
    }

    /// Records that a request was served, and whether by a repeat.
    pub fn succeed(
        &self,
        service: &ServiceName,
        workspace: &Workspace,
        repeated: bool,
        now: Millis,
    ) {
        for budget in self.lock().both(service, workspace) {
            budget.succeed(repeated, now);
        }
        if repeated {
            self.outcomes.count("answered first");
        }
    }

    fn lock(&self) -> MutexGuard<'_, Budgets> {
        self.budgets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
