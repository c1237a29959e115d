//! Target orders: the demand of the entries leads to intents in the log, and the lease holder sends
//! them to the platform and appends their outcomes.

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

use crate::process::shared::{ReportedDemand, Shared, lock};

/// Age at which an entry's demand is discarded.
const MAX_DEMAND_AGE: Millis = Millis(5_000);
/// Time between forwards of the demand of this host's entry to the lease holder.
const DEMAND_FORWARD_INTERVAL: Millis = Millis(500);

/// Decides and sends target orders at each tick until the timer stops.
pub(crate) fn run(shared: &Arc<Shared>, ticks: &Receiver<Tick>) {
    let bounds = PlatformBounds {
        call_timeout: shared.leases.rules.order_timeout,
        ..PlatformBounds::default()
    };
    let platform = Platform::with_bounds(shared.settings.platform.clone(), bounds);
    let mut dispatcher = OrderDispatcher::new(OrderTimes::default());
    let mut scaling = Scaling::new(ScalingRules::default());
    let mut forwarded = Millis::ZERO;
    while let Ok(Tick { now }) = ticks.recv() {
        if now - forwarded >= DEMAND_FORWARD_INTERVAL {
            forward_demand(shared);
            forwarded = now;
        }
        if shared.current_view.age().is_none() {
            continue;
        }
        let (configuration, table) = shared.reader.read(|replica| {
            let fold = replica.fold();
            (Arc::clone(fold.configuration()), fold.orders().clone())
        });
        scale(shared, &mut scaling, &configuration, &table, now);
        let term = shared.leases.may_act(LeaseKind::Orders);
        for step in dispatcher.decide(&table, term, now) {
            match step {
                OrderStep::Send(intent) => send_order(shared, &platform, &intent),
                OrderStep::Revoke(order) => append_outcome(shared, order, OrderOutcome::Revoked),
            }
        }
    }
}

/// Runs the scaling policy. Only the lease holder appends the resulting orders as intents.
fn scale(
    shared: &Shared,
    scaling: &mut Scaling,
    configuration: &Configuration,
    table: &OrderTable,
    now: Millis,
) {
    let loads = loads(shared, now);
    let targets = shared
        .current_view
        .targets()
        .iter()
        .map(observed)
        .collect::<Vec<_>>();
    let view = ScalingView {
        configuration,
        loads: &loads,
        orders: table,
        targets: &targets,
    };
    let proposed = scaling.decide(view, now);
    let Some(term) = shared.leases.may_act(LeaseKind::Orders) else {
        return;
    };
    for order in proposed {
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

/// Sends an order to the platform. The lease is checked once more before the order's last byte is
/// sent.
fn send_order(shared: &Shared, platform: &Platform, intent: &OrderIntent) {
    let Some(term) = shared.leases.may_act(LeaseKind::Orders) else {
        return;
    };
    let order = wire_order(intent, &shared.settings.host, term);
    let may_send = || shared.leases.may_act(LeaseKind::Orders) == Some(term);
    let counts = &shared.counts.orders;
    match platform.order(&order, &may_send) {
        Ok(OrderAnswer::Done(names)) => {
            counts.count("done");
            append_outcome(shared, intent.order, OrderOutcome::Done(names));
        }
        Ok(OrderAnswer::NoneAvailable) => {
            counts.count("none-available");
            append_outcome(shared, intent.order, OrderOutcome::NoneAvailable);
        }
        // Another host holds the lease and finishes the order.
        Ok(OrderAnswer::Fenced(_)) => counts.count("fenced"),
        Err(PlatformError::Withheld { .. }) => counts.count("withheld"),
        Err(error) => {
            counts.count(match error {
                PlatformError::Unknown { .. } => "answer-lost",
                _ => "not-run",
            });
            log::warn!("order not acknowledged by the platform: {error}");
        }
    }
}

fn append_outcome(shared: &Shared, order: OrderId, outcome: OrderOutcome) {
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

fn observed(entry: &TargetEntry) -> ObservedTarget {
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

/// Stores the demand that an entry reported, in place of its previous one.
pub(crate) fn record_demand(shared: &Shared, demand: Demand) {
    let reported = ReportedDemand {
        received: shared.clock.now(),
        demand,
    };
    lock(&shared.demands).insert(reported.demand.host.clone(), reported);
}

/// Sends the demand of this host's entry to the lease holder, unless that is this host.
fn forward_demand(shared: &Shared) {
    let own = &shared.settings.host;
    let demand = lock(&shared.demands)
        .get(own)
        .map(|reported| reported.demand.clone());
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
        log::debug!("can't forward demand: {error}");
    }
}

/// Sums the entries' demand by data centre and service.
fn loads(shared: &Shared, now: Millis) -> Vec<ServiceLoad> {
    let members = shared.gossip.members();
    let dc_of = |host: &HostName| {
        let member = members.iter().find(|member| member.host == *host)?;
        Some(member.dc.clone())
    };
    let mut demands = lock(&shared.demands);
    demands.retain(|_, reported| now - reported.received < MAX_DEMAND_AGE);
    let mut loads = Vec::<ServiceLoad>::new();
    for reported in demands.values() {
        if let Some(dc) = dc_of(&reported.demand.host) {
            add_demand(&mut loads, &dc, &reported.demand);
        }
    }
    loads
}

fn add_demand(loads: &mut Vec<ServiceLoad>, dc: &Dc, demand: &Demand) {
    for service in &demand.services {
        let index = loads
            .iter()
            .position(|load| load.dc == *dc && load.service == service.service);
        let index = index.unwrap_or_else(|| {
            loads.push(ServiceLoad {
                dc: dc.clone(),
                service: service.service.clone(),
                ..ServiceLoad::default()
            });
            loads.len() - 1
        });
        loads[index].interactive += service.interactive + service.waiting;
        loads[index].training += service.training + service.backlog;
    }
}
