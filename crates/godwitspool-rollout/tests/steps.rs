//! What the home answers the trainer.

use godwitspool_rollout::{
    AcknowledgedBatch, Answer, Digest, GroupSpec, Message, Refusal, Request, Sample, SampleId,
    StepAction, StepEvent, StepNumber, StepRules, TrainerSteps,
};
use godwitspool_types::Millis;
use rstest::rstest;

fn spec(step: StepNumber, group: u32) -> GroupSpec {
    let message = Message {
        content: format!("step {step}, group {group}"),
        role: "user".to_owned(),
    };
    GroupSpec {
        group,
        max_tokens: 16,
        messages: [message].into(),
        samples: 2,
    }
}

struct Alone {
    now: Millis,
    started: Vec<(u64, SampleId)>,
    steps: TrainerSteps,
}

impl Alone {
    fn new(rules: StepRules) -> Self {
        let mut alone = Self {
            now: Millis(0),
            started: Vec::new(),
            steps: TrainerSteps::new("t".into(), "a".into(), rules),
        };
        alone.tell(StepEvent::Ranked(vec!["a".into()]));
        alone.tell(StepEvent::Published("v1".into()));
        alone
    }

    fn tell(&mut self, event: StepEvent) -> Vec<StepAction> {
        let actions = self.steps.decide(event, self.now);
        for action in &actions {
            if let StepAction::Start { generation, id, .. } = action {
                self.started.push((*generation, id.clone()));
            }
        }
        actions
    }

    fn ask(&mut self, request: Request) -> Answer {
        let actions = self.tell(StepEvent::Request { reply: 1, request });
        let answer = actions.into_iter().find_map(|action| match action {
            StepAction::Answer { answer, .. } => Some(answer),
            _ => None,
        });
        answer.expect("every request is answered")
    }

    fn submit(&mut self, step: u64, groups: impl IntoIterator<Item = u32>) -> Answer {
        let step = StepNumber(step);
        let groups = groups.into_iter().map(|group| spec(step, group)).collect();
        self.ask(Request::Submit {
            groups,
            step,
            total: 2,
        })
    }

    fn fetch(&mut self, step: u64, page: u32) -> Answer {
        let step = StepNumber(step);
        self.ask(Request::Fetch {
            digest: None,
            page,
            step,
        })
    }

    fn finish(&mut self, version: &str) {
        for (generation, id) in std::mem::take(&mut self.started) {
            let mut sample = Sample::new(id);
            sample.push("x", &version.into());
            self.tell(StepEvent::Finished { generation, sample });
        }
    }

    fn digest(&mut self, step: u64) -> Digest {
        match self.fetch(step, 0) {
            Answer::Page(page) => page.digest,
            answer => panic!("{answer:?}"),
        }
    }
}

#[test]
fn a_step_is_handed_over_whole_and_once() {
    let mut alone = Alone::new(StepRules::default());
    assert!(matches!(alone.submit(1, [0]), Answer::Submitted(_)));
    alone.finish("v1");
    assert!(matches!(alone.fetch(1, 0), Answer::Waiting(progress) if !progress.is_complete()));
    alone.submit(1, [0, 1]);
    assert_eq!(
        alone.started.len(),
        2,
        "the group that is held is not made again"
    );
    alone.finish("v1");
    let digest = alone.digest(1);
    let acknowledge = Request::Acknowledge {
        digest,
        step: StepNumber(1),
    };
    assert_eq!(alone.ask(acknowledge.clone()), Answer::Acknowledged(digest));
    assert_eq!(alone.ask(acknowledge), Answer::Acknowledged(digest));
    assert_eq!(
        alone.fetch(1, 0),
        Answer::Refused(Refusal::Acknowledged(digest))
    );
    assert_eq!(
        alone.submit(1, [0]),
        Answer::Refused(Refusal::Acknowledged(digest))
    );
}

#[test]
fn a_batch_is_counted_once_when_it_is_acknowledged() {
    let mut alone = Alone::new(StepRules::default());
    alone.submit(1, [0, 1]);
    alone.finish("v1");
    let digest = alone.digest(1);
    let Answer::Page(page) = alone.fetch(1, 0) else {
        panic!("the batch is frozen")
    };
    let tokens = page
        .samples
        .iter()
        .map(|sample| sample.tokens.len() as u64)
        .sum();
    let mut acknowledge = || {
        let request = Request::Acknowledge {
            digest,
            step: StepNumber(1),
        };
        let event = StepEvent::Request { reply: 9, request };
        let actions = alone.steps.decide(event, Millis(10));
        let counts = actions.into_iter().filter_map(|action| match action {
            StepAction::Count(handed) => Some(handed),
            _ => None,
        });
        counts.collect::<Vec<_>>()
    };
    assert_eq!(
        acknowledge(),
        [AcknowledgedBatch {
            step: StepNumber(1),
            tokens
        }]
    );
    assert_eq!(acknowledge(), []);
}

#[test]
fn a_batch_that_was_fetched_never_changes() {
    let mut alone = Alone::new(StepRules::default());
    alone.submit(1, [0, 1]);
    let late = alone.started.clone();
    alone.finish("v1");
    let digest = alone.digest(1);
    for version in ["v2", "v3", "v4"] {
        alone.tell(StepEvent::Published(version.into()));
    }
    alone.started = late;
    alone.finish("v4");
    assert_eq!(alone.digest(1), digest);
    assert_eq!(alone.steps.counts().dropped, 4);
}

#[test]
fn samples_too_old_at_delivery_are_made_again() {
    let mut alone = Alone::new(StepRules::default());
    alone.submit(1, [0, 1]);
    alone.finish("v1");
    for version in ["v2", "v3"] {
        alone.tell(StepEvent::Published(version.into()));
    }
    assert!(matches!(alone.fetch(1, 0), Answer::Waiting(_)));
    assert_eq!(alone.steps.counts().remade, 4);
    alone.finish("v1");
    assert_eq!(alone.steps.counts().remade, 8, "too old as it comes in");
    alone.finish("v3");
    assert!(matches!(alone.fetch(1, 0), Answer::Page(_)));
}

#[test]
fn an_unknown_version_is_held_back_until_it_is_known_or_made_again() {
    let mut alone = Alone::new(StepRules::default());
    alone.submit(1, [0, 1]);
    alone.finish("v9");
    assert!(matches!(alone.fetch(1, 0), Answer::Waiting(_)));
    alone.now = Millis(10_000);
    assert!(matches!(alone.fetch(1, 0), Answer::Waiting(_)));
    assert_eq!(alone.started.len(), 4);
    alone.finish("v9");
    assert!(matches!(alone.fetch(1, 0), Answer::Waiting(_)));
    alone.tell(StepEvent::Published("v9".into()));
    assert!(matches!(alone.fetch(1, 0), Answer::Page(_)));
}

#[test]
fn a_group_with_other_contents_is_a_conflict() {
    let mut alone = Alone::new(StepRules::default());
    alone.submit(1, [0]);
    let mut other = spec(StepNumber(1), 0);
    other.messages = [Message::default()].into();
    let request = |groups: Vec<GroupSpec>, total| Request::Submit {
        groups,
        step: StepNumber(1),
        total,
    };
    let answer = alone.ask(request(vec![spec(StepNumber(1), 1), other], 2));
    assert_eq!(answer, Answer::Refused(Refusal::Conflict(0)));
    assert_eq!(
        alone.started.len(),
        2,
        "nothing of the refused request was taken"
    );
    assert_eq!(
        alone.ask(request(Vec::new(), 3)),
        Answer::Refused(Refusal::Conflict(2))
    );
}

#[rstest]
#[case(1, 0, 4, 16)]
#[case(1, 1, 0, 16)]
#[case(2, 2, 4, 16)]
#[case(0, 0, 4, 16)]
#[case(1, 0, 4, 0)]
fn nonsense_is_refused(
    #[case] total: u32,
    #[case] group: u32,
    #[case] samples: u32,
    #[case] max_tokens: u32,
) {
    let mut alone = Alone::new(StepRules::default());
    let step = StepNumber(1);
    let group = GroupSpec {
        group,
        max_tokens,
        samples,
        ..spec(step, 0)
    };
    let is_right = (total, group.group, samples, max_tokens) == (1, 0, 4, 16);
    let answer = alone.ask(Request::Submit {
        groups: vec![group],
        step,
        total,
    });
    assert_eq!(
        is_right,
        matches!(answer, Answer::Submitted(_)),
        "{answer:?}"
    );
    assert_eq!(
        !is_right,
        matches!(answer, Answer::Refused(Refusal::Invalid(_)))
    );
}

#[test]
fn a_full_trainer_is_refused_and_its_oldest_step_still_gets_whole() {
    let mut alone = Alone::new(StepRules {
        max_open_samples: 4,
        ..StepRules::default()
    });
    alone.submit(1, [0]);
    alone.submit(2, [0]);
    let full = Answer::Refused(Refusal::Full {
        bound: 4,
        waiting: 4,
    });
    assert_eq!(alone.submit(2, [1]), full);
    assert!(matches!(alone.submit(1, [1]), Answer::Submitted(_)));
    alone.finish("v1");
    let digest = alone.digest(1);
    alone.ask(Request::Acknowledge {
        digest,
        step: StepNumber(1),
    });
    assert!(matches!(alone.submit(2, [1]), Answer::Submitted(_)));
}

#[test]
fn pages_of_two_batches_never_mix() {
    let mut alone = Alone::new(StepRules {
        page_samples: 1,
        ..StepRules::default()
    });
    alone.submit(1, [0, 1]);
    let fetch = |digest, page| Request::Fetch {
        digest,
        page,
        step: StepNumber(1),
    };
    let wrong = alone.ask(fetch(Some(Digest(7)), 1));
    assert!(matches!(wrong, Answer::Refused(Refusal::WrongBatch(_))));
    alone.finish("v1");
    let digest = alone.digest(1);
    let wrong = alone.ask(fetch(Some(Digest(7)), 1));
    assert_eq!(wrong, Answer::Refused(Refusal::WrongBatch(digest)));
    assert!(matches!(alone.ask(fetch(Some(digest), 3)), Answer::Page(page) if page.pages == 4));
    assert_eq!(
        alone.ask(fetch(Some(digest), 4)),
        Answer::Refused(Refusal::NoSuchPage)
    );
}

#[test]
fn a_trainer_that_goes_back_to_a_checkpoint_gets_new_samples() {
    let mut alone = Alone::new(StepRules::default());
    assert_eq!(alone.fetch(1, 0), Answer::Refused(Refusal::UnknownStep));
    alone.submit(1, [0, 1]);
    alone.finish("v1");
    let digest = alone.digest(1);
    alone.ask(Request::Acknowledge {
        digest,
        step: StepNumber(1),
    });
    alone.submit(2, [0, 1]);
    let late = alone.started.clone();
    let rewind = |number| Request::Rewind {
        number,
        step: StepNumber(1),
    };
    assert_eq!(alone.ask(rewind(1)), Answer::Rewound);
    alone.started.clear();
    assert!(matches!(alone.submit(1, [0, 1]), Answer::Submitted(_)));
    assert_eq!(alone.ask(rewind(1)), Answer::Rewound, "a late duplicate");
    alone.submit(2, [0, 1]);
    let fresh = std::mem::replace(&mut alone.started, late);
    alone.finish("v1");
    assert!(matches!(alone.fetch(2, 0), Answer::Waiting(progress) if progress.done == 0));
    alone.started = fresh;
    alone.finish("v1");
    assert!(matches!(alone.fetch(1, 0), Answer::Page(_)));
    assert!(matches!(
        alone.ask(rewind(3)),
        Answer::Refused(Refusal::Invalid(_))
    ));
}

#[test]
fn steps_beyond_memory_are_gone() {
    let mut alone = Alone::new(StepRules::default());
    for step in 1..=1_025 {
        alone.submit(step, [0, 1]);
        alone.finish("v1");
        let digest = alone.digest(step);
        alone.ask(Request::Acknowledge {
            digest,
            step: StepNumber(step),
        });
    }
    let gone = Answer::Refused(Refusal::Gone {
        oldest: StepNumber(2),
    });
    assert_eq!(alone.fetch(1, 0), gone);
    assert_eq!(alone.submit(1, [0]), gone);
}
