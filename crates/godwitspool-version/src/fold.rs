//! The log's records, folded by offset into what is in force.

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

/// What is in force after the records up to an offset.
///
/// Equal on every host that has folded as far, whether from the first record or from a snapshot. It
/// only moves forward, and a gap in the offsets is an error rather than skipped.
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
    /// Text that is not a record.
    pub damaged: u64,
    /// Copies of a record that was already applied.
    pub repeated: u64,
    /// Overtaken: another claim, publish, seal or term was first.
    pub overtaken: u64,
    /// Of a kind that this version doesn't know.
    pub unknown: u64,
}

/// What became of a record whose author waits for it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordOutcome {
    /// Whether it took effect.
    pub counted: bool,
    /// The record.
    pub id: RecordId,
    /// Where its first copy stands.
    pub offset: Offset,
}

/// What a record changed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// The configuration changed.
    Published {
        /// The publish.
        id: RecordId,
    },
    /// A publish lost against one that was first.
    PublishLost {
        /// The publish that lost.
        id: RecordId,
        /// The publish that is in force.
        published: Option<Offset>,
    },
    /// A workspace has a new key.
    KeyIssued(Workspace),
    /// A key is withdrawn.
    KeyWithdrawn(KeyDigest),
    /// A lease was claimed, renewed or released.
    Lease {
        /// The lease record's identity.
        id: RecordId,
        /// What it says.
        record: LeaseRecord,
    },
    /// An order was begun or ended.
    Order,
    /// A window was sealed by a data centre, frozen or reported.
    Window(u64),
    /// A fingerprint was quarantined or let go.
    Quarantine(u64),
    /// A model is to serve another weight version.
    Weights(ModelName),
    /// A snapshot's part was written.
    Snapshot,
    /// Nothing changed.
    Ignored,
}

/// The log can't be folded on.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum FoldError {
    /// Records are missing, because retention has removed them.
    #[snafu(display("records from offset {expected} up to {found} are missing"))]
    Gap {
        /// The offset that was expected.
        expected: Offset,
        /// The offset that came.
        found: Offset,
    },
}

impl Fold {
    /// Applies the log's text at an offset. Text that is not a record is counted and passed over.
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

    /// Applies a record at an offset. An offset that was already applied changes nothing.
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
        let change = self.change(offset, record);
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

    fn change(&mut self, offset: Offset, record: &Record) -> Change {
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
                counted_as(counted, change)
            }
            RecordBody::OrderIntent(intent) => {
                let holder = self.lease(LeaseKind::Orders).term();
                counted_as(self.orders.open(offset, intent, holder), Change::Order)
            }
            RecordBody::OrderOutcome { order, outcome } => {
                counted_as(self.orders.close(offset, *order, outcome), Change::Order)
            }
            RecordBody::UsageSeal(seal) => {
                let counted = self.windows.seal(offset, seal);
                counted_as(counted, Change::Window(seal.window))
            }
            RecordBody::WindowFrozen(frozen) => {
                let holder = self.lease(LeaseKind::Usage).term();
                let counted = self.windows.freeze(frozen, holder);
                counted_as(counted, Change::Window(frozen.window))
            }
            RecordBody::WindowReported { window, .. } => {
                counted_as(self.windows.report(*window), Change::Window(*window))
            }
            RecordBody::QuarantineAdd {
                fingerprint,
                targets,
            } => {
                self.quarantine.insert(*fingerprint, targets.clone());
                self.note(offset, record.id, true);
                Change::Quarantine(*fingerprint)
            }
            RecordBody::QuarantineLift { fingerprint } => {
                let counted = self.quarantine.remove(fingerprint).is_some();
                self.note(offset, record.id, counted);
                counted_as(counted, Change::Quarantine(*fingerprint))
            }
            RecordBody::WeightsTarget(target) => self.set_weights(offset, record.id, target),
            RecordBody::Snapshot(part) => {
                self.snapshot = Some(self.snapshot.map_or(part.end, |end| end.max(part.end)));
                Change::Snapshot
            }
            RecordBody::Unknown => Change::Ignored,
        }
    }

    // ---

    fn publish(&mut self, offset: Offset, id: RecordId, publish: &Publish) -> Change {
        let counted = publish.base == self.published;
        self.note(offset, id, counted);
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

    /// Adds the issued keys to what a publish declares, and takes the withdrawn ones out of force.
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
        self.note(offset, id, counted);
        if counted {
            self.weights
                .insert(target.model.clone(), target.version.clone());
        }
        counted_as(counted, Change::Weights(target.model.clone()))
    }

    fn note(&mut self, offset: Offset, id: RecordId, counted: bool) {
        if self.outcomes.len() == MAX_OUTCOMES {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back(RecordOutcome {
            counted,
            id,
            offset,
        });
    }

    // ---

    /// Returns the configuration in force.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }

    /// Returns how many records had no effect, and why.
    pub fn counts(&self) -> FoldCounts {
        self.counts
    }

    /// Returns a lease.
    pub fn lease(&self, kind: LeaseKind) -> Lease {
        self.leases.get(&kind).cloned().unwrap_or_default()
    }

    /// Returns the offset that is folded next.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Returns the target orders.
    pub fn orders(&self) -> &OrderTable {
        &self.orders
    }

    /// Returns what became of a publish, quarantine or weights record, while it is among the latest.
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

    /// Returns the quarantined fingerprints with the targets that each crashed.
    pub fn quarantine(&self) -> &BTreeMap<u64, Vec<TargetName>> {
        &self.quarantine
    }

    /// Returns the offset up to which the latest snapshot in the log reaches.
    pub fn snapshot_end(&self) -> Option<Offset> {
        self.snapshot
    }

    /// Returns the weight versions that models are to serve.
    pub fn weights(&self) -> &BTreeMap<ModelName, WeightVersion> {
        &self.weights
    }

    /// Returns the usage windows.
    pub fn windows(&self) -> &WindowTable {
        &self.windows
    }

    /// Tells whether a key was withdrawn.
    pub fn is_withdrawn(&self, digest: &KeyDigest) -> bool {
        self.withdrawn.contains(digest)
    }
}

fn counted_as(counted: bool, change: Change) -> Change {
    if counted { change } else { Change::Ignored }
}

fn mark_withdrawn(keys: &mut [KeyRule], withdrawn: &BTreeSet<KeyDigest>) {
    for key in keys {
        key.withdrawn |= withdrawn.contains(&key.digest);
    }
}
