//! The replicated state of a trainer's steps and the records that change it.

use std::{
    collections::{BTreeMap, btree_map::Entry},
    sync::Arc,
};

use godwitspool_types::WeightVersion;
use rapidhash::v3::rapidhash_v3;
use serde::{Deserialize, Serialize};

use super::Progress;
use crate::{Batch, Digest, GroupSpec, Sample, SampleId, StepNumber, VersionOrder};

/// Older acknowledgments are forgotten, and requests for their steps are refused as gone.
const MAX_ACKNOWLEDGED: usize = 1_024;

/// A state change. Applying the same records in the same order results in the same state.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Record {
    /// The trainer acknowledged the step's batch with this digest.
    Acknowledged(StepNumber, Digest),
    /// A complete sample was too old and is generated again.
    Discarded(SampleId),
    /// A sample was completed.
    Finished(Arc<Sample>),
    /// The step was completed and its batch can no longer change.
    Frozen(StepNumber),
    /// The state that another home accepted during a network partition, to be merged into this one.
    Merged(Box<Image>),
    /// A weight version was published.
    Published(WeightVersion),
    /// This step and all later ones were removed because the trainer rewound.
    Rewound(StepNumber),
    /// Groups were submitted.
    Submitted {
        /// Groups that were not submitted before.
        groups: Vec<GroupSpec>,
        /// The step that the groups belong to.
        step: StepNumber,
        /// Number of groups in the complete step.
        total: u32,
    },
}

/// The replicated state of a trainer: its open and frozen steps and its recent acknowledgments.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Image {
    acknowledged: BTreeMap<StepNumber, Digest>,
    /// Acknowledgments of steps before this one have been forgotten.
    gone_below: StepNumber,
    order: VersionOrder,
    rewinds: u64,
    steps: BTreeMap<StepNumber, Step>,
}

/// A step that is not acknowledged yet.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct Step {
    /// Hash of each submitted group, by group number.
    pub(crate) specs: BTreeMap<u32, u64>,
    pub(crate) stage: Stage,
    /// Number of groups in the complete step.
    pub(crate) total: u32,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) enum Stage {
    Frozen { batch: Batch, specs: Vec<GroupSpec> },
    Open(BTreeMap<u32, Group>),
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct Group {
    pub(crate) samples: Vec<Option<Arc<Sample>>>,
    pub(crate) spec: GroupSpec,
}

impl Record {
    /// Returns the approximate size of the record in a message, in bytes.
    pub(crate) fn bytes(&self) -> usize {
        let payload = match self {
            Self::Finished(sample) => sample.bytes(),
            Self::Submitted { groups, .. } => groups.iter().map(GroupSpec::bytes).sum(),
            _ => 0,
        };
        payload + size_of::<Self>()
    }
}

impl Image {
    /// Returns the publication order of the weight versions.
    pub fn order(&self) -> &VersionOrder {
        &self.order
    }

    /// Iterates over the steps that are not acknowledged, with their progress.
    pub fn progress(&self) -> impl Iterator<Item = (StepNumber, Progress)> {
        self.steps
            .iter()
            .map(|(step, state)| (*step, state.progress()))
    }

    /// Returns the digest with which a step was acknowledged, or `None` if it was not, or was so
    /// long ago that the acknowledgment is forgotten.
    pub fn acknowledged(&self, step: StepNumber) -> Option<Digest> {
        self.acknowledged.get(&step).copied()
    }

    /// Returns the number of rewinds so far.
    pub fn rewinds(&self) -> u64 {
        self.rewinds
    }

    /// Returns a complete sample of a step that is not acknowledged yet.
    pub fn sample(&self, id: &SampleId) -> Option<&Arc<Sample>> {
        match &self.steps.get(&id.step)?.stage {
            Stage::Frozen { batch, .. } => batch.samples.iter().find(|sample| sample.id == *id),
            Stage::Open(groups) => groups
                .get(&id.group)?
                .samples
                .get(id.index as usize)?
                .as_ref(),
        }
    }

    /// Returns the number of samples in steps that are not acknowledged, complete or not.
    pub fn waiting(&self) -> u32 {
        self.steps
            .values()
            .map(|step| step.progress().samples)
            .sum()
    }

    /// Returns the approximate memory size of all prompts and samples in bytes.
    pub fn bytes(&self) -> usize {
        self.steps.values().map(Step::bytes).sum()
    }

    /// Returns a copy in which all steps are open and have no complete samples.
    pub(crate) fn without_samples(&self) -> Self {
        let mut image = self.clone();
        image.steps.values_mut().for_each(Step::clear_samples);
        image
    }

    /// Returns the records that turn [`without_samples`](Self::without_samples) into this state.
    pub(crate) fn sample_records(&self) -> impl Iterator<Item = Record> {
        self.steps.iter().flat_map(|(step, state)| {
            let frozen =
                matches!(state.stage, Stage::Frozen { .. }).then_some(Record::Frozen(*step));
            state
                .samples()
                .into_iter()
                .map(Record::Finished)
                .chain(frozen)
        })
    }

    /// Returns the oldest step that is still remembered if `step` is older than that.
    pub(crate) fn gone(&self, step: StepNumber) -> Option<StepNumber> {
        (step < self.gone_below).then_some(self.gone_below)
    }

    pub(crate) fn step(&self, step: StepNumber) -> Option<&Step> {
        self.steps.get(&step)
    }

    pub(crate) fn oldest_step(&self) -> Option<StepNumber> {
        self.steps.keys().next().copied()
    }

    pub(crate) fn open_steps(&self) -> impl Iterator<Item = (StepNumber, &BTreeMap<u32, Group>)> {
        self.steps
            .iter()
            .filter_map(|(step, state)| match &state.stage {
                Stage::Open(groups) => Some((*step, groups)),
                Stage::Frozen { .. } => None,
            })
    }

    pub(crate) fn catch_up(&mut self, order: &VersionOrder) {
        self.order.catch_up(order);
    }

    pub(crate) fn apply(&mut self, record: &Record) {
        match record {
            Record::Acknowledged(step, digest) => self.acknowledge(*step, *digest),
            Record::Discarded(id) => self.set_sample(id, None),
            Record::Finished(sample) => self.set_sample(&sample.id, Some(Arc::clone(sample))),
            Record::Frozen(step) => {
                if let Some(state) = self.steps.get_mut(step) {
                    state.freeze();
                }
            }
            Record::Merged(image) => self.merge(image),
            Record::Published(version) => self.order.publish(version),
            Record::Rewound(step) => {
                self.steps.split_off(step);
                self.acknowledged.split_off(step);
                self.gone_below = self.gone_below.min(*step);
                self.rewinds += 1;
            }
            Record::Submitted {
                groups,
                step,
                total,
            } => self.submit(*step, *total, groups),
        }
    }

    /// Adds the steps and acknowledgments of another home that are unknown here.
    ///
    /// Nothing is added if the number of rewinds differs, because one of the two homes has then
    /// missed a rewind.
    fn merge(&mut self, other: &Self) {
        if other.rewinds != self.rewinds {
            return;
        }
        for (step, digest) in &other.acknowledged {
            if self.acknowledged(*step).is_none() && self.gone(*step).is_none() {
                self.acknowledge(*step, *digest);
            }
        }
        for (step, state) in &other.steps {
            if self.acknowledged(*step).is_none() && self.gone(*step).is_none() {
                self.steps.entry(*step).or_insert_with(|| state.clone());
            }
        }
        let mut order = other.order.clone();
        order.catch_up(&self.order);
        self.order = order;
    }

    fn acknowledge(&mut self, step: StepNumber, digest: Digest) {
        self.steps.remove(&step);
        self.acknowledged.insert(step, digest);
        while self.acknowledged.len() > MAX_ACKNOWLEDGED {
            if let Some((oldest, _)) = self.acknowledged.pop_first() {
                self.gone_below = self.gone_below.max(StepNumber(oldest.0 + 1));
            }
        }
    }

    fn set_sample(&mut self, id: &SampleId, sample: Option<Arc<Sample>>) {
        if let Some(slot) = self.steps.get_mut(&id.step).and_then(|step| step.slot(id)) {
            *slot = sample;
        }
    }

    fn submit(&mut self, step: StepNumber, total: u32, groups: &[GroupSpec]) {
        let state = self.steps.entry(step).or_insert_with(|| Step {
            specs: BTreeMap::new(),
            stage: Stage::Open(BTreeMap::new()),
            total,
        });
        let Stage::Open(open) = &mut state.stage else {
            return;
        };
        for spec in groups {
            if let Entry::Vacant(entry) = open.entry(spec.group) {
                state.specs.insert(spec.group, spec_hash(spec));
                entry.insert(Group::new(spec.clone()));
            }
        }
    }
}

impl Step {
    pub(crate) fn progress(&self) -> Progress {
        match &self.stage {
            Stage::Frozen { batch, .. } => Progress {
                done: batch.samples.len() as u32,
                groups: self.total,
                samples: batch.samples.len() as u32,
                total: self.total,
            },
            Stage::Open(groups) => {
                let samples = groups.values().flat_map(|group| &group.samples);
                Progress {
                    done: samples.clone().flatten().count() as u32,
                    groups: groups.len() as u32,
                    samples: samples.count() as u32,
                    total: self.total,
                }
            }
        }
    }

    fn bytes(&self) -> usize {
        match &self.stage {
            Stage::Frozen { batch, .. } => batch.samples.iter().map(|sample| sample.bytes()).sum(),
            Stage::Open(groups) => groups.values().map(Group::bytes).sum(),
        }
    }

    fn slot(&mut self, id: &SampleId) -> Option<&mut Option<Arc<Sample>>> {
        match &mut self.stage {
            Stage::Frozen { .. } => None,
            Stage::Open(groups) => groups
                .get_mut(&id.group)?
                .samples
                .get_mut(id.index as usize),
        }
    }

    fn samples(&self) -> Vec<Arc<Sample>> {
        match &self.stage {
            Stage::Frozen { batch, .. } => batch.samples.clone(),
            Stage::Open(groups) => {
                let samples = groups.values().flat_map(|group| &group.samples);
                samples.flatten().cloned().collect()
            }
        }
    }

    fn freeze(&mut self) {
        let batch = Batch::new(self.samples());
        if let Stage::Open(groups) = &mut self.stage {
            let specs = std::mem::take(groups).into_values().map(|group| group.spec);
            self.stage = Stage::Frozen {
                batch,
                specs: specs.collect(),
            };
        }
    }

    fn clear_samples(&mut self) {
        match &mut self.stage {
            Stage::Frozen { specs, .. } => {
                let groups = std::mem::take(specs).into_iter();
                self.stage =
                    Stage::Open(groups.map(|spec| (spec.group, Group::new(spec))).collect());
            }
            Stage::Open(groups) => {
                let slots = groups.values_mut().flat_map(|group| &mut group.samples);
                slots.for_each(|slot| *slot = None);
            }
        }
    }
}

impl Group {
    fn new(spec: GroupSpec) -> Self {
        Self {
            samples: vec![None; spec.samples as usize],
            spec,
        }
    }

    fn bytes(&self) -> usize {
        let samples = self.samples.iter().flatten().map(|sample| sample.bytes());
        samples.sum::<usize>() + self.samples.len() * size_of::<usize>() + self.spec.bytes()
    }
}

/// Hashes the contents of a group, to detect whether a number is submitted again with other
/// contents.
pub(crate) fn spec_hash(spec: &GroupSpec) -> u64 {
    let mut text = format!("{}\0{}\0", spec.samples, spec.max_tokens);
    for message in spec.messages.iter() {
        let bytes = message.content.len().to_string();
        for part in [&message.role, &bytes, &message.content] {
            text += part;
            text += "\0";
        }
    }
    rapidhash_v3(text.as_bytes())
}
