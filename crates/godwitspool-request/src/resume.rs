//! Joins the streams of several attempts into one complete answer.

/// A chunk of a target's stream, which carries at most one token.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StreamToken {
    /// Number of the attempt whose stream carried the chunk, from 0.
    pub attempt: u32,
    /// Index of the token in the complete answer, from 0.
    pub index: u32,
    /// Text of the token; empty in a chunk that only ends the stream.
    pub text: String,
    /// Whether the chunk gives a finish reason that completes the answer.
    pub last: bool,
}

/// How a chunk was handled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TokenOutcome {
    /// The chunk belongs to an ended stream or repeats a token, and is dropped.
    Dropped,
    /// Tokens are missing before the chunk, so the stream can't be used any further.
    Gap,
    /// The chunk carries the next token for the caller.
    Next,
    /// The chunk carries no token.
    Nothing,
}

/// Assembles an answer from the streams of one or more attempts.
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
    /// Adds a chunk. The caller is sent only tokens for which this returns [`TokenOutcome::Next`].
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

    /// Records that the stream of an attempt sent its terminator.
    pub fn terminate(&mut self, attempt: u32) {
        self.terminated |= attempt == self.attempt && self.finished;
    }

    /// Begins another attempt and returns its number. Chunks of earlier attempts are dropped.
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

    /// Returns the tokens that the caller already has; the next attempt continues after them.
    pub fn tokens(&self) -> &[String] {
        &self.tokens
    }

    /// Returns whether every token has arrived, even if the terminator hasn't.
    ///
    /// A stream that breaks off in this state isn't resumed, because no token is missing.
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    /// Returns whether the answer ended with a finish reason followed by the terminator.
    pub fn is_complete(&self) -> bool {
        self.terminated
    }
}
