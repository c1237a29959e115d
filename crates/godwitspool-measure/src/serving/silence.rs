//! Time to find a silent connection, and live streams that are cut.

use godwitspool_request::{IdleTimeout, Wait};
use godwitspool_types::Millis;
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{Options, Table};

const STREAMS: u32 = 10_000;
const TOKENS: u32 = 200;

/// How gaps between tokens are spread.
#[derive(Clone, Copy)]
enum Gaps {
    /// Even, give or take a half.
    Even,
    /// Exponential: bursts and long pauses.
    Exponential,
    /// Even, with a tenfold pause in a hundred.
    Pauses,
}

impl Gaps {
    fn draw(self, mean_ms: f64, rng: &mut StdRng) -> Millis {
        let gap = match self {
            Self::Exponential => -(1.0 - rng.random::<f64>()).ln() * mean_ms,
            Self::Pauses if rng.random_bool(0.01) => mean_ms * 10.0,
            Self::Even | Self::Pauses => mean_ms * rng.random_range(0.5..1.5),
        };
        Millis(gap as u64)
    }

    fn name(self) -> &'static str {
        match self {
            Self::Even => "even",
            Self::Exponential => "exponential",
            Self::Pauses => "pauses",
        }
    }
}

#[derive(Clone, Copy)]
enum Policy {
    Fixed(Millis),
    Learnt,
    /// Learnt, starting from what the target's other streams have shown.
    LearntFromTarget,
}

impl Policy {
    fn name(self) -> String {
        match self {
            Self::Fixed(bound) => format!("fixed {bound}"),
            Self::Learnt => "godwitspool, first stream".to_owned(),
            Self::LearntFromTarget => "godwitspool".to_owned(),
        }
    }
}

pub(crate) fn run(options: &Options) -> Vec<Table> {
    let columns = [
        "pace_ms",
        "gaps",
        "policy",
        "streams",
        "found_p50_ms",
        "found_p99_ms",
        "cut_alive",
    ];
    let mut table = Table::new("silence", &columns);
    let policies = [
        Policy::Fixed(Millis(1_000)),
        Policy::Fixed(Millis(10_000)),
        Policy::Learnt,
        Policy::LearntFromTarget,
    ];
    for pace_ms in [50.0, 500.0, 2_000.0] {
        for gaps in [Gaps::Even, Gaps::Exponential, Gaps::Pauses] {
            for policy in policies {
                let (found, cut) = simulate(policy, gaps, pace_ms, options.seed);
                let at = |part: f64| found[(found.len() as f64 * part) as usize].to_string();
                table.push_row([
                    pace_ms.to_string(),
                    gaps.name().to_owned(),
                    policy.name(),
                    STREAMS.to_string(),
                    at(0.5),
                    at(0.99),
                    cut.to_string(),
                ]);
            }
        }
    }
    vec![table]
}

/// Returns the times to find silence after a random token, sorted, and how many live streams were
/// cut.
fn simulate(policy: Policy, gaps: Gaps, pace_ms: f64, seed: u64) -> (Vec<u64>, u32) {
    let mut rng = StdRng::seed_from_u64(seed);
    let (mut found, mut cut) = (Vec::new(), 0);
    let mut target = IdleTimeout::new(Wait::NextByte);
    for _ in 0..STREAMS {
        let mut pace = match policy {
            Policy::LearntFromTarget => IdleTimeout::seeded_from(&target),
            _ => IdleTimeout::new(Wait::NextByte),
        };
        let bound = |pace: &IdleTimeout| match policy {
            Policy::Fixed(bound) => bound,
            _ => pace.current(),
        };
        let silent = rng.random_range(10..TOKENS);
        let mut alive = true;
        for token in 0..TOKENS {
            if token == silent {
                found.push(bound(&pace).0);
            }
            let gap = gaps.draw(pace_ms, &mut rng);
            alive &= gap <= bound(&pace);
            pace.observe(gap);
        }
        cut += u32::from(!alive);
        target = pace;
    }
    found.sort_unstable();
    (found, cut)
}
