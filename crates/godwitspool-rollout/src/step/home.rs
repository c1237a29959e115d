//! Request handling and samples on the home.

use std::sync::Arc;

use godwitspool_types::{Millis, WeightVersion};

use super::{
    AcknowledgedBatch, Answer, Pending, Record, Refusal, Request, Role, StepAction, TrainerSteps,
    image::{Stage, spec_hash},
};
use crate::{Digest, Freshness, GroupSpec, Sample, SampleId, StepNumber};

impl TrainerSteps {
    pub(super) fn handle_request(
        &mut self,
        reply: u64,
        request: Request,
        now: Millis,
        actions: &mut Vec<StepAction>,
    ) {
        if !self.is_home() {
            self.counts.refused += 1;
            let answer = Answer::Refused(Refusal::Moving(self.believed_home()));
            actions.push(StepAction::Answer { reply, answer });
            self.probe_holders(now, actions);
            return;
        }
        let mut acknowledged_batch = None;
        let answer = match request {
            Request::Acknowledge { digest, step } => {
                acknowledged_batch = self.batch_to_count(step);
                self.acknowledge(step, digest, now, actions)
            }
            Request::Fetch { digest, page, step } => self.fetch(step, page, digest, now, actions),
            Request::Rewind { number, step } => self.rewind(number, step, now, actions),
            Request::Submit {
                groups,
                step,
                total,
            } => self.submit(step, total, groups, now, actions),
        };
        match answer {
            Ok(answer) => self.answer_when_replicated(reply, answer, acknowledged_batch, actions),
            Err(refusal) => {
                self.counts.refused += 1;
                let answer = Answer::Refused(refusal);
                actions.push(StepAction::Answer { reply, answer });
            }
        }
    }

    fn submit(
        &mut self,
        step: StepNumber,
        total: u32,
        groups: Vec<GroupSpec>,
        now: Millis,
        actions: &mut Vec<StepAction>,
    ) -> Result<Answer, Refusal> {
        self.check_not_done(step)?;
        check_groups(total, &groups)?;
        let added = self.new_groups(step, total, groups)?;
        self.check_capacity(step, &added)?;
        if !added.is_empty() {
            let record = Record::Submitted {
                groups: added.clone(),
                step,
                total,
            };
            self.replicate(record, now, actions);
            for spec in &added {
                for index in 0..spec.samples {
                    self.start_sample(step, spec, index, actions);
                }
            }
        }
        let state = self.image.step(step).ok_or(Refusal::UnknownStep)?;
        Ok(Answer::Submitted(state.progress()))
    }

    fn fetch(
        &mut self,
        step: StepNumber,
        page: u32,
        digest: Option<Digest>,
        now: Millis,
        actions: &mut Vec<StepAction>,
    ) -> Result<Answer, Refusal> {
        self.check_not_done(step)?;
        self.freeze_if_complete(step, now, actions);
        let state = self.image.step(step).ok_or(Refusal::UnknownStep)?;
        let Stage::Frozen { batch, .. } = &state.stage else {
            return match digest {
                // The trainer has pages from another home, which do not belong to this home's
                // batch.
                Some(_) => Err(Refusal::WrongBatch(Digest::default())),
                None => Ok(Answer::Waiting(state.progress())),
            };
        };
        if digest.is_some_and(|digest| digest != batch.digest) {
            return Err(Refusal::WrongBatch(batch.digest));
        }
        let page = batch.page(page, self.rules.page_samples);
        page.map(Answer::Page).ok_or(Refusal::NoSuchPage)
    }

    /// Returns the batch to count when it is acknowledged, or `None` if the step is not frozen
    /// here.
    fn batch_to_count(&self, step: StepNumber) -> Option<AcknowledgedBatch> {
        let Stage::Frozen { batch, .. } = &self.image.step(step)?.stage else {
            return None;
        };
        let tokens = batch
            .samples
            .iter()
            .map(|sample| sample.tokens.len() as u64)
            .sum();
        Some(AcknowledgedBatch { step, tokens })
    }

    fn acknowledge(
        &mut self,
        step: StepNumber,
        digest: Digest,
        now: Millis,
        actions: &mut Vec<StepAction>,
    ) -> Result<Answer, Refusal> {
        if let Some(known) = self.image.acknowledged(step) {
            return Ok(Answer::Acknowledged(known));
        }
        self.check_not_done(step)?;
        self.image.step(step).ok_or(Refusal::UnknownStep)?;
        // The trainer already holds a complete batch, so its digest is accepted even if another
        // home produced the batch.
        self.cancel_samples(step, Some(step), actions);
        self.replicate(Record::Acknowledged(step, digest), now, actions);
        self.counts.acknowledged += 1;
        Ok(Answer::Acknowledged(digest))
    }

    fn rewind(
        &mut self,
        number: u64,
        step: StepNumber,
        now: Millis,
        actions: &mut Vec<StepAction>,
    ) -> Result<Answer, Refusal> {
        let done = self.image.rewinds();
        if number > done + 1 || number == 0 {
            return Err(Refusal::Invalid(format!("the next rewind is {}", done + 1)));
        }
        if number == done + 1 {
            self.cancel_samples(step, None, actions);
            self.replicate(Record::Rewound(step), now, actions);
        }
        Ok(Answer::Rewound)
    }

    fn check_not_done(&self, step: StepNumber) -> Result<(), Refusal> {
        if let Some(digest) = self.image.acknowledged(step) {
            return Err(Refusal::Acknowledged(digest));
        }
        match self.image.gone(step) {
            Some(oldest) => Err(Refusal::Gone { oldest }),
            None => Ok(()),
        }
    }

    fn new_groups(
        &self,
        step: StepNumber,
        total: u32,
        groups: Vec<GroupSpec>,
    ) -> Result<Vec<GroupSpec>, Refusal> {
        let Some(state) = self.image.step(step) else {
            return Ok(groups);
        };
        if state.total != total {
            return Err(Refusal::Conflict(state.total));
        }
        let mut added = Vec::new();
        for spec in groups {
            match state.specs.get(&spec.group) {
                None => added.push(spec),
                Some(known) if *known == spec_hash(&spec) => {}
                Some(_) => return Err(Refusal::Conflict(spec.group)),
            }
        }
        Ok(added)
    }

    fn check_capacity(&self, step: StepNumber, added: &[GroupSpec]) -> Result<(), Refusal> {
        let more: u32 = added.iter().map(|spec| spec.samples).sum();
        let own = self
            .image
            .step(step)
            .map_or(0, |state| state.progress().samples);
        // For the oldest step, only its own samples count against the limit, so that it can always
        // be completed.
        let is_oldest = self.image.oldest_step().is_none_or(|oldest| step <= oldest);
        let waiting = if is_oldest { own } else { self.image.waiting() };
        let bound = self.rules.max_open_samples;
        if more > 0 && waiting.saturating_add(more) > bound {
            return Err(Refusal::Full { bound, waiting });
        }
        Ok(())
    }

    pub(super) fn finish_sample(
        &mut self,
        generation: u64,
        mut sample: Sample,
        now: Millis,
        actions: &mut Vec<StepAction>,
    ) {
        if !self.is_home() || self.running.get(&sample.id) != Some(&generation) {
            self.counts.dropped += 1;
            return;
        }
        self.running.remove(&sample.id);
        sample.tokens.shrink();
        let id = sample.id.clone();
        if self.is_too_old(&sample) || !sample.is_consistent() {
            self.restart_sample(&id, actions);
            return;
        }
        self.replicate(Record::Finished(Arc::new(sample)), now, actions);
    }

    pub(super) fn publish(
        &mut self,
        version: WeightVersion,
        now: Millis,
        actions: &mut Vec<StepAction>,
    ) {
        self.versions.publish(&version);
        if !self.is_home() || self.image.order().newest() == Some(&version) {
            return;
        }
        self.replicate(Record::Published(version), now, actions);
        let steps: Vec<_> = self.image.open_steps().map(|(step, _)| step).collect();
        for step in steps {
            self.discard_stale(step, now, actions);
        }
    }

    fn is_too_old(&self, sample: &Sample) -> bool {
        let freshness = self
            .image
            .order()
            .sample_freshness(sample, self.rules.staleness_versions);
        matches!(freshness, Freshness::TooOld { .. })
    }

    fn freeze_if_complete(&mut self, step: StepNumber, now: Millis, actions: &mut Vec<StepAction>) {
        let can_freeze = |steps: &Self| {
            let state = steps.image.step(step);
            state.is_some_and(|state| {
                matches!(state.stage, Stage::Open(_)) && state.progress().is_complete()
            })
        };
        if !can_freeze(self) {
            return;
        }
        let has_unknown = self.discard_stale(step, now, actions);
        if !has_unknown && can_freeze(self) {
            self.unknown_since.remove(&step);
            self.counts.frozen += 1;
            self.replicate(Record::Frozen(step), now, actions);
        }
    }

    /// Discards and restarts samples that are too old.
    ///
    /// Returns `true` if samples with an unknown version remain that may still turn out to be
    /// fresh. After [`unknown_timeout_ms`](crate::StepRules::unknown_timeout_ms) these are
    /// restarted too.
    fn discard_stale(
        &mut self,
        step: StepNumber,
        now: Millis,
        actions: &mut Vec<StepAction>,
    ) -> bool {
        let (old, unknown) = self.stale_samples(step);
        let since = *self.unknown_since.entry(step).or_insert(now);
        let is_within_timeout = now - since < self.rules.unknown_timeout_ms;
        if unknown.is_empty() || !is_within_timeout {
            self.unknown_since.remove(&step);
        }
        let discarded = if is_within_timeout {
            old
        } else {
            [old, unknown.clone()].concat()
        };
        for id in discarded {
            self.replicate(Record::Discarded(id.clone()), now, actions);
            self.restart_sample(&id, actions);
        }
        is_within_timeout && !unknown.is_empty()
    }

    /// Returns the samples of an open step that are too old, and those with an unknown version.
    fn stale_samples(&self, step: StepNumber) -> (Vec<SampleId>, Vec<SampleId>) {
        let (mut old, mut unknown) = (Vec::new(), Vec::new());
        let open = self.image.step(step).map(|state| &state.stage);
        if let Some(Stage::Open(groups)) = open {
            for sample in groups
                .values()
                .flat_map(|group| group.samples.iter().flatten())
            {
                match self
                    .image
                    .order()
                    .sample_freshness(sample, self.rules.staleness_versions)
                {
                    Freshness::Fresh { .. } => {}
                    Freshness::TooOld { .. } => old.push(sample.id.clone()),
                    Freshness::Unknown => unknown.push(sample.id.clone()),
                }
            }
        }
        (old, unknown)
    }

    fn restart_sample(&mut self, id: &SampleId, actions: &mut Vec<StepAction>) {
        self.counts.remade += 1;
        let spec = match self.image.step(id.step).map(|state| &state.stage) {
            Some(Stage::Open(groups)) => groups.get(&id.group).map(|group| group.spec.clone()),
            _ => None,
        };
        if let Some(spec) = spec {
            self.start_sample(id.step, &spec, id.index, actions);
        }
    }

    pub(super) fn start_sample(
        &mut self,
        step: StepNumber,
        spec: &GroupSpec,
        index: u32,
        actions: &mut Vec<StepAction>,
    ) {
        self.generation += 1;
        let id = SampleId {
            trainer: self.trainer.clone(),
            step,
            group: spec.group,
            index,
        };
        self.running.insert(id.clone(), self.generation);
        actions.push(StepAction::Start {
            generation: self.generation,
            id,
            spec: spec.clone(),
        });
    }

    /// Cancels the running samples of the steps from `first` to `last`, or of all steps from
    /// `first` on.
    fn cancel_samples(
        &mut self,
        first: StepNumber,
        last: Option<StepNumber>,
        actions: &mut Vec<StepAction>,
    ) {
        self.running.retain(|id, _| {
            let stops = id.step >= first && last.is_none_or(|last| id.step <= last);
            if stops {
                actions.push(StepAction::Cancel { id: id.clone() });
            }
            !stops
        });
    }

    /// Queues an answer until the replica has confirmed all records so far.
    fn answer_when_replicated(
        &mut self,
        reply: u64,
        answer: Answer,
        acknowledged_batch: Option<AcknowledgedBatch>,
        actions: &mut Vec<StepAction>,
    ) {
        if let Role::Home(home) = &mut self.role {
            home.pending.push(Pending {
                answer,
                acknowledged_batch,
                reply,
                sequence: home.sequence,
            });
        }
        self.release_answers(actions);
    }
}

fn check_groups(total: u32, groups: &[GroupSpec]) -> Result<(), Refusal> {
    let invalid = |message: &str| Err(Refusal::Invalid(message.to_owned()));
    if total == 0 {
        return invalid("a step has at least one group");
    }
    if groups.iter().any(|spec| spec.group >= total) {
        return invalid("a group's number is below the total");
    }
    if groups
        .iter()
        .any(|spec| spec.samples == 0 || spec.max_tokens == 0)
    {
        return invalid("a group has at least one sample of at least one token");
    }
    Ok(())
}
