//! What the operators' folder says about the deployment to show.

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
};

use godwitspool_fakes::{ClassOptions, EngineOptions, PlainOptions, TargetKind};
use godwitspool_process::folder;
use godwitspool_types::{ClassName, Dc, Key, ModelName, ServiceName, WeightVersion, Workspace};
use godwitspool_version::{Configuration, ServiceKind, ServiceRules};

use crate::{DemoError, DemoOptions};

/// Time after which a crashed target serves again, in milliseconds.
const RESTART_MS: u64 = 800;
/// Longest start of a target in the demo, in milliseconds.
const MOST_START_MS: u64 = 2_000;
/// Time from the order to stop a target to its end, in milliseconds.
const STOP_MS: u64 = 5_000;

/// The deployment to show.
#[derive(Clone, Debug)]
pub(crate) struct Deployment {
    /// What the folder says.
    pub(crate) configuration: Configuration,
    /// Key of each workspace.
    pub(crate) keys: BTreeMap<Workspace, Key>,
}

impl Deployment {
    /// Loads the folder.
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

    /// Returns the data centres.
    pub(crate) fn dcs(&self) -> Vec<Dc> {
        self.configuration.dcs.keys().cloned().collect()
    }

    /// Returns the rules of a service.
    pub(crate) fn service(&self, service: &ServiceName) -> Option<&ServiceRules> {
        self.configuration.services.get(service)
    }

    /// Returns whether a class can be reclaimed.
    pub(crate) fn is_cheap(&self, class: &ClassName) -> bool {
        self.configuration
            .classes
            .get(class)
            .is_some_and(|rules| rules.reclaimable)
    }

    /// Returns the first weight version of a model.
    pub(crate) fn weights(&self, model: &ModelName) -> WeightVersion {
        let version = self.configuration.weights.get(model).cloned();
        version.unwrap_or_else(|| WeightVersion::from("v1"))
    }

    /// Returns the classes as the platform offers them, each data centre at its floor and with one
    /// target of each class that can be reclaimed. The address is
    /// the demo's own, since a target that is down gives its port up.
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
                let bounds =
                    |of: fn(&godwitspool_version::DcRules) -> &BTreeMap<ClassName, u32>| {
                        let dcs = self.configuration.dcs.iter();
                        dcs.filter_map(|(dc, rules)| Some((dc.clone(), *of(rules).get(class)?)))
                            .collect::<BTreeMap<_, _>>()
                    };
                let available = bounds(|rules| &rules.ceiling);
                let mut initial = bounds(|rules| &rules.floor);
                if rules.reclaimable {
                    // One runs in each data centre from the start, so that it can be reclaimed.
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
                    start_ms: rules.start_ms.min(MOST_START_MS),
                    stop_ms: STOP_MS,
                })
            });
        classes.collect()
    }
}
