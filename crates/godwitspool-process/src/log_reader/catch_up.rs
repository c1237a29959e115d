//! Reads the state of the log once, for programs that don't follow it.

use std::net::SocketAddr;

use godwitspool_connection::http::PlatformApi;
use snafu::Snafu;

use super::{
    Replica, Source,
    source::{Answer, Sources},
};

/// Why the state of the log can't be read.
#[derive(Debug, Snafu)]
#[snafu(display("the log's state can't be read: {reason}"))]
pub struct CatchUpError {
    reason: String,
}

/// Reads the state up to the end of the log, from a steward if one is given, otherwise from the
/// platform's log.
///
/// # Errors
///
/// Fails if the source fails, or if records are missing and the source has no snapshot that
/// covers them.
pub fn catch_up(
    platform: impl PlatformApi,
    steward: Option<SocketAddr>,
) -> Result<Replica, CatchUpError> {
    let source = steward.map_or(Source::Platform, Source::Peer);
    let sources = Sources::new(platform);
    let mut replica = Replica::default();
    let mut answer = sources.snapshot(&source, replica.fold().next());
    loop {
        match answer {
            Answer::Failed(reason) => return CatchUpSnafu { reason }.fail(),
            Answer::Gap => return missing(),
            Answer::Snapshot(fold) => {
                replica.restore(*fold);
            }
            Answer::Records { records, end, .. } => {
                if replica.apply(&records).is_err() {
                    return missing();
                }
                if replica.fold().next() >= end {
                    return Ok(replica);
                }
            }
        }
        answer = sources.records(&source, replica.fold().next());
    }
}

fn missing<T>() -> Result<T, CatchUpError> {
    let reason = "records are missing and no snapshot covers them";
    CatchUpSnafu { reason }.fail()
}
