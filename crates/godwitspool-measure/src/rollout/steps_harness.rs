//! Drives the steps of one trainer on one host, without sockets.

use godwitspool_rollout::{
    Answer, GroupSpec, Message, Request, Sample, SampleId, StepAction, StepEvent, StepNumber,
    StepRules, TrainerSteps,
};
use godwitspool_types::{Millis, WeightVersion};

/// The steps of trainer `t` on host `h`, which is the only host and therefore home.
pub(crate) struct StepsHarness {
    pub(crate) now: Millis,
    /// Samples that were started and have not finished, with their generation.
    pub(crate) started: Vec<(u64, SampleId)>,
    pub(crate) steps: TrainerSteps,
}

impl StepsHarness {
    pub(crate) fn new(rules: StepRules) -> Self {
        let mut harness = Self {
            now: Millis::ZERO,
            started: Vec::new(),
            steps: TrainerSteps::new("t".into(), "h".into(), rules),
        };
        harness.apply(StepEvent::Ranked(vec!["h".into()]));
        harness
    }

    /// Applies an event at the current time and returns the answer, if any. Adds the samples that
    /// it starts to `started`.
    pub(crate) fn apply(&mut self, event: StepEvent) -> Option<Answer> {
        let mut last_answer = None;
        for action in self.steps.decide(event, self.now) {
            match action {
                StepAction::Answer { answer, .. } => last_answer = Some(answer),
                StepAction::Start { generation, id, .. } => self.started.push((generation, id)),
                StepAction::Cancel { .. } | StepAction::Count(_) | StepAction::Send { .. } => {}
            }
        }
        last_answer
    }

    pub(crate) fn submit(&mut self, step: u64, groups: u32, samples: u32) -> Option<Answer> {
        let groups = (0..groups).map(|group| GroupSpec {
            group,
            max_tokens: 4_096,
            messages: [Message {
                content: "a prompt of forty characters or so, plain".to_owned(),
                role: "user".to_owned(),
            }]
            .into(),
            samples,
        });
        let groups: Vec<_> = groups.collect();
        let total = groups.len() as u32;
        let step = StepNumber(step);
        let request = Request::Submit {
            groups,
            step,
            total,
        };
        self.apply(StepEvent::Request { reply: 1, request })
    }

    /// Finishes the started sample at `index` with a number of tokens of one weight version.
    pub(crate) fn finish(&mut self, index: usize, tokens: usize, version: &WeightVersion) {
        let (generation, id) = self.started.swap_remove(index);
        let mut sample = Sample::new(id);
        for _ in 0..tokens {
            sample.push("token", version);
        }
        self.apply(StepEvent::Finished { generation, sample });
    }

    pub(crate) fn fetch(&mut self, step: u64, page: u32) -> Option<Answer> {
        let request = Request::Fetch {
            digest: None,
            page,
            step: StepNumber(step),
        };
        self.apply(StepEvent::Request { reply: 1, request })
    }
}
