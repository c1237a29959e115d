//! The operators: they publish the folder, issue and withdraw keys, and name new weights.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use godwitspool_connection::http::{Platform, PlatformApi};
use godwitspool_history::{Event, Recorder};
use godwitspool_types::{Key, ModelName, Offset, Ran, WeightVersion, Workspace};
use godwitspool_version::{Configuration, ConfigurationChange, Publish, Record, RecordBody};

use crate::{caller::lock, deployment::Deployment};

const APPEND_BOUND: Duration = Duration::from_secs(20);
const RETRY_PAUSE: Duration = Duration::from_millis(100);
const PAGE_RECORDS: usize = 1_000;

/// The operators of the fleet.
#[derive(Debug)]
pub(crate) struct Operator {
    last: Mutex<Last>,
    platform: Platform,
    recorder: Recorder,
}

/// What was published last.
#[derive(Debug)]
struct Last {
    base: Option<Offset>,
    configuration: Configuration,
    versions: BTreeMap<ModelName, u64>,
}

impl Operator {
    pub(crate) fn new(platform: SocketAddr, recorder: Recorder) -> Self {
        let last = Last {
            base: None,
            configuration: Configuration::default(),
            versions: BTreeMap::new(),
        };
        let platform = Platform::new(format!("http://{platform}"));
        Self {
            last: Mutex::new(last),
            platform,
            recorder,
        }
    }

    /// Publishes the folder.
    pub(crate) fn publish(&self, deployment: &Deployment) -> bool {
        let published = self.change(|configuration| {
            *configuration = deployment.configuration.clone();
        });
        if published {
            for (workspace, key) in &deployment.keys {
                let (key, workspace) = (key.digest(), workspace.clone());
                self.recorder.record(Event::Issued { key, workspace });
            }
            for (model, version) in &deployment.configuration.weights {
                self.record_weights(&deployment.configuration, model, version);
            }
        }
        published
    }

    /// Names the next version of a model's weights.
    pub(crate) fn next_weights(&self, model: &ModelName) -> bool {
        let version = {
            let mut last = lock(&self.last);
            let number = last.versions.entry(model.clone()).or_insert(1);
            *number += 1;
            WeightVersion::from(format!("v{number}"))
        };
        let named = self.change(|configuration| {
            configuration.weights.insert(model.clone(), version.clone());
        });
        if named {
            let configuration = lock(&self.last).configuration.clone();
            self.record_weights(&configuration, model, &version);
        }
        named
    }

    /// Issues a key.
    pub(crate) fn issue(&self, workspace: &Workspace) -> Option<Key> {
        let key = Key::random();
        let digest = key.digest();
        let issue = RecordBody::KeyIssue {
            digest,
            workspace: workspace.clone(),
        };
        self.append(&Record::new(issue))?;
        let workspace = workspace.clone();
        self.recorder.record(Event::Issued {
            key: digest,
            workspace,
        });
        Some(key)
    }

    /// Withdraws a key.
    pub(crate) fn withdraw(&self, key: &Key) -> bool {
        let digest = key.digest();
        self.recorder.record(Event::Withdrawing(digest));
        let withdrawal = Record::new(RecordBody::KeyWithdraw { digest });
        let withdrawn = self.append(&withdrawal).is_some();
        if withdrawn {
            self.recorder.record(Event::Withdrawn(digest));
        }
        withdrawn
    }

    fn change(&self, change: impl FnOnce(&mut Configuration)) -> bool {
        let mut last = lock(&self.last);
        let mut configuration = last.configuration.clone();
        change(&mut configuration);
        let change = ConfigurationChange::between(&last.configuration, &configuration);
        let operator = "demo".to_owned();
        let publish = Publish {
            base: last.base,
            change,
            operator,
        };
        let Some(offset) = self.append(&Record::new(RecordBody::Publish(publish))) else {
            return false;
        };
        last.base = Some(offset);
        last.configuration = configuration;
        true
    }

    /// Appends until the record is known to stand in the log.
    fn append(&self, record: &Record) -> Option<Offset> {
        let body = record.encode();
        let start = Instant::now();
        while start.elapsed() < APPEND_BOUND {
            match self.platform.append(std::slice::from_ref(&body)) {
                Ok(appended) => return Some(appended.first),
                Err(error) if error.ran() == Ran::NotRun => {}
                Err(_) => {
                    if let Some(offset) = self.find(&body) {
                        return Some(offset);
                    }
                }
            }
            thread::sleep(RETRY_PAUSE);
        }
        None
    }

    fn find(&self, body: &str) -> Option<Offset> {
        let mut from = Offset(0);
        loop {
            let page = self.platform.read(from, PAGE_RECORDS).ok()?;
            let mut records = page.records.iter();
            if let Some(found) = records.find(|record| record.body == body) {
                return Some(found.offset);
            }
            from = page.records.last()?.offset.next();
        }
    }

    fn record_weights(
        &self,
        configuration: &Configuration,
        model: &ModelName,
        version: &WeightVersion,
    ) {
        let trainers = configuration.trainers.iter().filter(|(_, rules)| {
            let service = configuration.services.get(&rules.service);
            service.is_some_and(|service| service.model == *model)
        });
        let bounds = trainers.map(|(name, rules)| (name.clone(), rules.staleness_versions));
        let (model, version) = (model.clone(), version.clone());
        self.recorder.record(Event::Published {
            bounds: bounds.collect(),
            model,
            version,
        });
    }
}
