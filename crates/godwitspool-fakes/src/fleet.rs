//! The targets that the platform runs, and the orders that start and stop them.

use std::{collections::BTreeMap, io, net::SocketAddr, sync::Arc};

use godwitspool_connection::platform::{
    OrderAction, OrderAnswer, TargetEntry, TargetList, TargetOrder, TargetState,
};
use godwitspool_types::{ClassName, Dc, ModelName, TargetName, Term};

use crate::{
    engine::Engine,
    plain_service::PlainService,
    platform_event::PlatformEvent,
    platform_options::{ClassOptions, TargetKind},
};

/// The targets of the platform.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    /// Answers to orders that were executed, by order identifier.
    answers: BTreeMap<String, OrderAnswer>,
    classes: BTreeMap<ClassName, ClassOptions>,
    /// Billed time of ended targets, in milliseconds.
    billed_ms: BTreeMap<ClassName, u64>,
    ended: Vec<Target>,
    /// Events since the last [`Fleet::take_events`].
    events: Vec<PlatformEvent>,
    /// Number of targets launched so far, part of their names.
    launched: u64,
    targets: BTreeMap<TargetName, Running>,
    /// Highest term seen by class.
    terms: BTreeMap<ClassName, Term>,
    unavailable: bool,
}

/// A target of either kind.
#[derive(Clone, Debug)]
pub(crate) enum Target {
    /// An engine.
    Engine(Arc<Engine>),
    /// A plain service.
    Plain(Arc<PlainService>),
}

/// A target that has not ended. Times are wall clock times in milliseconds.
#[derive(Debug)]
struct Running {
    /// When a crash was detected.
    crashed_ms: Option<u64>,
    /// When a starting target begins to serve, or a leaving or reclaimed one ends.
    due_ms: u64,
    entry: TargetEntry,
    launched_ms: u64,
    target: Target,
}

impl Target {
    fn start(options: &ClassOptions, name: &TargetName) -> io::Result<Self> {
        Ok(match &options.kind {
            TargetKind::Engine(engine) => {
                let mut engine = engine.clone();
                engine.target = name.clone();
                engine.fencing = options.fencing;
                Self::Engine(Arc::new(Engine::start(engine)?))
            }
            TargetKind::Plain(plain) => {
                let mut plain = plain.clone();
                plain.target = name.clone();
                Self::Plain(Arc::new(PlainService::start(plain)?))
            }
        })
    }

    fn address(&self) -> SocketAddr {
        match self {
            Self::Engine(engine) => engine.address(),
            Self::Plain(plain) => plain.address(),
        }
    }

    fn is_crashed(&self) -> bool {
        match self {
            Self::Engine(engine) => engine.is_crashed(),
            Self::Plain(plain) => plain.is_crashed(),
        }
    }

    fn crash(&self) {
        match self {
            Self::Engine(engine) => engine.crash(),
            Self::Plain(plain) => plain.crash(),
        }
    }

    /// Refuses connections until the target is restarted.
    fn close(&self) {
        match self {
            Self::Engine(engine) => engine.relay().set_down(true),
            Self::Plain(plain) => plain.relay().set_down(true),
        }
    }

    fn restart(&self) {
        match self {
            Self::Engine(engine) => engine.restart(),
            Self::Plain(plain) => plain.restart(),
        }
    }
}

impl Fleet {
    /// Starts the initial targets of each class.
    pub(crate) fn start(classes: Vec<ClassOptions>, now_ms: u64) -> io::Result<Self> {
        let mut fleet = Self::default();
        for options in classes {
            for (dc, count) in &options.initial {
                for _ in 0..*count {
                    fleet.launch(&options, dc, 0, now_ms)?;
                }
            }
            fleet.classes.insert(options.class.clone(), options);
        }
        fleet.tick(now_ms);
        Ok(fleet)
    }

    /// Executes an order, or returns the earlier answer if it was executed before. A fenced order
    /// doesn't count as executed.
    pub(crate) fn order(&mut self, order: &TargetOrder, now_ms: u64) -> OrderAnswer {
        if let Some(answer) = self.answers.get(&order.order) {
            return answer.clone();
        }
        let answer = self.carry_out(order, now_ms);
        if !matches!(answer, OrderAnswer::Fenced(_)) {
            self.answers.insert(order.order.clone(), answer.clone());
        }
        answer
    }

    /// Returns whether an order with this identifier was executed before.
    pub(crate) fn has_order(&self, order: &str) -> bool {
        self.answers.contains_key(order)
    }

    /// Performs the state changes and restarts that are due.
    pub(crate) fn tick(&mut self, now_ms: u64) {
        let mut ended = Vec::new();
        for (name, running) in &mut self.targets {
            match running.entry.state {
                TargetState::Starting if running.due_ms <= now_ms => {
                    running.target.restart();
                    running.entry.state = TargetState::Live;
                    self.events
                        .push(target_event(name, Some(TargetState::Live)));
                }
                TargetState::Leaving | TargetState::Reclaimed if running.due_ms <= now_ms => {
                    ended.push(name.clone());
                }
                _ => {}
            }
            let restart_ms = self
                .classes
                .get(&running.entry.class)
                .map_or(0, |class| class.restart_ms);
            if running.entry.state == TargetState::Live && running.target.is_crashed() {
                let crashed = *running.crashed_ms.get_or_insert(now_ms);
                if crashed + restart_ms <= now_ms {
                    running.target.restart();
                    running.crashed_ms = None;
                }
            }
        }
        for name in ended {
            self.end(&name, now_ms);
        }
    }

    /// Marks the reclaimable targets of a data centre as reclaimed and returns their names. They end
    /// after `notice_ms`.
    pub(crate) fn reclaim(&mut self, dc: &Dc, notice_ms: u64, now_ms: u64) -> Vec<TargetName> {
        let mut names = Vec::new();
        for (name, running) in &mut self.targets {
            let class = self.classes.get(&running.entry.class);
            let reclaimable = class.is_some_and(|class| class.reclaimable);
            if reclaimable && running.entry.dc == *dc {
                running.entry.state = TargetState::Reclaimed;
                running.due_ms = now_ms + notice_ms;
                names.push(name.clone());
                self.events
                    .push(target_event(name, Some(TargetState::Reclaimed)));
            }
        }
        names
    }

    /// Sets whether start orders are answered with [`OrderAnswer::NoneAvailable`].
    pub(crate) fn set_unavailable(&mut self, on: bool) {
        self.unavailable = on;
    }

    /// Returns the entries of all targets that have not ended.
    pub(crate) fn list(&self) -> TargetList {
        TargetList {
            targets: self
                .targets
                .values()
                .map(|running| running.entry.clone())
                .collect(),
        }
    }

    /// Returns all targets started so far, including those that have ended.
    pub(crate) fn all(&self) -> impl Iterator<Item = &Target> {
        self.ended
            .iter()
            .chain(self.targets.values().map(|running| &running.target))
    }

    /// Returns the targets that have not ended.
    pub(crate) fn running(&self) -> impl Iterator<Item = (&TargetEntry, &Target)> {
        self.targets
            .values()
            .map(|running| (&running.entry, &running.target))
    }

    /// Returns the total time from launch to end of all targets, by class, in milliseconds.
    pub(crate) fn billed_ms(&self, now_ms: u64) -> BTreeMap<ClassName, u64> {
        let mut billed_ms = self.billed_ms.clone();
        for running in self.targets.values() {
            *billed_ms.entry(running.entry.class.clone()).or_default() +=
                now_ms - running.launched_ms;
        }
        billed_ms
    }

    /// Returns and removes the events since the last call.
    pub(crate) fn take_events(&mut self) -> Vec<PlatformEvent> {
        std::mem::take(&mut self.events)
    }

    fn carry_out(&mut self, order: &TargetOrder, now_ms: u64) -> OrderAnswer {
        let Some(options) = self.classes.get(&order.class).cloned() else {
            return OrderAnswer::NoneAvailable;
        };
        let highest_term = self.terms.entry(order.class.clone()).or_default();
        if options.fencing && order.term < *highest_term {
            return OrderAnswer::Fenced(*highest_term);
        }
        *highest_term = order.term.max(*highest_term);
        match &order.action {
            OrderAction::Start(count) => self.start_targets(&options, order, *count, now_ms),
            OrderAction::Stop(names) => self.stop_targets(&options, names, now_ms),
        }
    }

    fn start_targets(
        &mut self,
        options: &ClassOptions,
        order: &TargetOrder,
        count: u32,
        now_ms: u64,
    ) -> OrderAnswer {
        let of_class = self
            .targets
            .values()
            .filter(|running| running.entry.class == order.class && running.entry.dc == order.dc);
        let max_targets = options.available.get(&order.dc).copied().unwrap_or(0);
        let free = (max_targets as usize).saturating_sub(of_class.count());
        let count = free.min(count as usize);
        if self.unavailable || count == 0 {
            return OrderAnswer::NoneAvailable;
        }
        let started = (0..count).filter_map(|_| {
            self.launch(options, &order.dc, options.start_ms, now_ms)
                .ok()
        });
        OrderAnswer::Done(started.collect())
    }

    fn stop_targets(
        &mut self,
        options: &ClassOptions,
        names: &[TargetName],
        now_ms: u64,
    ) -> OrderAnswer {
        let mut stopped = Vec::new();
        for name in names {
            if let Some(running) = self.targets.get_mut(name) {
                running.entry.state = TargetState::Leaving;
                running.due_ms = now_ms + options.stop_ms;
                stopped.push(name.clone());
                self.events
                    .push(target_event(name, Some(TargetState::Leaving)));
            }
        }
        OrderAnswer::Done(stopped)
    }

    fn launch(
        &mut self,
        options: &ClassOptions,
        dc: &Dc,
        start_ms: u64,
        now_ms: u64,
    ) -> io::Result<TargetName> {
        self.launched += 1;
        let name = TargetName::from(format!("{}-{dc}-{}", options.class, self.launched));
        let target = Target::start(options, &name)?;
        target.close();
        let model = match &options.kind {
            TargetKind::Engine(engine) => engine.model.clone(),
            TargetKind::Plain(_) => ModelName::default(),
        };
        let entry = TargetEntry {
            address: target.address(),
            class: options.class.clone(),
            dc: dc.clone(),
            model,
            service: options.service.clone(),
            state: TargetState::Starting,
            target: name.clone(),
        };
        self.events
            .push(target_event(&name, Some(TargetState::Starting)));
        let due_ms = now_ms + start_ms;
        let running = Running {
            crashed_ms: None,
            due_ms,
            entry,
            launched_ms: now_ms,
            target,
        };
        self.targets.insert(name.clone(), running);
        Ok(name)
    }

    fn end(&mut self, name: &TargetName, now_ms: u64) {
        if let Some(running) = self.targets.remove(name) {
            running.target.crash();
            let billed_ms = self.billed_ms.entry(running.entry.class).or_default();
            *billed_ms += now_ms - running.launched_ms;
            self.ended.push(running.target);
            self.events.push(target_event(name, None));
        }
    }
}

fn target_event(target: &TargetName, state: Option<TargetState>) -> PlatformEvent {
    PlatformEvent::Target {
        state,
        target: target.clone(),
    }
}
