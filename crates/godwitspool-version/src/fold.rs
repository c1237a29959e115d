//! Folds the records of the log, in order of offset, into the state in force.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

use godwitspool_types::{KeyDigest, ModelName, Offset, TargetName, WeightVersion, Workspace};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::{
    Configuration, KeyRule, Lease, LeaseKind, LeaseRecord, OrderTable, Publish, Record, RecordBody,
    RecordId, WeightsTarget, WindowTable,
};

const MAX_OUTCOMES: usize = 1_024;

/// The state in force after the records up to an offset.
///
/// It is equal on every host that has folded up to the same offset, whether from the first record
/// or from a snapshot. Offsets only increase, and a gap between them is an error.
///
/// ```
/// use godwitspool_types::Offset;
/// use godwitspool_version::{Change, Fold, Publish, Record, RecordBody};
///
/// let mut fold = Fold::default();
/// let record = Record::new(RecordBody::Publish(Publish::default()));
/// let changes = fold.apply(Offset(0), &record)?;
/// assert_eq!(changes, [Change::Published { id: record.id }]);
/// assert!(fold.apply(Offset(5), &record).is_err());
/// # Ok::<(), godwitspool_version::FoldError>(())
/// ```
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fold {
    configuration: Arc<Configuration>,
    counts: FoldCounts,
    issued: BTreeMap<Workspace, BTreeSet<KeyDigest>>,
    leases: BTreeMap<LeaseKind, Lease>,
    next: Offset,
    orders: OrderTable,
    outcomes: VecDeque<RecordOutcome>,
    published: Option<Offset>,
    quarantine: BTreeMap<u64, Vec<TargetName>>,
    snapshot: Option<Offset>,
    weights: BTreeMap<ModelName, WeightVersion>,
    windows: WindowTable,
    withdrawn: BTreeSet<KeyDigest>,
}

/// Records that had no effect, by reason.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct FoldCounts {
    /// The text is not a record.
    pub damaged: u64,
    /// The record is a copy of one that was already applied.
    pub repeated: u64,
    /// Another claim, publish, seal or term took effect first.
    pub overtaken: u64,
    /// The record is of a kind that this release doesn't know.
    pub unknown: u64,
}

/// The outcome of a record whose author waits for it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordOutcome {
    /// Whether the record took effect.
    pub counted: bool,
    /// Identifier of the record.
    pub id: RecordId,
    /// Offset of the first copy of the record.
    pub offset: Offset,
}

/// The effect of a record on the state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// The configuration changed.
    Published {
        /// Identifier of the publish's record.
        id: RecordId,
    },
    /// A publish had no effect, because another one took effect first.
    PublishLost {
        /// Identifier of the record of the publish that had no effect.
        id: RecordId,
        /// Offset of the publish that is in force.
        published: Option<Offset>,
    },
    /// A key was issued for the workspace.
    KeyIssued(Workspace),
    /// The key with this digest was withdrawn.
    KeyWithdrawn(KeyDigest),
    /// A lease was claimed, renewed or released.
    Lease {
        /// Identifier of the lease record.
        id: RecordId,
        /// Content of the lease record.
        record: LeaseRecord,
    },
    /// A target order was opened or closed.
    Order,
    /// The usage window with this number was sealed by a data centre, frozen or reported.
    Window(u64),
    /// This fingerprint was quarantined, or its quarantine was lifted.
    Quarantine(u64),
    /// The weight version to serve was set for this model.
    Weights(ModelName),
    /// A part of a snapshot was written to the log.
    Snapshot,
    /// The record had no effect.
    Ignored,
}

/// A record can't be applied.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum FoldError {
    /// Records are missing, because the log's retention removed them.
    #[snafu(display("records from offset {expected} up to {found} are missing"))]
    Gap {
        /// Offset of the first missing record.
        expected: Offset,
        /// Offset of the record that was to be applied.
        found: Offset,
    },
}

impl Fold {
    /// Applies the text of a record at an offset. Text that is not a record is counted and skipped.
    ///
    /// # Errors
    ///
    /// Fails when records are missing before the offset.
    pub fn apply_text(&mut self, offset: Offset, text: &str) -> Result<Vec<Change>, FoldError> {
        if let Ok(record) = Record::decode(text) {
            return self.apply(offset, &record);
        }
        if self.advance(offset)? {
            self.counts.damaged += 1;
        }
        Ok(Vec::new())
    }

    /// Applies a record at an offset. An offset that was already applied is ignored.
    ///
    /// # Errors
    ///
    /// Fails when records are missing before the offset.
    pub fn apply(&mut self, offset: Offset, record: &Record) -> Result<Vec<Change>, FoldError> {
        if !self.advance(offset)? {
            return Ok(Vec::new());
        }
        if self.outcome(record.id).is_some() {
            self.counts.repeated += 1;
            return Ok(vec![Change::Ignored]);
        }
        let change = self.apply_body(offset, record);
        match (&record.body, &change) {
            (RecordBody::Unknown, _) => self.counts.unknown += 1,
            (_, Change::Ignored | Change::PublishLost { .. }) => self.counts.overtaken += 1,
            _ => {}
        }
        Ok(vec![change])
    }

    fn advance(&mut self, offset: Offset) -> Result<bool, FoldError> {
        if offset > self.next {
            let expected = self.next;
            return GapSnafu {
                expected,
                found: offset,
            }
            .fail();
        }
        if offset < self.next {
            return Ok(false);
        }
        self.next = offset.next();
        Ok(true)
    }

    fn apply_body(&mut self, offset: Offset, record: &Record) -> Change {
        match &record.body {
            RecordBody::Publish(publish) => self.publish(offset, record.id, publish),
            RecordBody::KeyIssue { digest, workspace } => self.issue_key(*digest, workspace),
            RecordBody::KeyWithdraw { digest } => self.withdraw_key(*digest),
            RecordBody::Lease(step) => {
                let counted = self
                    .leases
                    .entry(step.lease)
                    .or_default()
                    .apply(offset, step);
                let change = Change::Lease {
                    id: record.id,
                    record: step.clone(),
                };
                effect_if(counted, change)
            }
            RecordBody::OrderIntent(intent) => {
                let holder = self.lease(LeaseKind::Orders).term();
                effect_if(self.orders.open(offset, intent, holder), Change::Order)
            }
            RecordBody::OrderOutcome { order, outcome } => {
                effect_if(self.orders.close(offset, *order, outcome), Change::Order)
            }
            RecordBody::UsageSeal(seal) => {
                let counted = self.windows.seal(offset, seal);
                effect_if(counted, Change::Window(seal.window))
            }
            RecordBody::WindowFrozen(frozen) => {
                let holder = self.lease(LeaseKind::Usage).term();
                let counted = self.windows.freeze(frozen, holder);
                effect_if(counted, Change::Window(frozen.window))
            }
            RecordBody::WindowReported { window, .. } => {
                effect_if(self.windows.report(*window), Change::Window(*window))
            }
            RecordBody::QuarantineAdd {
                fingerprint,
                targets,
            } => {
                self.quarantine.insert(*fingerprint, targets.clone());
                self.record_outcome(offset, record.id, true);
                Change::Quarantine(*fingerprint)
            }
            RecordBody::QuarantineLift { fingerprint } => {
                let counted = self.quarantine.remove(fingerprint).is_some();
                self.record_outcome(offset, record.id, counted);
                effect_if(counted, Change::Quarantine(*fingerprint))
            }
            RecordBody::WeightsTarget(target) => self.set_weights(offset, record.id, target),
            RecordBody::Snapshot(part) => {
                self.snapshot = Some(self.snapshot.map_or(part.end, |end| end.max(part.end)));
                Change::Snapshot
            }
            RecordBody::Unknown => Change::Ignored,
        }
    }

    fn publish(&mut self, offset: Offset, id: RecordId, publish: &Publish) -> Change {
        let counted = publish.base == self.published;
        self.record_outcome(offset, id, counted);
        if !counted {
            let published = self.published;
            return Change::PublishLost { id, published };
        }
        self.published = Some(offset);
        publish.change.apply(Arc::make_mut(&mut self.configuration));
        for workspace in publish.change.workspaces.keys() {
            self.restore_keys(workspace);
        }
        Change::Published { id }
    }

    fn issue_key(&mut self, digest: KeyDigest, workspace: &Workspace) -> Change {
        let digests = self.issued.entry(workspace.clone()).or_default();
        if self.withdrawn.contains(&digest) || !digests.insert(digest) {
            return Change::Ignored;
        }
        self.restore_keys(workspace);
        Change::KeyIssued(workspace.clone())
    }

    fn withdraw_key(&mut self, digest: KeyDigest) -> Change {
        if !self.withdrawn.insert(digest) {
            return Change::Ignored;
        }
        let configuration = Arc::make_mut(&mut self.configuration);
        for rules in configuration.workspaces.values_mut() {
            mark_withdrawn(&mut rules.keys, &self.withdrawn);
        }
        Change::KeyWithdrawn(digest)
    }

    /// Adds the issued keys to the keys that a publish declares for a workspace, and marks the
    /// withdrawn ones.
    fn restore_keys(&mut self, workspace: &Workspace) {
        let configuration = Arc::make_mut(&mut self.configuration);
        let Some(rules) = configuration.workspaces.get_mut(workspace) else {
            return;
        };
        for digest in self.issued.get(workspace).into_iter().flatten() {
            if !rules.keys.iter().any(|key| key.digest == *digest) {
                rules.keys.push(KeyRule {
                    digest: *digest,
                    withdrawn: false,
                });
            }
        }
        let declared = rules.keys.iter().filter(|key| key.withdrawn);
        let declared = declared.map(|key| key.digest).collect::<BTreeSet<_>>();
        mark_withdrawn(&mut rules.keys, &self.withdrawn);
        for digest in declared {
            self.withdraw_key(digest);
        }
    }

    fn set_weights(&mut self, offset: Offset, id: RecordId, target: &WeightsTarget) -> Change {
        let counted = self.lease(LeaseKind::Weights).term() == Some(target.term);
        self.record_outcome(offset, id, counted);
        if counted {
            self.weights
                .insert(target.model.clone(), target.version.clone());
        }
        effect_if(counted, Change::Weights(target.model.clone()))
    }

    fn record_outcome(&mut self, offset: Offset, id: RecordId, counted: bool) {
        if self.outcomes.len() == MAX_OUTCOMES {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back(RecordOutcome {
            counted,
            id,
            offset,
        });
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }

    /// Returns how many records had no effect, by reason.
    pub fn counts(&self) -> FoldCounts {
        self.counts
    }

    /// Returns the state of a lease, which is the default if it was never claimed.
    pub fn lease(&self, kind: LeaseKind) -> Lease {
        self.leases.get(&kind).cloned().unwrap_or_default()
    }

    /// Returns the offset of the next record to apply.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Returns the target orders.
    pub fn orders(&self) -> &OrderTable {
        &self.orders
    }

    /// Returns the outcome of a publish, quarantine or weights record, if it is among the latest
    /// 1,024 of these.
    pub fn outcome(&self, id: RecordId) -> Option<RecordOutcome> {
        self.outcomes
            .iter()
            .rev()
            .find(|outcome| outcome.id == id)
            .copied()
    }

    /// Returns the offset of the publish in force, which the next publish names as its base.
    pub fn published(&self) -> Option<Offset> {
        self.published
    }

    /// Returns the quarantined fingerprints, each with the targets that crashed while they ran it.
    pub fn quarantine(&self) -> &BTreeMap<u64, Vec<TargetName>> {
        &self.quarantine
    }

    /// Returns the offset of the first record that the latest snapshot in the log doesn't include.
    pub fn snapshot_end(&self) -> Option<Offset> {
        self.snapshot
    }

    /// Returns the weight versions to serve, by model.
    pub fn weights(&self) -> &BTreeMap<ModelName, WeightVersion> {
        &self.weights
    }

    /// Returns the usage windows.
    pub fn windows(&self) -> &WindowTable {
        &self.windows
    }

    /// Returns whether a key was withdrawn.
    pub fn is_withdrawn(&self, digest: &KeyDigest) -> bool {
        self.withdrawn.contains(digest)
    }
}

fn effect_if(counted: bool, change: Change) -> Change {
    if counted { change } else { Change::Ignored }
}

fn mark_withdrawn(keys: &mut [KeyRule], withdrawn: &BTreeSet<KeyDigest>) {
    for key in keys {
        key.withdrawn |= withdrawn.contains(&key.digest);
    }
}
