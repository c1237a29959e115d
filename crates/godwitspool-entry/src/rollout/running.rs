//! Samples to generate, and the streams that generate them.

use std::sync::{PoisonError, atomic::AtomicBool};

use godwitspool_connection::engine::KvHandle;
use godwitspool_rollout::{GroupSpec, Sample, SampleId};
use godwitspool_sync::{Mutex, MutexGuard};
use godwitspool_types::{Millis, TargetName};

/// A sample to generate, with the tokens that it already has.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) generation: u64,
    /// Set for a second stream beside the running one.
    pub(super) hedge: bool,
    /// KV cache that the previous target exported.
    pub(super) kv: Option<KvHandle>,
    pub(super) partial: Sample,
    pub(super) spec: GroupSpec,
    /// Target to use if it has room.
    pub(super) preferred: Option<TargetName>,
    /// Target to use only if no other has room, such as the one that the sample has just left.
    pub(super) avoid: Option<TargetName>,
}

/// A stream that generates a sample.
#[derive(Debug)]
pub(super) struct RunningStream {
    pub(super) cancelled: AtomicBool,
    pub(super) generation: u64,
    pub(super) id: SampleId,
    pub(super) is_hedge: bool,
    pub(super) progress: Mutex<StreamProgress>,
    /// Name of the stream on its engine.
    pub(super) request: String,
    pub(super) spec: GroupSpec,
    pub(super) started_at: Millis,
    pub(super) target: TargetName,
}

/// The progress of a stream.
#[derive(Clone, Debug)]
pub(super) struct StreamProgress {
    /// Target of the second stream, if there is one.
    pub(super) hedge: Option<TargetName>,
    pub(super) last_token_at: Millis,
    /// Set to make the stream stop and the sample move to this target; an empty name means any
    /// target.
    pub(super) move_to: Option<TargetName>,
    pub(super) partial: Sample,
    /// Tokens that the sample had when the stream started.
    pub(super) resumed_tokens: u32,
}

impl RunningStream {
    pub(super) fn progress(&self) -> MutexGuard<'_, StreamProgress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
