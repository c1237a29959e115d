//! Property tests: under random interleavings, batches are complete and fresh and delivered exactly
//! once.

mod world;

use proptest::prelude::*;

use world::{Op, World};

/// Operations with lost, duplicated and reordered messages, in which all hosts see the same live
/// hosts.
fn benign_ops() -> impl Strategy<Value = Op> {
    let at = 0..1_000_usize;
    prop_oneof![
        8 => at.clone().prop_map(Op::Deliver),
        1 => at.clone().prop_map(Op::Duplicate),
        1 => at.clone().prop_map(Op::Lose),
        6 => at.clone().prop_map(Op::Finish),
        2 => Just(Op::Tick),
        1 => Just(Op::Publish),
        8 => (0..3_usize, any::<bool>()).prop_map(|(host, lost)| Op::Trainer(host, lost)),
    ]
}

/// Like [`benign_ops`], but hosts may also consider running hosts down.
fn partition_ops() -> impl Strategy<Value = Op> {
    prop_oneof![
        20 => benign_ops(),
        2 => (0..3_usize, 0..4_usize).prop_map(|(host, down)| Op::Rank(host, down)),
    ]
}

/// Delivers messages until the home and the replica are established.
fn settle(world: &mut World) {
    for _ in 0..8 {
        (0..64).for_each(|_| world.run(Op::Deliver(0)));
        world.run(Op::Tick);
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_500))]

    #[test]
    fn a_host_failure_neither_loses_nor_changes_batches(
        before in prop::collection::vec(benign_ops(), 0..120),
        victim in 0..3_usize,
        second in 0..3_usize,
        is_noticed in any::<bool>(),
        after in prop::collection::vec(benign_ops(), 0..120),
    ) {
        let mut world = World::new();
        settle(&mut world);
        for op in before {
            world.run(op);
        }
        world.run(Op::Kill(victim, is_noticed));
        for op in after {
            world.run(op);
        }
        // The second host fails only after the first one has been replaced.
        world.heal();
        world.finish_all(2);
        settle(&mut world);
        world.run(Op::Kill(second, is_noticed));
        world.finish_all(4);
        world.trainer.check();
        prop_assert_eq!(world.trainer.lost_steps, 0);
        for digests in world.trainer.digests.values() {
            prop_assert_eq!(digests.len(), 1, "a step was delivered as two different batches");
        }
    }

    #[test]
    fn network_partitions_never_mix_batches(
        ops in prop::collection::vec(partition_ops(), 0..300),
    ) {
        let mut world = World::new();
        settle(&mut world);
        for op in ops {
            world.run(op);
        }
        world.finish_all(4);
        world.trainer.check();
    }
}

#[test]
fn one_host_is_home_and_one_other_holds_its_records() {
    let mut world = World::new();
    settle(&mut world);
    world.run(Op::Rank(0, 1));
    settle(&mut world);
    let holds: Vec<_> = world
        .hosts
        .iter()
        .map(|host| host.is_home() || host.is_replica())
        .collect();
    assert_eq!(holds, [true, false, true]);
}

#[test]
fn what_a_home_accepted_while_cut_off_is_merged() {
    let mut world = World::new();
    settle(&mut world);
    // Hosts 0 and 1 consider each other down, and host 2 still receives messages from both.
    world.run(Op::Rank(1, 0));
    world.deliver_all();
    world.run(Op::Trainer(1, false));
    world.deliver_all();
    assert!(world.hosts[1].is_home());
    world.run(Op::Rank(0, 1));
    settle(&mut world);
    world.heal();
    settle(&mut world);
    world.finish_all(1);
    assert!(world.hosts[0].is_home());
    assert_eq!(world.trainer.lost_steps, 0);
}

#[test]
fn a_former_replica_never_wins_over_the_present_one() {
    let mut world = World::new();
    settle(&mut world);
    world.run(Op::Rank(0, 1));
    settle(&mut world);
    assert!(world.hosts[2].is_replica());
    // Host 1 becomes replica again. Host 2 never receives the message to drop its steps.
    world.heal();
    for _ in 0..8 {
        world.lose_to(2);
        world.run(Op::Deliver(0));
    }
    assert!(world.hosts[1].is_replica() && world.hosts[2].is_replica());
    world.run(Op::Trainer(0, false));
    world.lose_to(2);
    world.run(Op::Deliver(0));
    world.run(Op::Deliver(0));
    world.run(Op::Rank(2, 0));
    world.deliver_all();
    world.run(Op::Kill(0, true));
    world.finish_all(1);
    assert_eq!(world.trainer.lost_steps, 0);
}

#[test]
fn homes_that_began_alone_become_one_and_lose_nothing() {
    let mut world = World::new();
    // Before any message is delivered, each host considers the others down.
    for host in 0..3 {
        world.isolate(host);
    }
    world.run(Op::Trainer(0, false));
    world.heal();
    settle(&mut world);
    world.finish_all(1);
    assert_eq!(world.trainer.lost_steps, 0);
    let homes = world.hosts.iter().filter(|host| host.is_home());
    assert_eq!(homes.count(), 1);
}
