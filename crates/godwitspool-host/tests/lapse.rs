//! Whether a removed entry may have expired in an outage of the store.

use godwitspool_host::version::Lapse;
use godwitspool_types::Millis;

#[test]
fn a_removal_two_seconds_after_the_store_has_returned_is_a_notice() {
    let mut lapse = Lapse::default();
    lapse.fail(Millis(1_000));
    lapse.succeed(Millis(1_300));
    lapse.succeed(Millis(2_500));
    assert_eq!(lapse.keep_until(Millis(3_299)), Some(Millis(3_300)));
    assert_eq!(lapse.keep_until(Millis(3_300)), None);
}

#[test]
fn a_read_that_hung_does_not_prolong_the_lapse() {
    let mut lapse = Lapse::default();
    lapse.fail(Millis(1_000));
    lapse.succeed(Millis(2_900));
    assert_eq!(lapse.keep_until(Millis(2_900)), Some(Millis(4_000)));
}

#[test]
fn a_second_outage_begins_another_lapse() {
    let mut lapse = Lapse::default();
    lapse.fail(Millis(1_000));
    lapse.succeed(Millis(1_100));
    lapse.fail(Millis(5_000));
    assert_eq!(lapse.keep_until(Millis(5_000)), None);
    lapse.succeed(Millis(5_200));
    assert_eq!(lapse.keep_until(Millis(5_200)), Some(Millis(7_200)));
}
