//! Estimates of the speed of targets: what is natural to a target, and what will pass.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use godwitspool_host::version::{TargetSpeed, load_slope};
use godwitspool_types::Millis;

/// Usual time between events in milliseconds.
const USUAL_MS: f64 = 40.0;
/// Length of a disturbance and time from one to the next: a seventh of the time is disturbed.
const DISTURBED_MS: u64 = 3_000;
const CYCLE_MS: u64 = 21_000;

/// Returns what is known of a target that has worked for `ms`, at 2.5 times its interval in the first
/// part of each cycle, with `running` requests at a time.
fn observed(factor: f64, ms: u64, running: impl Fn(u64) -> u32, slope: f64) -> TargetSpeed {
    let mut speed = TargetSpeed::default();
    let mut at = 0.0;
    let mut jitters = [0.7, 1.3, 0.9, 1.1].into_iter().cycle();
    while (at as u64) < ms {
        let now = at as u64;
        let noise = if now % CYCLE_MS < DISTURBED_MS {
            2.5
        } else {
            1.0
        };
        // Intervals between single events differ by up to a third.
        let jitter = jitters.next().unwrap();
        let load = 1.0 + slope * f64::from(running(now));
        let interval = USUAL_MS * factor * noise * jitter * load;
        at += interval;
        speed.record(interval, running(now), Millis(at as u64));
    }
    speed
}

/// Targets whose natural speeds differ by a third are told apart although each of them is disturbed at
/// times. Guards against an estimate that follows the disturbances.
#[test]
fn natural_speeds_are_told_apart_under_disturbances() {
    for speeds in [[1.0, 1.0, 1.3], [0.7, 0.7, 1.7], [0.8, 1.0, 1.2]] {
        for at in (60_000..81_000).step_by(1_000) {
            let estimates = speeds.map(|factor| {
                let speed = observed(factor, at, |_| 4, 0.0);
                let estimate = speed.estimate(USUAL_MS, 0.0, 4, Millis(at));
                estimate.own_ms / USUAL_MS / factor
            });
            for ratio in estimates {
                assert!((0.9..1.4).contains(&ratio), "{speeds:?}: {estimates:?}");
            }
            let (least, most) = (
                estimates.iter().copied().fold(f64::MAX, f64::min),
                estimates.iter().copied().fold(0.0, f64::max),
            );
            assert!(most < least * 1.15, "{speeds:?}: {estimates:?}");
        }
    }
}

/// A run of a second is expected to be as slow as the disturbance, a long one hardly slower than
/// without it. Guards against moves away from a target that will be as fast as the others soon.
#[test]
fn a_disturbance_delays_a_short_run_as_a_whole_and_a_long_one_in_part() {
    let end = CYCLE_MS * 4 + 1_000;
    let estimate = observed(1.0, end, |_| 4, 0.0).estimate(USUAL_MS, 0.0, 4, Millis(end));
    let undisturbed = estimate.own_ms;
    assert!(estimate.run_ms(5.0) > 5.0 * undisturbed * 1.8);
    assert!(estimate.run_ms(400.0) < 400.0 * undisturbed * 1.15);
    let later = Millis(end + 10_000);
    let forgotten = observed(1.0, end, |_| 4, 0.0).estimate(USUAL_MS, 0.0, 4, later);
    assert!(
        (forgotten.recent_ms - forgotten.own_ms).abs() < 1e-9,
        "the disturbance has passed"
    );
}

/// Guards against a first impression that counts as the target's own speed.
#[test]
fn a_target_that_is_hardly_known_counts_as_the_others_do() {
    let estimate = observed(1.0, 1_000, |_| 4, 0.0).estimate(USUAL_MS, 0.0, 4, Millis(20_000));
    assert!(estimate.own_ms < USUAL_MS * 1.5, "{estimate:?}");
    let unknown = TargetSpeed::default().estimate(USUAL_MS, 0.0, 4, Millis(0));
    assert!((unknown.own_ms - USUAL_MS).abs() < 1e-9);
}

/// The influence of the load is found at targets that interleave their requests and not at others.
#[test]
fn the_influence_of_the_load_is_learnt() {
    let running = |now: u64| 1 + (now / 2_300 * 5 % 8) as u32;
    for slope in [0.0, 0.1] {
        let speeds = [0.7, 1.0, 1.7].map(|factor| observed(factor, 100_000, running, slope));
        let found = load_slope(&speeds);
        // At the mean load of 4.5 requests, one more adds this part of the interval.
        let expected = slope / (1.0 + 4.5 * slope);
        assert!((found - expected).abs() < 0.03, "{found} for {expected}");
    }
}
