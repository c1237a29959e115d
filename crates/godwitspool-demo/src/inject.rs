//! Fault injection.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use godwitspool_fakes::{Engine, PlainFault, PlainService, SwapFault};
use godwitspool_history::{Event, Recorder};
use godwitspool_types::{Dc, HostName, Offset};
use godwitspool_version::{LeaseKind, Record, RecordBody};

use crate::{
    Fault, FaultKind,
    caller::{Caller, Session, lock},
    client::Client,
    host::Host,
    operator::Operator,
    system::System,
};

/// Answers of the platform that one fault loses.
const LOST_ANSWERS: u32 = 3;
/// Requests that one fault sends.
const POISON_REQUESTS: u32 = 6;
/// Time between the notice and the end of reclaimed targets.
const RECLAIM_NOTICE_MS: u64 = 2_500;
/// Time from the issue of a new key until callers switch to it and the old one is withdrawn.
const KEY_OVERLAP: Duration = Duration::from_secs(2);
/// Time between the start of a long request and the withdrawal of its key.
const LONG_ANSWER_LEAD: Duration = Duration::from_millis(300);
/// Time that some callers keep using a withdrawn key.
const OLD_KEY_RETENTION: Duration = Duration::from_secs(6);
/// Time that a plain service loses or cuts its answers.
const PLAIN_FAULT_DURATION: Duration = Duration::from_millis(400);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Injects faults into a running system.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Injector<'a> {
    pub(crate) operator: &'a Operator,
    pub(crate) recorder: &'a Recorder,
    pub(crate) sessions: &'a [Arc<Session>],
    pub(crate) stop: &'a AtomicBool,
    pub(crate) system: &'a System,
}

impl Injector<'_> {
    /// Injects each fault at its time and ends it after its duration. Faults may overlap.
    pub(crate) fn run(&self, faults: &[Fault], start: Instant) {
        thread::scope(|scope| {
            for fault in faults {
                self.wait_until(start + Duration::from_millis(fault.at_ms));
                if self.stop.load(Ordering::Relaxed) {
                    return;
                }
                self.recorder.record(Event::Fault(fault.kind.to_string()));
                scope.spawn(move || self.inject(*fault));
            }
        });
    }

    fn inject(&self, fault: Fault) {
        let duration = Duration::from_millis(fault.duration_ms);
        match fault.kind {
            FaultKind::EngineCrash => {
                self.with_engine(fault.pick, Engine::crash);
                self.with_plain(fault.pick, PlainService::crash);
            }
            FaultKind::HostRestart => self.restart_host(fault.pick),
            FaultKind::KeyWithdrawal => self.withdraw_key(fault.pick),
            FaultKind::LogOutage => self.log_outage(duration),
            FaultKind::LostAnswer => {
                self.system.platform.lose_answers(LOST_ANSWERS);
                self.lose_plain_answers(fault.pick);
            }
            FaultKind::Partition => self.partition(fault.pick, duration),
            FaultKind::PausedHolder => self.pause_lease_holder(duration),
            FaultKind::Poison => self.poison(fault.pick),
            FaultKind::Reclaim => {
                let dc = &self.host(fault.pick).config.dc;
                drop(self.system.platform.reclaim(dc, RECLAIM_NOTICE_MS));
            }
            FaultKind::StreamSilence => {
                self.with_engine(fault.pick, Engine::silence);
                self.with_plain(fault.pick, |service| service.relay().silence());
            }
            FaultKind::SwapFailure => self.fail_swaps(fault.pick, duration),
        }
    }

    fn log_outage(&self, duration: Duration) {
        self.recorder.record(Event::CutOff(None));
        self.system.platform.set_outage(true);
        self.wait_until(Instant::now() + duration);
        self.system.platform.set_outage(false);
        self.recorder.record(Event::Rejoined(None));
    }

    fn partition(&self, pick: u64, duration: Duration) {
        let dc = &self.host(pick).config.dc;
        self.recorder.record(Event::CutOff(Some(dc.clone())));
        self.system.set_partition(dc, true);
        self.wait_until(Instant::now() + duration);
        self.system.set_partition(dc, false);
        self.recorder.record(Event::Rejoined(Some(dc.clone())));
    }

    fn pause_lease_holder(&self, duration: Duration) {
        let Some(dc) = self.lease_holder_dc() else {
            return;
        };
        self.recorder.record(Event::CutOff(Some(dc.clone())));
        self.system.platform.set_view_held(&dc, true);
        self.wait_until(Instant::now() + duration);
        self.system.platform.set_view_held(&dc, false);
        self.recorder.record(Event::Rejoined(Some(dc)));
    }

    /// Returns the data centre of the host in the last lease record for orders in the log.
    fn lease_holder_dc(&self) -> Option<Dc> {
        let log = self.system.platform.log(Offset(0));
        let holder = log
            .iter()
            .rev()
            .find_map(|record| orders_lease_holder(&record.body))?;
        let mut hosts = self.system.hosts.iter();
        hosts
            .find(|host| host.config.host == holder)
            .map(|host| host.config.dc.clone())
    }

    fn withdraw_key(&self, pick: u64) {
        let session = self.session(pick);
        let old = lock(&session.keys).current.clone();
        let Some(new) = self.operator.issue(&session.workspace) else {
            return;
        };
        self.wait_until(Instant::now() + KEY_OVERLAP);
        {
            let mut keys = lock(&session.keys);
            keys.current = new;
            keys.old = Some(old.clone());
        }
        thread::scope(|scope| {
            let caller = self.caller(session);
            let old = &old;
            scope.spawn(move || caller.request_long_answer(old));
            self.wait_until(Instant::now() + LONG_ANSWER_LEAD);
            if self.operator.withdraw(old) {
                self.wait_until(Instant::now() + OLD_KEY_RETENTION);
            }
        });
        lock(&session.keys).old = None;
    }

    fn poison(&self, pick: u64) {
        let caller = self.caller(self.session(pick));
        caller.send_poison(POISON_REQUESTS, self.stop);
    }

    fn restart_host(&self, pick: u64) {
        let host = self.host(pick);
        self.recorder
            .record(Event::Stopping(host.config.host.clone()));
        if let Err(error) = host.restart_entry() {
            log::error!(host:% = host.config.host; "entry failed to restart: {error}");
        }
        self.recorder
            .record(Event::Started(host.config.host.clone()));
    }

    /// Sets one of three swap faults on about half of the running engines, which `pick` selects.
    fn fail_swaps(&self, pick: u64, duration: Duration) {
        let faults = [SwapFault::Fails, SwapFault::FalseSuccess, SwapFault::Late];
        let engines = self.system.platform.running_engines();
        for (index, engine) in engines.iter().enumerate() {
            let fault = faults.get((pick as usize + index) % (2 * faults.len()));
            engine.set_swap_fault(fault.copied().unwrap_or_default());
        }
        self.wait_until(Instant::now() + duration);
        for engine in engines {
            engine.set_swap_fault(SwapFault::None);
        }
    }

    fn with_engine(&self, pick: u64, act: impl FnOnce(&Engine)) {
        let engines = self.system.platform.running_engines();
        if let Some(engine) = engines.get(pick as usize % engines.len().max(1)) {
            act(engine);
        }
    }

    fn with_plain(&self, pick: u64, act: impl FnOnce(&PlainService)) {
        let services = self.system.platform.running_plain_services();
        if let Some(service) = services.get(pick as usize % services.len().max(1)) {
            act(service);
        }
    }

    /// Lets a plain service process calls while their answers are lost or cut off halfway.
    fn lose_plain_answers(&self, pick: u64) {
        let fault = if pick.is_multiple_of(2) {
            PlainFault::Cut
        } else {
            PlainFault::Lost
        };
        self.with_plain(pick / 2, |service| {
            service.set_fault(fault);
            self.wait_until(Instant::now() + PLAIN_FAULT_DURATION);
            service.set_fault(PlainFault::None);
        });
    }

    fn caller(&self, session: &Arc<Session>) -> Caller {
        Caller {
            client: Client::new(),
            keeps_old_key: false,
            recorder: self.recorder.clone(),
            session: Arc::clone(session),
        }
    }

    fn host(&self, pick: u64) -> &Host {
        &self.system.hosts[pick as usize % self.system.hosts.len()]
    }

    fn session(&self, pick: u64) -> &Arc<Session> {
        &self.sessions[pick as usize % self.sessions.len()]
    }

    /// Sleeps until the deadline, or until the run is stopped.
    fn wait_until(&self, deadline: Instant) {
        while Instant::now() < deadline && !self.stop.load(Ordering::Relaxed) {
            thread::sleep(POLL_INTERVAL);
        }
    }
}

/// Returns the holder if a log record is a lease record for orders.
fn orders_lease_holder(body: &str) -> Option<HostName> {
    match Record::decode(body).ok()?.body {
        RecordBody::Lease(lease) if lease.lease == LeaseKind::Orders => Some(lease.holder.host),
        _ => None,
    }
}
