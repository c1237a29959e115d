//! Requests that are suspected of ending the targets that run them.
//!
//! Load pattern: a request ends each target that runs it, and its caller sends it again and again, to
//! any host, under new identifiers, while sound requests are in flight beside it and targets also end
//! for other reasons. Each end is recorded in the store under the fingerprints of the requests that were
//! in flight, so all hosts count them together. After two ends, one copy runs at a time in the whole
//! fleet, on trial. An answer clears the request; an end in a trial has it refused for some time.

use std::collections::{BTreeMap, HashMap};

use godwitspool_types::TargetName;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::Fingerprint;
use crate::store::Record;

/// Number of ends from which on a request runs only on trial. One isn't enough: targets end by
/// themselves too, with sound requests in flight.
const TRIAL_ENDS: usize = 2;
/// Number of ends from which on an item or a reward call starts only after a pause. They run for longer
/// than requests, so they are in flight at more ends.
const PAUSE_ENDS: usize = 3;
/// Pause between two starts of such an item or call. It is shorter than the 5 s without a run after which
/// the platform considers an item forgotten.
const PAUSE_MS: u64 = 4_500;
/// Time for which a claim lasts unless its holder extends it. A host that is killed extends none, and its
/// partitions go to other hosts after about as long.
const CLAIM_MS: u64 = 1_500;
/// Interval at which a claim is extended, in milliseconds.
pub const EXTENSION_MS: u64 = 400;
/// Time after the end of a claim until another one is made. An extension that is under way comes first,
/// and hosts that read the store at slightly different times agree on who holds the claim.
const CLAIM_MARGIN_MS: u64 = 500;
/// Time for which a request is refused after its first end in a trial. A sound request may have been on
/// trial by bad luck.
const FIRST_REFUSAL_MS: u64 = 60_000;
/// The same after each further one.
const REFUSAL_MS: u64 = 600_000;
/// Time after which an end is forgotten.
const RETENTION_MS: u64 = 900_000;
/// Maximum number of ends that are kept; the oldest are forgotten first.
const MAX_ENDS: usize = 16_384;
/// Interval at which a copy of an item or call looks whether another one has ended.
const CLAIM_RETRY_MS: u64 = 100;
/// Time since its last end after which a request may be tried on the only sound target of its service.
const LONE_TRIAL_DELAY_MS: u64 = 10_000;

/// The end of a target while it ran a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TargetEnd {
    /// When it was noticed, in milliseconds since 1970.
    pub at_ms: u64,
    /// Whether the request was on trial.
    pub on_trial: bool,
}

/// A trial of a suspected request: the only copy that runs in the whole fleet.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Trial {
    /// Random number that identifies the trial.
    pub claim: u64,
    /// Target on which the copy runs. Other requests avoid it meanwhile.
    pub target: TargetName,
    /// When the trial was asked for or extended, in milliseconds since 1970.
    pub at_ms: u64,
    /// When it is over if its host has neither ended nor extended it; 0 ends it.
    pub until_ms: u64,
}

/// How a request may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// Like any other.
    Clear,
    /// Without hedges, on a target without other suspects.
    Watched,
    /// Only on trial.
    Suspected,
    /// Not at all while a copy, whose trial has this claim, is on trial.
    OnTrial(u64),
    /// Not at all until this time, in milliseconds since 1970.
    Refused(u64),
}

/// How an item or a reward call may start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Pacing {
    /// Now.
    Start,
    /// Once the store has confirmed this trial as the only one.
    Claim(Trial),
    /// No sooner than after this time in milliseconds.
    Wait(u64),
}

/// What a record of the store says of a suspected request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SuspectRecord {
    /// Fingerprint of the request.
    pub print: Fingerprint,
    /// The change.
    pub change: SuspectChange,
}

/// A change of what is known of a suspected request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SuspectChange {
    /// The target start with this number has ended.
    Ended(u64, TargetEnd),
    /// The end of the target start with this number is forgotten.
    Forgotten(u64),
    /// A host wants to run a copy on trial, or has ended its trial.
    Trial(Trial),
    /// There is no trial.
    TrialForgotten,
}

/// A record of the store about suspects that can't be read.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum SuspectRecordError {
    /// The key isn't a fingerprint, followed by the number of a target start for an end.
    #[snafu(display("key {key:?} names no request"))]
    Key {
        /// The key.
        key: String,
    },
    /// The value can't be decoded.
    #[snafu(display("value of {key:?}: {source}"))]
    Value {
        /// Key of the record.
        key: String,
        /// The decoding error.
        source: postcard::Error,
    },
}

/// Value of the record of an end.
#[derive(Deserialize, Serialize)]
struct StoredEnd {
    at_ms: u64,
    on_trial: bool,
}

impl From<TargetEnd> for StoredEnd {
    fn from(TargetEnd { at_ms, on_trial }: TargetEnd) -> Self {
        Self { at_ms, on_trial }
    }
}

impl From<StoredEnd> for TargetEnd {
    fn from(StoredEnd { at_ms, on_trial }: StoredEnd) -> Self {
        Self { at_ms, on_trial }
    }
}

impl TryFrom<&SuspectRecord> for Record {
    type Error = postcard::Error;

    fn try_from(SuspectRecord { print, change }: &SuspectRecord) -> Result<Self, Self::Error> {
        Ok(match change {
            SuspectChange::Ended(start, end) => {
                let value = postcard::to_stdvec(&StoredEnd::from(*end))?;
                Self::new(end_key(*print, *start), value)
            }
            SuspectChange::Forgotten(start) => Self::tombstone(end_key(*print, *start)),
            SuspectChange::Trial(trial) => {
                Self::new(print.to_string(), postcard::to_stdvec(trial)?)
            }
            SuspectChange::TrialForgotten => Self::tombstone(print.to_string()),
        })
    }
}

impl TryFrom<&Record> for SuspectRecord {
    type Error = SuspectRecordError;

    fn try_from(Record { key, value }: &Record) -> Result<Self, Self::Error> {
        let unnamed = || SuspectRecordError::Key { key: key.clone() };
        let unreadable = |source| SuspectRecordError::Value {
            key: key.clone(),
            source,
        };
        let (print, start) = match key.split_once('/') {
            Some((print, start)) => (print, Some(start)),
            None => (key.as_str(), None),
        };
        let Ok(print) = print.parse() else {
            return Err(unnamed());
        };
        let start = start.map(|start| u64::from_str_radix(start, 16));
        let change = match (start, value) {
            (Some(Err(_)), _) => return Err(unnamed()),
            (Some(Ok(start)), None) => SuspectChange::Forgotten(start),
            (Some(Ok(start)), Some(value)) => {
                let end: StoredEnd = postcard::from_bytes(value).map_err(unreadable)?;
                SuspectChange::Ended(start, end.into())
            }
            (None, None) => SuspectChange::TrialForgotten,
            (None, Some(value)) => {
                SuspectChange::Trial(postcard::from_bytes(value).map_err(unreadable)?)
            }
        };
        Ok(Self { print, change })
    }
}

fn end_key(print: Fingerprint, start: u64) -> String {
    format!("{print}/{start:016x}")
}

/// What a host knows of the suspected requests of all hosts.
///
/// ```
/// use godwitspool_host::version::{Fingerprint, Standing, Suspects, TargetEnd};
///
/// let print = Fingerprint::new(None, "POST", "a.example", "/i/x", b"body");
/// let mut suspects = Suspects::default();
/// let end = |at_ms, on_trial| TargetEnd { at_ms, on_trial };
/// suspects.observe(print, 1, end(0, false));
/// assert_eq!(suspects.standing(print, 0), Standing::Watched);
/// suspects.observe(print, 2, end(10, false));
/// assert_eq!(suspects.standing(print, 10), Standing::Suspected);
/// suspects.observe(print, 3, end(20, true));
/// assert_eq!(suspects.standing(print, 20), Standing::Refused(60_020));
/// suspects.clear(print);
/// assert_eq!(suspects.standing(print, 20), Standing::Clear);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    /// Ends by the number of the target start, of each request.
    cases: HashMap<Fingerprint, BTreeMap<u64, TargetEnd>>,
    /// The trial of each request that has one.
    trials: HashMap<Fingerprint, Trial>,
}

impl Suspects {
    /// Returns whether no request is suspected.
    pub fn is_empty(&self) -> bool {
        self.cases.is_empty()
    }

    /// Returns how a request may run now.
    pub fn standing(&self, print: Fingerprint, now_ms: u64) -> Standing {
        let Some(ends) = self.cases.get(&print) else {
            return Standing::Clear;
        };
        let in_trials = ends.values().filter(|end| end.on_trial);
        let refusal = if in_trials.clone().count() > 1 {
            REFUSAL_MS
        } else {
            FIRST_REFUSAL_MS
        };
        let until = in_trials.map(|end| end.at_ms + refusal).max();
        if let Some(until) = until.filter(|until| now_ms < *until) {
            return Standing::Refused(until);
        }
        let trial = self.trials.get(&print);
        match trial.filter(|trial| trial.is_held(now_ms)) {
            Some(trial) => Standing::OnTrial(trial.claim),
            None if until.is_some() || ends.len() >= TRIAL_ENDS => Standing::Suspected,
            None => Standing::Watched,
        }
    }

    /// Returns whether a suspected request may be tried now. `others` tells whether its service has
    /// sound targets besides the one that it would run on, which may end.
    pub fn may_try(&self, print: Fingerprint, others: bool, now_ms: u64) -> bool {
        let last = self.last_end_ms(print);
        others || last.is_none_or(|last| now_ms >= last + LONE_TRIAL_DELAY_MS)
    }

    /// Returns how an item or a reward call may start, which must not be refused for long: its caller
    /// counts on it. `claim` identifies this copy of it.
    pub fn pace(&self, print: Fingerprint, claim: u64, now_ms: u64) -> Pacing {
        let Some(ends) = self.cases.get(&print) else {
            return Pacing::Start;
        };
        if ends.len() < PAUSE_ENDS {
            return Pacing::Start;
        }
        let due = self.last_end_ms(print).unwrap_or_default() + PAUSE_MS;
        if now_ms < due {
            return Pacing::Wait(due - now_ms);
        }
        match self.trials.get(&print) {
            Some(trial) if trial.claim == claim && trial.lasts(now_ms) => Pacing::Start,
            Some(trial) if trial.is_held(now_ms) => Pacing::Wait(CLAIM_RETRY_MS),
            _ => Pacing::Claim(Trial::claim(claim, TargetName::default(), now_ms)),
        }
    }

    /// Returns the extension of a claim that is still needed, once it is due.
    ///
    /// Load pattern: items and requests run for many seconds, while the host that runs one may be killed at
    /// any moment and can't end its claim. The next owner of the batch, or of a later batch with the same
    /// item, or the host to which a caller sends its request again, must not wait for long, and must not
    /// start a second copy beside a run that goes on.
    ///
    /// ```
    /// use godwitspool_host::version::{
    ///     Fingerprint, Pacing, SuspectChange, SuspectRecord, Suspects, TargetEnd,
    /// };
    ///
    /// let print = Fingerprint::new(None, "POST", "a.example", "/b/1", b"body");
    /// let mut suspects = Suspects::default();
    /// for start in 0..3 {
    ///     suspects.observe(print, start, TargetEnd { at_ms: 0, on_trial: false });
    /// }
    /// let Pacing::Claim(trial) = suspects.pace(print, 7, 4_500) else {
    ///     panic!("the claim is free");
    /// };
    /// let change = SuspectChange::Trial(trial);
    /// suspects.apply(&SuspectRecord { print, change }, 4_510);
    /// assert_eq!(suspects.pace(print, 7, 4_510), Pacing::Start);
    /// assert_eq!(suspects.extend(print, 7, 4_600), None);
    /// assert!(suspects.extend(print, 7, 5_000).is_some());
    /// assert_eq!(suspects.extend(print, 8, 5_000), None);
    /// ```
    pub fn extend(&mut self, print: Fingerprint, claim: u64, now_ms: u64) -> Option<SuspectRecord> {
        let trial = self.trials.get_mut(&print)?;
        let due = trial.claim == claim && now_ms >= trial.at_ms + EXTENSION_MS;
        due.then(|| {
            // The claim lasts longer only once the store has the extension.
            trial.at_ms = now_ms;
            let extended = Trial::claim(claim, trial.target.clone(), now_ms);
            let change = SuspectChange::Trial(extended);
            SuspectRecord { print, change }
        })
    }

    /// Returns whether the trial of a request has this claim.
    pub fn has_trial(&self, print: Fingerprint, claim: u64) -> bool {
        self.trials
            .get(&print)
            .is_some_and(|trial| trial.claim == claim)
    }

    fn last_end_ms(&self, print: Fingerprint) -> Option<u64> {
        let ends = self.cases.get(&print)?;
        ends.values().map(|end| end.at_ms).max()
    }

    /// Returns the targets on which requests are on trial.
    pub fn trial_targets(&self, now_ms: u64) -> Vec<TargetName> {
        let trials = self.trials.values().filter(|trial| trial.lasts(now_ms));
        trials.map(|trial| trial.target.clone()).collect()
    }

    /// Records that a target start has ended while it ran a request.
    pub fn observe(&mut self, print: Fingerprint, start: u64, end: TargetEnd) {
        let ends = self.cases.entry(print).or_default();
        let known = ends.entry(start).or_insert(end);
        known.on_trial |= end.on_trial;
        if end.on_trial {
            self.trials.remove(&print);
        }
    }

    /// Returns the end of a target start under a request, unless the request has been cleared since.
    pub fn end(&self, print: Fingerprint, start: u64) -> Option<TargetEnd> {
        self.cases.get(&print)?.get(&start).copied()
    }

    /// Forgets the end of a target start under a request.
    pub fn forget_end(&mut self, print: Fingerprint, start: u64) {
        if let Some(ends) = self.cases.get_mut(&print) {
            ends.remove(&start);
            if ends.is_empty() {
                self.cases.remove(&print);
            }
        }
    }

    /// Applies a record of the store that is read now. Of several trials that hosts ask for at the same
    /// time, the first one in the store's order counts.
    pub fn apply(&mut self, record: &SuspectRecord, now_ms: u64) {
        let SuspectRecord { print, change } = record;
        match change {
            SuspectChange::Ended(start, end) => self.observe(*print, *start, *end),
            SuspectChange::Forgotten(start) => self.forget_end(*print, *start),
            SuspectChange::Trial(trial) => self.apply_trial(*print, trial, now_ms),
            SuspectChange::TrialForgotten => {
                self.trials.remove(print);
            }
        }
    }

    fn apply_trial(&mut self, print: Fingerprint, trial: &Trial, now_ms: u64) {
        let known = self.trials.get(&print);
        let is_own = known.is_some_and(|known| known.claim == trial.claim);
        if trial.until_ms == 0 {
            if is_own {
                self.trials.remove(&print);
            }
        } else if is_own || !known.is_some_and(|known| known.lasts(now_ms)) {
            // Hosts' clocks may differ by more than a claim lasts, so its time counts from here.
            let lasts_ms = trial.until_ms.saturating_sub(trial.at_ms);
            let read = Trial {
                at_ms: now_ms,
                until_ms: now_ms + lasts_ms,
                ..trial.clone()
            };
            self.trials.insert(print, read);
        }
    }

    /// Lets trials last for as long as if they had been extended now. While the store can't be read, no
    /// extension arrives.
    pub fn refresh_trials(&mut self, now_ms: u64) {
        for trial in self.trials.values_mut() {
            trial.until_ms = trial.until_ms.max(now_ms + CLAIM_MS);
        }
    }

    /// Forgets a request that a target has answered. Returns the changes for the store.
    pub fn clear(&mut self, print: Fingerprint) -> Vec<SuspectRecord> {
        self.trials.remove(&print);
        let Some(ends) = self.cases.remove(&print) else {
            return Vec::new();
        };
        let ends = ends.into_keys().map(SuspectChange::Forgotten);
        let changes = ends.chain([SuspectChange::TrialForgotten]);
        changes
            .map(|change| SuspectRecord { print, change })
            .collect()
    }

    /// Forgets ends that are too old or too many, and trials that are over. Returns the changes for the
    /// store.
    pub fn expire(&mut self, now_ms: u64) -> Vec<SuspectRecord> {
        let mut cases: Vec<(Option<u64>, usize, Fingerprint)> =
            Vec::with_capacity(self.cases.len());
        for (print, ends) in &self.cases {
            cases.push((self.last_end_ms(*print), ends.len(), *print));
        }
        cases.sort_unstable_by(|a, b| b.cmp(a));
        let mut kept = 0;
        let mut changes = Vec::new();
        for (last, ends, print) in cases {
            kept += ends;
            if kept > MAX_ENDS || last.is_none_or(|last| last + RETENTION_MS < now_ms) {
                changes.extend(self.clear(print));
            }
        }
        self.trials.retain(|_, trial| trial.lasts(now_ms));
        changes
    }
}

impl Trial {
    /// Returns the claim of a trial on a target, or its extension.
    pub fn claim(claim: u64, target: TargetName, now_ms: u64) -> Self {
        Self {
            claim,
            target,
            at_ms: now_ms,
            until_ms: now_ms + CLAIM_MS,
        }
    }

    /// Returns whether nobody else may ask for a trial yet.
    fn is_held(&self, now_ms: u64) -> bool {
        now_ms < self.until_ms + CLAIM_MARGIN_MS
    }

    fn lasts(&self, now_ms: u64) -> bool {
        now_ms < self.until_ms
    }
}
