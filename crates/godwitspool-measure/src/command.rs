//! The commands by name.

use crate::{Options, Table, serving, slopes};

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
            about: "latency that the entry adds, over real sockets",
            name: "latency",
            run: serving::latency,
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
            about: "time to find a silent connection, and live streams cut",
            name: "silence",
            run: serving::silence,
        },
        Self {
            about: "what a unit more of each thing costs, with a line fitted to each",
            name: "slopes",
            run: slopes::run,
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
