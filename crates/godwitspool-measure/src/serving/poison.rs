//! Targets that a poison crashes, re-sent by its caller to any host.

use std::collections::{BTreeMap, BTreeSet};

use godwitspool_request::{
    CrashRecord, SuspectAction, SuspectEvent, SuspectList, SuspectStatus, Suspects, split_blame,
};
use godwitspool_types::{HostName, Millis, TargetName};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IteratorRandom};

use crate::{Options, Table};

const TARGETS: u64 = 14;
const RUNS: u64 = 500;
const TURNS: u64 = 60;
/// Requests beside the poison in a turn.
const INNOCENTS: usize = 30;
const POISON: u64 = 0;

struct Outcome {
    crashed: usize,
    innocents: usize,
}

/// A run of a policy with a seed.
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
        let outcomes: Vec<Outcome> = (0..RUNS).map(|turn| run(options.seed + turn)).collect();
        let crashed: usize = outcomes.iter().map(|outcome| outcome.crashed).sum();
        let most = outcomes.iter().map(|outcome| outcome.crashed).max();
        let innocents: usize = outcomes.iter().map(|outcome| outcome.innocents).sum();
        table.push_row([
            name.to_owned(),
            RUNS.to_string(),
            format!("{:.2}", crashed as f64 / RUNS as f64),
            most.unwrap_or(0).to_string(),
            innocents.to_string(),
        ]);
    }
    vec![table]
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum Policy {
    Counting,
    None,
    Trials,
}

/// What hosts know, told at once.
#[derive(Default)]
struct Knowledge {
    counts: BTreeMap<u64, u32>,
    list: SuspectList,
    suspects: Suspects,
}

fn simulate(seed: u64, policy: Policy) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut known = Knowledge::default();
    let mut crashed = BTreeSet::new();
    for turn in 0..TURNS {
        let now = Millis(turn * 100);
        let mut flying = BTreeMap::<u64, Vec<u64>>::new();
        let mut trials = BTreeMap::<u64, u64>::new();
        let mut prints: Vec<u64> = (0..INNOCENTS).map(|_| rng.random_range(1..400)).collect();
        prints.insert(rng.random_range(0..prints.len()), POISON);
        for print in prints {
            let alive = (0..TARGETS).filter(|id| !crashed.contains(id));
            let Some(target) = alive.choose(&mut rng) else {
                break;
            };
            if known.lets(policy, print, target, &mut trials, now) {
                flying.entry(target).or_default().push(print);
            }
        }
        for (target, prints) in flying {
            let trial = trials.get(&target).copied();
            if prints.contains(&POISON) {
                crashed.insert(target);
                known.crash(target, &prints, trial, now);
            } else if let Some(print) = trial {
                let over = SuspectEvent::TrialEnded {
                    answered: true,
                    fingerprint: print,
                };
                known.settle(over, now);
            }
        }
    }
    let end = Millis(TURNS * 100);
    let innocents = match policy {
        Policy::None => 0,
        Policy::Counting => {
            let guilty = known.counts.iter().filter(|(_, count)| **count >= 2);
            guilty.filter(|(print, _)| **print != POISON).count()
        }
        Policy::Trials => {
            let listed = known.suspects.quarantined(end).into_iter();
            listed.filter(|print| *print != POISON).count()
        }
    };
    Outcome {
        crashed: crashed.len(),
        innocents,
    }
}

impl Knowledge {
    fn lets(
        &mut self,
        policy: Policy,
        print: u64,
        target: u64,
        trials: &mut BTreeMap<u64, u64>,
        now: Millis,
    ) -> bool {
        match policy {
            Policy::None => true,
            Policy::Counting => self.counts.get(&print).is_none_or(|count| *count < 2),
            Policy::Trials => match self.list.status(print, now) {
                SuspectStatus::Clear => true,
                SuspectStatus::Quarantined => false,
                SuspectStatus::Suspect => {
                    let event = SuspectEvent::TrialRequested {
                        host: HostName::from("h"),
                        known: CrashRecord::default(),
                        fingerprint: print,
                    };
                    let free = !trials.contains_key(&target);
                    let tried = free && self.suspects.decide(event, now) == [SuspectAction::Try];
                    if tried {
                        trials.insert(target, print);
                    }
                    tried
                }
            },
        }
    }

    fn crash(&mut self, target: u64, prints: &[u64], trial: Option<u64>, now: Millis) {
        for print in prints {
            *self.counts.entry(*print).or_default() += 1;
        }
        let name = TargetName::from(format!("t{target}"));
        for blame in split_blame(&name, prints, trial) {
            self.settle(SuspectEvent::Blamed(blame), now);
        }
    }

    fn settle(&mut self, event: SuspectEvent, now: Millis) {
        for action in self.suspects.decide(event, now) {
            match action {
                SuspectAction::Announce(print, record) => self.list.announce(print, record, now),
                SuspectAction::Clear(print) => self.list.clear(print),
                _ => {}
            }
        }
    }
}
