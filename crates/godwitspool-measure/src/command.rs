//! The commands by name.

use crate::{Options, Table, control, handover, policies, rollout, serving, slopes};

/// A measurement.
#[derive(Clone, Copy, Debug)]
pub struct Command {
    /// What it measures, in a line.
    pub about: &'static str,
    /// Name on the command line.
    pub name: &'static str,
    /// Measures and returns the tables.
    pub run: fn(&Options) -> Vec<Table>,
}

impl Command {
    /// Every command, in order of name.
    pub const ALL: &'static [Self] = &[
        Self {
            about: "trainers' idle time through faults, over real sockets",
            name: "idle",
            run: rollout::idle,
        },
        Self {
            about: "time without a holder after the holder of a lease is killed or leaves",
            name: "handover",
            run: handover::run,
        },
        Self {
            about: "workspaces' latency under a training flood and a surge, against no admission control",
            name: "admission",
            run: serving::admission,
        },
        Self {
            about: "cost of a choice and of a load report at several sizes of the fleet",
            name: "decisions",
            run: serving::decisions,
        },
        Self {
            about: "unevenness of engines' loads when reports lag",
            name: "herd",
            run: serving::herd,
        },
        Self {
            about: "time from a record's acceptance to its being in force on every host",
            name: "in-force",
            run: control::in_force,
        },
        Self {
            about: "latency that the entry adds, over real sockets",
            name: "latency",
            run: serving::latency,
        },
        Self {
            about: "replay of the log, and the size and load time of snapshots",
            name: "log",
            run: control::log,
        },
        Self {
            about: "detection of dead hosts, hosts removed wrongly, bytes and processor time",
            name: "membership",
            run: control::membership,
        },
        Self {
            about: "targets that a poison crashes",
            name: "poison",
            run: serving::poison,
        },
        Self {
            about: "extra load from retries when targets fail",
            name: "retries",
            run: serving::retries,
        },
        Self {
            about: "bytes and time of waiting samples",
            name: "samples",
            run: rollout::samples,
        },
        Self {
            about: "target cost and waits: the scaling policy, a fixed fleet, a simple threshold",
            name: "scaling",
            run: policies::scaling,
        },
        Self {
            about: "how near 12 trainers come to their shares",
            name: "shares",
            run: rollout::shares,
        },
        Self {
            about: "time to find a silent connection, and live streams cut",
            name: "silence",
            run: serving::silence,
        },
        Self {
            about: "what a unit more of each thing costs, with a line fitted to each",
            name: "slopes",
            run: slopes::run,
        },
        Self {
            about: "ages of samples at delivery",
            name: "staleness",
            run: rollout::staleness,
        },
        Self {
            about: "step times with stragglers, by policy",
            name: "stragglers",
            run: rollout::stragglers,
        },
    ];

    /// Finds a command.
    ///
    /// ```
    /// use godwitspool_measure::Command;
    ///
    /// assert!(Command::by_name("no such table").is_none());
    /// ```
    pub fn by_name(name: &str) -> Option<&'static Self> {
        Self::ALL.iter().find(|command| command.name == name)
    }
}
