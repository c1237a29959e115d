//! Whether the owner of a partition has memory for another batch, asked before the batch is accepted.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Shared, peers};
use crate::{
    http::{Request, Reservation, Response},
    store::Topic,
};

/// Path of the question between hosts.
pub const ROOM_PATH: &str = "/godwitspool/room";
/// Time within which the owner must answer: several round trips between data centres.
const ROOM_TIMEOUT: Duration = Duration::from_millis(200);
/// Size of a batch up to which it is accepted without the owner's answer. The owner runs it once there is
/// memory.
const UNASKED_BYTES: usize = 1024 * 1024;

#[derive(Debug, Deserialize, Serialize)]
struct RoomCall<'a> {
    part: u32,
    /// Key of the batch.
    key: &'a str,
    bytes: usize,
}

/// Returns whether a batch that takes `bytes` may be accepted: its partition's owner has memory for it, or has
/// accepted it before.
///
/// Load pattern: callers submit more than all hosts can hold, in a few large batches or thousands of small ones.
pub(super) fn has_room(shared: &Shared, part: u32, key: &str, bytes: usize) -> bool {
    let call = RoomCall { part, key, bytes };
    let Some(owner) = shared.peers.holder(shared, Topic::Results, part) else {
        // This host, or one that isn't known.
        return may_accept(shared, &call);
    };
    let body = match postcard::to_stdvec(&call) {
        Ok(body) => body,
        Err(error) => {
            log::error!(error:%; "can't encode a question for memory");
            return false;
        }
    };
    let request = Request::new("POST", ROOM_PATH, body);
    let mut memory = Reservation::default();
    match peers::call(shared, owner, &request, ROOM_TIMEOUT, &mut memory) {
        Ok(answer) => answer.status != 503,
        Err(error) => {
            log::info!(owner:%, error:%; "can't ask the owner of a partition for memory");
            shared.peers.mark_stale();
            bytes <= UNASKED_BYTES
        }
    }
}

/// Answers the question of another host.
pub(super) fn serve(shared: &Shared, request: &Request) -> Response {
    let status = match postcard::from_bytes::<RoomCall<'_>>(&request.body) {
        Ok(call) if may_accept(shared, &call) => 200,
        Ok(_) => 503,
        Err(error) => {
            log::warn!(error:%; "invalid question for memory");
            400
        }
    };
    Response::new(status, Vec::new())
}

fn may_accept(shared: &Shared, call: &RoomCall<'_>) -> bool {
    let batches = &shared.owned_batches;
    batches.knows(call.part, call.key) || batches.has_room(call.part, call.bytes)
}
