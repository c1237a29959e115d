//! Which open orders to send, and which to give up.

use std::collections::BTreeMap;

use godwitspool_types::{Millis, Term};

use crate::{OpenOrder, OrderId, OrderIntent, OrderTable, TargetAction};

/// Times of target orders.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OrderTimes {
    /// Time between a stop's intent, on which entries send no new work, and the stop.
    pub drain: Millis,
    /// Age after which a successor gives an order up instead of finishing it.
    pub finish: Millis,
    /// Time between attempts at an order whose answer was lost.
    pub retry: Millis,
}

impl Default for OrderTimes {
    fn default() -> Self {
        Self {
            drain: Millis(3_000),
            finish: Millis(60_000),
            retry: Millis(1_000),
        }
    }
}

/// What to do about an open order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderStep {
    /// Sends the order, under the sender's own term.
    Send(OrderIntent),
    /// Records that the order is given up.
    Revoke(OrderId),
}

/// Follows the open orders from intent to outcome.
///
/// An order is sent only once its intent was read back from the log, so a successor knows every order
/// that may have been given. The platform carries an order of one identity out once, however often it
/// is sent.
///
/// ```
/// use godwitspool_types::{Millis, Term};
/// use godwitspool_version::{OrderTable, OrderDispatcher, OrderTimes};
///
/// let mut desk = OrderDispatcher::new(OrderTimes::default());
/// assert!(desk.decide(&OrderTable::default(), Some(Term(3)), Millis(0)).is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct OrderDispatcher {
    orders: BTreeMap<OrderId, Attempt>,
    times: OrderTimes,
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    seen: Millis,
    sent: Option<Millis>,
}

impl OrderDispatcher {
    /// Makes a desk that has seen no order.
    pub fn new(times: OrderTimes) -> Self {
        Self {
            orders: BTreeMap::new(),
            times,
        }
    }

    /// Takes note of the open orders and, if the host is in charge, says what to do about them.
    pub fn decide(&mut self, book: &OrderTable, term: Option<Term>, now: Millis) -> Vec<OrderStep> {
        self.orders
            .retain(|order, _| book.open.iter().any(|open| open.intent.order == *order));
        for open in &book.open {
            self.orders.entry(open.intent.order).or_insert(Attempt {
                seen: now,
                sent: None,
            });
        }
        let Some(term) = term else {
            return Vec::new();
        };
        book.open
            .iter()
            .filter_map(|open| self.step(open, term, now))
            .collect()
    }

    fn step(&mut self, open: &OpenOrder, term: Term, now: Millis) -> Option<OrderStep> {
        let intent = &open.intent;
        let attempt = self.orders.get_mut(&intent.order)?;
        if attempt
            .sent
            .is_some_and(|sent| now < sent + self.times.retry)
        {
            return None;
        }
        let is_inherited = intent.term != term;
        if is_inherited && now - attempt.seen >= self.times.finish {
            attempt.sent = Some(now);
            return Some(OrderStep::Revoke(intent.order));
        }
        let drained = match intent.action {
            TargetAction::Start(_) => true,
            TargetAction::Stop(_) => now >= attempt.seen + self.times.drain,
        };
        if !drained {
            return None;
        }
        attempt.sent = Some(now);
        Some(OrderStep::Send(intent.clone()))
    }
}
