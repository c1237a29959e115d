//! Brings faults about.

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

const LOST_ANSWERS: u32 = 3;
const POISON_TIMES: u32 = 6;
const RECLAIM_NOTICE_MS: u64 = 2_500;
/// Time between the issue of a new key and the withdrawal of the old one.
const KEY_OVERLAP: Duration = Duration::from_secs(2);
/// Time between a long request and the withdrawal of its key.
const LONG_ANSWER_LEAD: Duration = Duration::from_millis(300);
/// Time for which some callers go on with a withdrawn key.
const OLD_KEY_KEPT: Duration = Duration::from_secs(6);
/// Time for which a plain service loses its answers.
const PLAIN_FAULT: Duration = Duration::from_millis(400);
const POLL: Duration = Duration::from_millis(20);

/// Brings faults about.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Injector<'a> {
    pub(crate) operator: &'a Operator,
    pub(crate) recorder: &'a Recorder,
    pub(crate) sessions: &'a [Arc<Session>],
    pub(crate) stop: &'a AtomicBool,
    pub(crate) system: &'a System,
}

impl Injector<'_> {
    /// Brings each fault about at its time, and ends it.
    pub(crate) fn run(&self, faults: &[Fault], start: Instant) {
        thread::scope(|scope| {
            for fault in faults {
                self.wait_until(start + Duration::from_millis(fault.at_ms));
                if self.stop.load(Ordering::Relaxed) {
                    return;
                }
                self.recorder.record(Event::Fault(fault.kind.to_string()));
                scope.spawn(move || self.bring_about(*fault));
            }
        });
    }

    fn bring_about(&self, fault: Fault) {
        let lasting = Duration::from_millis(fault.lasting_ms);
        match fault.kind {
            FaultKind::EngineCrash => {
                self.with_engine(fault.pick, Engine::crash);
                self.with_plain(fault.pick, PlainService::crash);
            }
            FaultKind::HostRestart => self.restart_host(fault.pick),
            FaultKind::KeyWithdrawal => self.withdraw_key(fault.pick),
            FaultKind::LogOutage => self.log_outage(lasting),
            FaultKind::LostAnswer => {
                self.system.platform.lose_answers(LOST_ANSWERS);
                self.lose_plain_answers(fault.pick);
            }
            FaultKind::Partition => self.partition(fault.pick, lasting),
            FaultKind::PausedHolder => self.pause_holder(lasting),
            FaultKind::Poison => self.poison(fault.pick),
            FaultKind::Reclaim => {
                let dc = &self.host(fault.pick).place.dc;
                drop(self.system.platform.reclaim(dc, RECLAIM_NOTICE_MS));
            }
            FaultKind::StreamSilence => {
                self.with_engine(fault.pick, Engine::silence);
                self.with_plain(fault.pick, |service| service.relay().silence());
            }
            FaultKind::SwapFailure => self.fail_swaps(fault.pick, lasting),
        }
    }

    fn log_outage(&self, lasting: Duration) {
        self.recorder.record(Event::CutOff(None));
        self.system.platform.set_outage(true);
        self.wait_until(Instant::now() + lasting);
        self.system.platform.set_outage(false);
        self.recorder.record(Event::Rejoined(None));
    }

    fn partition(&self, pick: u64, lasting: Duration) {
        let dc = &self.host(pick).place.dc;
        self.recorder.record(Event::CutOff(Some(dc.clone())));
        self.system.set_partition(dc, true);
        self.wait_until(Instant::now() + lasting);
        self.system.set_partition(dc, false);
        self.recorder.record(Event::Rejoined(Some(dc.clone())));
    }

    fn pause_holder(&self, lasting: Duration) {
        let Some(dc) = self.holder_dc() else {
            return;
        };
        self.recorder.record(Event::CutOff(Some(dc.clone())));
        self.system.platform.set_view_held(&dc, true);
        self.wait_until(Instant::now() + lasting);
        self.system.platform.set_view_held(&dc, false);
        self.recorder.record(Event::Rejoined(Some(dc)));
    }

    /// Finds the data centre of the host that claimed the orders lease last.
    fn holder_dc(&self) -> Option<Dc> {
        let log = self.system.platform.log(Offset(0));
        let holder = log.iter().rev().find_map(|record| holder(&record.body))?;
        let mut hosts = self.system.hosts.iter();
        hosts
            .find(|host| host.place.host == holder)
            .map(|host| host.place.dc.clone())
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
            scope.spawn(move || caller.ask_long(old));
            self.wait_until(Instant::now() + LONG_ANSWER_LEAD);
            if self.operator.withdraw(old) {
                self.wait_until(Instant::now() + OLD_KEY_KEPT);
            }
        });
        lock(&session.keys).old = None;
    }

    fn poison(&self, pick: u64) {
        let caller = self.caller(self.session(pick));
        caller.poison(POISON_TIMES, self.stop);
    }

    fn restart_host(&self, pick: u64) {
        let host = self.host(pick);
        self.recorder
            .record(Event::Stopping(host.place.host.clone()));
        if let Err(error) = host.restart_entry() {
            log::error!(host:% = host.place.host; "entry is not started again: {error}");
        }
        self.recorder
            .record(Event::Started(host.place.host.clone()));
    }

    fn fail_swaps(&self, pick: u64, lasting: Duration) {
        let faults = [SwapFault::Fails, SwapFault::FalseSuccess, SwapFault::Late];
        let engines = self.system.platform.running_engines();
        for (index, engine) in engines.iter().enumerate() {
            let fault = faults.get((pick as usize + index) % (2 * faults.len()));
            engine.set_swap_fault(fault.copied().unwrap_or_default());
        }
        self.wait_until(Instant::now() + lasting);
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

    /// Lets calls of one plain service run without their answers, or with half of them.
    fn lose_plain_answers(&self, pick: u64) {
        let fault = if pick.is_multiple_of(2) {
            PlainFault::Cut
        } else {
            PlainFault::Lost
        };
        self.with_plain(pick / 2, |service| {
            service.set_fault(fault);
            self.wait_until(Instant::now() + PLAIN_FAULT);
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

    fn wait_until(&self, end: Instant) {
        while Instant::now() < end && !self.stop.load(Ordering::Relaxed) {
            thread::sleep(POLL);
        }
    }
}

fn holder(body: &str) -> Option<HostName> {
    match Record::decode(body).ok()?.body {
        RecordBody::Lease(lease) if lease.lease == LeaseKind::Orders => Some(lease.holder.host),
        _ => None,
    }
}
