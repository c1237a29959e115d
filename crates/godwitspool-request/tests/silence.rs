//! Idle timeouts learnt from the gaps between the bytes of streams.

use godwitspool_request::{
    ConnectionAction, ConnectionState, IdleTimeout, Wait, check_idle_connections,
};
use godwitspool_types::Millis;
use rand::{Rng, SeedableRng, rngs::StdRng};
use rstest::rstest;

fn learnt(gaps: impl IntoIterator<Item = u64>) -> IdleTimeout {
    let mut timeout = IdleTimeout::new(Wait::NextByte);
    gaps.into_iter()
        .for_each(|gap| timeout.observe(Millis(gap)));
    timeout
}

#[test]
fn a_stream_with_gaps_of_fifty_milliseconds_times_out_within_two_seconds() {
    let mut rng = StdRng::seed_from_u64(5);
    let timeout = learnt((0..200).map(|_| rng.random_range(30..=120)));
    assert!(timeout.current() < Millis(2_000), "{}", timeout.current());
    let fresh = IdleTimeout::seeded_from(&timeout);
    assert!(fresh.current() < Millis(2_000));
}

#[rstest]
#[case(400)]
#[case(1_000)]
#[case(3_000)]
fn slow_streams_are_not_cut(#[case] mean_ms: u64) {
    let mut rng = StdRng::seed_from_u64(mean_ms);
    for _ in 0..2_000 {
        let mut timeout = IdleTimeout::new(Wait::NextByte);
        for _ in 0..100 {
            // Exponentially distributed gaps: bursts and long pauses.
            let gap = (-(1.0 - rng.random::<f64>()).ln() * mean_ms as f64) as u64;
            assert!(
                Millis(gap) <= timeout.current(),
                "a live stream was cut after a gap of {gap} ms"
            );
            timeout.observe(Millis(gap));
        }
    }
}

#[test]
fn the_timeout_shrinks_as_gaps_become_known() {
    assert_eq!(learnt([50; 7]).current(), Millis(60_000));
    assert_eq!(learnt([50; 8]).current(), Millis(2_500));
    assert_eq!(learnt([50; 80]).current(), Millis(1_375));
}

#[test]
fn one_pause_raises_the_bound_and_fades() {
    let mut timeout = learnt([50; 50]);
    timeout.observe(Millis(900));
    assert!(timeout.current() >= Millis(5_400));
    (0..900).for_each(|_| timeout.observe(Millis(50)));
    assert!(timeout.current() < Millis(2_000));
}

#[test]
fn only_the_silent_connection_is_closed_and_idle_siblings_are_probed() {
    let timeout = learnt([50; 80]);
    let connection = |id, last_byte, timeout: Option<&IdleTimeout>| ConnectionState {
        id,
        last_byte: Millis(last_byte),
        timeout: timeout.cloned(),
    };
    let connections = [
        connection(1, 0, Some(&timeout)),
        connection(2, 700, Some(&timeout)),
        connection(3, 1_300, Some(&timeout)),
        connection(4, 1_375, None),
    ];
    assert_eq!(check_idle_connections(&connections, Millis(1_375)), []);
    assert_eq!(
        check_idle_connections(&connections, Millis(1_400)),
        [
            ConnectionAction::Close(1),
            ConnectionAction::Probe(2),
            ConnectionAction::Probe(4)
        ],
    );
}
