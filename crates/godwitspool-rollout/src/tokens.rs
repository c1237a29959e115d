//! Tokens of an answer.

use serde::{Deserialize, Serialize};

/// Tokens held as one text and the ends of the tokens in it: four bytes a token above the text.
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

    /// Counts the tokens.
    pub fn len(&self) -> usize {
        self.ends.len()
    }

    /// Tells whether there is no token.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Returns the whole text.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Walks over the tokens.
    pub fn iter(&self) -> impl Iterator<Item = &str> {
        let starts = std::iter::once(0).chain(self.ends.iter().copied());
        starts
            .zip(&self.ends)
            .map(|(start, end)| &self.text[start as usize..*end as usize])
    }

    /// Returns the bytes held on the heap.
    pub fn bytes(&self) -> usize {
        self.text.capacity() + self.ends.capacity() * size_of::<u32>()
    }

    /// Gives back memory that growth has reserved.
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
