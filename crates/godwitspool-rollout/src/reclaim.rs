//! What happens to the streams of targets that are reclaimed within seconds.

use godwitspool_types::Millis;

use crate::SampleId;

/// A stream on a target that is reclaimed.
#[derive(Clone, Debug, PartialEq)]
pub struct ReclaimedStream {
    /// Sample.
    pub id: SampleId,
    /// Time until it is expected to be whole.
    pub remaining_ms: Millis,
    /// Tokens of prompt and answer so far.
    pub tokens: u32,
}

/// What can be done within the notice.
#[derive(Clone, Debug, PartialEq)]
pub struct ReclaimBudget {
    /// Time of one export.
    pub export_ms: Millis,
    /// Tokens from which an export saves more than reading the tokens again.
    pub min_export_tokens: u32,
    /// Time until the targets are gone.
    pub notice_ms: Millis,
    /// Exports at once.
    pub max_parallel: u32,
    /// Streams that other targets can take now.
    pub room: u32,
    /// Part of the notice that is left unused.
    pub margin_ms: Millis,
}

impl Default for ReclaimBudget {
    fn default() -> Self {
        Self {
            export_ms: Millis(100),
            min_export_tokens: 256,
            notice_ms: Millis(5_000),
            max_parallel: 8,
            room: 0,
            margin_ms: Millis(500),
        }
    }
}

/// What happens to one stream. All keep the tokens that the entry has received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReclaimMove {
    /// Exports the KV cache and continues elsewhere.
    Export,
    /// Lets it end where it is; it resumes elsewhere if it doesn't.
    Finish,
    /// Waits for room and resumes behind its tokens.
    Park,
    /// Resumes elsewhere behind its tokens at once.
    Resume,
}

/// The moves, in the order in which they are to be made.
pub type ReclaimPlan = Vec<(SampleId, ReclaimMove)>;

/// Plans what happens to the streams: those that end in time stay, the longest of the others are
/// exported as far as the notice allows, the rest resume elsewhere, and what finds no room waits.
///
/// ```
/// use godwitspool_rollout::{
///     ReclaimBudget, ReclaimMove, ReclaimedStream, SampleId, plan_reclaim,
/// };
/// use godwitspool_types::Millis;
///
/// let stream = ReclaimedStream {
///     id: SampleId::default(),
///     remaining_ms: Millis(60_000),
///     tokens: 900,
/// };
/// let budget = ReclaimBudget { room: 1, ..ReclaimBudget::default() };
/// assert_eq!(plan_reclaim(vec![stream], &budget)[0].1, ReclaimMove::Export);
/// ```
pub fn plan_reclaim(mut streams: Vec<ReclaimedStream>, budget: &ReclaimBudget) -> ReclaimPlan {
    let usable = budget.notice_ms - budget.margin_ms;
    let rounds = usable.0 / budget.export_ms.0.max(1);
    let mut exports = rounds * u64::from(budget.max_parallel);
    let mut room = budget.room;
    streams.sort_by(|a, b| b.tokens.cmp(&a.tokens).then_with(|| a.id.cmp(&b.id)));
    let mut plan = ReclaimPlan::new();
    for stream in streams {
        let chosen = if stream.remaining_ms < usable {
            ReclaimMove::Finish
        } else if room == 0 {
            ReclaimMove::Park
        } else if exports > 0 && stream.tokens >= budget.min_export_tokens {
            exports -= 1;
            room -= 1;
            ReclaimMove::Export
        } else {
            room -= 1;
            ReclaimMove::Resume
        };
        plan.push((stream.id, chosen));
    }
    plan
}
