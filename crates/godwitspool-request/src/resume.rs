//! Joins the streams of several targets into one whole answer.

/// A chunk of a target's stream.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StreamToken {
    /// Attempt whose stream carried the chunk, from 0.
    pub attempt: u32,
    /// Index of the token in the whole answer, from 0.
    pub index: u32,
    /// Text of the token; empty in a chunk that only ends the stream.
    pub text: String,
    /// Whether the chunk names a proper end.
    pub last: bool,
}

/// What becomes of a chunk.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TokenOutcome {
    /// The chunk belongs to a stream that is over, or repeats a token: it is dropped.
    Dropped,
    /// Tokens are missing before the chunk: the stream can't be used any further.
    Gap,
    /// The chunk's token is the next one for the caller.
    Next,
    /// The chunk carries no token.
    Nothing,
}

/// An answer that is put together from the streams of one or several targets.
///
/// ```
/// use godwitspool_request::{AnswerAssembler, StreamToken, TokenOutcome};
///
/// let mut assembler = AnswerAssembler::default();
/// let token = StreamToken { text: "dye".to_owned(), ..StreamToken::default() };
/// assert_eq!(assembler.push(&token), TokenOutcome::Next);
/// assert_eq!(assembler.push(&token), TokenOutcome::Dropped);
/// assert_eq!(assembler.tokens(), ["dye"]);
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AnswerAssembler {
    attempt: u32,
    finished: bool,
    terminated: bool,
    tokens: Vec<String>,
}

impl AnswerAssembler {
    /// Takes a chunk; a token that is [`TokenOutcome::Next`] is passed on to the caller.
    pub fn push(&mut self, token: &StreamToken) -> TokenOutcome {
        if token.attempt != self.attempt || self.finished {
            return TokenOutcome::Dropped;
        }
        let next = self.tokens.len() as u32;
        let outcome = match (token.text.is_empty(), token.index) {
            (true, index) if index > next => TokenOutcome::Gap,
            (true, _) => TokenOutcome::Nothing,
            (false, index) if index > next => TokenOutcome::Gap,
            (false, index) if index < next => TokenOutcome::Dropped,
            (false, _) => TokenOutcome::Next,
        };
        if outcome == TokenOutcome::Next {
            self.tokens.push(token.text.clone());
        }
        self.finished = token.last && outcome != TokenOutcome::Gap;
        outcome
    }

    /// Takes the stream's terminator.
    pub fn terminate(&mut self, attempt: u32) {
        self.terminated |= attempt == self.attempt && self.finished;
    }

    /// Begins another attempt and returns its number; chunks of earlier ones are dropped.
    ///
    /// ```
    /// use godwitspool_request::{AnswerAssembler, StreamToken, TokenOutcome};
    ///
    /// let mut assembler = AnswerAssembler::default();
    /// assert_eq!(assembler.restart(), 1);
    /// let late = StreamToken { text: "dye".to_owned(), ..StreamToken::default() };
    /// assert_eq!(assembler.push(&late), TokenOutcome::Dropped);
    /// ```
    pub fn restart(&mut self) -> u32 {
        self.attempt += 1;
        self.attempt
    }

    /// Returns the tokens that the caller has, which the next attempt goes on from.
    pub fn tokens(&self) -> &[String] {
        &self.tokens
    }

    /// Tells whether every token has arrived, though perhaps not the terminator.
    ///
    /// A stream that breaks off here needs no other target: the answer is whole.
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    /// Tells whether the answer ended with a proper end and the terminator.
    pub fn is_complete(&self) -> bool {
        self.terminated
    }
}
