//! Kinds of faults and their seeded schedule.

use std::{fmt, str::FromStr};

use rand::{Rng, SeedableRng, rngs::StdRng, seq::SliceRandom};
use serde::Serialize;

/// Share of the run before which no fault starts, in permille.
const FIRST_FAULT_PERMILLE: u64 = 150;
/// Share of the run after which no fault starts, in permille.
const LAST_FAULT_PERMILLE: u64 = 750;
/// Average time between the starts of two faults, in milliseconds. It is shorter in runs that would
/// otherwise not have a fault of every kind.
const MEAN_SPACING_MS: u64 = 900;

/// A kind of fault.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// An engine and a plain service close all connections and restart after a delay.
    EngineCrash,
    /// An entry is shut down gracefully and started again.
    HostRestart,
    /// The key of a workspace is withdrawn while callers use it.
    KeyWithdrawal,
    /// The platform's log refuses all calls for a while.
    LogOutage,
    /// The platform and a plain service process requests, but their answers are lost or cut.
    LostAnswer,
    /// A data centre is partitioned from the platform and from the other data centres for a while.
    Partition,
    /// The platform's answers to the data centre of the orders lease holder are delayed beyond the
    /// lease term.
    PausedHolder,
    /// A caller repeatedly sends a request that crashes every target that runs it.
    Poison,
    /// The platform reclaims the reclaimable targets of a data centre on short notice.
    Reclaim,
    /// The open connections of an engine and of a plain service stop carrying data, but stay open.
    StreamSilence,
    /// Weight swaps of some engines fail, are delayed, or falsely report success for a while.
    SwapFailure,
}

impl FaultKind {
    /// All kinds, in alphabetical order.
    pub const ALL: [Self; 11] = [
        Self::EngineCrash,
        Self::HostRestart,
        Self::KeyWithdrawal,
        Self::LogOutage,
        Self::LostAnswer,
        Self::Partition,
        Self::PausedHolder,
        Self::Poison,
        Self::Reclaim,
        Self::StreamSilence,
        Self::SwapFailure,
    ];

    /// Returns the kind's name on the command line.
    ///
    /// ```
    /// use godwitspool_demo::FaultKind;
    ///
    /// assert_eq!("log-outage".parse(), Ok(FaultKind::LogOutage));
    /// assert_eq!(FaultKind::LogOutage.as_str(), "log-outage");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            Self::EngineCrash => "engine-crash",
            Self::HostRestart => "host-restart",
            Self::KeyWithdrawal => "key-withdrawal",
            Self::LogOutage => "log-outage",
            Self::LostAnswer => "lost-answer",
            Self::Partition => "partition",
            Self::PausedHolder => "paused-holder",
            Self::Poison => "poison",
            Self::Reclaim => "reclaim",
            Self::StreamSilence => "stream-silence",
            Self::SwapFailure => "swap-failure",
        }
    }

    /// Returns the shortest and longest duration of a fault, in milliseconds.
    ///
    /// The kinds without a range here don't use the duration.
    fn duration_range_ms(self) -> (u64, u64) {
        match self {
            Self::LogOutage => (1_000, 3_000),
            Self::Partition => (1_500, 3_500),
            Self::PausedHolder => (2_000, 4_000),
            Self::SwapFailure => (2_000, 5_000),
            _ => (0, 1),
        }
    }
}

impl fmt::Display for FaultKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

impl FromStr for FaultKind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL.into_iter().find(|kind| kind.as_str() == text);
        found.ok_or_else(|| {
            let names = Self::ALL.map(Self::as_str).join(", ");
            format!("unknown fault {text:?}; expected one of {names}, or all")
        })
    }
}

/// A scheduled fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Fault {
    /// Time from the start of the run to the start of the fault, in milliseconds.
    pub at_ms: u64,
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Duration of the fault, in milliseconds; used only by kinds that last for a while.
    pub duration_ms: u64,
    /// Random number that selects the engine, plain service, host or workspace.
    pub pick: u64,
}

/// Returns a schedule of faults of these kinds over a run of `run_ms`, ordered by start time.
///
/// The same seed gives the same schedule. Every kind is scheduled at least once.
///
/// ```
/// use godwitspool_demo::{FaultKind, plan};
///
/// assert!(plan(1, &[], 20_000).is_empty());
/// assert!(plan(1, &[FaultKind::Poison], 20_000).iter().all(|f| f.at_ms < 20_000));
/// ```
pub fn plan(seed: u64, kinds: &[FaultKind], run_ms: u64) -> Vec<Fault> {
    if kinds.is_empty() {
        return Vec::new();
    }
    let mut rng = StdRng::seed_from_u64(seed);
    let first = run_ms * FIRST_FAULT_PERMILLE / 1_000;
    let last = (run_ms * LAST_FAULT_PERMILLE / 1_000).max(first + 1);
    let count = ((last - first) / MEAN_SPACING_MS).max(1) as usize;
    let mut faults = Vec::new();
    while faults.len() < count.max(kinds.len()) {
        let mut round = kinds.to_vec();
        round.shuffle(&mut rng);
        for kind in round {
            let (shortest, longest) = kind.duration_range_ms();
            faults.push(Fault {
                at_ms: rng.random_range(first..last),
                kind,
                duration_ms: rng.random_range(shortest..=longest),
                pick: rng.random(),
            });
        }
    }
    faults.sort_by_key(|fault| fault.at_ms);
    faults
}
