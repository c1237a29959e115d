/// Number of low bits of an epoch that distinguish owners of the same generation.
const LOW_BITS: u32 = 16;
/// Maximum step from the epoch of a closed owner to that of its successor.
const MAX_STEP: u64 = 256;

/// Returns the generation of the hosts' group in which an owner with this epoch was assigned its partition.
pub(super) fn generation_of(epoch: u64) -> u64 {
    epoch >> LOW_BITS
}

/// Returns the epoch of a new owner of a partition in a generation of the hosts' group. It is higher
/// than those of earlier generations and than `last`, the epoch of an owner of this host that has
/// closed. Returns `None` if the generation has no higher one left. `draw` is a random number, so that
/// two owners don't share an epoch.
///
/// Load pattern: an owner closes while the store still assigns the partition to its host. The store
/// doesn't deal again, so nobody else will run the partition.
///
/// ```
/// use godwitspool_host::batch::next_epoch;
///
/// let first = next_epoch(3, None, 0x1_1234).unwrap();
/// assert_eq!(first, 0x3_1234);
/// assert_eq!(next_epoch(3, Some(first), 9), Some(first + 10));
/// assert_eq!(next_epoch(4, Some(first), 0), Some(0x4_0000));
/// assert_eq!(next_epoch(3, Some(0x3_ffff), 0), None);
/// ```
pub fn next_epoch(generation: u64, last: Option<u64>, draw: u64) -> Option<u64> {
    let low_mask = (1 << LOW_BITS) - 1;
    let base = generation << LOW_BITS;
    match last {
        Some(last) if last >= base => {
            let epoch = last + 1 + draw % MAX_STEP;
            let highest = base | low_mask;
            (last < highest).then(|| epoch.min(highest))
        }
        _ => Some(base | (draw & low_mask)),
    }
}
