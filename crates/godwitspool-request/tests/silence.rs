//! Idle bounds learnt from the pace of streams.

use godwitspool_request::{Line, LineAction, Pace, Wait, decide_silence};
use godwitspool_types::Millis;
use rand::{Rng, SeedableRng, rngs::StdRng};
use rstest::rstest;

fn learnt(gaps: impl IntoIterator<Item = u64>) -> Pace {
    let mut pace = Pace::new(Wait::Next);
    gaps.into_iter().for_each(|gap| pace.observe(Millis(gap)));
    pace
}

#[test]
fn a_stream_of_fifty_milliseconds_is_found_silent_within_two_seconds() {
    let mut rng = StdRng::seed_from_u64(5);
    let pace = learnt((0..200).map(|_| rng.random_range(30..=120)));
    assert!(pace.bound() < Millis(2_000), "{}", pace.bound());
    let fresh = Pace::like(&pace);
    assert!(fresh.bound() < Millis(2_000));
}

#[rstest]
#[case(400)]
#[case(1_000)]
#[case(3_000)]
fn slow_streams_are_not_cut(#[case] mean_ms: u64) {
    let mut rng = StdRng::seed_from_u64(mean_ms);
    for _ in 0..2_000 {
        let mut pace = Pace::new(Wait::Next);
        for _ in 0..100 {
            // Exponential gaps: bursts and long pauses.
            let gap = (-(1.0 - rng.random::<f64>()).ln() * mean_ms as f64) as u64;
            assert!(Millis(gap) <= pace.bound(), "{gap} ms cut");
            pace.observe(Millis(gap));
        }
    }
}

#[test]
fn an_unknown_pace_is_given_time() {
    assert_eq!(learnt([50; 7]).bound(), Millis(60_000));
    assert_eq!(learnt([50; 8]).bound(), Millis(2_500));
    assert_eq!(learnt([50; 80]).bound(), Millis(1_375));
}

#[test]
fn one_pause_raises_the_bound_and_fades() {
    let mut pace = learnt([50; 50]);
    pace.observe(Millis(900));
    assert!(pace.bound() >= Millis(5_400));
    (0..900).for_each(|_| pace.observe(Millis(50)));
    assert!(pace.bound() < Millis(2_000));
}

#[test]
fn only_the_silent_connection_is_condemned_and_quiet_siblings_are_probed() {
    let pace = learnt([50; 80]);
    let line = |id, heard, pace: Option<&Pace>| Line {
        id,
        heard: Millis(heard),
        pace: pace.cloned(),
    };
    let lines = [
        line(1, 0, Some(&pace)),
        line(2, 700, Some(&pace)),
        line(3, 1_300, Some(&pace)),
        line(4, 1_375, None),
    ];
    assert_eq!(decide_silence(&lines, Millis(1_375)), []);
    assert_eq!(
        decide_silence(&lines, Millis(1_400)),
        [
            LineAction::Condemn(1),
            LineAction::Probe(2),
            LineAction::Probe(4)
        ],
    );
}
