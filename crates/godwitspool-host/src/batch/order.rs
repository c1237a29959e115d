use super::{Groups, ItemView, Submission};

/// Estimated length of an item without a hint, as a share of [`super::ItemSpec::tokens`].
const UNHINTED_SHARE: f64 = 0.25;

/// Returns the number of tokens that an item is expected to generate.
pub fn predicted_tokens(item: &ItemView<'_>) -> u64 {
    let most = item.tokens as f64;
    item.hint.unwrap_or((most * UNHINTED_SHARE) as u64)
}

/// Returns the order in which a batch's items start.
///
/// Load pattern: a batch has more items than there are free slots, lengths have a heavy tail, and
/// the trainer waits for a share of the groups only. A group is complete when its longest item is
/// done. The groups with the shortest longest item fill the wanted number; the others start after
/// them. Among the wanted groups the longest start first, so that no long item is left running
/// alone at the end. Items of a group start next to each other, so that targets can reuse their
/// prompt.
///
/// ```
/// use godwitspool_host::batch::{ItemSpec, Submission, order_items};
///
/// let item = |group: &str, hint| ItemSpec {
///     group: group.to_owned(),
///     hint: Some(hint),
///     ..ItemSpec::default()
/// };
/// let submission = Submission {
///     wanted_groups: 2,
///     items: vec![item("huge", 900), item("short", 10), item("long", 90)].into(),
///     ..Submission::default()
/// };
/// assert_eq!(order_items(&submission), [2, 1, 0]);
/// ```
pub fn order_items(submission: &Submission) -> Vec<u32> {
    rank_items(submission, &Groups::of(&submission.items)).0
}

/// Returns the order in which the items start, given with their groups, and how many items are of the wanted
/// groups, which come first.
pub(super) fn rank_items(submission: &Submission, groups: &Groups) -> (Vec<u32>, usize) {
    let tokens: Vec<u64> = submission
        .items
        .iter()
        .map(|item| predicted_tokens(&item))
        .collect();
    let predicted = |item: &u32| tokens[*item as usize];
    let mut ranked: Vec<(u64, u32, u32)> = groups
        .members()
        .zip(0..)
        .map(|(items, number)| {
            let longest = items.iter().map(predicted).max();
            (longest.unwrap_or_default(), items[0], number)
        })
        .collect();
    ranked.sort_unstable();
    let wanted = (submission.wanted_groups as usize).min(ranked.len());
    let (wanted, rest) = ranked.split_at(wanted);
    let members = |(_, _, number): &(u64, u32, u32)| groups.group(*number as usize);
    let wanted_items = wanted.iter().map(|group| members(group).len()).sum();
    let mut order = Vec::with_capacity(submission.items.len());
    for group in wanted.iter().rev().chain(rest) {
        let begin = order.len();
        order.extend_from_slice(members(group));
        order[begin..].sort_by_key(|item| std::cmp::Reverse(predicted(item)));
    }
    (order, wanted_items)
}
