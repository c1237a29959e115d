//! The commands by name.

use crate::{Options, Table, policies, slopes};

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
            about: "target cost and waits: the scaling policy, a fixed fleet, a simple threshold",
            name: "scaling",
            run: policies::scaling,
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
