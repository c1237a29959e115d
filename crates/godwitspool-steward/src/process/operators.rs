//! Readiness and status pages for operators.

use std::sync::Arc;

use godwitspool_process::{OperatorApi, Readiness};
use godwitspool_version::{Fold, LeaseKind, OrderTable, WindowTable};
use serde_json::{Value, json};

use crate::process::shared::{Shared, lock};

/// Serves operators from the state that the threads share.
pub(crate) struct OperatorPages(pub(crate) Arc<Shared>);

impl OperatorApi for OperatorPages {
    fn readiness(&self) -> Readiness {
        if self.0.current_view.age().is_some() {
            Readiness::Ready
        } else {
            Readiness::NotReady("neither the log nor a peer that has it was found".to_owned())
        }
    }

    fn status(&self) -> Value {
        status(&self.0)
    }
}

/// Returns the steward's state, as shown on the status page.
pub(crate) fn status(shared: &Shared) -> Value {
    let settings = &shared.settings;
    let mut status = json!({
        "host": settings.host,
        "dc": settings.dc,
        "configuration_age_ms": shared.current_view.age().map(|age| age.as_millis() as u64),
        "cut_off": shared.gossip.cut_off(),
        "leases": LeaseKind::ALL.map(|kind| lease(shared, kind)),
        "appends": appends(shared),
        "held_usage": lock(&shared.usage).len(),
        "members": members(shared),
    });
    let folded = shared.reader.read(|replica| folded(replica.fold()));
    if let (Some(status), Value::Object(folded)) = (status.as_object_mut(), folded) {
        status.extend(folded);
    }
    status
}

fn lease(shared: &Shared, kind: LeaseKind) -> Value {
    let lease = shared.leases.lease(kind);
    json!({
        "lease": kind.as_str(),
        "holder": lease.holder.as_ref().map(|holder| &holder.life.host),
        "term": lease.term(),
        "last_record": lease.last,
        "may_act_here": shared.leases.may_act(kind).is_some(),
    })
}

fn appends(shared: &Shared) -> Value {
    let counts = shared.outbox.counts().into_iter().map(|(stream, counts)| {
        let value = json!({
            "appended": counts.appended,
            "refused": counts.refused,
            "waiting": counts.waiting,
        });
        (stream.as_str().to_owned(), value)
    });
    Value::Object(counts.collect())
}

fn members(shared: &Shared) -> Value {
    let members = shared.gossip.members();
    let member = |member: &godwitspool_connection::messages::Member| json!({ "host": member.host, "dc": member.dc, "leaving": member.leaving });
    members.iter().map(member).collect()
}

fn folded(fold: &Fold) -> Value {
    let counts = fold.counts();
    json!({
        "offset": fold.next(),
        "published": fold.published(),
        "snapshot_end": fold.snapshot_end(),
        "records_without_effect": {
            "damaged": counts.damaged,
            "overtaken": counts.overtaken,
            "repeated": counts.repeated,
            "unknown": counts.unknown,
        },
        "quarantined": fold.quarantine().keys().collect::<Vec<_>>(),
        "weights": fold.weights(),
        "orders": orders(fold.orders()),
        "windows": windows(fold.windows()),
    })
}

fn orders(table: &OrderTable) -> Value {
    const MAX_CLOSED: usize = 10;
    json!({
        "open": table.open.iter().map(|open| &open.intent).collect::<Vec<_>>(),
        "last": table.closed.iter().rev().take(MAX_CLOSED).collect::<Vec<_>>(),
    })
}

fn windows(table: &WindowTable) -> Value {
    let window = |(window, state): (&u64, &godwitspool_version::WindowState)| {
        let phase = match (&state.frozen, state.reported) {
            (_, true) => "reported",
            (Some(_), false) => "frozen",
            (None, false) => "sealed",
        };
        json!({
            "window": window,
            "state": phase,
            "sealed_by": state.seals.keys().collect::<Vec<_>>(),
            "missing": state.frozen.as_ref().map(|frozen| &frozen.missing),
        })
    };
    json!({
        "last_frozen": table.last_frozen,
        "windows": table.windows.iter().map(window).collect::<Vec<_>>(),
    })
}
