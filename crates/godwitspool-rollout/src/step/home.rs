//! How the home answers the trainer.

use std::sync::Arc;

use godwitspool_types::{Millis, WeightVersion};

use super::{
    AcknowledgedBatch, Answer, Pending, Record, Refusal, Request, Role, StepAction, TrainerSteps,
    image::{Stage, spec_hash},
};
use crate::{Digest, Freshness, GroupSpec, Sample, SampleId, StepNumber};

impl TrainerSteps {
    pub(super) fn serve(
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
            self.probe(now, actions);
            return;
        }
        let mut handed = None;
        let answer = match request {
            Request::Acknowledge { digest, step } => {
                handed = self.handed_over(step);
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
            Ok(answer) => self.answer_once_held(reply, answer, handed, actions),
            Err(refusal) => {
                self.counts.refused += 1;
                let answer = Answer::Refused(refusal);
                actions.push(StepAction::Answer { reply, answer });
            }
        }
    }

    // -----------------------------------------------------------------------------------------------
    // Requests

    fn submit(
        &mut self,
        step: StepNumber,
        total: u32,
        groups: Vec<GroupSpec>,
        now: Millis,
        actions: &mut Vec<StepAction>,
    ) -> Result<Answer, Refusal> {
        self.check_done(step)?;
        check_groups(total, &groups)?;
        let fresh = self.new_groups(step, total, groups)?;
        self.check_room(step, &fresh)?;
        if !fresh.is_empty() {
            let record = Record::Submitted {
                groups: fresh.clone(),
                step,
                total,
            };
            self.record(record, now, actions);
            for spec in &fresh {
                for index in 0..spec.samples {
                    self.start(step, spec, index, actions);
                }
            }
        }
        let held = self.image.step(step).ok_or(Refusal::UnknownStep)?;
        Ok(Answer::Submitted(held.progress()))
    }

    fn fetch(
        &mut self,
        step: StepNumber,
        page: u32,
        digest: Option<Digest>,
        now: Millis,
        actions: &mut Vec<StepAction>,
    ) -> Result<Answer, Refusal> {
        self.check_done(step)?;
        self.freeze_if_whole(step, now, actions);
        let held = self.image.step(step).ok_or(Refusal::UnknownStep)?;
        let Stage::Frozen { batch, .. } = &held.stage else {
            return match digest {
                // The trainer began at another home: what it has is no part of this one's batch.
                Some(_) => Err(Refusal::WrongBatch(Digest::default())),
                None => Ok(Answer::Waiting(held.progress())),
            };
        };
        if digest.is_some_and(|digest| digest != batch.digest) {
            return Err(Refusal::WrongBatch(batch.digest));
        }
        let page = batch.page(page, self.rules.page_samples);
        page.map(Answer::Page).ok_or(Refusal::NoSuchPage)
    }

    /// Returns what an acknowledgment hands over; nothing for a step that isn't held frozen.
    fn handed_over(&self, step: StepNumber) -> Option<AcknowledgedBatch> {
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
        self.check_done(step)?;
        self.image.step(step).ok_or(Refusal::UnknownStep)?;
        // The trainer is the arbiter: it holds a whole batch, even if another home made it.
        self.stop(step, Some(step), actions);
        self.record(Record::Acknowledged(step, digest), now, actions);
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
            self.stop(step, None, actions);
            self.record(Record::Rewound(step), now, actions);
        }
        Ok(Answer::Rewound)
    }

    fn check_done(&self, step: StepNumber) -> Result<(), Refusal> {
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
        let Some(held) = self.image.step(step) else {
            return Ok(groups);
        };
        if held.total != total {
            return Err(Refusal::Conflict(held.total));
        }
        let mut fresh = Vec::new();
        for spec in groups {
            match held.specs.get(&spec.group) {
                None => fresh.push(spec),
                Some(known) if *known == spec_hash(&spec) => {}
                Some(_) => return Err(Refusal::Conflict(spec.group)),
            }
        }
        Ok(fresh)
    }

    fn check_room(&self, step: StepNumber, fresh: &[GroupSpec]) -> Result<(), Refusal> {
        let more: u32 = fresh.iter().map(|spec| spec.samples).sum();
        let own = self
            .image
            .step(step)
            .map_or(0, |held| held.progress().samples);
        // The oldest step only counts against the bound by its own size, so that it can get whole.
        let is_oldest = self.image.oldest().is_none_or(|oldest| step <= oldest);
        let waiting = if is_oldest { own } else { self.image.waiting() };
        let bound = self.rules.max_open_samples;
        if more > 0 && waiting.saturating_add(more) > bound {
            return Err(Refusal::Full { bound, waiting });
        }
        Ok(())
    }

    // -----------------------------------------------------------------------------------------------
    // Samples

    pub(super) fn take_sample(
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
            self.remake(&id, actions);
            return;
        }
        self.record(Record::Finished(Arc::new(sample)), now, actions);
    }

    pub(super) fn publish(
        &mut self,
        version: WeightVersion,
        now: Millis,
        actions: &mut Vec<StepAction>,
    ) {
        self.known.publish(&version);
        if !self.is_home() || self.image.order().newest() == Some(&version) {
            return;
        }
        self.record(Record::Published(version), now, actions);
        let steps: Vec<_> = self.image.open().map(|(step, _)| step).collect();
        for step in steps {
            self.discard_stale(step, now, actions);
        }
    }

    fn is_too_old(&self, sample: &Sample) -> bool {
        let judged = self
            .image
            .order()
            .sample_freshness(sample, self.rules.staleness_versions);
        matches!(judged, Freshness::TooOld { .. })
    }

    fn freeze_if_whole(&mut self, step: StepNumber, now: Millis, actions: &mut Vec<StepAction>) {
        let is_open = |steps: &Self| {
            let held = steps.image.step(step);
            held.is_some_and(|held| {
                matches!(held.stage, Stage::Open(_)) && held.progress().is_complete()
            })
        };
        if !is_open(self) {
            return;
        }
        let has_unknown = self.discard_stale(step, now, actions);
        if !has_unknown && is_open(self) {
            self.unknown_since.remove(&step);
            self.counts.frozen += 1;
            self.record(Record::Frozen(step), now, actions);
        }
    }

    /// Has samples that are too old made again; tells whether versions are unknown that may yet
    /// turn out to be new ones.
    fn discard_stale(
        &mut self,
        step: StepNumber,
        now: Millis,
        actions: &mut Vec<StepAction>,
    ) -> bool {
        let (old, unknown) = self.judge_step(step);
        let since = *self.unknown_since.entry(step).or_insert(now);
        let is_patient = now - since < self.rules.unknown_timeout_ms;
        if unknown.is_empty() || !is_patient {
            self.unknown_since.remove(&step);
        }
        let discarded = if is_patient {
            old
        } else {
            [old, unknown.clone()].concat()
        };
        for id in discarded {
            self.record(Record::Discarded(id.clone()), now, actions);
            self.remake(&id, actions);
        }
        is_patient && !unknown.is_empty()
    }

    fn judge_step(&self, step: StepNumber) -> (Vec<SampleId>, Vec<SampleId>) {
        let (mut old, mut unknown) = (Vec::new(), Vec::new());
        let open = self.image.step(step).map(|held| &held.stage);
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

    fn remake(&mut self, id: &SampleId, actions: &mut Vec<StepAction>) {
        self.counts.remade += 1;
        let spec = match self.image.step(id.step).map(|held| &held.stage) {
            Some(Stage::Open(groups)) => groups.get(&id.group).map(|group| group.spec.clone()),
            _ => None,
        };
        if let Some(spec) = spec {
            self.start(id.step, &spec, id.index, actions);
        }
    }

    pub(super) fn start(
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

    /// Stops the samples of the steps from `first` to `last`, or of all from `first` on.
    fn stop(&mut self, first: StepNumber, last: Option<StepNumber>, actions: &mut Vec<StepAction>) {
        self.running.retain(|id, _| {
            let stops = id.step >= first && last.is_none_or(|last| id.step <= last);
            if stops {
                actions.push(StepAction::Cancel { id: id.clone() });
            }
            !stops
        });
    }

    fn answer_once_held(
        &mut self,
        reply: u64,
        answer: Answer,
        handed: Option<AcknowledgedBatch>,
        actions: &mut Vec<StepAction>,
    ) {
        if let Role::Home(home) = &mut self.role {
            home.pending.push(Pending {
                answer,
                handed,
                reply,
                sequence: home.sequence,
            });
        }
        self.release(actions);
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
