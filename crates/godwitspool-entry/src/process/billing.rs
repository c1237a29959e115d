//! Billing of answered requests.
//!
//! Usage records go to this host's steward, which copies them to other hosts, as far as these can be
//! reached, before it confirms them. The end of an answer is sent only after its record is confirmed
//! or a timeout has passed, or while no steward can be reached.

use std::{
    net::SocketAddr,
    sync::{Arc, PoisonError},
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use godwitspool_connection::{
    messages::{StewardAnswer, StewardRequest, UsageRecord},
    peer::{Link, LinkBounds},
};
use godwitspool_request::Caller;
use godwitspool_sync::{Condvar, Mutex, MutexGuard};
use godwitspool_types::{Millis, RequestId};

use crate::process::shared::Shared;

/// Longest time for which the end of an answer waits until a steward holds its usage record.
const HOLD_TIMEOUT: Duration = Duration::from_millis(1_500);
const ANSWER_TIMEOUT: Millis = Millis(1_000);
const BATCH_WAIT: Duration = Duration::from_millis(100);
const RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_BATCH_RECORDS: usize = 2_000;
/// Stewards of other hosts that get the records while this host's steward doesn't answer.
const FALLBACK_STEWARDS: usize = 2;

/// Usage records that are waiting until a steward holds them.
///
/// Sequence numbers have no gaps within one incarnation of the entry, and records are sent in that
/// order, so the highest held number says which records are held.
#[derive(Debug)]
pub(crate) struct Billing {
    changed: Condvar,
    /// Start time of the entry in milliseconds since the Unix epoch, sent as its incarnation.
    started_ms: u64,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Set while no steward takes records. Answers then don't wait.
    failing: bool,
    /// Highest sequence number that stewards hold.
    held: u64,
    /// Last sequence number given out.
    last_sequence: u64,
    pending: Vec<UsageRecord>,
}

/// Usage of one answered request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AnswerUsage {
    /// Output tokens sent to the caller.
    pub(crate) tokens: u64,
    pub(crate) request: RequestId,
}

impl Default for Billing {
    fn default() -> Self {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            changed: Condvar::new(),
            started_ms: since.as_millis() as u64,
            state: Mutex::default(),
        }
    }
}

impl Billing {
    /// Queues a usage record and waits for a bounded time until a steward holds it.
    ///
    /// While no steward can be reached there is no wait: the entry keeps serving and keeps the
    /// records until a steward takes them.
    ///
    /// A request without a workspace comes over an open route and isn't billed.
    pub(crate) fn record_and_wait(&self, shared: &Shared, caller: &Caller, usage: AnswerUsage) {
        if caller.workspace.as_str().is_empty() {
            return;
        }
        let sequence = self.queue_record(shared, caller, usage);
        let must_wait = |state: &mut State| state.held < sequence && !state.failing;
        let (state, _) = self
            .changed
            .wait_timeout_while(self.lock(), HOLD_TIMEOUT, must_wait)
            .unwrap_or_else(PoisonError::into_inner);
        if state.held < sequence {
            log::warn!(
                request:% = usage.request;
                "answer ends before a steward holds its usage record"
            );
        }
    }

    /// Queues a usage record without waiting, and returns its sequence number.
    pub(crate) fn queue_record(&self, shared: &Shared, caller: &Caller, usage: AnswerUsage) -> u64 {
        let mut state = self.lock();
        state.last_sequence += 1;
        let sequence = state.last_sequence;
        state.pending.push(UsageRecord {
            host: shared.settings.host.clone(),
            sequence,
            incarnation: self.started_ms,
            output_tokens: usage.tokens,
            // The engines' protocol doesn't report how many tokens a prompt has.
            prompt_tokens: 0,
            request: usage.request,
            service: caller.service.clone(),
            workspace: caller.workspace.clone(),
        });
        self.changed.notify_all();
        sequence
    }

    /// Returns the oldest waiting records. Waits for a short time when there are none.
    fn batch(&self) -> Vec<UsageRecord> {
        let empty = |state: &mut State| state.pending.is_empty();
        let (state, _) = self
            .changed
            .wait_timeout_while(self.lock(), BATCH_WAIT, empty)
            .unwrap_or_else(PoisonError::into_inner);
        state
            .pending
            .iter()
            .take(MAX_BATCH_RECORDS)
            .cloned()
            .collect()
    }

    /// Removes records that a steward now holds, and wakes the answers that wait for them.
    fn mark_held(&self, batch: &[UsageRecord]) {
        let Some(last) = batch.last() else { return };
        let mut state = self.lock();
        state.failing = false;
        state.held = last.sequence;
        state
            .pending
            .retain(|record| record.sequence > last.sequence);
        self.changed.notify_all();
    }

    /// Marks the stewards as failing, so that answers no longer wait.
    fn mark_failing(&self) {
        self.lock().failing = true;
        self.changed.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn all_held(&self) -> bool {
        self.lock().pending.is_empty()
    }
}

/// Sends usage records to stewards until the entry stops and none is waiting. When the entry has
/// stopped and no steward takes the records, they are lost.
pub(crate) fn run(shared: &Arc<Shared>) {
    let own = link(shared.settings.steward);
    while !shared.stopped() || !shared.billing.all_held() {
        let batch = shared.billing.batch();
        if batch.is_empty() {
            continue;
        }
        if hold(&own, &batch) || hold_on_other_hosts(shared, &batch) {
            shared.billing.mark_held(&batch);
        } else if shared.stopped() {
            log::error!(
                records = batch.len();
                "usage records lost: entry stopped before a steward accepted them"
            );
            return;
        } else {
            shared.billing.mark_failing();
            thread::sleep(RETRY_DELAY);
        }
    }
}

type StewardLink = Link<StewardRequest, StewardAnswer>;

fn link(steward: SocketAddr) -> StewardLink {
    Link::new(
        steward,
        LinkBounds::default().with_answer_timeout(ANSWER_TIMEOUT),
    )
}

/// Sends records to a steward and returns whether it holds them.
fn hold(link: &StewardLink, batch: &[UsageRecord]) -> bool {
    let answer = link.call(&StewardRequest::HoldUsage(batch.to_vec()));
    matches!(answer, Ok(StewardAnswer::Done))
}

/// Sends the records to stewards of other hosts, those of this data centre first. Returns whether
/// at least one holds them.
fn hold_on_other_hosts(shared: &Shared, batch: &[UsageRecord]) -> bool {
    let view = shared.view();
    let mut others: Vec<_> = view
        .members
        .iter()
        .filter(|member| member.host != shared.settings.host && !member.leaving)
        .collect();
    others.sort_by_key(|member| member.dc != shared.settings.dc);
    let holders = others
        .iter()
        .filter(|member| hold(&link(member.steward), batch));
    holders.take(FALLBACK_STEWARDS).count() > 0
}
