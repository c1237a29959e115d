//! Plans what to do with streams on targets that are reclaimed within seconds.

use godwitspool_types::Millis;

use crate::SampleId;

/// A stream on a target that is about to be reclaimed.
#[derive(Clone, Debug, PartialEq)]
pub struct ReclaimedStream {
    /// The sample that the stream produces.
    pub id: SampleId,
    /// Expected time until the sample is complete.
    pub remaining_ms: Millis,
    /// Tokens in the prompt and the answer so far.
    pub tokens: u32,
}

/// What can be done between the reclaim notice and the reclaim.
#[derive(Clone, Debug, PartialEq)]
pub struct ReclaimBudget {
    /// Duration of one KV cache export.
    pub export_ms: Millis,
    /// Number of tokens from which exporting the KV cache is cheaper than prefilling the tokens
    /// again.
    pub min_export_tokens: u32,
    /// Time until the targets are reclaimed.
    pub notice_ms: Millis,
    /// Maximum number of concurrent exports.
    pub max_parallel: u32,
    /// Number of streams that other targets can accept now.
    pub room: u32,
    /// Safety margin at the end of the notice period.
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

/// What happens to one stream. In every case the tokens that the entry has received are kept.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReclaimMove {
    /// Exports the KV cache and continues on another target.
    Export,
    /// Lets the stream end on its target. If it does not end in time, it resumes on another target.
    Finish,
    /// Waits until a target has capacity, then resumes after the tokens received so far.
    Park,
    /// Resumes on another target immediately, after the tokens received so far.
    Resume,
}

/// The moves in the order in which they must be executed.
pub type ReclaimPlan = Vec<(SampleId, ReclaimMove)>;

/// Plans a move for each stream.
///
/// Streams that are expected to end in time stay. Of the others, the longest are exported as far as
/// the notice allows, and the rest resume on other targets. Streams for which no other target has
/// capacity wait.
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
