//! Expected lengths of items.

use godwitspool_host::batch::{ItemSpec, RouteLengths, Submission};

/// Guards against a new owner of a partition that takes a hint in tokens for a number of events: it waited
/// seconds for a fast target for items that it expected to take minutes.
#[test]
fn hints_are_relative_to_each_other_until_lengths_are_known() {
    let items = [400, 800, 1_200, 8_000].map(|hint| ItemSpec {
        hint: Some(hint),
        ..ItemSpec::default()
    });
    let submission = Submission {
        items: items.to_vec().into(),
        ..Submission::default()
    };
    let lengths = RouteLengths::default();
    let expected = |hint| lengths.events_left(&submission, Some(hint), 0);
    assert!(expected(400) < expected(1_200) && expected(1_200) < expected(8_000));
    let usual = lengths.usual(&submission);
    assert!(expected(8_000) < 4.0 * usual, "{}", expected(8_000));
}
