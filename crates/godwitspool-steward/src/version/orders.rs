//! Target orders: from demand to intent, and from intent to outcome.

use std::sync::{Arc, mpsc::Receiver};

use godwitspool_connection::{
    http::{Platform, PlatformApi, PlatformBounds, PlatformError},
    messages::{Demand, StewardRequest},
    platform::{OrderAction, OrderAnswer, TargetEntry, TargetOrder, TargetState},
};
use godwitspool_process::Tick;
use godwitspool_types::{Dc, HostName, Millis, RequestId, Term};
use godwitspool_version::{
    Configuration, LeaseKind, ObservedTarget, OrderDispatcher, OrderId, OrderIntent, OrderOutcome,
    OrderStep, OrderTable, OrderTimes, RecordBody, Scaling, ScalingRules, ScalingView, ServiceLoad,
    TargetAction, TargetPhase,
};

use crate::process::shared::{Heard, Shared, lock};

/// Age at which an entry's demand no longer counts.
const DEMAND_AGE: Millis = Millis(5_000);
/// Time between passing the own entry's demand on to the holder.
const PASS_ON: Millis = Millis(500);

/// Decides and gives target orders until the timer ends.
pub(crate) fn run(shared: &Arc<Shared>, ticks: &Receiver<Tick>) {
    let bounds = PlatformBounds {
        call_timeout: shared.leases.rules.order_timeout,
        ..PlatformBounds::default()
    };
    let platform = Platform::with_bounds(shared.settings.platform.clone(), bounds);
    let mut desk = OrderDispatcher::new(OrderTimes::default());
    let mut scaling = Scaling::new(ScalingRules::default());
    let mut passed = Millis::ZERO;
    while let Ok(Tick { now }) = ticks.recv() {
        if now - passed >= PASS_ON {
            pass_demand_on(shared);
            passed = now;
        }
        if shared.board.age().is_none() {
            continue;
        }
        let (configuration, book) = shared.reader.read(|replica| {
            let fold = replica.fold();
            (Arc::clone(fold.configuration()), fold.orders().clone())
        });
        scale(shared, &mut scaling, &configuration, &book, now);
        let term = shared.leases.may_act(LeaseKind::Orders);
        for step in desk.decide(&book, term, now) {
            match step {
                OrderStep::Send(intent) => give(shared, &platform, &intent),
                OrderStep::Revoke(order) => close(shared, order, OrderOutcome::Revoked),
            }
        }
    }
}

/// Follows the policy; the holder writes what it wants as intents.
fn scale(
    shared: &Shared,
    scaling: &mut Scaling,
    configuration: &Configuration,
    book: &OrderTable,
    now: Millis,
) {
    let loads = loads(shared, now);
    let targets = shared.board.targets().iter().map(seen).collect::<Vec<_>>();
    let view = ScalingView {
        configuration,
        loads: &loads,
        orders: book,
        targets: &targets,
    };
    let wanted = scaling.decide(view, now);
    let Some(term) = shared.leases.may_act(LeaseKind::Orders) else {
        return;
    };
    for order in wanted {
        log::info!(
            dc:% = order.dc, class:% = order.class, reason:? = order.reason, action:? = order.action;
            "order decided"
        );
        shared.append(RecordBody::OrderIntent(OrderIntent {
            action: order.action,
            class: order.class,
            dc: order.dc,
            order: OrderId(RequestId::random()),
            reason: order.reason,
            term,
        }));
    }
}

/// Gives an order. The lease is checked once more before the order's last byte is sent.
fn give(shared: &Shared, platform: &Platform, intent: &OrderIntent) {
    let Some(term) = shared.leases.may_act(LeaseKind::Orders) else {
        return;
    };
    let order = wire_order(intent, &shared.settings.host, term);
    let may_send = || shared.leases.may_act(LeaseKind::Orders) == Some(term);
    let counts = &shared.counts.orders;
    match platform.order(&order, &may_send) {
        Ok(OrderAnswer::Done(names)) => {
            counts.count("done");
            close(shared, intent.order, OrderOutcome::Done(names));
        }
        Ok(OrderAnswer::NoneAvailable) => {
            counts.count("none-available");
            close(shared, intent.order, OrderOutcome::NoneAvailable);
        }
        // Another host is in charge; it finishes the order.
        Ok(OrderAnswer::Fenced(_)) => counts.count("fenced"),
        Err(PlatformError::Withheld { .. }) => counts.count("withheld"),
        Err(error) => {
            counts.count(match error {
                PlatformError::Unknown { .. } => "answer-lost",
                _ => "not-run",
            });
            log::warn!("order not given: {error}");
        }
    }
}

fn close(shared: &Shared, order: OrderId, outcome: OrderOutcome) {
    shared.append(RecordBody::OrderOutcome { order, outcome });
}

fn wire_order(intent: &OrderIntent, host: &HostName, term: Term) -> TargetOrder {
    TargetOrder {
        action: match &intent.action {
            TargetAction::Start(targets) => OrderAction::Start(*targets),
            TargetAction::Stop(names) => OrderAction::Stop(names.clone()),
        },
        class: intent.class.clone(),
        dc: intent.dc.clone(),
        host: host.clone(),
        order: intent.order.0.to_string(),
        term,
    }
}

fn seen(entry: &TargetEntry) -> ObservedTarget {
    ObservedTarget {
        class: entry.class.clone(),
        dc: entry.dc.clone(),
        phase: match entry.state {
            TargetState::Live | TargetState::Starting => TargetPhase::Active,
            TargetState::Leaving => TargetPhase::Leaving,
            TargetState::Reclaimed => TargetPhase::Reclaimed,
        },
        target: entry.target.clone(),
    }
}

// --- Demand

/// Takes an entry's demand.
pub(crate) fn hear(shared: &Shared, demand: Demand) {
    let heard = Heard {
        at: shared.clock.now(),
        demand,
    };
    lock(&shared.demands).insert(heard.demand.host.clone(), heard);
}

/// Tells the holder what the own entry needs.
fn pass_demand_on(shared: &Shared) {
    let own = &shared.settings.host;
    let demand = lock(&shared.demands)
        .get(own)
        .map(|heard| heard.demand.clone());
    let holder = shared.leases.lease(LeaseKind::Orders).holder;
    let (Some(demand), Some(holder)) = (demand, holder) else {
        return;
    };
    if holder.life.host == *own {
        return;
    }
    let members = shared.gossip.members();
    let Some(member) = members
        .iter()
        .find(|member| member.host == holder.life.host)
    else {
        return;
    };
    if let Err(error) = shared.ask(member.steward, &StewardRequest::Demand(demand)) {
        log::debug!("demand not passed on: {error}");
    }
}

/// Adds the demand of the entries up by data centre and service.
fn loads(shared: &Shared, now: Millis) -> Vec<ServiceLoad> {
    let members = shared.gossip.members();
    let dc_of = |host: &HostName| {
        let member = members.iter().find(|member| member.host == *host)?;
        Some(member.dc.clone())
    };
    let mut demands = lock(&shared.demands);
    demands.retain(|_, heard| now - heard.at < DEMAND_AGE);
    let mut loads = Vec::<ServiceLoad>::new();
    for heard in demands.values() {
        if let Some(dc) = dc_of(&heard.demand.host) {
            add_demand(&mut loads, &dc, &heard.demand);
        }
    }
    loads
}

fn add_demand(loads: &mut Vec<ServiceLoad>, dc: &Dc, demand: &Demand) {
    for service in &demand.services {
        let at = loads
            .iter()
            .position(|load| load.dc == *dc && load.service == service.service);
        let at = at.unwrap_or_else(|| {
            loads.push(ServiceLoad {
                dc: dc.clone(),
                service: service.service.clone(),
                ..ServiceLoad::default()
            });
            loads.len() - 1
        });
        loads[at].interactive += service.interactive + service.waiting;
        loads[at].training += service.training + service.backlog;
    }
}
