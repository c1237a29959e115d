//! Replays of load patterns against the decisions about suspected requests.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use godwitspool_host::{
    store::Record,
    version::{
        Fingerprint, Pacing, Standing, SuspectChange, SuspectRecord, Suspects, TargetEnd, Trial,
    },
};
use rstest::rstest;

fn print(body: &str) -> Fingerprint {
    Fingerprint::new(None, "POST", "a.example", "/i/x", body.as_bytes())
}

fn end(at_ms: u64, on_trial: bool) -> TargetEnd {
    TargetEnd { at_ms, on_trial }
}

fn trial(claim: u64, at_ms: u64, until_ms: u64) -> SuspectChange {
    SuspectChange::Trial(Trial {
        claim,
        target: "t-1".into(),
        at_ms,
        until_ms,
    })
}

/// The store in which all hosts append, and what each host knows by what it has read.
#[derive(Default)]
struct Hosts {
    log: Vec<Record>,
    hosts: Vec<Suspects>,
}

impl Hosts {
    fn new(count: usize) -> Self {
        Self {
            log: Vec::new(),
            hosts: vec![Suspects::default(); count],
        }
    }

    /// Appends a change, which all hosts read at once.
    fn append(&mut self, print: Fingerprint, change: SuspectChange, now_ms: u64) {
        let record = SuspectRecord { print, change };
        self.log.push(Record::try_from(&record).unwrap());
        for host in &mut self.hosts {
            let record = SuspectRecord::try_from(self.log.last().unwrap()).unwrap();
            host.apply(&record, now_ms);
        }
    }
}

/// A caller sends a request that ends its targets to one host after the other, and hosts ask for trials
/// at the same time. The number of ends stays bounded, however long it goes on.
#[test]
fn a_request_that_ends_each_target_is_tried_once_more_a_minute_then_each_ten() {
    let poison = print("poison");
    let mut hosts = Hosts::new(5);
    let mut ends = Vec::new();
    for (number, now_ms) in (0..1_800_000).step_by(500).enumerate() {
        let number = number as u64;
        match hosts.hosts[0].standing(poison, now_ms) {
            Standing::Clear | Standing::Watched => {
                ends.push(now_ms);
                hosts.append(
                    poison,
                    SuspectChange::Ended(number, end(now_ms, false)),
                    now_ms,
                );
            }
            Standing::Suspected => {
                for claim in [10 * number, 10 * number + 1] {
                    hosts.append(poison, trial(claim, now_ms, now_ms + 2_000), now_ms);
                }
                // The first claim in the store counts at all hosts.
                for host in &hosts.hosts {
                    let standing = host.standing(poison, now_ms);
                    assert_eq!(standing, Standing::OnTrial(10 * number));
                }
                ends.push(now_ms);
                hosts.append(
                    poison,
                    SuspectChange::Ended(number, end(now_ms, true)),
                    now_ms,
                );
            }
            Standing::OnTrial(_) => panic!("a trial has ended with its target"),
            Standing::Refused(until_ms) => assert!(until_ms > now_ms),
        }
    }
    assert_eq!(ends.len(), 6, "{ends:?}");
    assert_eq!(ends[..4], [0, 500, 1_000, 61_000]);
}

/// Targets end by themselves, with copies of a popular request in flight on each. One copy is answered,
/// and all run again at all hosts.
#[test]
fn an_answer_clears_a_sound_request_everywhere() {
    let sound = print("sound");
    let mut hosts = Hosts::new(3);
    for start in 0..4 {
        hosts.append(sound, SuspectChange::Ended(start, end(start, false)), start);
    }
    hosts.append(sound, trial(7, 10, 2_000), 10);
    assert_eq!(hosts.hosts[1].standing(sound, 11), Standing::OnTrial(7));
    let changes = hosts.hosts[2].clear(sound);
    for change in changes {
        hosts.append(change.print, change.change, 12);
    }
    for host in &hosts.hosts {
        assert_eq!(host.standing(sound, 12), Standing::Clear);
        assert!(host.is_empty());
    }
}

/// Several hosts notice the end of one target, under equal requests.
#[test]
fn an_end_that_several_hosts_notice_counts_once() {
    let sound = print("sound");
    let mut suspects = Suspects::default();
    for at_ms in 0..5 {
        suspects.observe(sound, 1, end(at_ms, false));
    }
    assert_eq!(suspects.standing(sound, 5), Standing::Watched);
}

/// A host dies with its trial.
#[test]
fn a_trial_that_nobody_ends_is_over_in_time() {
    let sound = print("sound");
    let mut hosts = Hosts::new(1);
    for start in 0..2 {
        hosts.append(sound, SuspectChange::Ended(start, end(0, false)), 0);
    }
    hosts.append(sound, trial(1, 0, 1_000), 0);
    hosts.append(sound, trial(2, 999, 2_000), 999);
    assert_eq!(hosts.hosts[0].standing(sound, 999), Standing::OnTrial(1));
    // Hosts that read at slightly different times agree: nobody asks for another one at once.
    assert_eq!(hosts.hosts[0].standing(sound, 1_499), Standing::OnTrial(1));
    assert_eq!(hosts.hosts[0].standing(sound, 1_500), Standing::Suspected);
    hosts.append(sound, trial(3, 1_500, 2_500), 1_500);
    assert_eq!(hosts.hosts[0].standing(sound, 1_500), Standing::OnTrial(3));
    // Only the holder of a trial ends it.
    hosts.append(sound, trial(2, 0, 0), 1_500);
    assert_eq!(hosts.hosts[0].standing(sound, 1_501), Standing::OnTrial(3));
    hosts.append(sound, trial(3, 0, 0), 1_501);
    assert_eq!(hosts.hosts[0].standing(sound, 1_501), Standing::Suspected);
}

/// Returns hosts that know of three ends under an item at time 0.
fn paced_hosts(item: Fingerprint, count: usize) -> Hosts {
    let mut hosts = Hosts::new(count);
    for start in 0..3 {
        hosts.append(item, SuspectChange::Ended(start, end(0, false)), 0);
    }
    hosts
}

/// The host that runs an item on trial extends its claim, then is killed. Whether the hosts' clocks agree
/// or not, nobody else starts the item while the claim is extended, and one host does soon afterwards.
#[rstest]
#[case::equal_clocks(0)]
#[case::a_clock_ahead(5_000)]
#[case::a_clock_behind(-3_000)]
fn a_claim_lasts_as_long_as_it_is_extended(#[case] ahead_ms: i64) {
    const KILLED: u64 = 20_000;
    let item = print("item");
    let mut hosts = paced_hosts(item, 3);
    let (mut runs, mut taken) = (false, None);
    for now_ms in (5_000..KILLED + 5_000).step_by(20) {
        // What the first host appends bears the time of its clock.
        let own_ms = now_ms.saturating_add_signed(ahead_ms);
        let first = &mut hosts.hosts[0];
        runs |= first.pace(item, 1, now_ms) == Pacing::Start;
        let extended = first.extend(item, 1, now_ms).map(|record| record.change);
        let change = match (first.pace(item, 1, now_ms), extended) {
            _ if now_ms >= KILLED => None,
            (_, Some(SuspectChange::Trial(extended))) => Some(extended),
            (Pacing::Claim(claimed), _) if !runs => Some(claimed),
            _ => None,
        };
        if let Some(claimed) = change {
            let lasts_ms = claimed.until_ms - claimed.at_ms;
            hosts.append(item, trial(1, own_ms, own_ms + lasts_ms), now_ms);
        }
        let claims: Vec<u64> = (2..=3)
            .filter(|claim| {
                let host = &hosts.hosts[*claim as usize - 1];
                matches!(host.pace(item, *claim, now_ms), Pacing::Claim(_))
            })
            .collect();
        for claim in claims {
            assert!(now_ms >= KILLED, "claimed at {now_ms} beside a run");
            hosts.append(item, trial(claim, now_ms, now_ms + 1_500), now_ms);
        }
        let starts = (2..=3).filter(|claim| {
            hosts.hosts[*claim as usize - 1].pace(item, *claim, now_ms) == Pacing::Start
        });
        let starts = starts.count();
        assert!(starts <= 1, "two hosts run the item");
        if starts == 1 {
            taken = Some(now_ms);
            break;
        }
    }
    // Of 5 s without a run after which an item counts as forgotten, the rest goes to the next owner.
    let taken = taken.expect("another host runs the item");
    assert!(taken <= KILLED + 2_500, "{taken}");
}

/// A host loses the store for some seconds, in which it reads no extension of another host's claim.
#[test]
fn a_claim_isnt_taken_for_its_silence_in_an_outage() {
    let item = print("item");
    let mut hosts = paced_hosts(item, 2);
    hosts.append(item, trial(1, 5_000, 6_500), 5_000);
    hosts.hosts[1].refresh_trials(12_000);
    // A claim that was made in the outage, and reaches the store before the next extension.
    hosts.append(item, trial(2, 8_000, 9_500), 12_000);
    assert_eq!(hosts.hosts[1].pace(item, 2, 12_000), Pacing::Wait(100));
}

/// All but one target of a service have ended. The last one is left to other requests for a while.
#[test]
fn the_only_sound_target_is_spared_for_some_seconds() {
    let poison = print("poison");
    let mut suspects = Suspects::default();
    suspects.observe(poison, 1, end(1_000, false));
    suspects.observe(poison, 2, end(1_100, false));
    assert!(suspects.may_try(poison, true, 1_200));
    assert!(!suspects.may_try(poison, false, 11_099));
    assert!(suspects.may_try(poison, false, 11_100));
}

/// A caller ends targets with ever new requests.
#[test]
fn ends_are_bounded_in_time_and_number() {
    let mut suspects = Suspects::default();
    for number in 0..20_000 {
        suspects.observe(print(&number.to_string()), number, end(number, false));
    }
    let removed = suspects.expire(20_000);
    // An end and the trial of each request beyond the maximum.
    assert_eq!(removed.len(), 2 * (20_000 - 16_384));
    assert!(removed.iter().all(|change| change.print != print("19999")));
    suspects.expire(1_000_000);
    assert!(suspects.is_empty());
}

#[rstest]
#[case::no_fingerprint("x", None)]
#[case::no_start("00000000000000ff/x", None)]
#[case::no_end("00000000000000ff/1", Some(vec![]))]
#[case::no_trial("00000000000000ff", Some(vec![1, 9]))]
fn a_record_that_cant_be_read_says_where(#[case] key: &str, #[case] value: Option<Vec<u8>>) {
    let record = Record {
        key: key.to_owned(),
        value,
    };
    let error = SuspectRecord::try_from(&record).unwrap_err();
    assert!(error.to_string().contains(key));
}
