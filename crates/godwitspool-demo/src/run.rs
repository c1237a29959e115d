//! Runs the demo and checks its history.

use std::{
    collections::BTreeMap,
    fmt,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use godwitspool_history::{Bounds, Event, History, Promise, Recorder, Violation, check};
use godwitspool_types::Workspace;

use crate::{
    DemoError, DemoOptions, Figures,
    caller::{Caller, Keys, RequestStats, Session, WorkspaceService, lock},
    client::Client,
    collect::collect,
    deployment::Deployment,
    figures::count_unbilled,
    inject::Injector,
    operator::Operator,
    plan,
    system::System,
    table::Table,
    trainer::{Trainer, TrainerResult},
};

const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);
const WEIGHTS_INTERVAL: Duration = Duration::from_secs(5);
/// Interval between requests without a valid key.
const UNAUTHORIZED_INTERVAL: Duration = Duration::from_millis(250);
/// Time that usage reports may take to bill all answers after the run.
const USAGE_REPORT_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of violations of one promise that are printed with their lines.
const MAX_SHOWN_VIOLATIONS: usize = 3;
/// Maximum number of callers of one workspace.
const MAX_CALLERS: u32 = 6;

/// Result of a demo run. Its `Display` output is a table of the figures and the first violations.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Figures computed from the history and from the callers' and trainers' results.
    pub figures: Figures,
    /// Everything that callers, trainers, targets, the platform and operators observed.
    pub history: History,
    /// Broken promises with the history lines that show them; empty if all were kept.
    pub violations: Vec<Violation>,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        Table(&self.figures).fmt(f)?;
        let mut shown = BTreeMap::<Promise, usize>::new();
        for violation in &self.violations {
            let shown = shown.entry(violation.promise).or_default();
            *shown += 1;
            if *shown <= MAX_SHOWN_VIOLATIONS {
                write!(f, "\n{violation}\n")?;
            }
        }
        Ok(())
    }
}

/// Runs the demo. Calls `progress` with a status line every second.
///
/// ```no_run
/// use godwitspool_demo::{DemoOptions, run};
///
/// let outcome = run(&DemoOptions::default(), |line| println!("{line}"))?;
/// assert!(outcome.violations.is_empty());
/// # Ok::<(), godwitspool_demo::DemoError>(())
/// ```
///
/// # Errors
///
/// Returns [`DemoError::Folder`] if the folder is invalid, [`DemoError::Start`] if a component
/// can't start, and [`DemoError::NotReady`] if the log or a host is not ready in time.
pub fn run(options: &DemoOptions, progress: impl Fn(String) + Sync) -> Result<Outcome, DemoError> {
    let deployment = Deployment::load(options)?;
    let system = System::start(&deployment)?;
    let recorder = Recorder::start();
    let operator = Operator::new(system.platform.address(), recorder.clone());
    if !operator.publish(&deployment) {
        let component = "the platform's log".to_owned();
        return Err(DemoError::NotReady {
            component,
            waited_ms: 0,
        });
    }
    system.wait_ready()?;
    let sessions = sessions(&deployment, &system);
    let trainer_results = run_workload(
        options,
        &deployment,
        &system,
        &recorder,
        &operator,
        &sessions,
        &progress,
    );
    let answered = count_answers(&recorder.history());
    let lost = wait_for_billing(&system, &answered);
    let deliveries = trainer_results
        .iter()
        .flat_map(|result| result.deliveries.iter().cloned());
    collect(&system.platform, &deliveries.collect::<Vec<_>>(), &recorder);
    let history = recorder.history();
    let violations = check(&history, &Bounds::default());
    let mut figures = Figures::new(options, &sessions, &history, &violations);
    figures.count_targets(&system.platform, &deployment);
    figures.count_trainers(&trainer_results);
    figures.usage_lost_requests = lost;
    system.stop();
    Ok(Outcome {
        figures,
        history,
        violations,
    })
}

/// Runs callers, trainers and the fault injector for the time in the options.
fn run_workload(
    options: &DemoOptions,
    deployment: &Deployment,
    system: &System,
    recorder: &Recorder,
    operator: &Operator,
    sessions: &[Arc<Session>],
    progress: &(impl Fn(String) + Sync),
) -> Vec<TrainerResult> {
    let stop = AtomicBool::new(false);
    let start = Instant::now();
    let run_ms = options.seconds * 1_000;
    let faults = plan(options.seed, &options.faults, run_ms);
    let injector = Injector {
        operator,
        recorder,
        sessions,
        stop: &stop,
        system,
    };
    thread::scope(|scope| {
        for caller in callers(deployment, recorder, sessions) {
            let stop = &stop;
            scope.spawn(move || caller.run(stop));
        }
        let unauthorized_caller = caller(recorder, &sessions[0], false);
        let stop = &stop;
        scope.spawn(move || unauthorized_caller.send_unauthorized(stop, UNAUTHORIZED_INTERVAL));
        scope.spawn(|| publish_weights(deployment, operator, stop));
        scope.spawn(|| injector.run(&faults, start));
        let trainers = trainers(deployment, recorder, sessions);
        let trainers = trainers
            .into_iter()
            .map(|trainer| scope.spawn(move || trainer.run(stop)));
        let trainers = trainers.collect::<Vec<_>>();
        while start.elapsed() < Duration::from_secs(options.seconds) {
            thread::sleep(PROGRESS_INTERVAL);
            progress(progress_line(start, sessions, recorder));
        }
        stop.store(true, Ordering::Relaxed);
        trainers
            .into_iter()
            .filter_map(|trainer| trainer.join().ok())
            .collect()
    })
}

fn sessions(deployment: &Deployment, system: &System) -> Vec<Arc<Session>> {
    let hosts = system
        .hosts
        .iter()
        .map(|host| (host.config.host.clone(), host.config.callers_address()));
    let hosts = hosts.collect::<Vec<_>>();
    let configuration = &deployment.configuration;
    let sessions = deployment.keys.iter().filter_map(|(workspace, key)| {
        let rules = configuration.workspaces.get(workspace)?;
        let services = rules.services.iter().filter_map(|(alias, reference)| {
            Some(WorkspaceService {
                alias: alias.to_string(),
                open: configuration.open_routes.contains(&reference.service),
                rules: deployment.service(&reference.service)?.clone(),
                service: reference.service.clone(),
            })
        });
        Some(Arc::new(Session {
            hosts: hosts.clone(),
            keys: Mutex::new(Keys {
                current: key.clone(),
                old: None,
            }),
            services: services.collect(),
            stats: Mutex::new(RequestStats::default()),
            workspace: workspace.clone(),
        }))
    });
    sessions.collect()
}

/// Creates as many callers for each workspace as its share, from 1 to [`MAX_CALLERS`]. Every second
/// one uses an old key while there is one.
fn callers(deployment: &Deployment, recorder: &Recorder, sessions: &[Arc<Session>]) -> Vec<Caller> {
    let mut callers = Vec::new();
    for session in sessions {
        let rules = deployment.configuration.workspaces.get(&session.workspace);
        let count = rules.map_or(1, |rules| rules.share).clamp(1, MAX_CALLERS);
        for index in 0..count {
            callers.push(caller(recorder, session, index % 2 == 1));
        }
    }
    callers
}

fn caller(recorder: &Recorder, session: &Arc<Session>, keeps_old_key: bool) -> Caller {
    Caller {
        client: Client::new(),
        keeps_old_key,
        recorder: recorder.clone(),
        session: Arc::clone(session),
    }
}

fn trainers(
    deployment: &Deployment,
    recorder: &Recorder,
    sessions: &[Arc<Session>],
) -> Vec<Trainer> {
    let trainers = deployment
        .configuration
        .trainers
        .iter()
        .filter_map(|(name, rules)| {
            let mut sessions = sessions.iter();
            let session = sessions.find(|session| session.workspace == rules.workspace)?;
            Some(Trainer {
                client: Client::new(),
                name: name.clone(),
                recorder: recorder.clone(),
                session: Arc::clone(session),
            })
        });
    trainers.collect()
}

/// Publishes a new weight version of each model at a fixed interval until `stop` is set.
fn publish_weights(deployment: &Deployment, operator: &Operator, stop: &AtomicBool) {
    let mut last = Instant::now();
    while !stop.load(Ordering::Relaxed) {
        thread::sleep(POLL_INTERVAL);
        if last.elapsed() >= WEIGHTS_INTERVAL {
            last = Instant::now();
            for model in deployment.configuration.weights.keys() {
                operator.publish_next_weights(model);
            }
        }
    }
}

fn progress_line(start: Instant, sessions: &[Arc<Session>], recorder: &Recorder) -> String {
    let (mut ok, mut refused, mut failed) = (0, 0, 0);
    for session in sessions {
        let stats = lock(&session.stats);
        ok += stats.ok_ms.len();
        refused += stats.refused.values().sum::<u64>();
        failed += stats.failed.values().sum::<u64>();
    }
    let fault = recorder.last_fault().unwrap_or_default();
    let seconds = start.elapsed().as_secs();
    let steps = recorder.count(|event| matches!(event, Event::Fetched { .. }));
    format!(
        "{seconds:>4} s  answers {ok:>6}  refused {refused:>4}  broken {failed:>4}  steps {steps:>3}  {fault}"
    )
}

/// Counts answered requests by workspace, except those on open routes, which are not billed.
fn count_answers(history: &History) -> BTreeMap<Workspace, u64> {
    let mut payers = BTreeMap::new();
    let mut answered = BTreeMap::new();
    for line in history.lines() {
        match &line.event {
            Event::Sent {
                open: false,
                request,
                workspace,
                ..
            } => {
                payers.insert(*request, workspace.clone());
            }
            Event::Answered { request, .. } => {
                if let Some(workspace) = payers.remove(request) {
                    *answered.entry(workspace).or_default() += 1;
                }
            }
            _ => {}
        }
    }
    answered
}

/// Waits until usage reports bill all answers or [`USAGE_REPORT_TIMEOUT`] has passed. Returns the
/// number of unbilled answers.
fn wait_for_billing(system: &System, answered: &BTreeMap<Workspace, u64>) -> u64 {
    let start = Instant::now();
    loop {
        let lost = count_unbilled(&system.platform, answered);
        if lost == 0 || start.elapsed() > USAGE_REPORT_TIMEOUT {
            return lost;
        }
        thread::sleep(POLL_INTERVAL);
    }
}
