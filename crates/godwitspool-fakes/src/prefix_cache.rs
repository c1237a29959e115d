//! A bounded prefix cache whose events are published late and with gaps.

use std::collections::VecDeque;

use godwitspool_connection::engine::{CacheEvent, CacheEvents, Message};
use rapidhash::v3::rapidhash_v3;

const ENTRIES: usize = 256;
const EVENTS_KEPT: usize = 4_096;

/// Prefixes in memory, the least recently used first.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    events: VecDeque<(u64, CacheEvent)>,
    loss: u64,
    next: u64,
    prefixes: VecDeque<u64>,
}

impl PrefixCache {
    /// Loses one event in `loss`; 0 for none.
    pub(crate) fn new(loss: u64) -> Self {
        Self {
            loss,
            ..Self::default()
        }
    }

    /// Stores the prefixes of a conversation and returns how many leading messages were cached.
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
        while self.prefixes.len() > ENTRIES {
            if let Some(evicted) = self.prefixes.pop_front() {
                self.publish(evicted, false, now_ms);
            }
        }
        cached
    }

    /// Forgets everything, as a restart does.
    pub(crate) fn clear(&mut self) {
        self.prefixes.clear();
        self.events.clear();
    }

    /// Returns the events from a sequence number on that were made before a time.
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
        if self.loss > 0 && sequence % self.loss == self.loss - 1 {
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
        if self.events.len() > EVENTS_KEPT {
            self.events.pop_front();
        }
    }
}

fn extend(prefix: u64, message: &Message) -> u64 {
    let mut bytes = prefix.to_le_bytes().to_vec();
    bytes.extend_from_slice(message.role.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(message.content.as_bytes());
    rapidhash_v3(&bytes)
}
