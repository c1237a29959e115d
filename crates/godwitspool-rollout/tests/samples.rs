//! Tests of spans, version order, answer lengths, batch digests and placement.

use godwitspool_rollout::{
    Batch, Freshness, Lengths, Sample, SampleId, Score, Tokens, VersionOrder, rank_hosts,
};
use godwitspool_types::HostName;
use proptest::prelude::*;

fn order(versions: &[&str]) -> VersionOrder {
    let mut order = VersionOrder::default();
    for version in versions {
        order.publish(&(*version).into());
    }
    order
}

proptest! {
    #[test]
    fn spans_name_the_version_of_every_token(versions in prop::collection::vec(0..4_u32, 0..64)) {
        let mut sample = Sample::new(SampleId::default());
        for version in &versions {
            sample.push("é", &format!("v{version}").as_str().into());
        }
        prop_assert!(sample.is_consistent());
        let named = sample.spans.iter().flat_map(|span| {
            std::iter::repeat_n(span.version.to_string(), span.tokens as usize)
        });
        let expected = versions.iter().map(|version| format!("v{version}"));
        prop_assert_eq!(named.collect::<Vec<_>>(), expected.collect::<Vec<_>>());
    }

    #[test]
    fn tokens_come_back_as_they_went_in(texts in prop::collection::vec(".{0,4}", 0..32)) {
        let tokens: Tokens = texts.iter().map(String::as_str).collect();
        prop_assert_eq!(tokens.iter().collect::<Vec<_>>(), texts);
    }

    #[test]
    fn a_host_that_leaves_moves_only_its_trainers(trainer in "[a-z]{1,8}", gone in 0..11_usize) {
        let hosts: Vec<HostName> = (0..11).map(|host| format!("h{host}").into()).collect();
        let trainer = trainer.into();
        let before = rank_hosts(&trainer, hosts.clone());
        let rest = hosts.iter().filter(|host| **host != hosts[gone]).cloned();
        let mut expected = before;
        expected.retain(|host| *host != hosts[gone]);
        prop_assert_eq!(rank_hosts(&trainer, rest), expected);
    }
}

#[test]
fn homes_are_spread_evenly() {
    let hosts: Vec<HostName> = (0..4).map(|host| format!("h{host}").into()).collect();
    let homes = (0..1_000).map(|t| rank_hosts(&format!("t{t}").into(), hosts.clone()).remove(0));
    let first = homes.filter(|home| *home == hosts[0]).count();
    assert!((200..300).contains(&first), "{first}");
}

#[test]
fn the_worst_span_determines_freshness() {
    let order = order(&["v1", "v2", "v3"]);
    let mut sample = Sample::new(SampleId::default());
    sample.push("a", &"v3".into());
    assert_eq!(
        order.sample_freshness(&sample, 0),
        Freshness::Fresh { age: 0 }
    );
    sample.push("b", &"v2".into());
    assert_eq!(
        order.sample_freshness(&sample, 1),
        Freshness::Fresh { age: 1 }
    );
    assert_eq!(
        order.sample_freshness(&sample, 0),
        Freshness::TooOld { age: 1 }
    );
    sample.push("c", &"other".into());
    assert_eq!(order.sample_freshness(&sample, 1), Freshness::Unknown);
    sample.push("d", &"v1".into());
    assert_eq!(
        order.sample_freshness(&sample, 1),
        Freshness::TooOld { age: 2 }
    );
}

#[test]
fn a_version_published_again_is_new_again() {
    let order = order(&["v1", "v2", "v1"]);
    assert_eq!(order.newest(), Some(&"v1".into()));
    assert_eq!(
        order.freshness(&"v2".into(), 0),
        Freshness::TooOld { age: 1 }
    );
}

#[test]
fn an_order_catches_up_with_a_longer_one_and_never_goes_back() {
    let mut behind = order(&["v1", "v2"]);
    behind.catch_up(&order(&["v2", "v3"]));
    assert_eq!(behind, order(&["v1", "v2", "v3"]));
    behind.catch_up(&order(&["v2"]));
    assert_eq!(behind, order(&["v1", "v2", "v3"]));
    behind.catch_up(&order(&["v7"]));
    assert_eq!(behind.newest(), Some(&"v7".into()));
}

#[test]
fn a_batch_digest_covers_tokens_versions_and_scores() {
    let mut sample = Sample::new(SampleId::default());
    sample.push("a", &"v1".into());
    let digest = |sample: &Sample| Batch::new(vec![sample.clone().into()]).digest;
    let mut others = [sample.clone(), sample.clone(), sample.clone()];
    others[0].push("b", &"v1".into());
    others[1].spans[0].version = "v2".into();
    others[2].score = Score::Value(0.5);
    for other in &others {
        assert_ne!(digest(other), digest(&sample));
    }
}

#[test]
fn expected_remaining_grows_with_the_current_length() {
    let mut lengths = Lengths::default();
    (0..980).for_each(|_| lengths.add(200));
    (0..20).for_each(|_| lengths.add(2_000));
    assert!((lengths.mean() - 236.0).abs() < 5.0);
    assert!((lengths.expected_remaining(0) - 236.0).abs() < 5.0);
    assert!((lengths.expected_remaining(300) - 1_700.0).abs() < 20.0);
    assert!(
        (lengths.expected_remaining(5_000) - 5_000.0).abs() < 1.0,
        "longer than any recorded answer"
    );
}
