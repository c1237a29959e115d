//! A compact list of tokens.

use serde::{Deserialize, Serialize};

/// Tokens stored as one concatenated text plus the end offset of each token.
///
/// The overhead is four bytes per token.
///
/// ```
/// use godwitspool_rollout::Tokens;
///
/// let tokens: Tokens = ["ab", "c"].into_iter().collect();
/// assert_eq!(tokens.iter().collect::<Vec<_>>(), ["ab", "c"]);
/// ```
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Tokens {
    ends: Vec<u32>,
    text: String,
}

impl Tokens {
    /// Appends a token.
    pub fn push(&mut self, token: &str) {
        self.text.push_str(token);
        self.ends.push(self.text.len() as u32);
    }

    /// Returns the number of tokens.
    pub fn len(&self) -> usize {
        self.ends.len()
    }

    /// Returns `true` if there are no tokens.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Returns the concatenated text of all tokens.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Iterates over the tokens in order.
    pub fn iter(&self) -> impl Iterator<Item = &str> {
        let starts = std::iter::once(0).chain(self.ends.iter().copied());
        starts
            .zip(&self.ends)
            .map(|(start, end)| &self.text[start as usize..*end as usize])
    }

    /// Returns the number of bytes allocated on the heap.
    pub fn bytes(&self) -> usize {
        self.text.capacity() + self.ends.capacity() * size_of::<u32>()
    }

    /// Releases unused capacity.
    pub fn shrink(&mut self) {
        self.text.shrink_to_fit();
        self.ends.shrink_to_fit();
    }
}

impl<'a> FromIterator<&'a str> for Tokens {
    fn from_iter<I: IntoIterator<Item = &'a str>>(tokens: I) -> Self {
        let mut all = Self::default();
        tokens.into_iter().for_each(|token| all.push(token));
        all
    }
}
