use godwitspool_process::{CounterByReason, Metrics};

/// Time without a run after which an item goes before all others, while others of its step have run. At
/// 5 s it would count as forgotten; a slot gets free well within the rest.
pub const MAX_IDLE_MS: u64 = 4_000;
/// Weight of each of a trainer's late steps in a row in the order of its next one, as a factor of the work
/// that is left. Steps differ by less than this, so that one late step is enough to go first.
const LOST_FACTOR: f64 = 0.5;
/// Number of late steps from which on more make no difference.
const MAX_LOST: u32 = 8;

/// An open step of a host, as far as the order among steps depends on it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StepView {
    /// Time until the step is due, in milliseconds; negative afterwards.
    pub due_in_ms: f64,
    /// Number of the trainer's last steps in a row that were late.
    pub lost: u32,
    /// Time that the targets need for what the step lacks, in milliseconds, if they do nothing else.
    pub work_ms: f64,
}

/// Returns the order in which the items of a host's steps start, as indexes of the steps.
///
/// Load pattern: trainers submit more than the targets can do, and a step is worth its complete groups
/// until it is due. If the slots are divided among all steps, or always given to the step that is due
/// first, nearly all of them are late. So steps that can still be complete when they are due come first,
/// and among them the one that needs least: once begun, it stays first until it is complete, and the
/// earlier due one decides among equals. A trainer whose last steps were late comes sooner, so that no
/// trainer loses step after step.
///
/// ```
/// use godwitspool_host::batch::{StepView, order_steps};
///
/// let step = |due_in_ms, work_ms, lost| StepView { due_in_ms, lost, work_ms };
/// let steps = [step(1_000.0, 3_000.0, 0), step(6_000.0, 3_000.0, 0), step(4_000.0, 2_000.0, 0)];
/// assert_eq!(order_steps(&steps), [2, 1, 0]);
/// let after_a_loss = [steps[1], step(4_000.0, 3_500.0, 1)];
/// assert_eq!(order_steps(&after_a_loss), [1, 0]);
/// ```
pub fn order_steps(steps: &[StepView]) -> Vec<usize> {
    let rank = |step: &StepView| {
        let is_late = step.work_ms >= step.due_in_ms;
        let lost = step.lost.min(MAX_LOST) as i32;
        (is_late, step.work_ms * LOST_FACTOR.powi(lost))
    };
    let mut order: Vec<usize> = (0..steps.len()).collect();
    order.sort_by(|a, b| {
        let (a, b) = (&steps[*a], &steps[*b]);
        let (first, second) = (rank(a), rank(b));
        let by_work = first.0.cmp(&second.0).then(first.1.total_cmp(&second.1));
        by_work.then(a.due_in_ms.total_cmp(&b.due_in_ms))
    });
    order
}

/// Counts of decisions about items and steps.
#[derive(Debug)]
pub struct DecisionMetrics {
    /// Number of moves of runs by reason.
    pub moves: CounterByReason,
    /// Number of starts of items by kind of target, and of those that had waited for a faster one.
    pub placements: CounterByReason,
    /// Number of steps that were complete or late when they were due.
    pub steps: CounterByReason,
}

impl DecisionMetrics {
    /// Registers the metrics.
    pub fn new(metrics: &Metrics) -> Self {
        Self {
            moves: metrics.counter_by_reason("moves", "Runs that moved, by reason"),
            placements: metrics
                .counter_by_reason("placements", "Starts of items by the choice of the target"),
            steps: metrics.counter_by_reason("steps", "Steps by whether they were late"),
        }
    }
}
