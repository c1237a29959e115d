//! Usage of answered requests, held by other hosts before the end of an answer is sent.

use std::{
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use godwitspool_connection::{
    messages::{StewardAnswer, StewardRequest, UsageRecord},
    peer::{Link, LinkBounds},
};
use godwitspool_request::Caller;
use godwitspool_types::{Millis, RequestId};

use crate::process::shared::Shared;

/// Longest time that the end of an answer waits for its usage to be held.
const HELD_BOUND: Duration = Duration::from_millis(1_500);
const ANSWER_TIMEOUT: Millis = Millis(1_000);
const IDLE_WAIT: Duration = Duration::from_millis(100);
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Records sent in one message.
const MAX_BATCH: usize = 2_000;
/// Other stewards that hold records while the own host's steward is silent.
const COPIES: usize = 2;

/// Records on their way to the stewards that hold them.
///
/// Sequence numbers have no gaps in one life of the entry, and records are held in their order, so
/// one number tells which are held.
#[derive(Debug)]
pub(crate) struct Billing {
    changed: Condvar,
    life: u64,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Set while no steward holds records; answers then don't wait.
    failing: bool,
    held: u64,
    next: u64,
    waiting: Vec<UsageRecord>,
}

/// What a caller got of one request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Got {
    /// Tokens that were sent to the caller.
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
            life: since.as_millis() as u64,
            state: Mutex::default(),
        }
    }
}

impl Billing {
    /// Counts what a caller got and waits until it is held, for a bounded time.
    ///
    /// While no steward is reached nothing is waited for: the entry serves on and keeps the records
    /// until one is.
    ///
    /// A request without a workspace, on an open route, is nobody's to pay.
    pub(crate) fn count(&self, shared: &Shared, caller: &Caller, got: Got) {
        if caller.workspace.as_str().is_empty() {
            return;
        }
        let sequence = self.add(shared, caller, got);
        let waits = |state: &mut State| state.held < sequence && !state.failing;
        let (state, _) = self
            .changed
            .wait_timeout_while(self.lock(), HELD_BOUND, waits)
            .unwrap_or_else(PoisonError::into_inner);
        if state.held < sequence {
            log::warn!(request:% = got.request; "usage is not yet held by other hosts");
        }
    }

    /// Counts what a caller got, without a wait, and returns the record's sequence number.
    pub(crate) fn add(&self, shared: &Shared, caller: &Caller, got: Got) -> u64 {
        let mut state = self.lock();
        state.next += 1;
        let sequence = state.next;
        state.waiting.push(UsageRecord {
            host: shared.settings.host.clone(),
            sequence,
            incarnation: self.life,
            output_tokens: got.tokens,
            // The engines' protocol doesn't tell how many tokens a prompt has.
            prompt_tokens: 0,
            request: got.request,
            service: caller.service.clone(),
            workspace: caller.workspace.clone(),
        });
        self.changed.notify_all();
        sequence
    }

    /// Returns the first records that wait.
    fn batch(&self) -> Vec<UsageRecord> {
        let empty = |state: &mut State| state.waiting.is_empty();
        let (state, _) = self
            .changed
            .wait_timeout_while(self.lock(), IDLE_WAIT, empty)
            .unwrap_or_else(PoisonError::into_inner);
        state.waiting.iter().take(MAX_BATCH).cloned().collect()
    }

    fn settle(&self, batch: &[UsageRecord]) {
        let Some(last) = batch.last() else { return };
        let mut state = self.lock();
        state.failing = false;
        state.held = last.sequence;
        state
            .waiting
            .retain(|record| record.sequence > last.sequence);
        self.changed.notify_all();
    }

    fn fail(&self) {
        self.lock().failing = true;
        self.changed.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_settled(&self) -> bool {
        self.lock().waiting.is_empty()
    }
}

/// Has records held until the entry stops and none waits.
pub(crate) fn run(shared: &Arc<Shared>) {
    let own = link(shared.settings.steward);
    while !shared.stopped() || !shared.billing.is_settled() {
        let batch = shared.billing.batch();
        if batch.is_empty() {
            continue;
        }
        if hold(&own, &batch) || hold_elsewhere(shared, &batch) {
            shared.billing.settle(&batch);
        } else if shared.stopped() {
            log::error!(records = batch.len(); "usage is lost: no steward holds it");
            return;
        } else {
            shared.billing.fail();
            thread::sleep(RETRY_PAUSE);
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

fn hold(link: &StewardLink, batch: &[UsageRecord]) -> bool {
    let answer = link.call(&StewardRequest::HoldUsage(batch.to_vec()));
    matches!(answer, Ok(StewardAnswer::Done))
}

/// Has other hosts' stewards hold the records, those of the own data centre first.
fn hold_elsewhere(shared: &Shared, batch: &[UsageRecord]) -> bool {
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
    holders.take(COPIES).count() > 0
}
