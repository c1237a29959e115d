use super::{Submission, groups};

/// Estimated length of an item without a hint, as a share of [`super::ItemSpec::tokens`].
const UNHINTED_SHARE: f64 = 0.25;

/// Returns the number of tokens that an item is expected to generate.
pub fn predicted_tokens(submission: &Submission, item: usize) -> u64 {
    let item = &submission.items[item];
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
///     items: vec![item("huge", 900), item("short", 10), item("long", 90)],
///     ..Submission::default()
/// };
/// assert_eq!(order_items(&submission), [2, 1, 0]);
/// ```
pub fn order_items(submission: &Submission) -> Vec<usize> {
    rank_items(submission).0
}

/// Returns how many items of [`order_items`], from its beginning, are of the wanted groups.
pub fn wanted_items(submission: &Submission) -> usize {
    rank_items(submission).1
}

fn rank_items(submission: &Submission) -> (Vec<usize>, usize) {
    let mut ranked: Vec<(u64, usize, Vec<usize>)> = groups(&submission.items)
        .into_values()
        .map(|items| {
            let longest = items
                .iter()
                .map(|item| predicted_tokens(submission, *item))
                .max();
            (longest.unwrap_or_default(), items[0], items)
        })
        .collect();
    ranked.sort_by_key(|(longest, first, _)| (*longest, *first));
    let wanted = (submission.wanted_groups as usize).min(ranked.len());
    let rest = ranked.split_off(wanted);
    let wanted_items = ranked.iter().map(|(_, _, items)| items.len()).sum();
    let longest_first = ranked.into_iter().rev();
    let mut order = Vec::with_capacity(submission.items.len());
    for (_, _, mut items) in longest_first.chain(rest) {
        items.sort_by_key(|item| std::cmp::Reverse(predicted_tokens(submission, *item)));
        order.extend(items);
    }
    (order, wanted_items)
}
