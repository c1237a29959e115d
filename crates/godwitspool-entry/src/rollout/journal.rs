//! What happened to samples, bounded, for `godwitspool explain`.

use std::{collections::VecDeque, fmt};

use godwitspool_rollout::SampleId;
use godwitspool_types::{Millis, TargetName, WeightVersion};

const MOST_ENTRIES: usize = 20_000;

/// What happened to a sample.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum SampleEvent {
    /// Its stream broke; the tokens so far stay.
    Broken(TargetName, String, u32),
    /// It is no longer wanted.
    Cancelled,
    /// Its KV cache was exported.
    Exported(TargetName, u32),
    /// A second stream was started.
    Hedged(TargetName),
    /// It was moved because of lateness or a reclaim.
    Moved(TargetName, u32),
    /// Its scoring failed.
    Unscored(String),
    /// It was started, or resumed behind tokens.
    Started(TargetName, u32),
    /// It is whole, with the versions that produced it.
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
    /// Appends an event; the oldest one goes once there are too many.
    pub(crate) fn record(&mut self, now: Millis, id: &SampleId, event: SampleEvent) {
        if self.entries.len() == MOST_ENTRIES {
            self.entries.pop_front();
        }
        self.entries.push_back((now, id.clone(), event));
    }

    /// Lists what happened to a sample.
    pub(crate) fn explain(&self, id: &SampleId) -> Vec<String> {
        let own = self.entries.iter().filter(|(_, entry, _)| entry == id);
        own.map(|(at, _, event)| format!("{:>9.3} s  {event}", at.seconds()))
            .collect()
    }
}
