//! The operator, which publishes the folder, issues and withdraws keys, and publishes new weight
//! versions.

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

const APPEND_TIMEOUT: Duration = Duration::from_secs(20);
const RETRY_DELAY: Duration = Duration::from_millis(100);
const PAGE_RECORDS: usize = 1_000;

/// The operator of the fleet. Each change is recorded in the history.
#[derive(Debug)]
pub(crate) struct Operator {
    last_published: Mutex<LastPublished>,
    platform: Platform,
    recorder: Recorder,
}

/// The last configuration that was published.
#[derive(Debug)]
struct LastPublished {
    /// Offset of its record in the log.
    base: Option<Offset>,
    configuration: Configuration,
    /// Number of the newest weight version of each model.
    versions: BTreeMap<ModelName, u64>,
}

impl Operator {
    pub(crate) fn new(platform: SocketAddr, recorder: Recorder) -> Self {
        let last = LastPublished {
            base: None,
            configuration: Configuration::default(),
            versions: BTreeMap::new(),
        };
        let platform = Platform::new(format!("http://{platform}"));
        Self {
            last_published: Mutex::new(last),
            platform,
            recorder,
        }
    }

    /// Publishes the folder's configuration. Returns whether the log accepted it.
    pub(crate) fn publish(&self, deployment: &Deployment) -> bool {
        let published = self.publish_change(|configuration| {
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

    /// Publishes the next weight version of a model. Returns whether the log accepted it.
    pub(crate) fn publish_next_weights(&self, model: &ModelName) -> bool {
        let version = {
            let mut last = lock(&self.last_published);
            let number = last.versions.entry(model.clone()).or_insert(1);
            *number += 1;
            WeightVersion::from(format!("v{number}"))
        };
        let accepted = self.publish_change(|configuration| {
            configuration.weights.insert(model.clone(), version.clone());
        });
        if accepted {
            let configuration = lock(&self.last_published).configuration.clone();
            self.record_weights(&configuration, model, &version);
        }
        accepted
    }

    /// Issues a random key for a workspace. Returns `None` if the log did not accept it.
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

    /// Withdraws a key. Returns whether the log accepted the withdrawal.
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

    /// Publishes the difference that `edit` makes to the last configuration.
    fn publish_change(&self, edit: impl FnOnce(&mut Configuration)) -> bool {
        let mut last = lock(&self.last_published);
        let mut configuration = last.configuration.clone();
        edit(&mut configuration);
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

    /// Appends a record, and retries until the log contains it or [`APPEND_TIMEOUT`] has passed.
    ///
    /// After an error that leaves the outcome unknown, it looks for the record in the log before it
    /// retries, to avoid appending the record twice.
    fn append(&self, record: &Record) -> Option<Offset> {
        let body = record.encode();
        let start = Instant::now();
        while start.elapsed() < APPEND_TIMEOUT {
            match self.platform.append(std::slice::from_ref(&body)) {
                Ok(appended) => return Some(appended.first),
                Err(error) if error.ran() == Ran::NotRun => {}
                Err(_) => {
                    if let Some(offset) = self.find_record(&body) {
                        return Some(offset);
                    }
                }
            }
            thread::sleep(RETRY_DELAY);
        }
        None
    }

    fn find_record(&self, body: &str) -> Option<Offset> {
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
