//! Replicated storage of a trainer's steps.
//!
//! Two hosts store the steps of a trainer. The home is the primary and answers the trainer. The
//! replica confirms every record that an answer depends on before the home sends the answer. The
//! submodules: `home` handles requests, `replication` sends records and images, `role` selects the
//! home and the replica, and `image` contains the replicated state.

mod event;
mod home;
mod image;
mod replication;
mod request;
mod role;

pub use event::{AcknowledgedBatch, Epoch, PeerMessage, StepAction, StepEvent};
pub use image::{Image, Record};
pub use request::{Answer, Progress, Refusal, Request};

use std::collections::{BTreeMap, VecDeque};

use godwitspool_types::{HostName, Millis, TrainerName};

use crate::{SampleId, StepNumber, VersionOrder};

/// Limits for a trainer's steps.
#[derive(Clone, Debug, PartialEq)]
pub struct StepRules {
    /// Maximum number of samples in steps that are not acknowledged. For the oldest step, only its
    /// own samples count.
    pub max_open_samples: u32,
    /// Maximum number of samples on a page of a batch.
    pub page_samples: usize,
    /// Number of weight versions that a sample may be behind the newest one when its batch is
    /// frozen.
    pub staleness_versions: u32,
    /// Time for which samples with an unknown version delay the batch before they are generated
    /// again.
    pub unknown_timeout_ms: Millis,
}

impl Default for StepRules {
    fn default() -> Self {
        Self {
            max_open_samples: 65_536,
            page_samples: 256,
            staleness_versions: 1,
            unknown_timeout_ms: Millis(10_000),
        }
    }
}

/// Counters of one host's work on a trainer's steps, from the creation of [`TrainerSteps`] on.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StepCounts {
    /// Late or duplicate samples that were dropped.
    pub dropped: u64,
    /// Batches that this host froze.
    pub frozen: u64,
    /// Batches that a trainer acknowledged to this host.
    pub acknowledged: u64,
    /// Samples that were generated again because they were too old, inconsistent or of an unknown
    /// version.
    pub remade: u64,
    /// Requests that this host refused.
    pub refused: u64,
    /// Number of times this host became home.
    pub takeovers: u64,
}

/// The state of one trainer's steps on one host, as home, replica or neither.
#[derive(Debug)]
pub struct TrainerSteps {
    counts: StepCounts,
    epoch: Epoch,
    generation: u64,
    host: HostName,
    image: Image,
    /// Versions published so far, also while this host is not home.
    versions: VersionOrder,
    ranked: Vec<HostName>,
    role: Role,
    rules: StepRules,
    /// Generation of each running sample.
    running: BTreeMap<SampleId, u64>,
    trainer: TrainerName,
    /// When samples with an unknown version were first found in a step.
    unknown_since: BTreeMap<StepNumber, Millis>,
    /// State that this host accepted as home and that the current home may not have.
    unmerged: Option<Box<Image>>,
}

#[derive(Debug)]
enum Role {
    Home(Home),
    Idle {
        /// Hosts that have not answered a probe yet, or `None` while no probe is in progress.
        unanswered: Option<Vec<HostName>>,
    },
    Replica {
        /// Sequence number of the last applied record.
        sequence: u64,
        /// The last complete state, restored if the home fails before the current one is complete.
        /// The home answers no request in between.
        last_complete: Option<Box<Image>>,
        /// Sequence number from which the state is complete.
        complete_at: u64,
    },
}

#[derive(Debug, Default)]
struct Home {
    /// Hosts that must drop the steps once the current replica has confirmed its image.
    former_replicas: Vec<HostName>,
    /// Answers that wait for a confirmation of the replica.
    pending: Vec<Pending>,
    replica: Option<Replica>,
    /// Sequence number of the last record.
    sequence: u64,
    /// Records that the replica has not confirmed, up to `sequence`.
    unconfirmed: VecDeque<Record>,
}

#[derive(Debug)]
struct Replica {
    /// Last confirmed sequence number, or `None` until the image is confirmed.
    confirmed: Option<u64>,
    host: HostName,
    /// Last sequence number that was sent.
    sent: u64,
    sent_at: Millis,
}

#[derive(Debug)]
struct Pending {
    answer: Answer,
    /// Batch to count when the answer is sent.
    acknowledged_batch: Option<AcknowledgedBatch>,
    reply: u64,
    /// Sequence number that the replica must confirm first.
    sequence: u64,
}

impl TrainerSteps {
    /// Creates the state of a host that holds no steps yet.
    ///
    /// ```
    /// use godwitspool_rollout::{StepEvent, StepRules, TrainerSteps};
    /// use godwitspool_types::Millis;
    ///
    /// let mut steps = TrainerSteps::new("t".into(), "a".into(), StepRules::default());
    /// steps.decide(StepEvent::Ranked(vec!["a".into()]), Millis(0));
    /// assert!(steps.is_home());
    /// ```
    pub fn new(trainer: TrainerName, host: HostName, rules: StepRules) -> Self {
        Self {
            counts: StepCounts::default(),
            epoch: Epoch::default(),
            generation: 0,
            host,
            image: Image::default(),
            versions: VersionOrder::default(),
            ranked: Vec::new(),
            role: Role::Idle { unanswered: None },
            rules,
            running: BTreeMap::new(),
            trainer,
            unknown_since: BTreeMap::new(),
            unmerged: None,
        }
    }

    /// Applies an event and returns the resulting actions.
    pub fn decide(&mut self, event: StepEvent, now: Millis) -> Vec<StepAction> {
        let mut actions = Vec::new();
        match event {
            StepEvent::Finished { generation, sample } => {
                self.finish_sample(generation, sample, now, &mut actions);
            }
            StepEvent::Peer { from, message } => self.receive(from, message, now, &mut actions),
            StepEvent::Published(version) => self.publish(version, now, &mut actions),
            StepEvent::Ranked(ranked) => self.update_ranking(ranked, now, &mut actions),
            StepEvent::Request { reply, request } => {
                self.handle_request(reply, request, now, &mut actions);
            }
            StepEvent::Tick => self.resend(now, &mut actions),
        }
        actions
    }

    /// Returns `true` if this host is home, that is, if it answers the trainer.
    pub fn is_home(&self) -> bool {
        matches!(self.role, Role::Home(_))
    }

    /// Returns `true` if this host is a replica.
    pub fn is_replica(&self) -> bool {
        matches!(self.role, Role::Replica { .. })
    }

    /// Returns the replicated state. It is empty if this host is neither home nor replica.
    pub fn image(&self) -> &Image {
        &self.image
    }

    /// Returns the epoch in which this host is home or replica, or for which it stepped down.
    pub fn epoch(&self) -> &Epoch {
        &self.epoch
    }

    /// Returns the counters of this host's work.
    pub fn counts(&self) -> StepCounts {
        self.counts
    }

    /// Changes the limits. Groups that were already accepted are kept.
    pub fn set_rules(&mut self, rules: StepRules) {
        self.rules = rules;
    }

    /// Returns the generation of a running sample, or `None` if the sample is not running on this
    /// host.
    pub fn generation(&self, id: &SampleId) -> Option<u64> {
        self.running.get(id).copied()
    }
}
