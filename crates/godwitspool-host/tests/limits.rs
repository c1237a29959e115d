//! Permits for targets that have named a limit, under demand far above it.

use godwitspool_host::version::{Limiter, Permit};
use godwitspool_types::{Millis, TargetName};
use rstest::rstest;

/// Asks for a permit each 5 ms from `from` to `to` and returns the times of those that were granted.
fn press(limiter: &mut Limiter, limit: f64, stands_in: bool, from: u64, to: u64) -> Vec<u64> {
    let target = TargetName::from("t-1");
    let times = (from..to).step_by(5);
    times
        .filter(|now| {
            let permit = limiter.take(&target, limit, Millis::ZERO, stands_in, Millis(*now));
            permit == Permit::Granted
        })
        .collect()
}

/// Returns the largest number of permits within 4 s.
fn most_in_window(mut granted: Vec<u64>) -> usize {
    granted.sort_unstable();
    let counts = granted.iter().enumerate().map(|(first, begin)| {
        let window = granted[first..].iter();
        window.take_while(|at| **at < begin + 4_000).count()
    });
    counts.max().unwrap_or_default()
}

#[rstest]
#[case(0.3)]
#[case(1.0)]
#[case(3.4)]
#[case(20.0)]
fn a_home_gives_out_what_the_limit_allows(#[case] limit: f64) {
    let granted = press(&mut Limiter::default(), limit, false, 0, 20_000);
    assert!(granted.len() as f64 >= limit * 20.0 * 0.9 - 1.0);
    assert!(most_in_window(granted) as f64 <= limit * 4.5 + 2.0);
}

/// A home is cut off from half of the hosts, for which another host stands in, and a third host succeeds
/// it before either notices.
#[rstest]
#[case(1.0)]
#[case(3.4)]
#[case(20.0)]
fn a_home_its_stand_in_and_its_successor_together_stay_within_the_rule(#[case] limit: f64) {
    let mut granted = press(&mut Limiter::default(), limit, false, 0, 10_000);
    granted.extend(press(&mut Limiter::default(), limit, true, 3_000, 12_000));
    granted.extend(press(&mut Limiter::default(), limit, false, 10_000, 20_000));
    assert!(most_in_window(granted) as f64 <= limit * 1.5 * 4.0 + 5.0);
}

/// Without a request nobody would learn that the need is over.
#[test]
fn a_limit_of_zero_still_permits_a_request_now_and_then() {
    let granted = press(&mut Limiter::default(), 0.0, false, 0, 20_000);
    assert!((4..=6).contains(&granted.len()), "{granted:?}");
}

#[test]
fn a_limit_ends_for_hosts_that_heard_of_it_earlier() {
    let mut limiter = Limiter::default();
    let target = TargetName::from("t-1");
    let ask = |limiter: &mut Limiter, named_at, now| {
        limiter.take(&target, 1.0, Millis(named_at), false, Millis(now))
    };
    assert_eq!(ask(&mut limiter, 100, 200), Permit::Later(Millis(1_000)));
    limiter.end(&target, Millis(500));
    assert_eq!(ask(&mut limiter, 100, 600), Permit::Unlimited);
    assert_ne!(ask(&mut limiter, 700, 800), Permit::Unlimited);
    limiter.end(&target, Millis(500));
    assert_ne!(ask(&mut limiter, 100, 900), Permit::Unlimited, "an old end");
}
