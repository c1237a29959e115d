//! Joins the streams of several targets into one whole answer.

/// A chunk of a target's stream.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Piece {
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
pub enum Stitched {
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
/// use godwitspool_request::{Piece, Stitch, Stitched};
///
/// let mut stitch = Stitch::default();
/// let piece = Piece { text: "dye".to_owned(), ..Piece::default() };
/// assert_eq!(stitch.push(&piece), Stitched::Next);
/// assert_eq!(stitch.push(&piece), Stitched::Dropped);
/// assert_eq!(stitch.tokens(), ["dye"]);
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Stitch {
    attempt: u32,
    finished: bool,
    terminated: bool,
    tokens: Vec<String>,
}

impl Stitch {
    /// Takes a chunk; a token that is [`Stitched::Next`] is passed on to the caller.
    pub fn push(&mut self, piece: &Piece) -> Stitched {
        if piece.attempt != self.attempt || self.finished {
            return Stitched::Dropped;
        }
        let next = self.tokens.len() as u32;
        let stitched = match (piece.text.is_empty(), piece.index) {
            (true, index) if index > next => Stitched::Gap,
            (true, _) => Stitched::Nothing,
            (false, index) if index > next => Stitched::Gap,
            (false, index) if index < next => Stitched::Dropped,
            (false, _) => Stitched::Next,
        };
        if stitched == Stitched::Next {
            self.tokens.push(piece.text.clone());
        }
        self.finished = piece.last && stitched != Stitched::Gap;
        stitched
    }

    /// Takes the stream's terminator.
    pub fn terminate(&mut self, attempt: u32) {
        self.terminated |= attempt == self.attempt && self.finished;
    }

    /// Begins another attempt and returns its number; chunks of earlier ones are dropped.
    ///
    /// ```
    /// use godwitspool_request::{Piece, Stitch, Stitched};
    ///
    /// let mut stitch = Stitch::default();
    /// assert_eq!(stitch.restart(), 1);
    /// let late = Piece { text: "dye".to_owned(), ..Piece::default() };
    /// assert_eq!(stitch.push(&late), Stitched::Dropped);
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
    pub fn is_whole(&self) -> bool {
        self.terminated
    }
}
