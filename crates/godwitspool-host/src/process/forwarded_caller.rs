use base64::{Engine as _, prelude::BASE64_STANDARD};
use godwitspool_types::{Key, Workspace};

use crate::{
    http::{Headers, Response},
    version::Configuration,
};

/// Field with which a host tells another one whose request it passes on. It counts only if it is listed as a
/// connection option. Builds before this one pass on whatever fields a caller has sent, but no connection options.
const CALLER_FIELD: &str = "Godwitspool-Caller";
/// Field of a refusal with the version of the configuration that refuses.
const VERSION_FIELD: &str = "Godwitspool-Configuration";

/// The caller of a request that a host passes on to another one, as the first host's configuration has it.
///
/// Load pattern: the configuration changes while one of the two hosts is suspended, cut off or just starts, so that
/// each has another version. A key that is new to one of them is refused by it, one that was withdrawn is accepted.
/// The newer version decides, without another call.
///
/// ```
/// use godwitspool_host::{http::Headers, process::ForwardedCaller};
/// use godwitspool_types::Workspace;
///
/// let caller = ForwardedCaller { version: 7, workspace: Some(Workspace::from("a b")) };
/// let mut headers = Headers::default();
/// caller.write(&mut headers);
/// assert_eq!(ForwardedCaller::read(&headers), Some(caller));
///
/// // What a caller sends itself comes without the connection option.
/// headers.remove("Connection");
/// assert_eq!(ForwardedCaller::read(&headers), None);
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ForwardedCaller {
    /// Version of the configuration.
    pub version: u64,
    /// Workspace of the caller's key; `None` if callers need no keys.
    pub workspace: Option<Workspace>,
}

/// Whether a caller may use batches.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Access {
    /// It may use those of its workspace; `None` if callers need no keys.
    Granted(Option<Workspace>),
    /// The key is missing or unknown.
    Denied,
    /// The configuration may be too old to tell, or there is none yet.
    Undecided,
}

impl ForwardedCaller {
    /// Adds the caller to the fields of a request between hosts.
    pub fn write(&self, headers: &mut Headers) {
        // A field value takes no arbitrary text.
        let name = self.workspace.as_ref();
        let name = name.map(|name| format!(" {}", BASE64_STANDARD.encode(name.as_str())));
        let value = format!("{}{}", self.version, name.unwrap_or_default());
        headers.set(CALLER_FIELD, value);
        headers.set("Connection", CALLER_FIELD);
    }

    /// Reads the caller from the fields of another host's request; `None` if they name none.
    pub fn read(headers: &Headers) -> Option<Self> {
        if !headers.lists("Connection", CALLER_FIELD) {
            return None;
        }
        let mut words = headers.get(CALLER_FIELD)?.split(' ');
        let version = words.next()?.parse().ok()?;
        let workspace = match words.next() {
            Some(name) => {
                let name = BASE64_STANDARD.decode(name).ok()?;
                Some(Workspace::from(String::from_utf8(name).ok()?))
            }
            None => None,
        };
        Some(Self { version, workspace })
    }
}

impl Access {
    /// Decides by the key of a caller that has sent the request to this host.
    pub fn of_key(configuration: Option<&Configuration>, key: Option<&Key>) -> Self {
        let Some(configuration) = configuration else {
            return Self::Undecided;
        };
        let workspace = configuration.workspace(None, key);
        workspace.map_or(Self::Denied, Self::Granted)
    }

    /// Decides by what another host tells of the caller, or by the key if this host has a newer configuration. A
    /// host of an earlier build tells nothing; it then reads the store if the key is unknown here.
    ///
    /// ```
    /// use godwitspool_host::{
    ///     process::{Access, ForwardedCaller},
    ///     version::Configuration,
    /// };
    /// use godwitspool_types::{Key, Workspace};
    ///
    /// let configuration = Configuration { version: 7, require_keys: true, ..Configuration::default() };
    /// let workspace = Some(Workspace::from("a"));
    /// let access = |version| {
    ///     let caller = ForwardedCaller { version, workspace: workspace.clone() };
    ///     Access::of_forwarded(Some(&configuration), Some(&Key::from("new")), Some(caller))
    /// };
    /// assert_eq!(access(8), Access::Granted(workspace.clone()));
    /// assert_eq!(access(6), Access::Denied);
    /// ```
    pub fn of_forwarded(
        configuration: Option<&Configuration>,
        key: Option<&Key>,
        caller: Option<ForwardedCaller>,
    ) -> Self {
        let Some(caller) = caller else {
            return match Self::of_key(configuration, key) {
                Self::Denied => Self::Undecided,
                decided => decided,
            };
        };
        match configuration {
            Some(configuration) if configuration.version > caller.version => {
                Self::of_key(Some(configuration), key)
            }
            _ => Self::Granted(caller.workspace),
        }
    }
}

/// Adds the version of the configuration that refuses a request of another host.
pub(super) fn with_version(refusal: Response, version: u64) -> Response {
    refusal.with(VERSION_FIELD, version)
}

/// Returns whether the response of a batch's owner is the caller's answer, asked by the configuration with the given
/// version. Any other response says only that this owner can't answer.
pub(super) fn is_final(answer: &Response, version: u64) -> bool {
    let decided_by = answer.headers.get(VERSION_FIELD);
    let decided_by = decided_by.and_then(|version| version.parse::<u64>().ok());
    match answer.status {
        200 => true,
        401 => decided_by.is_some_and(|decided_by| decided_by > version),
        _ => false,
    }
}

/// Returns the owner's response as it is passed on to the caller.
pub(super) fn passed_on(mut answer: Response) -> Response {
    answer.headers.remove_hop_by_hop();
    answer.headers.remove(VERSION_FIELD);
    answer
}
