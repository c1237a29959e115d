//! Selects the hosts that store a trainer's steps.

use godwitspool_types::{HostName, TrainerName};
use rapidhash::v3::rapidhash_v3;

/// Ranks hosts for a trainer by rendezvous hashing. The first is the home, the second the replica.
///
/// A host that joins or leaves does not change the relative order of the others, so a trainer moves
/// only if that host is its home or its replica.
///
/// ```
/// use godwitspool_rollout::rank_hosts;
///
/// let ranked = rank_hosts(&"t".into(), ["a", "b", "c"].map(Into::into));
/// assert_eq!(ranked, rank_hosts(&"t".into(), ["c", "a", "b"].map(Into::into)));
/// ```
pub fn rank_hosts(
    trainer: &TrainerName,
    hosts: impl IntoIterator<Item = HostName>,
) -> Vec<HostName> {
    let mut ranked: Vec<_> = hosts
        .into_iter()
        .map(|host| (weight(trainer, &host), host))
        .collect();
    ranked.sort_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, host)| host).collect()
}

fn weight(trainer: &TrainerName, host: &HostName) -> u64 {
    rapidhash_v3(format!("{trainer}\0{host}").as_bytes())
}
