//! The design size: the fleet size and load that the capacity page is computed for.

const SECONDS_PER_DAY: f64 = 86_400.0;

/// The fleet size and load to design for. Values that are not marked as assumed come from the
/// requirements of the users.
#[derive(Clone, Debug)]
pub(crate) struct Fleet {
    /// Number of configuration changes per day.
    pub(crate) changes_per_day: f64,
    /// Number of entries, which is also the number of stewards.
    pub(crate) daemons: f64,
    /// Number of data centres.
    pub(crate) dcs: f64,
    /// Number of API keys of each workspace (assumed).
    pub(crate) workspace_keys: f64,
    /// Time between two tokens of a stream (assumed).
    pub(crate) token_interval_s: f64,
    /// Peak rate of requests over the whole fleet.
    pub(crate) requests_per_s: f64,
    /// Number of hosts restarted or replaced per day.
    pub(crate) restarts_per_day: f64,
    /// Number of samples in a step of one trainer.
    pub(crate) step_samples: f64,
    /// Time in which all samples of a step are generated.
    pub(crate) step_s: f64,
    /// Peak rate of generated tokens over the whole fleet.
    pub(crate) tokens_per_s: f64,
    /// Number of trainers.
    pub(crate) trainers: f64,
    /// Length of a usage window (assumed).
    pub(crate) window_s: f64,
    /// Number of workers. Each worker is one target.
    pub(crate) workers: f64,
    /// Number of workspaces (assumed).
    pub(crate) workspaces: f64,
}

impl Default for Fleet {
    fn default() -> Self {
        Self {
            changes_per_day: 24_000.0,
            daemons: 3_800.0,
            dcs: 29.0,
            workspace_keys: 3.0,
            token_interval_s: 0.05,
            requests_per_s: 120_000.0,
            restarts_per_day: 4_700.0,
            step_samples: 8_192.0,
            step_s: 420.0,
            tokens_per_s: 46e6,
            trainers: 12.0,
            window_s: 60.0,
            workers: 10_000.0,
            workspaces: 1_000.0,
        }
    }
}

impl Fleet {
    /// Returns the number of daemons of one kind in a data centre.
    pub(crate) fn daemons_per_dc(&self) -> f64 {
        (self.daemons / self.dcs).ceil()
    }

    pub(crate) fn changes_per_s(&self) -> f64 {
        self.changes_per_day / SECONDS_PER_DAY
    }

    pub(crate) fn restarts_per_s(&self) -> f64 {
        self.restarts_per_day / SECONDS_PER_DAY
    }

    pub(crate) fn entry_requests_per_s(&self) -> f64 {
        self.requests_per_s / self.daemons
    }

    pub(crate) fn entry_tokens_per_s(&self) -> f64 {
        self.tokens_per_s / self.daemons
    }

    /// Returns the number of streams that are open on one entry at the same time.
    pub(crate) fn entry_streams(&self) -> f64 {
        self.entry_tokens_per_s() * self.token_interval_s
    }

    pub(crate) fn trainer_samples_per_s(&self) -> f64 {
        self.step_samples / self.step_s
    }
}
