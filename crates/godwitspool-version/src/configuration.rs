//! The configuration that operators publish.

use std::collections::{BTreeMap, BTreeSet};

use godwitspool_types::{
    ClassName, Dc, KeyDigest, ModelName, ServiceName, TrainerName, WeightVersion, Workspace,
};
use serde::{Deserialize, Serialize};

/// The configuration from the operators' folder, merged and validated.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Configuration {
    /// Classes of targets by name.
    pub classes: BTreeMap<ClassName, ClassRules>,
    /// Data centres by name.
    pub dcs: BTreeMap<Dc, DcRules>,
    /// Services that accept requests without a key.
    pub open_routes: BTreeSet<ServiceName>,
    /// Services by qualified name.
    pub services: BTreeMap<ServiceName, ServiceRules>,
    /// Trainers by name.
    pub trainers: BTreeMap<TrainerName, TrainerRules>,
    /// Weight version to serve, by model.
    pub weights: BTreeMap<ModelName, WeightVersion>,
    /// Workspaces by name.
    pub workspaces: BTreeMap<Workspace, WorkspaceRules>,
}

/// Limits and keys of a workspace.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct WorkspaceRules {
    /// Maximum number of requests in flight, over all entry hosts.
    pub concurrency: u32,
    /// Keys that were issued, by digest.
    pub keys: Vec<KeyRule>,
    /// Maximum number of requests per second, over all entry hosts.
    pub rate_per_s: u32,
    /// Services by the name that the workspace uses.
    pub services: BTreeMap<ServiceName, ServiceRef>,
    /// Weight in fair sharing, relative to other workspaces.
    pub share: u32,
    /// What a data centre that can't reach the platform does with the workspace's keys.
    pub unconfirmed_keys: UnconfirmedKeys,
}

impl Default for WorkspaceRules {
    fn default() -> Self {
        Self {
            concurrency: 64,
            keys: Vec::new(),
            rate_per_s: 200,
            services: BTreeMap::new(),
            share: 1,
            unconfirmed_keys: UnconfirmedKeys::default(),
        }
    }
}

/// A key in the configuration, stored as a digest.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeyRule {
    /// Digest of the key's text.
    pub digest: KeyDigest,
    /// Whether the key is withdrawn. A withdrawn digest stays listed and is never valid again.
    #[serde(default)]
    pub withdrawn: bool,
}

/// What to do with keys while the host can't confirm that its configuration is current.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum UnconfirmedKeys {
    /// Keep accepting the keys last known.
    #[default]
    Serve,
    /// Refuse keys once the configuration is older than this many seconds.
    RefuseAfterS(u32),
}

/// The service to which a workspace's own service name refers.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct ServiceRef {
    /// Qualified name of the service.
    pub service: ServiceName,
}

/// Settings of a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct ServiceRules {
    /// Time within which an interactive request must be answered.
    pub deadline_ms: u64,
    /// Whether a request may safely run twice, so that it may be retried.
    pub idempotent: bool,
    /// Whether targets are model engines or plain services.
    pub kind: ServiceKind,
    /// Model that the service's engines serve; empty for plain services.
    pub model: ModelName,
    /// Number of requests that one target runs concurrently.
    pub slots: u32,
}

impl Default for ServiceRules {
    fn default() -> Self {
        Self {
            deadline_ms: 10_000,
            idempotent: false,
            kind: ServiceKind::Plain,
            model: ModelName::default(),
            slots: 16,
        }
    }
}

/// The kind of a service.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// A model engine that streams tokens.
    Engine,
    /// An HTTP service to which requests are passed through.
    #[default]
    Plain,
}

/// Properties of a class of targets.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct ClassRules {
    /// Cost of a running target per hour, in thousandths of the currency unit.
    pub cost_per_hour: u64,
    /// Whether targets of the class refuse orders with an old fencing token.
    pub fencing: bool,
    /// Whether the platform may reclaim the class a whole data centre at a time.
    pub reclaimable: bool,
    /// Qualified name of the service that the targets run.
    pub service: ServiceName,
    /// Time from the order to start a target to its first request.
    pub start_ms: u64,
}

/// Limits of a data centre.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct DcRules {
    /// Maximum number of targets, by class.
    pub ceiling: BTreeMap<ClassName, u32>,
    /// Minimum number of targets, by class.
    pub floor: BTreeMap<ClassName, u32>,
    /// Maximum number of target orders per minute.
    pub orders_per_minute: u32,
}

/// Settings of a trainer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct TrainerRules {
    /// Data centre in which the trainer runs; empty for any.
    pub dc: Dc,
    /// Service that scores samples; empty if samples aren't scored.
    pub scorer: ServiceName,
    /// Service whose engines generate the samples.
    pub service: ServiceName,
    /// Weight in the sharing of training capacity, relative to other trainers.
    pub share: u32,
    /// Maximum staleness of a sample at delivery, in weight versions.
    pub staleness_versions: u32,
    /// Time in which all samples of a step should be complete.
    pub step_ms: u64,
    /// Workspace that is billed.
    pub workspace: Workspace,
}

impl Default for TrainerRules {
    fn default() -> Self {
        Self {
            dc: Dc::default(),
            scorer: ServiceName::default(),
            service: ServiceName::default(),
            share: 1,
            staleness_versions: 1,
            step_ms: 420_000,
            workspace: Workspace::default(),
        }
    }
}
