//! The measurement commands, looked up by name.

use crate::{Options, Table, control, handover, policies, rollout, serving, slopes};

/// A measurement that can be run from the command line.
#[derive(Clone, Copy, Debug)]
pub struct Command {
    /// One line of help text.
    pub about: &'static str,
    /// Name on the command line, unique among all commands.
    pub name: &'static str,
    /// Runs the measurement and returns its tables.
    pub run: fn(&Options) -> Vec<Table>,
}

impl Command {
    /// All commands, in the order in which the help text lists them.
    pub const ALL: &'static [Self] = &[
        Self {
            about: "idle time of a trainer during faults, over real sockets",
            name: "idle",
            run: rollout::idle,
        },
        Self {
            about: "time without a lease holder after the holder is killed or stopped",
            name: "handover",
            run: handover::run,
        },
        Self {
            about: "latency by workspace under a training flood and a surge, by policy",
            name: "admission",
            run: serving::admission,
        },
        Self {
            about: "time to choose a target and to apply a load report, by fleet size",
            name: "decisions",
            run: serving::decisions,
        },
        Self {
            about: "load imbalance among engines when load reports are delayed",
            name: "herd",
            run: serving::herd,
        },
        Self {
            about: "time from appending a record until it is in force on every host",
            name: "in-force",
            run: control::in_force,
        },
        Self {
            about: "latency that the entry adds to a request, over real sockets",
            name: "latency",
            run: serving::latency,
        },
        Self {
            about: "replay rate of the log, and size and load time of snapshots",
            name: "log",
            run: control::log,
        },
        Self {
            about: "failure detection time, false positives, bytes and CPU time of membership",
            name: "membership",
            run: control::membership,
        },
        Self {
            about: "number of targets that a poison request crashes",
            name: "poison",
            run: serving::poison,
        },
        Self {
            about: "extra load from retries when targets fail, by policy",
            name: "retries",
            run: serving::retries,
        },
        Self {
            about: "memory and processing time per sample of a step",
            name: "samples",
            run: rollout::samples,
        },
        Self {
            about: "cost and wait times: scaling policy, fixed fleet and simple threshold",
            name: "scaling",
            run: policies::scaling,
        },
        Self {
            about: "how closely 12 trainers get their configured shares",
            name: "shares",
            run: rollout::shares,
        },
        Self {
            about: "time to detect a silent connection, and live streams that are cut",
            name: "silence",
            run: serving::silence,
        },
        Self {
            about: "cost per host, target, token and so on, with fitted lines",
            name: "slopes",
            run: slopes::run,
        },
        Self {
            about: "ages of samples at delivery, in weight versions",
            name: "staleness",
            run: rollout::staleness,
        },
        Self {
            about: "step times with stragglers, by policy and kind of straggler",
            name: "stragglers",
            run: rollout::stragglers,
        },
    ];

    /// Returns the command of this name, or `None` if there is none.
    ///
    /// ```
    /// use godwitspool_measure::Command;
    ///
    /// assert!(Command::by_name("no such command").is_none());
    /// ```
    pub fn by_name(name: &str) -> Option<&'static Self> {
        Self::ALL.iter().find(|command| command.name == name)
    }
}
