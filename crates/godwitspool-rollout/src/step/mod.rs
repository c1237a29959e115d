//! A trainer's steps on the hosts that keep them.
//!
//! The home answers the trainer; a replica holds every record that an answer rests on before the
//! answer is given. The split of work: `home` decides requests, `replication` moves records,
//! `role` decides which host is home, `image` is the replicated state itself.

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

/// Bounds of a trainer's steps.
#[derive(Clone, Debug, PartialEq)]
pub struct StepRules {
    /// Samples that may wait in steps that aren't acknowledged; one step is always admitted.
    pub max_open_samples: u32,
    /// Samples on a page.
    pub page_samples: usize,
    /// Versions that a sample may lag behind when the batch is frozen.
    pub staleness_versions: u32,
    /// Time for which a sample with an unknown version is held back before it is made again.
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

/// Counts what happened, for metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StepCounts {
    /// Late or duplicate ends of samples that were dropped.
    pub dropped: u64,
    /// Batches frozen.
    pub frozen: u64,
    /// Batches acknowledged.
    pub acknowledged: u64,
    /// Samples made again because they were too old.
    pub remade: u64,
    /// Requests refused.
    pub refused: u64,
    /// Times this host became home.
    pub takeovers: u64,
}

/// The steps of one trainer on one host.
#[derive(Debug)]
pub struct TrainerSteps {
    counts: StepCounts,
    epoch: Epoch,
    generation: u64,
    host: HostName,
    image: Image,
    known: VersionOrder,
    ranked: Vec<HostName>,
    role: Role,
    rules: StepRules,
    running: BTreeMap<SampleId, u64>,
    trainer: TrainerName,
    unknown_since: BTreeMap<StepNumber, Millis>,
    /// What this host accepted as home and the present home may not know.
    unmerged: Option<Box<Image>>,
}

#[derive(Debug)]
enum Role {
    Home(Home),
    Idle {
        silent: Option<Vec<HostName>>,
    },
    Replica {
        sequence: u64,
        /// The last whole state, to go back to when the home dies before the next one is whole. The
        /// home answers nothing in between.
        shadow: Option<Box<Image>>,
        /// Sequence number from which on the state is whole.
        whole: u64,
    },
}

#[derive(Debug, Default)]
struct Home {
    former: Vec<HostName>,
    pending: Vec<Pending>,
    replica: Option<Replica>,
    sequence: u64,
    unheld: VecDeque<Record>,
}

#[derive(Debug)]
struct Replica {
    held: Option<u64>,
    host: HostName,
    sent: u64,
    sent_at: Millis,
}

#[derive(Debug)]
struct Pending {
    answer: Answer,
    /// What is counted once the answer is given.
    handed: Option<AcknowledgedBatch>,
    reply: u64,
    sequence: u64,
}

impl TrainerSteps {
    /// Creates the state of a host that holds nothing yet.
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
            known: VersionOrder::default(),
            ranked: Vec::new(),
            role: Role::Idle { silent: None },
            rules,
            running: BTreeMap::new(),
            trainer,
            unknown_since: BTreeMap::new(),
            unmerged: None,
        }
    }

    /// Decides what follows from an event.
    pub fn decide(&mut self, event: StepEvent, now: Millis) -> Vec<StepAction> {
        let mut actions = Vec::new();
        match event {
            StepEvent::Finished { generation, sample } => {
                self.take_sample(generation, sample, now, &mut actions);
            }
            StepEvent::Peer { from, message } => self.hear(from, message, now, &mut actions),
            StepEvent::Published(version) => self.publish(version, now, &mut actions),
            StepEvent::Ranked(ranked) => self.rank(ranked, now, &mut actions),
            StepEvent::Request { reply, request } => {
                self.serve(reply, request, now, &mut actions);
            }
            StepEvent::Tick => self.resend(now, &mut actions),
        }
        actions
    }

    /// Tells whether this host answers the trainer.
    pub fn is_home(&self) -> bool {
        matches!(self.role, Role::Home(_))
    }

    /// Tells whether this host holds the steps for the home.
    pub fn is_replica(&self) -> bool {
        matches!(self.role, Role::Replica { .. })
    }

    /// Returns the replicated state.
    pub fn image(&self) -> &Image {
        &self.image
    }

    /// Returns the tenure that this host knows of.
    pub fn epoch(&self) -> &Epoch {
        &self.epoch
    }

    /// Returns the counts.
    pub fn counts(&self) -> StepCounts {
        self.counts
    }

    /// Changes the bounds; what was accepted stays accepted.
    pub fn set_rules(&mut self, rules: StepRules) {
        self.rules = rules;
    }

    /// Returns the generation under which a sample is being made, if it is.
    pub fn generation(&self, id: &SampleId) -> Option<u64> {
        self.running.get(id).copied()
    }
}
