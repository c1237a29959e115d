//! Rollouts: stragglers, shares, staleness, the cost of a waiting sample, and idle trainers.

mod idle;
mod samples;
mod shares;
mod staleness;
mod step_run;
mod steps_harness;
mod stragglers;
mod trainer_system;

pub(crate) use steps_harness::StepsHarness;

use crate::{Options, Table};

/// Measures trainers' idle time through faults, over real sockets.
pub(crate) fn idle(options: &Options) -> Vec<Table> {
    vec![idle::measure(options)]
}

/// Measures bytes and time of waiting samples.
pub(crate) fn samples(_options: &Options) -> Vec<Table> {
    vec![samples::measure()]
}

/// Measures how near trainers come to their shares.
pub(crate) fn shares(options: &Options) -> Vec<Table> {
    vec![shares::measure(options.seed)]
}

/// Measures the ages of samples at delivery.
pub(crate) fn staleness(options: &Options) -> Vec<Table> {
    vec![staleness::measure(options.seed)]
}

/// Measures step times with stragglers.
pub(crate) fn stragglers(options: &Options) -> Vec<Table> {
    vec![stragglers::measure(options.seed)]
}
