//! The plan of a drain.

use std::time::Duration;

use godwitspool_host::process::DrainPlan;
use rstest::rstest;

/// Guards against LOST: a stream that its target still sends is cut before the last sixth of the grace period.
#[rstest]
fn answers_go_on_into_the_last_sixth(#[values(8, 10, 15, 30)] grace_s: u64) {
    let grace = Duration::from_secs(grace_s);
    let plan = DrainPlan::new(grace);
    assert!(plan.last_answer > grace * 5 / 6, "{plan:?}");
    assert!(plan.last_answer < plan.end && plan.end < grace, "{plan:?}");
}
