//! Answers assembled from the streams of several attempts.

use godwitspool_request::{AnswerAssembler, StreamToken, TokenOutcome};
use proptest::prelude::*;

fn token(attempt: u32, index: u32, last: bool) -> StreamToken {
    StreamToken {
        attempt,
        index,
        text: format!("t{index}"),
        last,
    }
}

#[test]
fn a_gap_is_never_passed_on() {
    let mut assembler = AnswerAssembler::default();
    assert_eq!(assembler.push(&token(0, 1, true)), TokenOutcome::Gap);
    assert!(!assembler.is_finished());
    let only_end = StreamToken {
        index: 1,
        last: true,
        ..StreamToken::default()
    };
    assert_eq!(assembler.push(&only_end), TokenOutcome::Gap);
    assembler.terminate(0);
    assert!(!assembler.is_complete());
}

#[test]
fn only_a_named_end_and_the_terminator_make_an_answer_whole() {
    let mut assembler = AnswerAssembler::default();
    assembler.push(&token(0, 0, false));
    assembler.terminate(0);
    assert!(!assembler.is_complete());
    assembler.restart();
    assembler.push(&token(1, 1, true));
    assembler.terminate(0);
    assert!(
        !assembler.is_complete(),
        "the terminator of an earlier attempt does not complete the answer"
    );
    assembler.terminate(1);
    assert!(assembler.is_complete());
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
    /// The caller gets tokens 0, 1, 2 and so on exactly once and only from the current attempt,
    /// even if chunks arrive late, repeatedly or out of order.
    #[test]
    fn no_token_twice_or_missing(steps in prop::collection::vec(step(), 0..400)) {
        let mut assembler = AnswerAssembler::default();
        let (mut seen, mut current) = (Vec::new(), 0);
        for step in steps {
            match step {
                Step::Restart => current = assembler.restart(),
                Step::Push(attempt, index) => {
                    let token = token(attempt, index, false);
                    if assembler.push(&token) == TokenOutcome::Next {
                        prop_assert_eq!(attempt, current);
                        seen.push(token.text);
                    }
                }
            }
        }
        let whole: Vec<String> = (0..seen.len()).map(|index| format!("t{index}")).collect();
        prop_assert_eq!(&seen, &whole);
        prop_assert_eq!(assembler.tokens(), &whole[..]);
    }
}
