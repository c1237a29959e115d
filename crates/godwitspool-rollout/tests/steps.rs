//! Tests of the answers of a home without a replica.

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

struct SingleHost {
    now: Millis,
    started: Vec<(u64, SampleId)>,
    steps: TrainerSteps,
}

impl SingleHost {
    fn new(rules: StepRules) -> Self {
        let mut host = Self {
            now: Millis(0),
            started: Vec::new(),
            steps: TrainerSteps::new("t".into(), "a".into(), rules),
        };
        host.send_event(StepEvent::Ranked(vec!["a".into()]));
        host.send_event(StepEvent::Published("v1".into()));
        host
    }

    fn send_event(&mut self, event: StepEvent) -> Vec<StepAction> {
        let actions = self.steps.decide(event, self.now);
        for action in &actions {
            if let StepAction::Start { generation, id, .. } = action {
                self.started.push((*generation, id.clone()));
            }
        }
        actions
    }

    fn send_request(&mut self, request: Request) -> Answer {
        let actions = self.send_event(StepEvent::Request { reply: 1, request });
        let answer = actions.into_iter().find_map(|action| match action {
            StepAction::Answer { answer, .. } => Some(answer),
            _ => None,
        });
        answer.expect("request was not answered")
    }

    fn submit(&mut self, step: u64, groups: impl IntoIterator<Item = u32>) -> Answer {
        let step = StepNumber(step);
        let groups = groups.into_iter().map(|group| spec(step, group)).collect();
        self.send_request(Request::Submit {
            groups,
            step,
            total: 2,
        })
    }

    fn fetch(&mut self, step: u64, page: u32) -> Answer {
        let step = StepNumber(step);
        self.send_request(Request::Fetch {
            digest: None,
            page,
            step,
        })
    }

    fn finish(&mut self, version: &str) {
        for (generation, id) in std::mem::take(&mut self.started) {
            let mut sample = Sample::new(id);
            sample.push("x", &version.into());
            self.send_event(StepEvent::Finished { generation, sample });
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
fn a_step_is_delivered_complete_and_acknowledged_once() {
    let mut host = SingleHost::new(StepRules::default());
    assert!(matches!(host.submit(1, [0]), Answer::Submitted(_)));
    host.finish("v1");
    assert!(matches!(host.fetch(1, 0), Answer::Waiting(progress) if !progress.is_complete()));
    host.submit(1, [0, 1]);
    assert_eq!(host.started.len(), 2, "a known group is not started again");
    host.finish("v1");
    let digest = host.digest(1);
    let acknowledge = Request::Acknowledge {
        digest,
        step: StepNumber(1),
    };
    assert_eq!(
        host.send_request(acknowledge.clone()),
        Answer::Acknowledged(digest)
    );
    assert_eq!(host.send_request(acknowledge), Answer::Acknowledged(digest));
    assert_eq!(
        host.fetch(1, 0),
        Answer::Refused(Refusal::Acknowledged(digest))
    );
    assert_eq!(
        host.submit(1, [0]),
        Answer::Refused(Refusal::Acknowledged(digest))
    );
}

#[test]
fn a_batch_is_counted_once_when_it_is_acknowledged() {
    let mut host = SingleHost::new(StepRules::default());
    host.submit(1, [0, 1]);
    host.finish("v1");
    let digest = host.digest(1);
    let Answer::Page(page) = host.fetch(1, 0) else {
        panic!("batch is not frozen")
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
        let actions = host.steps.decide(event, Millis(10));
        let counts = actions.into_iter().filter_map(|action| match action {
            StepAction::Count(batch) => Some(batch),
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
    let mut host = SingleHost::new(StepRules::default());
    host.submit(1, [0, 1]);
    let late = host.started.clone();
    host.finish("v1");
    let digest = host.digest(1);
    for version in ["v2", "v3", "v4"] {
        host.send_event(StepEvent::Published(version.into()));
    }
    host.started = late;
    host.finish("v4");
    assert_eq!(host.digest(1), digest);
    assert_eq!(host.steps.counts().dropped, 4);
}

#[test]
fn samples_too_old_at_delivery_are_made_again() {
    let mut host = SingleHost::new(StepRules::default());
    host.submit(1, [0, 1]);
    host.finish("v1");
    for version in ["v2", "v3"] {
        host.send_event(StepEvent::Published(version.into()));
    }
    assert!(matches!(host.fetch(1, 0), Answer::Waiting(_)));
    assert_eq!(host.steps.counts().remade, 4);
    host.finish("v1");
    assert_eq!(host.steps.counts().remade, 8, "too old on completion");
    host.finish("v3");
    assert!(matches!(host.fetch(1, 0), Answer::Page(_)));
}

#[test]
fn samples_of_an_unknown_version_wait_until_it_is_known_or_the_timeout() {
    let mut host = SingleHost::new(StepRules::default());
    host.submit(1, [0, 1]);
    host.finish("v9");
    assert!(matches!(host.fetch(1, 0), Answer::Waiting(_)));
    host.now = Millis(10_000);
    assert!(matches!(host.fetch(1, 0), Answer::Waiting(_)));
    assert_eq!(host.started.len(), 4);
    host.finish("v9");
    assert!(matches!(host.fetch(1, 0), Answer::Waiting(_)));
    host.send_event(StepEvent::Published("v9".into()));
    assert!(matches!(host.fetch(1, 0), Answer::Page(_)));
}

#[test]
fn a_group_with_other_contents_is_a_conflict() {
    let mut host = SingleHost::new(StepRules::default());
    host.submit(1, [0]);
    let mut other = spec(StepNumber(1), 0);
    other.messages = [Message::default()].into();
    let request = |groups: Vec<GroupSpec>, total| Request::Submit {
        groups,
        step: StepNumber(1),
        total,
    };
    let answer = host.send_request(request(vec![spec(StepNumber(1), 1), other], 2));
    assert_eq!(answer, Answer::Refused(Refusal::Conflict(0)));
    assert_eq!(
        host.started.len(),
        2,
        "no group of the refused request was accepted"
    );
    assert_eq!(
        host.send_request(request(Vec::new(), 3)),
        Answer::Refused(Refusal::Conflict(2))
    );
}

#[rstest]
#[case(1, 0, 4, 16)]
#[case(1, 1, 0, 16)]
#[case(2, 2, 4, 16)]
#[case(0, 0, 4, 16)]
#[case(1, 0, 4, 0)]
fn invalid_groups_are_refused(
    #[case] total: u32,
    #[case] group: u32,
    #[case] samples: u32,
    #[case] max_tokens: u32,
) {
    let mut host = SingleHost::new(StepRules::default());
    let step = StepNumber(1);
    let group = GroupSpec {
        group,
        max_tokens,
        samples,
        ..spec(step, 0)
    };
    let is_valid = (total, group.group, samples, max_tokens) == (1, 0, 4, 16);
    let answer = host.send_request(Request::Submit {
        groups: vec![group],
        step,
        total,
    });
    assert_eq!(
        is_valid,
        matches!(answer, Answer::Submitted(_)),
        "{answer:?}"
    );
    assert_eq!(
        !is_valid,
        matches!(answer, Answer::Refused(Refusal::Invalid(_)))
    );
}

#[test]
fn the_sample_limit_still_lets_the_oldest_step_complete() {
    let mut host = SingleHost::new(StepRules {
        max_open_samples: 4,
        ..StepRules::default()
    });
    host.submit(1, [0]);
    host.submit(2, [0]);
    let full = Answer::Refused(Refusal::Full {
        bound: 4,
        waiting: 4,
    });
    assert_eq!(host.submit(2, [1]), full);
    assert!(matches!(host.submit(1, [1]), Answer::Submitted(_)));
    host.finish("v1");
    let digest = host.digest(1);
    host.send_request(Request::Acknowledge {
        digest,
        step: StepNumber(1),
    });
    assert!(matches!(host.submit(2, [1]), Answer::Submitted(_)));
}

#[test]
fn pages_of_two_batches_never_mix() {
    let mut host = SingleHost::new(StepRules {
        page_samples: 1,
        ..StepRules::default()
    });
    host.submit(1, [0, 1]);
    let fetch = |digest, page| Request::Fetch {
        digest,
        page,
        step: StepNumber(1),
    };
    let wrong = host.send_request(fetch(Some(Digest(7)), 1));
    assert!(matches!(wrong, Answer::Refused(Refusal::WrongBatch(_))));
    host.finish("v1");
    let digest = host.digest(1);
    let wrong = host.send_request(fetch(Some(Digest(7)), 1));
    assert_eq!(wrong, Answer::Refused(Refusal::WrongBatch(digest)));
    assert!(
        matches!(host.send_request(fetch(Some(digest), 3)), Answer::Page(page) if page.pages == 4)
    );
    assert_eq!(
        host.send_request(fetch(Some(digest), 4)),
        Answer::Refused(Refusal::NoSuchPage)
    );
}

#[test]
fn a_trainer_that_goes_back_to_a_checkpoint_gets_new_samples() {
    let mut host = SingleHost::new(StepRules::default());
    assert_eq!(host.fetch(1, 0), Answer::Refused(Refusal::UnknownStep));
    host.submit(1, [0, 1]);
    host.finish("v1");
    let digest = host.digest(1);
    host.send_request(Request::Acknowledge {
        digest,
        step: StepNumber(1),
    });
    host.submit(2, [0, 1]);
    let late = host.started.clone();
    let rewind = |number| Request::Rewind {
        number,
        step: StepNumber(1),
    };
    assert_eq!(host.send_request(rewind(1)), Answer::Rewound);
    host.started.clear();
    assert!(matches!(host.submit(1, [0, 1]), Answer::Submitted(_)));
    assert_eq!(
        host.send_request(rewind(1)),
        Answer::Rewound,
        "a late duplicate"
    );
    host.submit(2, [0, 1]);
    let fresh = std::mem::replace(&mut host.started, late);
    host.finish("v1");
    assert!(matches!(host.fetch(2, 0), Answer::Waiting(progress) if progress.done == 0));
    host.started = fresh;
    host.finish("v1");
    assert!(matches!(host.fetch(1, 0), Answer::Page(_)));
    assert!(matches!(
        host.send_request(rewind(3)),
        Answer::Refused(Refusal::Invalid(_))
    ));
}

#[test]
fn steps_older_than_the_remembered_ones_are_gone() {
    let mut host = SingleHost::new(StepRules::default());
    for step in 1..=1_025 {
        host.submit(step, [0, 1]);
        host.finish("v1");
        let digest = host.digest(step);
        host.send_request(Request::Acknowledge {
            digest,
            step: StepNumber(step),
        });
    }
    let gone = Answer::Refused(Refusal::Gone {
        oldest: StepNumber(2),
    });
    assert_eq!(host.fetch(1, 0), gone);
    assert_eq!(host.submit(1, [0]), gone);
}
