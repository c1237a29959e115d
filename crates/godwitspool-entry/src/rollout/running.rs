//! Samples that are to be made, and the streams that make them.

use std::sync::{Mutex, MutexGuard, PoisonError, atomic::AtomicBool};

use godwitspool_connection::engine::KvHandle;
use godwitspool_rollout::{GroupSpec, Sample, SampleId};
use godwitspool_types::{Millis, TargetName};

/// A sample to make, with what was made of it already.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) generation: u64,
    pub(super) hedge: bool,
    pub(super) kv: Option<KvHandle>,
    pub(super) partial: Sample,
    pub(super) spec: GroupSpec,
    /// Target that it is meant for, or that it has just left.
    pub(super) to: Option<TargetName>,
    pub(super) avoid: Option<TargetName>,
}

/// A stream that makes a sample.
#[derive(Debug)]
pub(super) struct RunningStream {
    pub(super) cancelled: AtomicBool,
    pub(super) generation: u64,
    pub(super) id: SampleId,
    pub(super) is_hedge: bool,
    pub(super) progress: Mutex<StreamProgress>,
    pub(super) request: String,
    pub(super) spec: GroupSpec,
    pub(super) started: Millis,
    pub(super) target: TargetName,
}

/// What a stream has made so far.
#[derive(Clone, Debug)]
pub(super) struct StreamProgress {
    pub(super) hedge: Option<TargetName>,
    pub(super) heard: Millis,
    pub(super) move_to: Option<TargetName>,
    pub(super) partial: Sample,
    pub(super) resumed: u32,
}

impl RunningStream {
    pub(super) fn progress(&self) -> MutexGuard<'_, StreamProgress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
