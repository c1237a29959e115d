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
    caller::{Session, Tally, lock},
    deployment::Deployment,
    trainer::Trained,
};

const MOST_MS: u64 = 600_000;

/// The figures of a run. Counts of broken promises come from the checker alone.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Figures {
    /// Seed of the fault schedule.
    pub seed: u64,
    /// Kinds of faults.
    pub faults: Vec<String>,
    /// Time for which callers and trainers worked.
    pub seconds: u64,
    /// Interactive requests that got a whole answer.
    pub interactive_ok: u64,
    /// Interactive requests that were refused to the last.
    pub interactive_refused: u64,
    /// Interactive requests that broke off.
    pub interactive_failed: u64,
    /// Median time of whole answers.
    pub interactive_p50_ms: u64,
    /// 99th percentile of the time of whole answers.
    pub interactive_p99_ms: u64,
    /// Refusals by reason.
    pub refused_by_reason: BTreeMap<String, u64>,
    /// Failures by reason.
    pub failed_by_reason: BTreeMap<String, u64>,
    /// Share of whole answers of the workspace that fared worst.
    pub worst_workspace_ok_ratio: f64,
    /// 99th percentile of the workspace with the highest.
    pub worst_workspace_p99_ms: u64,
    /// Steps whose whole batch a trainer got.
    pub steps_complete: u64,
    /// Samples that trainers got.
    pub samples_delivered: u64,
    /// Samples that were missing, changed or came twice.
    pub samples_duplicate: u64,
    /// Samples older than the bound.
    pub samples_stale: u64,
    /// Samples that name wrong versions.
    pub samples_wrong_version: u64,
    /// Share of their time that trainers waited for a batch.
    pub trainer_idle_ratio: f64,
    /// Time paid for, over all targets.
    pub target_seconds: f64,
    /// Share of that time on reclaimable targets.
    pub cheap_target_ratio: f64,
    /// Target orders that the platform got.
    pub orders_sent: u64,
    /// Orders of two processes in charge at once.
    pub orders_conflicting: u64,
    /// Usage windows that were reported.
    pub windows_reported: u64,
    /// Windows with differing figures or holders.
    pub windows_conflicting: u64,
    /// Whole answers of workspaces that no window bills.
    pub usage_lost_requests: u64,
    /// Requests with a key that targets saw.
    pub keys_seen_by_targets: u64,
    /// Requests that worked or ran with a withdrawn or unfit key.
    pub requests_after_withdrawal: u64,
    /// Answers told to be complete that were cut or another's.
    pub answers_truncated: u64,
    /// Non-idempotent requests that ran more than once.
    pub non_idempotent_repeated: u64,
    /// Requests refused as not run that a target got.
    pub not_run_but_ran: u64,
    /// Broken promises, by promise.
    pub violations: BTreeMap<String, u64>,
}

impl Figures {
    /// Works the figures out.
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
            let tally = lock(&session.as_ref().tally).clone();
            let mut own = histogram();
            for ms in &tally.ok_ms {
                all.saturating_record(*ms);
                own.saturating_record(*ms);
            }
            let ok = tally.ok_ms.len() as u64;
            let asked = ok + total(&tally.refused) + total(&tally.failed);
            if asked > 0 {
                let ratio = ok as f64 / asked as f64;
                self.worst_workspace_ok_ratio = self.worst_workspace_ok_ratio.min(ratio);
            }
            let p99 = own.value_at_quantile(0.99);
            self.worst_workspace_p99_ms = self.worst_workspace_p99_ms.max(p99);
            self.add_tally(ok, &tally);
        }
        self.interactive_p50_ms = all.value_at_quantile(0.5);
        self.interactive_p99_ms = all.value_at_quantile(0.99);
    }

    fn add_tally(&mut self, ok: u64, tally: &Tally) {
        self.interactive_ok += ok;
        self.interactive_refused += total(&tally.refused);
        self.interactive_failed += total(&tally.failed);
        for (reason, count) in &tally.refused {
            *self.refused_by_reason.entry(reason.clone()).or_default() += count;
        }
        for (reason, count) in &tally.failed {
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

    /// Adds how long trainers waited.
    pub(crate) fn count_trainers(&mut self, trained: &[Trained]) {
        let idle = trained.iter().map(|trained| trained.idle).sum::<Duration>();
        let total = trained
            .iter()
            .map(|trained| trained.total)
            .sum::<Duration>();
        self.trainer_idle_ratio = idle.as_secs_f64() / total.as_secs_f64().max(f64::MIN_POSITIVE);
    }

    /// Adds what the platform was paid for.
    pub(crate) fn count_targets(&mut self, platform: &Platform, deployment: &Deployment) {
        let (mut all_ms, mut cheap_ms) = (0, 0);
        for (class, ms) in platform.billed_ms() {
            all_ms += ms;
            if deployment.is_cheap(&class) {
                cheap_ms += ms;
            }
        }
        self.target_seconds = all_ms as f64 / 1_000.0;
        self.cheap_target_ratio = cheap_ms as f64 / (all_ms as f64).max(1.0);
    }

    /// Returns whether no promise was broken.
    pub fn is_clean(&self) -> bool {
        self.violations.is_empty()
    }
}

/// Counts the answers of workspaces that no window bills.
pub(crate) fn unbilled(platform: &Platform, answered: &BTreeMap<Workspace, u64>) -> u64 {
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
    Histogram::new_with_bounds(1, MOST_MS, 3)
        .unwrap_or_else(|error| unreachable!("the bounds of the histogram are constants: {error}"))
}
