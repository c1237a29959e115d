//! Callers' keys and their digests.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Length of a key's random part, in bytes.
const KEY_BYTES: usize = 16;

/// A caller's key in clear text. Its `Debug` output hides the text.
#[derive(Clone)]
pub struct Key(String);

impl Key {
    /// Generates a random key.
    pub fn random() -> Self {
        let bytes: [u8; KEY_BYTES] = rand::random();
        Self(format!("gsk-{:032x}", u128::from_be_bytes(bytes)))
    }

    /// Returns the clear text, which is shown only once, to the operator who issued the key.
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Returns the digest that the configuration stores in place of the key.
    ///
    /// ```
    /// use godwitspool_types::Key;
    ///
    /// assert!(Key::from("k").digest().matches(&Key::from("k").digest()));
    /// ```
    pub fn digest(&self) -> KeyDigest {
        KeyDigest(Sha256::digest(self.0.as_bytes()).into())
    }
}

impl From<&str> for Key {
    fn from(text: &str) -> Self {
        Self(text.to_owned())
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(hidden)")
    }
}

/// The SHA-256 digest of a key.
#[derive(Clone, Copy, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(into = "String", try_from = "String")]
pub struct KeyDigest(pub [u8; 32]);

impl KeyDigest {
    /// Compares two digests in constant time.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({self})")
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> Self {
        digest.to_string()
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = String;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        let invalid_length = || {
            format!(
                "key digest has {} characters, expected 64 hexadecimal",
                text.len()
            )
        };
        if text.len() != 64 || !text.is_ascii() {
            return Err(invalid_length());
        }
        let mut bytes = [0; 32];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let pair = &text[index * 2..index * 2 + 2];
            *byte = u8::from_str_radix(pair, 16)
                .map_err(|error| format!("key digest at character {}: {error}", index * 2))?;
        }
        Ok(Self(bytes))
    }
}
