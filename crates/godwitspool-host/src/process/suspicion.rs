//! Suspicion of requests that end their targets, shared by all hosts through the store.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::PoisonError,
    thread,
    time::{Duration, Instant},
};

use godwitspool_process::CounterByReason;
use godwitspool_sync::{Condvar, Mutex, MutexGuard};
use godwitspool_types::{Millis, TargetName};
use rapidhash::v3::rapidhash_v3;

use super::{Shared, duties::DutyLease, probe::Probe, unix_ms};
use crate::{
    store::{Record, Store, StoredRecord, Topic},
    version::{
        EXTENSION_MS, Fetched, Fingerprint, Mirror, Pacing, Standing, SuspectChange, SuspectRecord,
        Suspects, TargetEnd, Trial,
    },
};

/// Maximum time that one read of the suspects waits for new records. It bounds how long a read that
/// hangs hides news.
const READ_WAIT: Duration = Duration::from_secs(2);
/// Delay after a failed call to the store.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Time for which the claim of a trial is extended beyond the deadline of its request, until its host has
/// recorded its end.
const TRIAL_SLACK: Duration = Duration::from_secs(1);
/// Delay until a claim for an item is looked at: a few calls to the store.
const CLAIM_DELAY: Millis = Millis(50);
/// Interval between checks for ends that are too old.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(30);
/// Retry delay sent to the caller of a suspected request while another copy is on trial, or no target
/// can be spared for it.
const RETRY_AFTER_BUSY: Duration = Duration::from_millis(300);
/// Maximum number of records that wait for the store. Further ones are dropped.
const MAX_UNSENT: usize = 4_096;

/// A start of a target.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct TargetStart {
    /// Name of the target.
    pub name: TargetName,
    /// When it started, in milliseconds since 1970.
    pub born: u64,
    /// Address at which it is reached.
    pub address: SocketAddr,
}

impl TargetStart {
    /// Returns the number that identifies the start on all hosts.
    fn number(&self) -> u64 {
        rapidhash_v3(format!("{}@{}", self.name, self.born).as_bytes())
    }
}

/// A request that broke off.
#[derive(Clone, Copy, Debug)]
struct Break {
    print: Fingerprint,
    /// Claim of its trial, if it was on trial.
    trial: Option<u64>,
}

/// How a request may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// Like any other.
    Free,
    /// Without hedges, apart from other suspects.
    Watched,
    /// The same, as the trial with this claim.
    Trial(u64),
    /// Not at all for this long.
    Withheld(Duration),
}

/// The claim by which a suspected item runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RunClaim {
    print: Fingerprint,
    claim: u64,
}

/// Requests that are suspected of ending their targets.
#[derive(Debug)]
pub struct Suspicion {
    state: Mutex<State>,
    /// Notified when the state has changed.
    changed: Condvar,
    /// Number of requests that broke off, by what a probe has shown of the target.
    breaks: CounterByReason,
    /// Number of decisions about suspected requests.
    decisions: CounterByReason,
}

#[derive(Debug, Default)]
struct State {
    suspects: Suspects,
    /// Requests that broke off, by the target that is to be probed.
    broken: HashMap<TargetStart, Vec<Break>>,
    /// Number of this host's suspects that run on a target.
    running: HashMap<TargetName, u32>,
    /// Requests of this host that are on trial.
    held: HashMap<Fingerprint, HeldTrial>,
    /// Records for the store, in order.
    unsent: Vec<Record>,
}

/// A request of this host that is on trial.
#[derive(Clone, Copy, Debug)]
struct HeldTrial {
    claim: u64,
    /// When its claim is extended no more, in milliseconds since 1970.
    until_ms: u64,
}

impl State {
    /// Extends the claims of this host's requests on trial, as far as that is due.
    fn extend_held(&mut self, now_ms: u64) {
        self.held.retain(|_, held| now_ms < held.until_ms);
        let suspects = &mut self.suspects;
        let held = self.held.iter();
        let extend =
            |(print, held): (&Fingerprint, &HeldTrial)| suspects.extend(*print, held.claim, now_ms);
        let extensions: Vec<SuspectRecord> = held.filter_map(extend).collect();
        self.append(extensions);
    }

    fn append(&mut self, changes: impl IntoIterator<Item = SuspectRecord>) {
        for change in changes {
            match Record::try_from(&change) {
                Ok(record) if self.unsent.len() < MAX_UNSENT => self.unsent.push(record),
                Ok(_) => {
                    log::warn!(fingerprint:% = change.print; "too many records of suspects, one dropped");
                }
                Err(error) => log::error!(error:%; "can't encode a record of a suspect"),
            }
        }
    }
}

/// Marks a target on which a suspected request runs, until it is dropped.
#[derive(Debug)]
pub struct SuspectRun<'a> {
    suspicion: &'a Suspicion,
    target: TargetName,
}

impl Drop for SuspectRun<'_> {
    fn drop(&mut self) {
        let mut state = self.suspicion.lock();
        if let Some(count) = state.running.get_mut(&self.target) {
            *count -= 1;
            if *count == 0 {
                state.running.remove(&self.target);
            }
        }
    }
}

impl Suspicion {
    /// Creates the state of a host that suspects no request.
    pub fn new(breaks: CounterByReason, decisions: CounterByReason) -> Self {
        Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            breaks,
            decisions,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns how a request may run, by what is known now. `print` is called only if any request is
    /// suspected.
    pub fn standing(&self, print: impl FnOnce() -> Fingerprint) -> Standing {
        if self.lock().suspects.is_empty() {
            return Standing::Clear;
        }
        let print = print();
        self.lock().suspects.standing(print, unix_ms())
    }

    /// Returns the targets that a request should avoid: those on which others are on trial and, if it is
    /// suspected itself, those on which any other suspect of this host runs.
    pub fn avoided(&self, standing: Standing) -> Vec<TargetName> {
        let state = self.lock();
        if state.suspects.is_empty() {
            return Vec::new();
        }
        let mut avoided = state.suspects.trial_targets(unix_ms());
        if standing != Standing::Clear {
            avoided.extend(state.running.keys().cloned());
        }
        avoided
    }

    /// Marks a target on which a suspected request starts to run.
    pub fn start_run(&self, target: &TargetName) -> SuspectRun<'_> {
        *self.lock().running.entry(target.clone()).or_default() += 1;
        SuspectRun {
            suspicion: self,
            target: target.clone(),
        }
    }

    /// Returns whether a suspected request may run on `target` now, and claims the fleet's trial for it
    /// if it must. `own` is the claim of a trial that it has already, and `others` tells whether its
    /// service has sound targets besides. Blocks until `patience` while a copy is on trial, or the store
    /// confirms nothing.
    pub fn admit(
        &self,
        print: Fingerprint,
        own: Option<u64>,
        target: &TargetName,
        others: bool,
        due: Instant,
        patience: Instant,
    ) -> Admission {
        let claim = own.unwrap_or_else(rand::random);
        // Whether a claim may be under way to the store, and whether one ever was.
        let (mut asked, mut claimed) = (own.is_some(), own.is_some());
        let mut state = self.lock();
        loop {
            let now_ms = unix_ms();
            let left = patience.saturating_duration_since(Instant::now());
            match state.suspects.standing(print, now_ms) {
                Standing::Clear => return Admission::Free,
                Standing::Watched => return Admission::Watched,
                Standing::OnTrial(other) if other == claim => {
                    self.decisions.count("trial");
                    let lasts = due.saturating_duration_since(Instant::now()) + TRIAL_SLACK;
                    let until_ms = now_ms + lasts.as_millis() as u64;
                    state.held.insert(print, HeldTrial { claim, until_ms });
                    self.changed.notify_all();
                    return Admission::Trial(claim);
                }
                Standing::Refused(until_ms) => {
                    self.decisions.count("refused");
                    return Admission::Withheld(Duration::from_millis(until_ms - now_ms));
                }
                Standing::Suspected if !state.suspects.may_try(print, others, now_ms) => {
                    self.decisions.count("no target to spare");
                    return Admission::Withheld(RETRY_AFTER_BUSY);
                }
                Standing::Suspected if !asked => {
                    (asked, claimed) = (true, true);
                    let trial = Trial::claim(claim, target.clone(), now_ms);
                    let change = SuspectChange::Trial(trial);
                    state.append([SuspectRecord { print, change }]);
                    self.changed.notify_all();
                }
                Standing::Suspected | Standing::OnTrial(_) if left.is_zero() => {
                    if claimed {
                        // The claim may still count once the store has it.
                        state.append([release(print, claim)]);
                        self.changed.notify_all();
                    }
                    self.decisions.count("busy");
                    return Admission::Withheld(RETRY_AFTER_BUSY);
                }
                standing => {
                    // The store ignores a claim that another one precedes.
                    asked &= standing == Standing::Suspected;
                    let woken = self.changed.wait_timeout(state, left);
                    state = woken.unwrap_or_else(PoisonError::into_inner).0;
                }
            }
        }
    }

    /// Returns the time after which the copy of an item or a reward call with this claim may start;
    /// `None` if it may start now. `print` is called only if any request is suspected.
    pub fn pause(&self, print: impl FnOnce() -> Fingerprint, claimant: &str) -> Option<Millis> {
        if self.lock().suspects.is_empty() {
            return None;
        }
        let print = print();
        let (claim, now_ms) = (print.claim(claimant), unix_ms());
        let mut state = self.lock();
        match state.suspects.pace(print, claim, now_ms) {
            Pacing::Start => {
                let extension = state.suspects.extend(print, claim, now_ms);
                self.send_extension(state, extension);
                None
            }
            Pacing::Wait(ms) => Some(Millis(ms)),
            Pacing::Claim(trial) => {
                let change = SuspectChange::Trial(trial);
                state.append([SuspectRecord { print, change }]);
                self.changed.notify_all();
                Some(CLAIM_DELAY)
            }
        }
    }

    /// Returns the claim by which an item runs now, if it is suspected. `print` is called only if any
    /// request is.
    pub fn run_claim(
        &self,
        print: impl FnOnce() -> Fingerprint,
        claimant: &str,
    ) -> Option<RunClaim> {
        if self.lock().suspects.is_empty() {
            return None;
        }
        let print = print();
        let claim = print.claim(claimant);
        let held = self.lock().suspects.has_trial(print, claim);
        held.then_some(RunClaim { print, claim })
    }

    /// Extends the claim of an item that still runs, if that is due.
    pub fn extend(&self, RunClaim { print, claim }: RunClaim) {
        let mut state = self.lock();
        let extension = state.suspects.extend(print, claim, unix_ms());
        self.send_extension(state, extension);
    }

    fn send_extension(&self, mut state: MutexGuard<'_, State>, extension: Option<SuspectRecord>) {
        if extension.is_some() {
            state.append(extension);
            self.changed.notify_all();
        }
    }

    /// Records how a copy of an item or a reward call ended. `broke_off` names the target if the
    /// connection broke off.
    pub fn record_end(
        &self,
        print: impl FnOnce() -> Fingerprint,
        claimant: &str,
        answered: bool,
        broke_off: Option<TargetStart>,
    ) {
        if broke_off.is_none() && self.lock().suspects.is_empty() {
            return;
        }
        let print = print();
        let claim = print.claim(claimant);
        let trial = self
            .lock()
            .suspects
            .has_trial(print, claim)
            .then_some(claim);
        match (broke_off, trial) {
            (Some(target), trial) => self.record_break(target, print, trial),
            (None, _) if answered => self.record_answer(|| print),
            (None, Some(claim)) => self.end_trial(print, claim),
            (None, None) => {}
        }
    }

    /// Records that a target has answered a request, which clears it.
    pub fn record_answer(&self, print: impl FnOnce() -> Fingerprint) {
        if self.lock().suspects.is_empty() {
            return;
        }
        let print = print();
        let mut state = self.lock();
        state.held.remove(&print);
        let changes = state.suspects.clear(print);
        if changes.is_empty() {
            return;
        }
        self.decisions.count("cleared");
        log::info!(fingerprint:% = print; "suspected request answered");
        state.append(changes);
        self.changed.notify_all();
    }

    /// Ends a trial without a verdict.
    pub fn end_trial(&self, print: Fingerprint, claim: u64) {
        let mut state = self.lock();
        state.held.remove(&print);
        let change = release(print, claim);
        state.suspects.apply(&change, unix_ms());
        state.append([change]);
        self.changed.notify_all();
    }

    /// Records that the connection of a request broke off after it was sent, without a response. `trial`
    /// is the claim of its trial, if it was on trial.
    pub fn record_break(&self, target: TargetStart, print: Fingerprint, trial: Option<u64>) {
        let end = TargetEnd {
            at_ms: unix_ms(),
            on_trial: trial.is_some(),
        };
        let mut state = self.lock();
        if trial.is_some() {
            state.held.remove(&print);
        }
        // Until the probe has shown what became of the target, it counts as ended.
        state.suspects.observe(print, target.number(), end);
        let broken = state.broken.entry(target).or_default();
        broken.push(Break { print, trial });
        self.changed.notify_all();
    }

    /// Probes the targets of requests that broke off, until the process ends.
    pub fn verify(&self, shared: &Shared) {
        loop {
            let mut state = self.lock();
            while state.broken.is_empty() {
                let woken = self.changed.wait(state);
                state = woken.unwrap_or_else(PoisonError::into_inner);
            }
            let broken = std::mem::take(&mut state.broken);
            drop(state);
            for (target, breaks) in broken {
                let probe = if shared.fleet().is_evacuated(&target.name) {
                    Probe::Unknown
                } else {
                    Probe::of(target.address)
                };
                for broken in breaks {
                    self.conclude(&target, broken, probe);
                }
            }
        }
    }

    fn conclude(&self, target: &TargetStart, broken: Break, probe: Probe) {
        let Break { print, trial } = broken;
        let number = target.number();
        self.breaks.count(probe.as_str());
        let mut state = self.lock();
        if probe == Probe::Ended {
            // The request may have been answered elsewhere meanwhile.
            let end = state.suspects.end(print, number);
            let change = end.map(|end| SuspectChange::Ended(number, end));
            state.append(change.map(|change| SuspectRecord { print, change }));
        } else {
            state.suspects.forget_end(print, number);
            state.append(trial.map(|claim| release(print, claim)));
        }
        let standing = state.suspects.standing(print, unix_ms());
        self.changed.notify_all();
        drop(state);
        log::info!(
            fingerprint:% = print, target_name:% = target.name, born = target.born, probe:?,
            standing:?;
            "request broke off"
        );
    }

    /// Appends records to the store until the process ends. Only the host that holds the duties removes
    /// what has expired.
    pub(super) fn send(&self, shared: &Shared, lease: &DutyLease) {
        let mut expired_at = Instant::now();
        loop {
            let holds_duties = lease.epoch().is_some();
            let mut state = self.lock();
            if expired_at.elapsed() >= EXPIRY_INTERVAL {
                expired_at = Instant::now();
                let changes = state.suspects.expire(unix_ms());
                if holds_duties {
                    state.append(changes);
                }
            }
            state.extend_held(unix_ms());
            if state.unsent.is_empty() {
                let wait = if state.held.is_empty() {
                    EXPIRY_INTERVAL
                } else {
                    Duration::from_millis(EXTENSION_MS)
                };
                let woken = self.changed.wait_timeout(state, wait);
                drop(woken.unwrap_or_else(PoisonError::into_inner));
                continue;
            }
            let records = std::mem::take(&mut state.unsent);
            drop(state);
            // Repeated records change nothing.
            while let Err(error) = shared.store.append(Topic::Suspects, 0, &records, None) {
                log::warn!(records = records.len(), error:%; "can't append records of suspects; retrying");
                thread::sleep(RETRY_DELAY);
            }
        }
    }

    /// Follows the store's records of suspects until the process ends.
    pub fn follow(&self, shared: &Shared) {
        let mut next = None;
        let mut unreachable = false;
        loop {
            match Mirror::fetch(shared.store.as_ref(), Topic::Suspects, next, READ_WAIT) {
                Ok(fetched) => {
                    if std::mem::take(&mut unreachable) {
                        self.lock().suspects.refresh_trials(unix_ms());
                    }
                    let (mut records, after) = match fetched {
                        Fetched::All { records, end } => {
                            if next.is_some() {
                                // Records that removed others may be among those that were missed.
                                self.lock().suspects = Suspects::default();
                            }
                            (records, end)
                        }
                        Fetched::Tail(tail) => (tail.records, tail.next),
                    };
                    records.sort_unstable_by_key(|stored| stored.offset);
                    self.apply(&records);
                    next = Some(after);
                }
                Err(error) => {
                    if !unreachable {
                        log::warn!(error:%; "can't read the suspects from the store");
                        unreachable = true;
                    }
                    thread::sleep(RETRY_DELAY);
                }
            }
        }
    }

    fn apply(&self, records: &[StoredRecord]) {
        if records.is_empty() {
            return;
        }
        let now_ms = unix_ms();
        let mut state = self.lock();
        for StoredRecord { offset, record } in records {
            match SuspectRecord::try_from(record) {
                Ok(record) => state.suspects.apply(&record, now_ms),
                Err(error) => log::warn!(offset, error:%; "record of a suspect ignored"),
            }
        }
        self.changed.notify_all();
    }
}

/// Returns the change that ends the trial with this claim.
fn release(print: Fingerprint, claim: u64) -> SuspectRecord {
    let trial = Trial {
        claim,
        target: TargetName::default(),
        at_ms: 0,
        until_ms: 0,
    };
    let change = SuspectChange::Trial(trial);
    SuspectRecord { print, change }
}
