use std::fmt;

use godwitspool_types::Workspace;
use rapidhash::v3::rapidhash_v3;
use serde::{Deserialize, Serialize};

/// Identifies the content of a request. Copies that a caller sends again under new identifiers have
/// the same fingerprint, on every host and after every restart.
///
/// ```
/// use godwitspool_host::version::Fingerprint;
///
/// let body = b"body";
/// let print = Fingerprint::new(None, "POST", "a.example", "/i/x", body);
/// assert_eq!(print, Fingerprint::new(None, "POST", "a.example", "/i/x", body));
/// assert_ne!(print, Fingerprint::new(None, "POST", "a.example", "/i/y", body));
/// assert_eq!(print.to_string().parse(), Ok(print));
/// ```
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// Returns the fingerprint of a request for `target`, a path with its query.
    pub fn new(
        workspace: Option<&Workspace>,
        method: &str,
        host: &str,
        target: &str,
        body: &[u8],
    ) -> Self {
        let workspace = workspace.map(Workspace::as_str);
        let body = rapidhash_v3(body);
        let content = format!("{workspace:?} {method:?} {host:?} {target:?} {body:016x}");
        Self(rapidhash_v3(content.as_bytes()))
    }
}

impl Fingerprint {
    /// Returns the fingerprint of the request with this identifier only, which its sender keeps when it
    /// sends the request again.
    #[must_use]
    pub fn with_id(self, id: &str) -> Self {
        Self(rapidhash_v3(format!("{self} {id}").as_bytes()))
    }

    /// Returns a number for a claim on the request by the given claimant.
    pub fn claim(self, claimant: &str) -> u64 {
        self.with_id(claimant).0
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl std::str::FromStr for Fingerprint {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}
