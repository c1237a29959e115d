//! Streams that are put together from several targets.

use godwitspool_request::{Piece, Stitch, Stitched};
use proptest::prelude::*;

fn piece(attempt: u32, index: u32, last: bool) -> Piece {
    Piece {
        attempt,
        index,
        text: format!("t{index}"),
        last,
    }
}

#[test]
fn a_gap_is_never_passed_on() {
    let mut stitch = Stitch::default();
    assert_eq!(stitch.push(&piece(0, 1, true)), Stitched::Gap);
    assert!(!stitch.is_finished());
    let only_end = Piece {
        index: 1,
        last: true,
        ..Piece::default()
    };
    assert_eq!(stitch.push(&only_end), Stitched::Gap);
    stitch.terminate(0);
    assert!(!stitch.is_whole());
}

#[test]
fn only_a_named_end_and_the_terminator_make_an_answer_whole() {
    let mut stitch = Stitch::default();
    stitch.push(&piece(0, 0, false));
    stitch.terminate(0);
    assert!(!stitch.is_whole());
    stitch.restart();
    stitch.push(&piece(1, 1, true));
    stitch.terminate(0);
    assert!(
        !stitch.is_whole(),
        "a terminator of an old stream ends nothing"
    );
    stitch.terminate(1);
    assert!(stitch.is_whole());
}

#[derive(Clone, Debug)]
enum Step {
    Push(u32, u32),
    Restart,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        9 => (0..4_u32, 0..12_u32).prop_map(|(attempt, index)| Step::Push(attempt, index)),
        1 => Just(Step::Restart),
    ]
}

proptest! {
    /// Whatever comes late, twice or crossed: the caller gets tokens 0, 1, 2 … each once, and only
    /// from the attempt that is current.
    #[test]
    fn no_token_twice_or_missing(steps in prop::collection::vec(step(), 0..400)) {
        let mut stitch = Stitch::default();
        let (mut seen, mut current) = (Vec::new(), 0);
        for step in steps {
            match step {
                Step::Restart => current = stitch.restart(),
                Step::Push(attempt, index) => {
                    let piece = piece(attempt, index, false);
                    if stitch.push(&piece) == Stitched::Next {
                        prop_assert_eq!(attempt, current);
                        seen.push(piece.text);
                    }
                }
            }
        }
        let whole: Vec<String> = (0..seen.len()).map(|index| format!("t{index}")).collect();
        prop_assert_eq!(&seen, &whole);
        prop_assert_eq!(stitch.tokens(), &whole[..]);
    }
}
