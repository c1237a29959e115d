//! Deterministic tokens, which let a test check that an answer assembled from several streams is
//! complete.

use godwitspool_connection::engine::{Finish, Message};
use rapidhash::v3::rapidhash_v3;

/// Returns the hash of a conversation and a sampling seed.
///
/// ```
/// use godwitspool_connection::engine::Message;
/// use godwitspool_fakes::prompt_hash;
///
/// let messages = [Message { content: "hello".into(), role: "user".into() }];
/// assert_ne!(prompt_hash(&messages, 1), prompt_hash(&messages, 2));
/// ```
pub fn prompt_hash(messages: &[Message], seed: u64) -> u64 {
    let mut bytes = seed.to_le_bytes().to_vec();
    for message in messages {
        bytes.extend_from_slice(message.role.as_bytes());
        bytes.push(0);
        bytes.extend_from_slice(message.content.as_bytes());
        bytes.push(0);
    }
    rapidhash_v3(&bytes)
}

/// Returns the text of the token at `index` of the answer to a prompt, given as its hash.
///
/// ```
/// use godwitspool_fakes::token;
///
/// assert_eq!(token(7, 0), token(7, 0));
/// assert_ne!(token(7, 0), token(7, 1));
/// ```
pub fn token(prompt: u64, index: u32) -> String {
    let mut bytes = prompt.to_le_bytes().to_vec();
    bytes.extend_from_slice(&index.to_le_bytes());
    format!("{:08x} ", rapidhash_v3(&bytes) as u32)
}

/// Returns the number of tokens in the answer to a prompt, given as its hash, and why the answer
/// ends.
///
/// One prompt in four reaches `max_tokens`; the others stop earlier.
///
/// ```
/// use godwitspool_connection::engine::Finish;
/// use godwitspool_fakes::answer_length;
///
/// assert_eq!(answer_length(4, 100), (100, Finish::Length));
/// ```
pub fn answer_length(prompt: u64, max_tokens: u32) -> (u32, Finish) {
    if prompt.is_multiple_of(4) || max_tokens < 2 {
        return (max_tokens, Finish::Length);
    }
    let shortest = max_tokens / 2;
    let span = u64::from(max_tokens - shortest);
    (shortest + ((prompt >> 8) % span) as u32, Finish::Stop)
}
