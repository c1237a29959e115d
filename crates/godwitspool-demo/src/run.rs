//! Runs a demo from start to check.

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
    caller::{Caller, Keys, Named, Session, Tally, lock},
    client::Client,
    collect::collect,
    deployment::Deployment,
    figures::unbilled,
    inject::Injector,
    operator::Operator,
    plan,
    system::System,
    table::Table,
    trainer::{Trained, Trainer},
};

const PROGRESS_EVERY: Duration = Duration::from_secs(1);
const WEIGHTS_EVERY: Duration = Duration::from_secs(5);
const INTRUDE_EVERY: Duration = Duration::from_millis(250);
const USAGE_BOUND: Duration = Duration::from_secs(10);
const POLL: Duration = Duration::from_millis(50);
/// Broken promises of one kind that are shown with their lines.
const SHOWN_VIOLATIONS: usize = 3;
/// Most callers of one workspace.
const MOST_CALLERS: u32 = 6;

/// What a run came to.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The figures.
    pub figures: Figures,
    /// The history.
    pub history: History,
    /// Broken promises.
    pub violations: Vec<Violation>,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        Table(&self.figures).fmt(f)?;
        let mut shown = BTreeMap::<Promise, usize>::new();
        for violation in &self.violations {
            let shown = shown.entry(violation.promise).or_default();
            *shown += 1;
            if *shown <= SHOWN_VIOLATIONS {
                write!(f, "\n{violation}\n")?;
            }
        }
        Ok(())
    }
}

/// Runs the demo. `progress` is given a line every second.
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
/// The folder has findings, or a part can't be started.
pub fn run(options: &DemoOptions, progress: impl Fn(String) + Sync) -> Result<Outcome, DemoError> {
    let deployment = Deployment::load(options)?;
    let system = System::start(&deployment)?;
    let recorder = Recorder::start();
    let operator = Operator::new(system.platform.address(), recorder.clone());
    if !operator.publish(&deployment) {
        let part = "the platform's log".to_owned();
        return Err(DemoError::NotReady { part, waited_ms: 0 });
    }
    system.wait_ready()?;
    let sessions = sessions(&deployment, &system);
    let trained = work(
        options,
        &deployment,
        &system,
        &recorder,
        &operator,
        &sessions,
        &progress,
    );
    let answered = answered(&recorder.history());
    let lost = wait_billed(&system, &answered);
    let deliveries = trained
        .iter()
        .flat_map(|trained| trained.deliveries.iter().cloned());
    collect(&system.platform, &deliveries.collect::<Vec<_>>(), &recorder);
    let history = recorder.history();
    let violations = check(&history, &Bounds::default());
    let mut figures = Figures::new(options, &sessions, &history, &violations);
    figures.count_targets(&system.platform, &deployment);
    figures.count_trainers(&trained);
    figures.usage_lost_requests = lost;
    system.stop();
    Ok(Outcome {
        figures,
        history,
        violations,
    })
}

/// Lets callers and trainers work while faults are brought about.
fn work(
    options: &DemoOptions,
    deployment: &Deployment,
    system: &System,
    recorder: &Recorder,
    operator: &Operator,
    sessions: &[Arc<Session>],
    progress: &(impl Fn(String) + Sync),
) -> Vec<Trained> {
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
        let intruder = caller(recorder, &sessions[0], false);
        let stop = &stop;
        scope.spawn(move || intruder.intrude(stop, INTRUDE_EVERY));
        scope.spawn(|| name_weights(deployment, operator, stop));
        scope.spawn(|| injector.run(&faults, start));
        let trainers = trainers(deployment, recorder, sessions);
        let trainers = trainers
            .into_iter()
            .map(|trainer| scope.spawn(move || trainer.run(stop)));
        let trainers = trainers.collect::<Vec<_>>();
        while start.elapsed() < Duration::from_secs(options.seconds) {
            thread::sleep(PROGRESS_EVERY);
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
        .map(|host| (host.place.host.clone(), host.place.callers()));
    let hosts = hosts.collect::<Vec<_>>();
    let configuration = &deployment.configuration;
    let sessions = deployment.keys.iter().filter_map(|(workspace, key)| {
        let rules = configuration.workspaces.get(workspace)?;
        let services = rules.services.iter().filter_map(|(alias, reference)| {
            Some(Named {
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
            tally: Mutex::new(Tally::default()),
            workspace: workspace.clone(),
        }))
    });
    sessions.collect()
}

/// Makes callers for each workspace, by its share.
fn callers(deployment: &Deployment, recorder: &Recorder, sessions: &[Arc<Session>]) -> Vec<Caller> {
    let mut callers = Vec::new();
    for session in sessions {
        let rules = deployment.configuration.workspaces.get(&session.workspace);
        let count = rules.map_or(1, |rules| rules.share).clamp(1, MOST_CALLERS);
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

fn name_weights(deployment: &Deployment, operator: &Operator, stop: &AtomicBool) {
    let mut last = Instant::now();
    while !stop.load(Ordering::Relaxed) {
        thread::sleep(POLL);
        if last.elapsed() >= WEIGHTS_EVERY {
            last = Instant::now();
            for model in deployment.configuration.weights.keys() {
                operator.next_weights(model);
            }
        }
    }
}

fn progress_line(start: Instant, sessions: &[Arc<Session>], recorder: &Recorder) -> String {
    let (mut ok, mut refused, mut failed) = (0, 0, 0);
    for session in sessions {
        let tally = lock(&session.tally);
        ok += tally.ok_ms.len();
        refused += tally.refused.values().sum::<u64>();
        failed += tally.failed.values().sum::<u64>();
    }
    let fault = recorder.last_fault().unwrap_or_default();
    let seconds = start.elapsed().as_secs();
    let steps = recorder.count(|event| matches!(event, Event::Fetched { .. }));
    format!(
        "{seconds:>4} s  answers {ok:>6}  refused {refused:>4}  broken {failed:>4}  steps {steps:>3}  {fault}"
    )
}

/// Counts whole answers by workspace, but for open routes, which nobody pays for.
fn answered(history: &History) -> BTreeMap<Workspace, u64> {
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

/// Waits until usage reports bill all answers, within a bound; returns how many they don't.
fn wait_billed(system: &System, answered: &BTreeMap<Workspace, u64>) -> u64 {
    let start = Instant::now();
    loop {
        let lost = unbilled(&system.platform, answered);
        if lost == 0 || start.elapsed() > USAGE_BOUND {
            return lost;
        }
        thread::sleep(POLL);
    }
}
