//! The deployment that an operators' folder describes.

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
};

use godwitspool_fakes::{ClassOptions, EngineOptions, PlainOptions, TargetKind};
use godwitspool_process::folder;
use godwitspool_types::{ClassName, Dc, Key, ModelName, ServiceName, WeightVersion, Workspace};
use godwitspool_version::{Configuration, ServiceKind, ServiceRules};

use crate::{DemoError, DemoOptions};

/// Time until a crashed target serves again, in milliseconds.
const RESTART_MS: u64 = 800;
/// Upper limit for the start time of a target, in milliseconds, whatever the folder configures.
const MAX_START_MS: u64 = 2_000;
/// Time from the order to stop a target until it stops, in milliseconds.
const STOP_MS: u64 = 5_000;

/// The deployment that the demo runs.
#[derive(Clone, Debug)]
pub(crate) struct Deployment {
    /// Configuration loaded from the folder.
    pub(crate) configuration: Configuration,
    /// Key of each workspace whose example key is valid.
    pub(crate) keys: BTreeMap<Workspace, Key>,
}

impl Deployment {
    /// Loads the folder.
    ///
    /// The key of workspace `a/b` is `gsk-example-a-b`. Workspaces that don't accept this key are
    /// left out of [`Self::keys`].
    pub(crate) fn load(options: &DemoOptions) -> Result<Self, DemoError> {
        let folder =
            folder::load(&options.folder).map_err(|findings| DemoError::Folder { findings })?;
        let configuration = folder.configuration;
        let keys = configuration
            .workspaces
            .iter()
            .filter_map(|(workspace, rules)| {
                let name = workspace.as_str().replace('/', "-");
                let key = Key::from(format!("gsk-example-{name}").as_str());
                let digest = key.digest();
                let valid = rules
                    .keys
                    .iter()
                    .any(|rule| rule.digest == digest && !rule.withdrawn);
                valid.then(|| (workspace.clone(), key))
            });
        let keys = keys.collect();
        Ok(Self {
            configuration,
            keys,
        })
    }

    pub(crate) fn dcs(&self) -> Vec<Dc> {
        self.configuration.dcs.keys().cloned().collect()
    }

    pub(crate) fn service(&self, service: &ServiceName) -> Option<&ServiceRules> {
        self.configuration.services.get(service)
    }

    /// Returns whether the platform can reclaim the targets of a class.
    pub(crate) fn is_reclaimable(&self, class: &ClassName) -> bool {
        self.configuration
            .classes
            .get(class)
            .is_some_and(|rules| rules.reclaimable)
    }

    /// Returns the configured weight version of a model, `v1` by default.
    pub(crate) fn weights(&self, model: &ModelName) -> WeightVersion {
        let version = self.configuration.weights.get(model).cloned();
        version.unwrap_or_else(|| WeightVersion::from("v1"))
    }

    /// Returns the classes that the platform offers.
    ///
    /// Each data centre starts with its floor of targets, and with one target of each reclaimable
    /// class. Targets listen on `address`, which must be used by this demo only: a target that is
    /// down releases its port, and another process could take it.
    pub(crate) fn classes(&self, address: IpAddr) -> Vec<ClassOptions> {
        let listen = SocketAddr::new(address, 0);
        let classes = self
            .configuration
            .classes
            .iter()
            .filter_map(|(class, rules)| {
                let service = self.service(&rules.service)?;
                let kind = match service.kind {
                    ServiceKind::Engine => TargetKind::Engine(EngineOptions {
                        listen,
                        model: service.model.clone(),
                        weights: self.weights(&service.model),
                        ..EngineOptions::default()
                    }),
                    ServiceKind::Plain => TargetKind::Plain(PlainOptions {
                        listen,
                        ..PlainOptions::default()
                    }),
                };
                let per_dc =
                    |limits: fn(&godwitspool_version::DcRules) -> &BTreeMap<ClassName, u32>| {
                        let dcs = self.configuration.dcs.iter();
                        dcs.filter_map(|(dc, rules)| Some((dc.clone(), *limits(rules).get(class)?)))
                            .collect::<BTreeMap<_, _>>()
                    };
                let available = per_dc(|rules| &rules.ceiling);
                let mut initial = per_dc(|rules| &rules.floor);
                if rules.reclaimable {
                    // One target runs in each data centre from the start, so that a reclaim fault
                    // has a target.
                    initial.extend(available.keys().map(|dc| (dc.clone(), 1)));
                }
                Some(ClassOptions {
                    available,
                    class: class.clone(),
                    fencing: rules.fencing,
                    initial,
                    kind,
                    reclaimable: rules.reclaimable,
                    restart_ms: RESTART_MS,
                    service: rules.service.clone(),
                    start_ms: rules.start_ms.min(MAX_START_MS),
                    stop_ms: STOP_MS,
                })
            });
        classes.collect()
    }
}
