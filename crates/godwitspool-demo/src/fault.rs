//! Faults and their seeded schedule.

use std::{fmt, str::FromStr};

use rand::{Rng, SeedableRng, rngs::StdRng, seq::SliceRandom};
use serde::Serialize;

/// Faults are brought about from this share of the run on, in permille.
const FIRST_PERMILLE: u64 = 150;
/// No fault begins after this share of the run, in permille.
const LAST_PERMILLE: u64 = 750;
/// Average time between two faults, in milliseconds.
const SPACING_MS: u64 = 900;

/// Kinds of faults.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// An engine drops all its connections and serves again later.
    EngineCrash,
    /// An entry is shut down gracefully and started again.
    HostRestart,
    /// A key is withdrawn from callers that are connected.
    KeyWithdrawal,
    /// The log refuses all calls for a while.
    LogOutage,
    /// Answers of the platform are lost after they took effect.
    LostAnswer,
    /// A data centre is cut off from the platform and from the others for a while.
    Partition,
    /// Answers to the holder of the orders lease are held up beyond its term and then delivered.
    PausedHolder,
    /// A caller sends a request that crashes each target that runs it, and sends it again.
    Poison,
    /// The reclaimable targets of a data centre are taken away with short notice.
    Reclaim,
    /// Open connections of an engine go silent for good.
    StreamSilence,
    /// Weight swaps fail, come late or report falsely for a while.
    SwapFailure,
}

impl FaultKind {
    /// Every kind.
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

    /// Returns the name on the command line.
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

    /// Returns the shortest and longest time that the fault lasts, in milliseconds.
    fn lasting_ms(self) -> (u64, u64) {
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
            format!("{text:?} is none of {names}, all")
        })
    }
}

/// A fault that is planned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Fault {
    /// Time from the start of the run, in milliseconds.
    pub at_ms: u64,
    /// Kind.
    pub kind: FaultKind,
    /// Time that it lasts, in milliseconds.
    pub lasting_ms: u64,
    /// Decides which engine, data centre or key it meets.
    pub pick: u64,
}

/// Plans faults of these kinds over a run. The same seed gives the same plan.
///
/// Every kind comes at least once, as far as the run is long enough.
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
    let first = run_ms * FIRST_PERMILLE / 1_000;
    let last = (run_ms * LAST_PERMILLE / 1_000).max(first + 1);
    let count = ((last - first) / SPACING_MS).max(1) as usize;
    let mut faults = Vec::new();
    while faults.len() < count.max(kinds.len()) {
        let mut round = kinds.to_vec();
        round.shuffle(&mut rng);
        for kind in round {
            let (shortest, longest) = kind.lasting_ms();
            faults.push(Fault {
                at_ms: rng.random_range(first..last),
                kind,
                lasting_ms: rng.random_range(shortest..=longest),
                pick: rng.random(),
            });
        }
    }
    faults.sort_by_key(|fault| fault.at_ms);
    faults
}
