//! Rendezvous hashing: all hosts find the same home hosts for a key without coordination.

use rapidhash::v3::rapidhash_v3;

/// Hashes bytes with the same result on every host and in every release.
///
/// ```
/// use godwitspool_request::stable_hash;
///
/// assert_eq!(stable_hash(b"nyarugenge"), stable_hash(b"nyarugenge"));
/// ```
pub fn stable_hash(bytes: &[u8]) -> u64 {
    rapidhash_v3(bytes)
}

/// Combines a key's hash and a member's hash into the member's weight for the key.
///
/// ```
/// use godwitspool_request::rendezvous_weight;
///
/// assert_ne!(rendezvous_weight(1, 2), rendezvous_weight(2, 2));
/// ```
pub fn weight(key: u64, member: u64) -> u64 {
    let mut mixed = key ^ member.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Returns at most `count` members, those with the highest weights for a key, in descending order
/// of weight.
///
/// A member that joins or leaves moves only the keys whose homes include it.
///
/// ```
/// use godwitspool_request::homes;
/// use godwitspool_types::HostName;
///
/// let members = ["a", "b", "c"].map(HostName::from);
/// let two = homes(7, &members, HostName::as_str, 2);
/// assert_eq!(two.len(), 2);
/// assert_ne!(two[0], two[1]);
/// ```
pub fn homes<T>(key: u64, members: &[T], name: impl Fn(&T) -> &str, count: usize) -> Vec<&T> {
    let mut ranked: Vec<(u64, &T)> = members
        .iter()
        .map(|member| (weight(key, stable_hash(name(member).as_bytes())), member))
        .collect();
    ranked.sort_by_key(|&(weight, _)| std::cmp::Reverse(weight));
    ranked
        .into_iter()
        .take(count)
        .map(|(_, member)| member)
        .collect()
}
