//! Number of targets that a poison request crashes when its caller keeps sending it to any host.
//!
//! Requests are represented by their fingerprints.

use std::collections::{BTreeMap, BTreeSet};

use godwitspool_request::{
    CrashRecord, SuspectAction, SuspectEvent, SuspectList, SuspectStatus, Suspects, split_blame,
};
use godwitspool_types::{HostName, Millis, TargetName};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IteratorRandom};

use crate::{Options, Table};

const TARGETS: u64 = 14;
const RUNS: u64 = 500;
const ROUNDS: u64 = 60;
/// Number of harmless requests per round, besides the poison request.
const INNOCENT_REQUESTS: usize = 30;
/// Fingerprint of the poison request. Those of harmless requests are greater.
const POISON: u64 = 0;

struct Outcome {
    crashed: usize,
    innocents: usize,
}

/// Simulates a policy with a seed.
type Simulation = fn(u64) -> Outcome;

pub(crate) fn run(options: &Options) -> Vec<Table> {
    let columns = [
        "policy",
        "runs",
        "mean_crashed",
        "most_crashed",
        "innocents_quarantined",
    ];
    let mut table = Table::new("poison", &columns);
    let policies: [(&str, Simulation); 3] = [
        ("none", |seed| simulate(seed, Policy::None)),
        ("quarantine all in flight at two crashes", |seed| {
            simulate(seed, Policy::Counting)
        }),
        ("godwitspool", |seed| simulate(seed, Policy::Trials)),
    ];
    for (name, run) in policies {
        let outcomes: Vec<Outcome> = (0..RUNS).map(|index| run(options.seed + index)).collect();
        let crashed: usize = outcomes.iter().map(|outcome| outcome.crashed).sum();
        let max_crashed = outcomes.iter().map(|outcome| outcome.crashed).max();
        let innocents: usize = outcomes.iter().map(|outcome| outcome.innocents).sum();
        table.push_row([
            name.to_owned(),
            RUNS.to_string(),
            format!("{:.2}", crashed as f64 / RUNS as f64),
            max_crashed.unwrap_or(0).to_string(),
            innocents.to_string(),
        ]);
    }
    vec![table]
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum Policy {
    /// Quarantines every request that was in flight on a crashing target twice.
    Counting,
    None,
    /// The policy of this project: a target runs at most one suspect request at a time, as a trial.
    Trials,
}

/// The state of all hosts, which is shared without delay.
#[derive(Default)]
struct SharedState {
    /// Number of crashes of a target on which each request was in flight.
    counts: BTreeMap<u64, u32>,
    list: SuspectList,
    suspects: Suspects,
}

fn simulate(seed: u64, policy: Policy) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut state = SharedState::default();
    let mut crashed = BTreeSet::new();
    for round in 0..ROUNDS {
        let now = Millis(round * 100);
        let mut in_flight = BTreeMap::<u64, Vec<u64>>::new();
        let mut trials = BTreeMap::<u64, u64>::new();
        let mut requests: Vec<u64> = (0..INNOCENT_REQUESTS)
            .map(|_| rng.random_range(1..400))
            .collect();
        requests.insert(rng.random_range(0..requests.len()), POISON);
        for request in requests {
            let alive = (0..TARGETS).filter(|id| !crashed.contains(id));
            let Some(target) = alive.choose(&mut rng) else {
                break;
            };
            if state.admits(policy, request, target, &mut trials, now) {
                in_flight.entry(target).or_default().push(request);
            }
        }
        for (target, requests) in in_flight {
            let trial = trials.get(&target).copied();
            if requests.contains(&POISON) {
                crashed.insert(target);
                state.record_crash(target, &requests, trial, now);
            } else if let Some(request) = trial {
                let trial_ended = SuspectEvent::TrialEnded {
                    answered: true,
                    fingerprint: request,
                };
                state.apply(trial_ended, now);
            }
        }
    }
    let end = Millis(ROUNDS * 100);
    let innocents = match policy {
        Policy::None => 0,
        Policy::Counting => {
            let quarantined_requests = state.counts.iter().filter(|(_, count)| **count >= 2);
            quarantined_requests
                .filter(|(request, _)| **request != POISON)
                .count()
        }
        Policy::Trials => {
            let listed = state.suspects.quarantined(end).into_iter();
            listed.filter(|request| *request != POISON).count()
        }
    };
    Outcome {
        crashed: crashed.len(),
        innocents,
    }
}

impl SharedState {
    fn admits(
        &mut self,
        policy: Policy,
        request: u64,
        target: u64,
        trials: &mut BTreeMap<u64, u64>,
        now: Millis,
    ) -> bool {
        match policy {
            Policy::None => true,
            Policy::Counting => self.counts.get(&request).is_none_or(|count| *count < 2),
            Policy::Trials => match self.list.status(request, now) {
                SuspectStatus::Clear => true,
                SuspectStatus::Quarantined => false,
                SuspectStatus::Suspect => {
                    let event = SuspectEvent::TrialRequested {
                        host: HostName::from("h"),
                        known: CrashRecord::default(),
                        fingerprint: request,
                    };
                    let has_no_trial = !trials.contains_key(&target);
                    let starts_trial =
                        has_no_trial && self.suspects.decide(event, now) == [SuspectAction::Try];
                    if starts_trial {
                        trials.insert(target, request);
                    }
                    starts_trial
                }
            },
        }
    }

    fn record_crash(&mut self, target: u64, requests: &[u64], trial: Option<u64>, now: Millis) {
        for request in requests {
            *self.counts.entry(*request).or_default() += 1;
        }
        let name = TargetName::from(format!("t{target}"));
        for blame in split_blame(&name, requests, trial.as_slice()) {
            self.apply(SuspectEvent::Blamed(blame), now);
        }
    }

    fn apply(&mut self, event: SuspectEvent, now: Millis) {
        for action in self.suspects.decide(event, now) {
            match action {
                SuspectAction::Announce(hash, record) => self.list.announce(hash, record, now),
                SuspectAction::Clear(hash) => self.list.clear(hash),
                _ => {}
            }
        }
    }
}
