//! Target orders, folded from the log. An order is open until its outcome is recorded.

use std::collections::VecDeque;

use godwitspool_types::{Offset, Term};
use serde::{Deserialize, Serialize};

use crate::{OrderId, OrderIntent, OrderOutcome};

const MAX_CLOSED_ORDERS: usize = 128;

/// Target orders whose intent was recorded, as folded from the log.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderTable {
    /// The latest 128 orders that ended, oldest first.
    pub closed: VecDeque<ClosedOrder>,
    /// Orders without an outcome.
    pub open: Vec<OpenOrder>,
}

/// An order without an outcome.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OpenOrder {
    /// The order as it was recorded.
    pub intent: OrderIntent,
    /// Offset of the intent record.
    pub offset: Offset,
}

/// An order that ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClosedOrder {
    /// The order as it was recorded.
    pub intent: OrderIntent,
    /// Offset of the outcome record.
    pub offset: Offset,
    /// Result of the order.
    pub outcome: OrderOutcome,
}

impl OrderTable {
    /// Opens an order and returns whether that takes effect. The order must have the term of the
    /// current `holder` and an identifier that is not in the table.
    pub fn open(&mut self, offset: Offset, intent: &OrderIntent, holder: Option<Term>) -> bool {
        if holder != Some(intent.term) || self.is_known(intent.order) {
            return false;
        }
        self.open.push(OpenOrder {
            intent: intent.clone(),
            offset,
        });
        true
    }

    /// Closes an order and returns whether it was open.
    pub fn close(&mut self, offset: Offset, order: OrderId, outcome: &OrderOutcome) -> bool {
        let Some(index) = self.open.iter().position(|open| open.intent.order == order) else {
            return false;
        };
        let open = self.open.remove(index);
        if self.closed.len() == MAX_CLOSED_ORDERS {
            self.closed.pop_front();
        }
        self.closed.push_back(ClosedOrder {
            intent: open.intent,
            offset,
            outcome: outcome.clone(),
        });
        true
    }

    /// Counts the open orders that were recorded under the term.
    ///
    /// ```
    /// use godwitspool_types::Term;
    /// use godwitspool_version::OrderTable;
    ///
    /// assert_eq!(OrderTable::default().open_under(Term(3)), 0);
    /// ```
    pub fn open_under(&self, term: Term) -> usize {
        self.open
            .iter()
            .filter(|open| open.intent.term == term)
            .count()
    }

    fn is_known(&self, order: OrderId) -> bool {
        let is_open = self.open.iter().any(|open| open.intent.order == order);
        is_open
            || self
                .closed
                .iter()
                .any(|closed| closed.intent.order == order)
    }
}
