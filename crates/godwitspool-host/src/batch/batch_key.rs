use godwitspool_types::Workspace;
use rapidhash::v3::rapidhash_v3;

/// Separates a batch's identifier from the hash of its workspace.
const SEPARATOR: char = '~';
/// Number of hexadecimal digits of the hash.
const HASH_DIGITS: usize = 16;

/// Returns the key under which a workspace's batch is stored and looked up, so that workspaces which choose
/// the same identifier have a batch each. Without a workspace it is the identifier, as builds before this one
/// stored all batches.
///
/// ```
/// use godwitspool_host::batch::{batch_key, partition_of};
/// use godwitspool_types::Workspace;
///
/// let (a, b) = (Workspace::from("a"), Workspace::from("b"));
/// assert_ne!(batch_key(Some(&a), "step-1"), batch_key(Some(&b), "step-1"));
/// assert_eq!(batch_key(None, "step-1"), "step-1");
/// assert_eq!(partition_of(&batch_key(Some(&a), "step-1"), 8), partition_of("step-1", 8));
/// ```
pub fn batch_key(workspace: Option<&Workspace>, id: &str) -> String {
    workspace.map_or_else(
        || id.to_owned(),
        |workspace| {
            let hash = rapidhash_v3(workspace.as_str().as_bytes());
            format!("{id}{SEPARATOR}{hash:0HASH_DIGITS$x}")
        },
    )
}

/// Returns the identifier of the batch with a key. A key without a workspace is taken whole, unless it ends like
/// one with a workspace.
///
/// ```
/// use godwitspool_host::batch::{batch_id, batch_key};
/// use godwitspool_types::Workspace;
///
/// let key = batch_key(Some(&Workspace::from("a")), "step~1");
/// assert_eq!(batch_id(&key), "step~1");
/// assert_eq!(batch_id("step~1"), "step~1");
/// ```
pub fn batch_id(key: &str) -> &str {
    split(key).0
}

/// Returns the part of a key that tells workspaces apart; empty if the key has none.
pub(super) fn workspace_hash(key: &str) -> &str {
    split(key).1
}

/// Splits a key into the identifier and the hash of the workspace.
fn split(key: &str) -> (&str, &str) {
    let is_hash =
        |text: &str| text.len() == HASH_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    match key.rsplit_once(SEPARATOR) {
        Some((id, hash)) if is_hash(hash) => (id, hash),
        _ => (key, ""),
    }
}
