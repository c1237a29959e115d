//! Measurements of rollouts: stragglers, shares, staleness, cost per sample and idle time.

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

/// Measures the idle time of a trainer during faults, over real sockets.
pub(crate) fn idle(options: &Options) -> Vec<Table> {
    vec![idle::measure(options)]
}

/// Measures memory and processing time per sample of a step.
pub(crate) fn samples(_options: &Options) -> Vec<Table> {
    vec![samples::measure()]
}

/// Measures how closely trainers get their configured shares.
pub(crate) fn shares(options: &Options) -> Vec<Table> {
    vec![shares::measure(options.seed)]
}

/// Measures the ages of samples at delivery, in weight versions.
pub(crate) fn staleness(options: &Options) -> Vec<Table> {
    vec![staleness::measure(options.seed)]
}

/// Measures step times with stragglers, by policy and kind of straggler.
pub(crate) fn stragglers(options: &Options) -> Vec<Table> {
    vec![stragglers::measure(options.seed)]
}
