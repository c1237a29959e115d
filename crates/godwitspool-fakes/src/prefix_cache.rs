//! A bounded prefix cache whose events are published with a delay and with gaps.

use std::collections::VecDeque;

use godwitspool_connection::engine::{CacheEvent, CacheEvents, Message};
use rapidhash::v3::rapidhash_v3;

const MAX_PREFIXES: usize = 256;
const MAX_EVENTS: usize = 4_096;

/// A prefix cache with LRU eviction and the events of its changes.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    /// Retained events with their wall clock time in milliseconds.
    events: VecDeque<(u64, CacheEvent)>,
    loss_interval: u64,
    /// Sequence number of the next event.
    next: u64,
    /// Hashes of the cached prefixes, least recently used first.
    prefixes: VecDeque<u64>,
}

impl PrefixCache {
    /// Creates an empty cache that loses one event in `loss_interval`; 0 loses none.
    pub(crate) fn new(loss_interval: u64) -> Self {
        Self {
            loss_interval,
            ..Self::default()
        }
    }

    /// Adds all prefixes of a conversation and returns how many leading messages were cached before.
    pub(crate) fn touch(&mut self, messages: &[Message], now_ms: u64) -> usize {
        let mut hash = 0;
        let mut cached = 0;
        for (index, message) in messages.iter().enumerate() {
            hash = extend(hash, message);
            let position = self.prefixes.iter().position(|prefix| *prefix == hash);
            match position {
                Some(position) => {
                    self.prefixes.remove(position);
                    if cached == index {
                        cached = index + 1;
                    }
                }
                None => self.publish(hash, true, now_ms),
            }
            self.prefixes.push_back(hash);
        }
        while self.prefixes.len() > MAX_PREFIXES {
            if let Some(evicted) = self.prefixes.pop_front() {
                self.publish(evicted, false, now_ms);
            }
        }
        cached
    }

    /// Removes all prefixes and events, as a crash does.
    pub(crate) fn clear(&mut self) {
        self.prefixes.clear();
        self.events.clear();
    }

    /// Returns the events from sequence number `from` on that occurred up to `before_ms`.
    pub(crate) fn events(&self, from: u64, before_ms: u64) -> CacheEvents {
        let published = self.events.iter().filter(|(at, _)| *at <= before_ms);
        let events = published
            .map(|(_, event)| event.clone())
            .filter(|event| event.sequence >= from)
            .collect::<Vec<_>>();
        let next = events.last().map_or(from, |event| event.sequence + 1);
        CacheEvents { events, next }
    }

    fn publish(&mut self, prefix: u64, stored: bool, now_ms: u64) {
        let sequence = self.next;
        self.next += 1;
        if self.loss_interval > 0 && sequence % self.loss_interval == self.loss_interval - 1 {
            return;
        }
        self.events.push_back((
            now_ms,
            CacheEvent {
                prefix,
                sequence,
                stored,
            },
        ));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}

/// Returns the hash of a prefix followed by one more message.
fn extend(prefix: u64, message: &Message) -> u64 {
    let mut bytes = prefix.to_le_bytes().to_vec();
    bytes.extend_from_slice(message.role.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(message.content.as_bytes());
    rapidhash_v3(&bytes)
}
