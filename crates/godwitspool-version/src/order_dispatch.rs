//! Which open orders to send, and which to revoke.

use std::collections::BTreeMap;

use godwitspool_types::{Millis, Term};

use crate::{OpenOrder, OrderId, OrderIntent, OrderTable, TargetAction};

/// Durations that govern the sending of target orders.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OrderTimes {
    /// Time between the intent of a stop, from which entries send no new work, and the stop itself.
    pub drain: Millis,
    /// Time since this host first saw an order of an earlier term, after which it revokes the order
    /// instead of sending it.
    pub revoke_after: Millis,
    /// Time between attempts to send or revoke an order whose outcome is not recorded yet.
    pub retry_interval: Millis,
}

impl Default for OrderTimes {
    fn default() -> Self {
        Self {
            drain: Millis(3_000),
            revoke_after: Millis(60_000),
            retry_interval: Millis(1_000),
        }
    }
}

/// What to do about an open order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderStep {
    /// Send the order, under the current term of the sender.
    Send(OrderIntent),
    /// Record that the order is revoked.
    Revoke(OrderId),
}

/// Decides when the open orders are sent, until their outcome is recorded.
///
/// An order is sent only after its intent was read back from the log, so the next lease holder
/// knows every order that may have been sent. The platform deduplicates orders by their identifier,
/// so an order may be sent repeatedly.
///
/// ```
/// use godwitspool_types::{Millis, Term};
/// use godwitspool_version::{OrderDispatcher, OrderTable, OrderTimes};
///
/// let mut dispatcher = OrderDispatcher::new(OrderTimes::default());
/// assert!(dispatcher.decide(&OrderTable::default(), Some(Term(3)), Millis(0)).is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct OrderDispatcher {
    orders: BTreeMap<OrderId, Attempt>,
    times: OrderTimes,
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    first_seen: Millis,
    sent: Option<Millis>,
}

impl OrderDispatcher {
    /// Creates a dispatcher that has seen no order.
    pub fn new(times: OrderTimes) -> Self {
        Self {
            orders: BTreeMap::new(),
            times,
        }
    }

    /// Tracks the open orders and returns what to do about them if this host holds the lease, which
    /// is when `term` is set.
    pub fn decide(
        &mut self,
        table: &OrderTable,
        term: Option<Term>,
        now: Millis,
    ) -> Vec<OrderStep> {
        self.orders
            .retain(|order, _| table.open.iter().any(|open| open.intent.order == *order));
        for open in &table.open {
            self.orders.entry(open.intent.order).or_insert(Attempt {
                first_seen: now,
                sent: None,
            });
        }
        let Some(term) = term else {
            return Vec::new();
        };
        table
            .open
            .iter()
            .filter_map(|open| self.step(open, term, now))
            .collect()
    }

    fn step(&mut self, open: &OpenOrder, term: Term, now: Millis) -> Option<OrderStep> {
        let intent = &open.intent;
        let attempt = self.orders.get_mut(&intent.order)?;
        if attempt
            .sent
            .is_some_and(|sent| now < sent + self.times.retry_interval)
        {
            return None;
        }
        let is_inherited = intent.term != term;
        if is_inherited && now - attempt.first_seen >= self.times.revoke_after {
            attempt.sent = Some(now);
            return Some(OrderStep::Revoke(intent.order));
        }
        let is_send_due = match intent.action {
            TargetAction::Start(_) => true,
            TargetAction::Stop(_) => now >= attempt.first_seen + self.times.drain,
        };
        if !is_send_due {
            return None;
        }
        attempt.sent = Some(now);
        Some(OrderStep::Send(intent.clone()))
    }
}
