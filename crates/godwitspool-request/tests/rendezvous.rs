//! Home hosts found by rendezvous hashing.

use godwitspool_request::{homes, stable_hash};
use proptest::prelude::*;

fn home(key: u64, members: &[String]) -> Vec<String> {
    let found = homes(key, members, String::as_str, 2);
    found.into_iter().cloned().collect()
}

#[test]
fn hashes_are_the_same_in_every_build() {
    // Hosts of two releases run side by side during an upgrade and must agree on the homes.
    assert_eq!(stable_hash(b"godwitspool"), 3_539_889_116_054_760_357);
}

proptest! {
    #[test]
    fn a_leaving_member_moves_only_its_own_keys(key: u64, count in 3..20_usize, gone in 0..20_usize) {
        let members: Vec<String> = (0..count).map(|host| format!("host-{host}")).collect();
        let gone = members[gone % count].clone();
        let left: Vec<String> = members.iter().filter(|host| **host != gone).cloned().collect();
        let before = home(key, &members);
        let after = home(key, &left);
        if before.contains(&gone) {
            let stays = before.iter().find(|host| **host != gone).unwrap();
            prop_assert!(after.contains(stays));
        } else {
            prop_assert_eq!(before, after);
        }
    }
}

#[test]
fn keys_spread_evenly() {
    let members: Vec<String> = (0..11).map(|host| format!("host-{host}")).collect();
    let mut counts = [0; 11];
    for key in 0..11_000_u64 {
        let key = stable_hash(&key.to_le_bytes());
        let first = &home(key, &members)[0];
        counts[members.iter().position(|host| host == first).unwrap()] += 1;
    }
    assert!(
        counts.iter().all(|&count| (850..1_150).contains(&count)),
        "{counts:?}"
    );
}
