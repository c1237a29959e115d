//! Time to detect a silent connection, and live streams that are cut as silent, by policy.

use godwitspool_request::{IdleTimeout, Wait};
use godwitspool_types::Millis;
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{Options, Table};

const STREAMS: u32 = 10_000;
const TOKENS: u32 = 200;

/// Distribution of the gaps between tokens.
#[derive(Clone, Copy)]
enum Gaps {
    /// Uniform, within 50% of the mean.
    Even,
    /// Exponential, which has bursts and long pauses.
    Exponential,
    /// Like `Even`, but 1% of the gaps are ten times the mean.
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
    /// Learned from the gaps of the stream itself.
    Learned,
    /// Learned, starting from what the target's previous stream has learned.
    LearnedFromTarget,
}

impl Policy {
    fn name(self) -> String {
        match self {
            Self::Fixed(timeout) => format!("fixed {timeout}"),
            Self::Learned => "godwitspool, first stream".to_owned(),
            Self::LearnedFromTarget => "godwitspool".to_owned(),
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
        Policy::Learned,
        Policy::LearnedFromTarget,
    ];
    for pace_ms in [50.0, 500.0, 2_000.0] {
        for gaps in [Gaps::Even, Gaps::Exponential, Gaps::Pauses] {
            for policy in policies {
                let (detection_ms, cut) = simulate(policy, gaps, pace_ms, options.seed);
                let detection_at = |quantile: f64| {
                    detection_ms[(detection_ms.len() as f64 * quantile) as usize].to_string()
                };
                table.push_row([
                    pace_ms.to_string(),
                    gaps.name().to_owned(),
                    policy.name(),
                    STREAMS.to_string(),
                    detection_at(0.5),
                    detection_at(0.99),
                    cut.to_string(),
                ]);
            }
        }
    }
    vec![table]
}

/// Returns the sorted times to detect that a stream goes silent after a random token, and the
/// number of live streams that were cut.
fn simulate(policy: Policy, gaps: Gaps, pace_ms: f64, seed: u64) -> (Vec<u64>, u32) {
    let mut rng = StdRng::seed_from_u64(seed);
    let (mut detection_ms, mut cut) = (Vec::new(), 0);
    let mut last_timeout = IdleTimeout::new(Wait::NextByte);
    for _ in 0..STREAMS {
        let mut idle_timeout = match policy {
            Policy::LearnedFromTarget => IdleTimeout::seeded_from(&last_timeout),
            _ => IdleTimeout::new(Wait::NextByte),
        };
        let timeout = |idle_timeout: &IdleTimeout| match policy {
            Policy::Fixed(timeout) => timeout,
            _ => idle_timeout.current(),
        };
        let silent_from = rng.random_range(10..TOKENS);
        let mut alive = true;
        for token in 0..TOKENS {
            if token == silent_from {
                detection_ms.push(timeout(&idle_timeout).0);
            }
            let gap = gaps.draw(pace_ms, &mut rng);
            alive &= gap <= timeout(&idle_timeout);
            idle_timeout.observe(gap);
        }
        cut += u32::from(!alive);
        last_timeout = idle_timeout;
    }
    detection_ms.sort_unstable();
    (detection_ms, cut)
}
