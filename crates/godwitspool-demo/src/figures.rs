//! The figures of a run.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use godwitspool_fakes::{Platform, PlatformEvent};
use godwitspool_history::{Event, History, Promise, Violation};
use godwitspool_types::Workspace;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::{
    DemoOptions,
    caller::{RequestStats, Session, lock},
    deployment::Deployment,
    trainer::TrainerResult,
};

/// Largest latency that the histograms distinguish; longer ones count as this.
const MAX_LATENCY_MS: u64 = 600_000;

/// The figures of a run. Counts of broken promises come from the checks of the history only.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Figures {
    /// Seed of the fault schedule.
    pub seed: u64,
    /// Names of the kinds of faults that were injected.
    pub faults: Vec<String>,
    /// Time that callers and trainers ran, in seconds.
    pub seconds: u64,
    /// Interactive requests that got a complete answer.
    pub interactive_ok: u64,
    /// Interactive requests whose last attempt was refused.
    pub interactive_refused: u64,
    /// Interactive requests whose connection failed or whose answer was interrupted or wrong.
    pub interactive_failed: u64,
    /// Median latency of complete answers, in milliseconds.
    pub interactive_p50_ms: u64,
    /// 99th percentile of the latency of complete answers, in milliseconds.
    pub interactive_p99_ms: u64,
    /// [`Self::interactive_refused`] by reason.
    pub refused_by_reason: BTreeMap<String, u64>,
    /// [`Self::interactive_failed`] by reason.
    pub failed_by_reason: BTreeMap<String, u64>,
    /// Lowest share of complete answers among all workspaces, from 0 to 1.
    pub worst_workspace_ok_ratio: f64,
    /// Highest 99th percentile of latency among all workspaces, in milliseconds.
    pub worst_workspace_p99_ms: u64,
    /// Steps of which a trainer fetched the complete batch.
    pub steps_complete: u64,
    /// Samples that trainers received in complete batches.
    pub samples_delivered: u64,
    /// Samples that were missing, changed or delivered twice.
    pub samples_duplicate: u64,
    /// Samples older than the trainer's staleness bound.
    pub samples_stale: u64,
    /// Samples that name other weight versions than those that produced them.
    pub samples_wrong_version: u64,
    /// Share of their time that trainers spent fetching batches, from 0 to 1.
    pub trainer_idle_ratio: f64,
    /// Billed time of all targets, in seconds.
    pub target_seconds: f64,
    /// Share of [`Self::target_seconds`] on reclaimable targets, from 0 to 1.
    pub cheap_target_ratio: f64,
    /// Target orders that the platform received.
    pub orders_sent: u64,
    /// Violations in which two processes both sent target orders as the lease holder.
    pub orders_conflicting: u64,
    /// Usage windows that were reported.
    pub windows_reported: u64,
    /// Usage windows that were reported with different figures or by two lease holders.
    pub windows_conflicting: u64,
    /// Answered requests that no usage window bills.
    pub usage_lost_requests: u64,
    /// Requests in which a target saw a caller's key.
    pub keys_seen_by_targets: u64,
    /// Requests that ran or were answered with a withdrawn, invalid or missing key.
    pub requests_after_withdrawal: u64,
    /// Answers that ended as complete but were truncated or belong to another request.
    pub answers_truncated: u64,
    /// Non-idempotent requests that ran more than once.
    pub non_idempotent_repeated: u64,
    /// Requests refused as not run that a target received.
    pub not_run_but_ran: u64,
    /// Number of violations, by promise.
    pub violations: BTreeMap<String, u64>,
}

impl Figures {
    /// Computes the figures that the callers' results, the history and the violations give.
    pub(crate) fn new(
        options: &DemoOptions,
        sessions: &[impl AsRef<Session>],
        history: &History,
        violations: &[Violation],
    ) -> Self {
        let mut figures = Self {
            seed: options.seed,
            faults: options.faults.iter().map(ToString::to_string).collect(),
            seconds: options.seconds,
            ..Self::default()
        };
        figures.count_callers(sessions);
        figures.count_history(history);
        figures.count_violations(violations);
        figures
    }

    fn count_callers(&mut self, sessions: &[impl AsRef<Session>]) {
        let mut all = histogram();
        self.worst_workspace_ok_ratio = 1.0;
        for session in sessions {
            let stats = lock(&session.as_ref().stats).clone();
            let mut own = histogram();
            for ms in &stats.ok_ms {
                all.saturating_record(*ms);
                own.saturating_record(*ms);
            }
            let ok = stats.ok_ms.len() as u64;
            let asked = ok + total(&stats.refused) + total(&stats.failed);
            if asked > 0 {
                let ratio = ok as f64 / asked as f64;
                self.worst_workspace_ok_ratio = self.worst_workspace_ok_ratio.min(ratio);
            }
            let p99 = own.value_at_quantile(0.99);
            self.worst_workspace_p99_ms = self.worst_workspace_p99_ms.max(p99);
            self.add_stats(ok, &stats);
        }
        self.interactive_p50_ms = all.value_at_quantile(0.5);
        self.interactive_p99_ms = all.value_at_quantile(0.99);
    }

    fn add_stats(&mut self, ok: u64, stats: &RequestStats) {
        self.interactive_ok += ok;
        self.interactive_refused += total(&stats.refused);
        self.interactive_failed += total(&stats.failed);
        for (reason, count) in &stats.refused {
            *self.refused_by_reason.entry(reason.clone()).or_default() += count;
        }
        for (reason, count) in &stats.failed {
            *self.failed_by_reason.entry(reason.clone()).or_default() += count;
        }
    }

    fn count_history(&mut self, history: &History) {
        let mut windows = BTreeSet::new();
        for line in history.lines() {
            match &line.event {
                Event::Ordered { .. } => self.orders_sent += 1,
                Event::Reported { window, .. } => drop(windows.insert(*window)),
                Event::Fetched { .. } => self.steps_complete += 1,
                Event::Delivered { .. } => self.samples_delivered += 1,
                _ => {}
            }
        }
        self.windows_reported = windows.len() as u64;
    }

    fn count_violations(&mut self, violations: &[Violation]) {
        for violation in violations {
            let name = violation.promise.to_string();
            *self.violations.entry(name).or_default() += 1;
            let figure = match violation.promise {
                Promise::KeyHidden => &mut self.keys_seen_by_targets,
                Promise::KeyWithdrawn | Promise::WorkspaceKey => {
                    &mut self.requests_after_withdrawal
                }
                Promise::NotRun => &mut self.not_run_but_ran,
                Promise::OneOrderHolder => &mut self.orders_conflicting,
                Promise::OneWindow => &mut self.windows_conflicting,
                Promise::RunsOnce => &mut self.non_idempotent_repeated,
                Promise::SampleOnce => &mut self.samples_duplicate,
                Promise::SampleStaleness => &mut self.samples_stale,
                Promise::SampleVersions => &mut self.samples_wrong_version,
                Promise::WholeAnswer => &mut self.answers_truncated,
                Promise::ConfigurationInForce
                | Promise::ConfigurationKept
                | Promise::LeavingTarget
                | Promise::Shutdown => continue,
            };
            *figure += 1;
        }
    }

    /// Adds the share of time that trainers were idle.
    pub(crate) fn count_trainers(&mut self, results: &[TrainerResult]) {
        let idle = results.iter().map(|result| result.idle).sum::<Duration>();
        let total = results.iter().map(|result| result.total).sum::<Duration>();
        self.trainer_idle_ratio = idle.as_secs_f64() / total.as_secs_f64().max(f64::MIN_POSITIVE);
    }

    /// Adds the billed time of targets.
    pub(crate) fn count_targets(&mut self, platform: &Platform, deployment: &Deployment) {
        let (mut all_ms, mut reclaimable_ms) = (0, 0);
        for (class, ms) in platform.billed_ms() {
            all_ms += ms;
            if deployment.is_reclaimable(&class) {
                reclaimable_ms += ms;
            }
        }
        self.target_seconds = all_ms as f64 / 1_000.0;
        self.cheap_target_ratio = reclaimable_ms as f64 / (all_ms as f64).max(1.0);
    }

    /// Returns whether no promise was broken.
    pub fn is_clean(&self) -> bool {
        self.violations.is_empty()
    }
}

/// Counts the answered requests that no stored usage window bills.
///
/// The difference is taken for each workspace, so one workspace's surplus can't cover another's
/// lack.
pub(crate) fn count_unbilled(platform: &Platform, answered: &BTreeMap<Workspace, u64>) -> u64 {
    let mut windows = BTreeMap::new();
    for record in platform.history() {
        if let PlatformEvent::Usage {
            report,
            stored: true,
        } = record.event
        {
            windows.insert(report.window, report.rows);
        }
    }
    let mut billed = BTreeMap::<Workspace, u64>::new();
    for row in windows.into_values().flatten() {
        *billed.entry(row.workspace).or_default() += row.requests;
    }
    let lost = answered.iter().map(|(workspace, count)| {
        count.saturating_sub(billed.get(workspace).copied().unwrap_or(0))
    });
    lost.sum()
}

fn total(counts: &BTreeMap<String, u64>) -> u64 {
    counts.values().sum()
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_MS, 3)
        .unwrap_or_else(|error| unreachable!("the bounds of the histogram are constants: {error}"))
}
