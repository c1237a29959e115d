//! Bounded journal of the events of samples, for `godwitspool explain`.

use std::{collections::VecDeque, fmt};

use godwitspool_rollout::SampleId;
use godwitspool_types::{Millis, TargetName, WeightVersion};

const MAX_ENTRIES: usize = 20_000;

/// An event of a sample. Numbers are the tokens that the sample has.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum SampleEvent {
    /// The stream broke off for the given cause. The tokens so far are kept.
    Broken(TargetName, String, u32),
    /// The sample is no longer wanted.
    Cancelled,
    /// The target exported the KV cache.
    Exported(TargetName, u32),
    /// A second stream was started on the target.
    Hedged(TargetName),
    /// The sample was moved off the target with its tokens only, without a KV cache.
    Moved(TargetName, u32),
    /// Scoring failed for the given cause.
    Unscored(String),
    /// The sample was started, or resumed after its tokens so far.
    Started(TargetName, u32),
    /// The sample is complete, with the versions that produced it.
    Whole(u32, Vec<WeightVersion>),
}

impl fmt::Display for SampleEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Broken(target, cause, tokens) => {
                write!(f, "broken on {target} behind {tokens} tokens: {cause}")
            }
            Self::Cancelled => f.write_str("cancelled"),
            Self::Exported(target, tokens) => write!(f, "exported by {target}, {tokens} tokens"),
            Self::Hedged(target) => write!(f, "hedged on {target}"),
            Self::Moved(target, tokens) => write!(f, "moved off {target} behind {tokens} tokens"),
            Self::Unscored(cause) => write!(f, "not scored: {cause}"),
            Self::Started(target, 0) => write!(f, "started on {target}"),
            Self::Started(target, tokens) => {
                write!(f, "resumed on {target} behind {tokens} tokens")
            }
            Self::Whole(tokens, versions) => {
                let versions: Vec<_> = versions.iter().map(WeightVersion::as_str).collect();
                write!(f, "whole with {tokens} tokens of {}", versions.join(", "))
            }
        }
    }
}

/// The latest events of samples.
#[derive(Debug, Default)]
pub(crate) struct Journal {
    entries: VecDeque<(Millis, SampleId, SampleEvent)>,
}

impl Journal {
    /// Appends an event, and evicts the oldest one when there are too many.
    pub(crate) fn record(&mut self, now: Millis, id: &SampleId, event: SampleEvent) {
        if self.entries.len() == MAX_ENTRIES {
            self.entries.pop_front();
        }
        self.entries.push_back((now, id.clone(), event));
    }

    /// Returns the events of a sample, one line each.
    pub(crate) fn explain(&self, id: &SampleId) -> Vec<String> {
        let own = self.entries.iter().filter(|(_, entry, _)| entry == id);
        own.map(|(at, _, event)| format!("{:>9.3} s  {event}", at.seconds()))
            .collect()
    }
}
