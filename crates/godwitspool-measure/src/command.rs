//! The commands by name.

use crate::{Options, Table, control, rollout, slopes};

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
            about: "time from a record's acceptance to its being in force on every host",
            name: "in-force",
            run: control::in_force,
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
            about: "bytes and time of waiting samples",
            name: "samples",
            run: rollout::samples,
        },
        Self {
            about: "how near 12 trainers come to their shares",
            name: "shares",
            run: rollout::shares,
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
    /// assert!(Command::named("no such table").is_none());
    /// ```
    pub fn named(name: &str) -> Option<&'static Self> {
        Self::ALL.iter().find(|command| command.name == name)
    }
}
