//! The size to design for.

const SECONDS_OF_DAY: f64 = 86_400.0;

/// The fleet that the users plan for, from their letter; what the letter leaves open is named so.
#[derive(Clone, Debug)]
pub(crate) struct Fleet {
    /// Configuration changes a day.
    pub(crate) changes_a_day: f64,
    /// Daemons of each kind.
    pub(crate) daemons: f64,
    /// Data centres.
    pub(crate) dcs: f64,
    /// Keys of a workspace; not in the letter.
    pub(crate) keys: f64,
    /// Time from one token of a stream to the next, in seconds; not in the letter.
    pub(crate) pace_s: f64,
    /// Requests a second at the peak.
    pub(crate) requests: f64,
    /// Hosts restarted or replaced a day.
    pub(crate) restarts_a_day: f64,
    /// Samples of a step of one trainer.
    pub(crate) samples: f64,
    /// Time for the samples of a step, in seconds.
    pub(crate) step_s: f64,
    /// Tokens a second at the peak.
    pub(crate) tokens: f64,
    /// Trainers.
    pub(crate) trainers: f64,
    /// Usage window, in seconds; not in the letter.
    pub(crate) window_s: f64,
    /// Workers, each one target.
    pub(crate) workers: f64,
    /// Workspaces; not in the letter.
    pub(crate) workspaces: f64,
}

impl Default for Fleet {
    fn default() -> Self {
        Self {
            changes_a_day: 24_000.0,
            daemons: 3_800.0,
            dcs: 29.0,
            keys: 3.0,
            pace_s: 0.05,
            requests: 120_000.0,
            restarts_a_day: 4_700.0,
            samples: 8_192.0,
            step_s: 420.0,
            tokens: 46e6,
            trainers: 12.0,
            window_s: 60.0,
            workers: 10_000.0,
            workspaces: 1_000.0,
        }
    }
}

impl Fleet {
    /// Daemons of a data centre.
    pub(crate) fn peers(&self) -> f64 {
        (self.daemons / self.dcs).ceil()
    }

    /// Configuration changes a second.
    pub(crate) fn changes(&self) -> f64 {
        self.changes_a_day / SECONDS_OF_DAY
    }

    /// Hosts restarted or replaced a second.
    pub(crate) fn restarts(&self) -> f64 {
        self.restarts_a_day / SECONDS_OF_DAY
    }

    /// Requests a second of one entry.
    pub(crate) fn entry_requests(&self) -> f64 {
        self.requests / self.daemons
    }

    /// Tokens a second of one entry.
    pub(crate) fn entry_tokens(&self) -> f64 {
        self.tokens / self.daemons
    }

    /// Streams open at once on one entry.
    pub(crate) fn entry_streams(&self) -> f64 {
        self.entry_tokens() * self.pace_s
    }

    /// Samples a second of one trainer.
    pub(crate) fn trainer_samples(&self) -> f64 {
        self.samples / self.step_s
    }
}
