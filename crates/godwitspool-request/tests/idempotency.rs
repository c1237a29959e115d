//! Idempotency keys.

use std::collections::{BTreeMap, BTreeSet};

use godwitspool_request::{ClaimAnswer, Fate, HandoverItem, IdempotencyKey, KeyHome};
use godwitspool_types::{HostName, Millis, Workspace};
use proptest::prelude::*;
use rstest::rstest;

fn key(text: &str) -> IdempotencyKey {
    IdempotencyKey {
        key: text.to_owned(),
        workspace: Workspace::from("weddings"),
    }
}

fn hosts(count: usize) -> Vec<HostName> {
    (0..count)
        .map(|host| HostName::from(format!("h{host}")))
        .collect()
}

#[test]
fn a_key_runs_once_and_is_answered_from_the_record() {
    let mut home = KeyHome::default();
    let (a, b) = (HostName::from("a"), HostName::from("b"));
    assert_eq!(home.claim(&key("k"), 1, &a, Millis(0)), ClaimAnswer::New);
    assert_eq!(
        home.claim(&key("k"), 1, &b, Millis(1)),
        ClaimAnswer::InProgress
    );
    assert_eq!(
        home.claim(&key("k"), 2, &b, Millis(1)),
        ClaimAnswer::Mismatch
    );
    home.settle(&key("k"), Fate::Done(b"ok".to_vec()));
    home.settle(&key("k"), Fate::Unknown);
    home.host_lost(&a);
    let answer = home.claim(&key("k"), 1, &b, Millis(2));
    assert_eq!(answer, ClaimAnswer::Done(b"ok".to_vec()));
    let other = IdempotencyKey {
        workspace: Workspace::from("banks"),
        ..key("k")
    };
    assert_eq!(home.claim(&other, 1, &b, Millis(2)), ClaimAnswer::New);
}

#[test]
fn an_answer_that_is_too_long_to_keep_leaves_the_fate_unknown() {
    let mut home = KeyHome::default();
    home.claim(&key("k"), 1, &HostName::from("a"), Millis(0));
    home.settle(
        &key("k"),
        Fate::Done(vec![0; KeyHome::MAX_ANSWER_BYTES + 1]),
    );
    let again = home.claim(&key("k"), 1, &HostName::from("a"), Millis(0));
    assert_eq!(again, ClaimAnswer::Unknown);
}

#[test]
fn a_release_frees_only_the_claim_of_its_own_host() {
    let mut home = KeyHome::default();
    let (a, b) = (HostName::from("a"), HostName::from("b"));
    home.claim(&key("k"), 1, &a, Millis(0));
    home.release(&key("k"), &b);
    assert_eq!(
        home.claim(&key("k"), 1, &b, Millis(0)),
        ClaimAnswer::InProgress
    );
    home.release(&key("k"), &a);
    assert_eq!(home.claim(&key("k"), 1, &b, Millis(0)), ClaimAnswer::New);
}

#[test]
fn what_ran_through_a_lost_host_has_an_unknown_fate() {
    let mut home = KeyHome::default();
    let (a, b) = (HostName::from("a"), HostName::from("b"));
    home.claim(&key("k"), 1, &a, Millis(0));
    home.claim(&key("l"), 1, &b, Millis(0));
    home.host_lost(&a);
    assert_eq!(
        home.claim(&key("k"), 1, &b, Millis(1)),
        ClaimAnswer::Unknown
    );
    assert_eq!(
        home.claim(&key("l"), 1, &a, Millis(1)),
        ClaimAnswer::InProgress
    );
}

#[rstest]
#[case(ClaimAnswer::Unknown, ClaimAnswer::Unknown)]
#[case(ClaimAnswer::InProgress, ClaimAnswer::InProgress)]
#[case(ClaimAnswer::Mismatch, ClaimAnswer::Mismatch)]
#[case(ClaimAnswer::New, ClaimAnswer::New)]
fn both_homes_have_to_say_new(#[case] other: ClaimAnswer, #[case] joined: ClaimAnswer) {
    assert_eq!(ClaimAnswer::New.join(other.clone()), joined);
    assert_eq!(other.join(ClaimAnswer::New), joined);
}

#[test]
fn losing_both_homes_makes_their_keys_unknown_and_no_others() {
    let members = hosts(9);
    let own = members[0].clone();
    let mut home = KeyHome::default();
    home.set_members(&own, members.clone(), &[], Millis(0));
    let lost = [members[3].clone(), members[4].clone()];
    let left: Vec<HostName> = members
        .iter()
        .filter(|host| !lost.contains(host))
        .cloned()
        .collect();
    // The two losses are detected one after the other.
    let first: Vec<HostName> = members
        .iter()
        .filter(|host| **host != lost[0])
        .cloned()
        .collect();
    home.set_members(&own, first, &lost[..1], Millis(100));
    home.set_members(&own, left, &lost[1..], Millis(4_000));
    for index in 0..300 {
        let key = key(&index.to_string());
        let gone = key
            .homes(&members)
            .into_iter()
            .all(|home| lost.contains(home));
        let answer = home.claim(&key, 1, &own, Millis(5_000));
        let expected = if gone {
            ClaimAnswer::Unknown
        } else {
            ClaimAnswer::New
        };
        assert_eq!(answer, expected);
    }
}

/// Home hosts in one process. A claim asks both homes of its key.
struct Fleet {
    homes: BTreeMap<HostName, KeyHome>,
    members: Vec<HostName>,
    now: Millis,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let members = hosts(count);
        let homes = members
            .iter()
            .map(|host| (host.clone(), KeyHome::default()));
        let mut fleet = Self {
            homes: homes.collect(),
            members: members.clone(),
            now: Millis(0),
        };
        fleet.change(&members, &[]);
        fleet
    }

    fn change(&mut self, members: &[HostName], lost: &[HostName]) {
        self.now = self.now + Millis(100);
        self.members = members.to_vec();
        let mut handed = Vec::new();
        for (host, home) in &mut self.homes {
            handed.extend(home.set_members(host, members.to_vec(), lost, self.now));
        }
        self.deliver(handed);
    }

    fn deliver(&mut self, handed: Vec<(HostName, HandoverItem)>) {
        for (to, record) in handed {
            if let Some(home) = self.homes.get_mut(&to) {
                home.accept(record, self.now);
            }
        }
    }

    fn join(&mut self, host: HostName) {
        self.homes.insert(host.clone(), KeyHome::default());
        let mut members = self.members.clone();
        members.push(host);
        self.change(&members, &[]);
    }

    fn crash(&mut self, gone: &[HostName]) {
        self.homes.retain(|host, _| !gone.contains(host));
        let members: Vec<HostName> = self
            .members
            .iter()
            .filter(|host| !gone.contains(host))
            .cloned()
            .collect();
        self.change(&members, gone);
    }

    fn leave(&mut self, host: &HostName) {
        let handed = self.homes[host].hand_over(host, self.now);
        self.deliver(handed);
        self.homes.remove(host);
        let members: Vec<HostName> = self
            .members
            .iter()
            .filter(|other| *other != host)
            .cloned()
            .collect();
        self.change(&members, &[]);
    }

    fn claim(&mut self, key: &IdempotencyKey, host: &HostName) -> ClaimAnswer {
        let mut answer = ClaimAnswer::New;
        let homes: Vec<HostName> = key.homes(&self.members).into_iter().cloned().collect();
        for home in homes {
            let home = self.homes.get_mut(&home).expect("homes are members");
            let reply = home.claim(key, 1, host, self.now);
            answer = answer.join(reply);
        }
        answer
    }
}

proptest! {
    /// No key runs twice while hosts join, leave with a handover, and crash one or two at a time.
    #[test]
    fn no_key_runs_twice(steps in prop::collection::vec((0..8_u8, 0..100_usize), 1..120)) {
        let mut fleet = Fleet::new(6);
        let mut ran = BTreeSet::new();
        let mut names = 6;
        for (kind, pick) in steps {
            let host = fleet.members[pick % fleet.members.len()].clone();
            match kind {
                0 if fleet.members.len() < 9 => {
                    fleet.join(HostName::from(format!("h{names}")));
                    names += 1;
                }
                1 if fleet.members.len() > 4 => fleet.crash(&[host]),
                2 if fleet.members.len() > 4 => {
                    let next = fleet.members[(pick + 1) % fleet.members.len()].clone();
                    fleet.crash(&[host, next]);
                }
                3 if fleet.members.len() > 3 => fleet.leave(&host),
                _ => {
                    let key = key(&(pick % 25).to_string());
                    if fleet.claim(&key, &host) == ClaimAnswer::New {
                        prop_assert!(ran.insert(key.clone()), "{key:?} ran twice");
                    }
                }
            }
        }
    }
}
