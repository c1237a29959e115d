//! The replicated state of a trainer's steps, and the records that change it.

use std::{
    collections::{BTreeMap, btree_map::Entry},
    sync::Arc,
};

use godwitspool_types::WeightVersion;
use rapidhash::v3::rapidhash_v3;
use serde::{Deserialize, Serialize};

use super::Progress;
use crate::{Batch, Digest, GroupSpec, Sample, SampleId, StepNumber, VersionOrder};

const KEPT_ACKNOWLEDGED: usize = 1_024;

/// A change of the state. Applying the same records in the same order gives the same state.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Record {
    /// The trainer holds the step's batch.
    Acknowledged(StepNumber, Digest),
    /// A whole sample was too old and is made again.
    Discarded(SampleId),
    /// A sample is whole.
    Finished(Arc<Sample>),
    /// The step's batch is fixed.
    Frozen(StepNumber),
    /// What another home accepted while the two were cut off from each other.
    Merged(Box<Image>),
    /// A version was published.
    Published(WeightVersion),
    /// A step and all after it are forgotten.
    Rewound(StepNumber),
    /// Groups were submitted.
    Submitted {
        /// The groups.
        groups: Vec<GroupSpec>,
        /// Step.
        step: StepNumber,
        /// Groups that the whole step has.
        total: u32,
    },
}

/// The steps of a trainer.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Image {
    acknowledged: BTreeMap<StepNumber, Digest>,
    gone_below: StepNumber,
    order: VersionOrder,
    rewinds: u64,
    steps: BTreeMap<StepNumber, Step>,
}

/// A step that is not acknowledged.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct Step {
    pub(crate) specs: BTreeMap<u32, u64>,
    pub(crate) stage: Stage,
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
    /// Returns about how many bytes the record takes in a message.
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
    /// Returns the order of the versions.
    pub fn order(&self) -> &VersionOrder {
        &self.order
    }

    /// Walks over the steps that aren't acknowledged, with their progress.
    pub fn progress(&self) -> impl Iterator<Item = (StepNumber, Progress)> {
        self.steps
            .iter()
            .map(|(step, held)| (*step, held.progress()))
    }

    /// Returns the digest under which a step was acknowledged.
    pub fn acknowledged(&self, step: StepNumber) -> Option<Digest> {
        self.acknowledged.get(&step).copied()
    }

    /// Counts the trainer's rewinds.
    pub fn rewinds(&self) -> u64 {
        self.rewinds
    }

    /// Returns a sample that is whole and not yet acknowledged.
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

    /// Counts the samples in steps that aren't acknowledged.
    pub fn waiting(&self) -> u32 {
        self.steps
            .values()
            .map(|step| step.progress().samples)
            .sum()
    }

    /// Returns the bytes of prompts and samples.
    pub fn bytes(&self) -> usize {
        self.steps.values().map(Step::bytes).sum()
    }

    /// Returns the state with all steps open and no sample whole.
    pub(crate) fn without_samples(&self) -> Self {
        let mut image = self.clone();
        image.steps.values_mut().for_each(Step::forget_samples);
        image
    }

    /// Returns the records that lead from the state without samples to this one.
    pub(crate) fn sample_records(&self) -> impl Iterator<Item = Record> {
        self.steps.iter().flat_map(|(step, held)| {
            let frozen =
                matches!(held.stage, Stage::Frozen { .. }).then_some(Record::Frozen(*step));
            held.samples()
                .into_iter()
                .map(Record::Finished)
                .chain(frozen)
        })
    }

    /// Returns the oldest step that is remembered when `step` is older than that.
    pub(crate) fn gone(&self, step: StepNumber) -> Option<StepNumber> {
        (step < self.gone_below).then_some(self.gone_below)
    }

    pub(crate) fn step(&self, step: StepNumber) -> Option<&Step> {
        self.steps.get(&step)
    }

    pub(crate) fn oldest(&self) -> Option<StepNumber> {
        self.steps.keys().next().copied()
    }

    pub(crate) fn open(&self) -> impl Iterator<Item = (StepNumber, &BTreeMap<u32, Group>)> {
        self.steps
            .iter()
            .filter_map(|(step, held)| match &held.stage {
                Stage::Open(groups) => Some((*step, groups)),
                Stage::Frozen { .. } => None,
            })
    }

    pub(crate) fn catch_up(&mut self, order: &VersionOrder) {
        self.order.catch_up(order);
    }

    /// Applies a record.
    pub(crate) fn apply(&mut self, record: &Record) {
        match record {
            Record::Acknowledged(step, digest) => self.acknowledge(*step, *digest),
            Record::Discarded(id) => self.set(id, None),
            Record::Finished(sample) => self.set(&sample.id, Some(Arc::clone(sample))),
            Record::Frozen(step) => {
                if let Some(held) = self.steps.get_mut(step) {
                    held.freeze();
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

    /// Takes over steps that are unknown here, and what the trainer acknowledged elsewhere.
    fn merge(&mut self, other: &Self) {
        if other.rewinds != self.rewinds {
            return;
        }
        for (step, digest) in &other.acknowledged {
            if self.acknowledged(*step).is_none() && self.gone(*step).is_none() {
                self.acknowledge(*step, *digest);
            }
        }
        for (step, held) in &other.steps {
            if self.acknowledged(*step).is_none() && self.gone(*step).is_none() {
                self.steps.entry(*step).or_insert_with(|| held.clone());
            }
        }
        let mut order = other.order.clone();
        order.catch_up(&self.order);
        self.order = order;
    }

    fn acknowledge(&mut self, step: StepNumber, digest: Digest) {
        self.steps.remove(&step);
        self.acknowledged.insert(step, digest);
        while self.acknowledged.len() > KEPT_ACKNOWLEDGED {
            if let Some((oldest, _)) = self.acknowledged.pop_first() {
                self.gone_below = self.gone_below.max(StepNumber(oldest.0 + 1));
            }
        }
    }

    fn set(&mut self, id: &SampleId, sample: Option<Arc<Sample>>) {
        if let Some(slot) = self.steps.get_mut(&id.step).and_then(|step| step.slot(id)) {
            *slot = sample;
        }
    }

    fn submit(&mut self, step: StepNumber, total: u32, groups: &[GroupSpec]) {
        let held = self.steps.entry(step).or_insert_with(|| Step {
            specs: BTreeMap::new(),
            stage: Stage::Open(BTreeMap::new()),
            total,
        });
        let Stage::Open(open) = &mut held.stage else {
            return;
        };
        for spec in groups {
            if let Entry::Vacant(entry) = open.entry(spec.group) {
                held.specs.insert(spec.group, spec_hash(spec));
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

    fn forget_samples(&mut self) {
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

/// Hashes a group's contents, to tell the same group from another one under its number.
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
