//! One trainer's steps on one host, driven without sockets.

use godwitspool_rollout::{
    Answer, GroupSpec, Message, Request, Sample, SampleId, StepAction, StepEvent, StepNumber,
    StepRules, TrainerSteps,
};
use godwitspool_types::{Millis, WeightVersion};

pub(crate) struct StepsHarness {
    pub(crate) now: Millis,
    pub(crate) started: Vec<(u64, SampleId)>,
    pub(crate) steps: TrainerSteps,
}

impl StepsHarness {
    pub(crate) fn new(rules: StepRules) -> Self {
        let mut lab = Self {
            now: Millis::ZERO,
            started: Vec::new(),
            steps: TrainerSteps::new("t".into(), "h".into(), rules),
        };
        lab.tell(StepEvent::Ranked(vec!["h".into()]));
        lab
    }

    pub(crate) fn tell(&mut self, event: StepEvent) -> Option<Answer> {
        let mut given = None;
        for action in self.steps.decide(event, self.now) {
            match action {
                StepAction::Answer { answer, .. } => given = Some(answer),
                StepAction::Start { generation, id, .. } => self.started.push((generation, id)),
                StepAction::Cancel { .. } | StepAction::Count(_) | StepAction::Send { .. } => {}
            }
        }
        given
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
        self.tell(StepEvent::Request { reply: 1, request })
    }

    pub(crate) fn finish(&mut self, at: usize, tokens: usize, version: &WeightVersion) {
        let (generation, id) = self.started.swap_remove(at);
        let mut sample = Sample::new(id);
        for _ in 0..tokens {
            sample.push("token", version);
        }
        self.tell(StepEvent::Finished { generation, sample });
    }

    pub(crate) fn fetch(&mut self, step: u64, page: u32) -> Option<Answer> {
        let request = Request::Fetch {
            digest: None,
            page,
            step: StepNumber(step),
        };
        self.tell(StepEvent::Request { reply: 1, request })
    }
}
