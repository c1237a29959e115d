//! Decides which source to read from next, and when the host is ready.

use std::net::SocketAddr;

use godwitspool_connection::messages::Member;
use godwitspool_types::{Dc, HostName, Millis, Offset};
use rand::Rng;
use rapidhash::v3::rapidhash_v3;

use crate::membership::Hints;

/// Timing and limits of the log reader.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReadRules {
    /// Time between a reader's reads of the platform's log.
    pub poll_interval: Millis,
    /// Number of hosts in a data centre that read the platform's log.
    pub readers: usize,
    /// Time for which a peer may stay behind the known end of the log before the next source is
    /// tried.
    pub max_lag: Millis,
    /// Time after the start before a peer's answer can make the host ready. Until then the host
    /// may not have learned from gossip how far other hosts are.
    pub settle_time: Millis,
    /// Upper bound of the backoff after the first failure; it doubles with each further failure, at
    /// most six times. The backoff is random, from half of the bound up. Also the delay of the next
    /// read while the known end of the log has not been reached.
    pub min_backoff: Millis,
    /// Time for which the platform is the last choice after it failed.
    pub platform_backoff: Millis,
}

impl Default for ReadRules {
    fn default() -> Self {
        Self {
            poll_interval: Millis(250),
            readers: 2,
            max_lag: Millis(1_000),
            settle_time: Millis(1_500),
            min_backoff: Millis(50),
            platform_backoff: Millis(1_500),
        }
    }
}

/// A source of records.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Source {
    /// Another host's steward.
    Peer(SocketAddr),
    /// The platform's log.
    Platform,
}

/// A request to a source.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReadRequest {
    /// Read the records that follow those applied.
    Records(Source),
    /// Read a snapshot; the records after it are read next.
    Snapshot(Source),
}

impl ReadRequest {
    /// Returns the source that the request goes to.
    pub fn source(&self) -> &Source {
        match self {
            Self::Records(source) | Self::Snapshot(source) => source,
        }
    }
}

/// An input to [`ReadPlan::decide`].
#[derive(Clone, Debug)]
pub enum ReadEvent {
    /// A source answered and its records or snapshot were applied.
    Progress {
        /// Offset up to which records are applied, exclusive.
        next: Offset,
        /// End of the log as known to the source, exclusive.
        end: Offset,
    },
    /// The source failed or is not ready itself.
    Failed,
    /// The source no longer retains the records that follow those applied.
    Gap,
    /// The current state of membership.
    Peers {
        /// Hosts that are not down.
        members: Vec<Member>,
        /// Highest positions in the log that any host has reported.
        hints: Hints,
    },
}

/// Whether the host has ever caught up with the log.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ReadState {
    /// The host has not caught up with the platform's log or a peer yet.
    #[default]
    NotReady,
    /// The host has caught up at least once.
    Ready,
}

/// The state machine that chooses a host's sources.
#[derive(Clone, Debug)]
pub struct ReadPlan {
    behind_since: Option<Millis>,
    dc: Dc,
    due: Millis,
    needs_snapshot: bool,
    failures: u32,
    hints: Hints,
    host: HostName,
    last_request: Option<ReadRequest>,
    members: Vec<Member>,
    next: Offset,
    rules: ReadRules,
    platform_backoff_until: Millis,
    started: Millis,
    state: ReadState,
    source_index: usize,
}

impl ReadPlan {
    /// Creates the plan of a host that has no records or snapshot yet.
    pub fn new(host: HostName, dc: Dc, rules: ReadRules, now: Millis) -> Self {
        Self {
            behind_since: None,
            dc,
            due: now,
            needs_snapshot: true,
            failures: 0,
            hints: Hints::default(),
            host,
            last_request: None,
            members: Vec::new(),
            next: Offset::default(),
            rules,
            platform_backoff_until: now,
            started: now,
            state: ReadState::NotReady,
            source_index: 0,
        }
    }

    /// Returns whether the host has ever caught up.
    pub fn state(&self) -> ReadState {
        self.state
    }

    /// Returns whether the host is one of its data centre's readers of the platform's log.
    pub fn is_reader(&self) -> bool {
        let own = rank(&self.host);
        let staying = self.local().filter(|member| !member.leaving);
        staying.filter(|member| rank(&member.host) < own).count() < self.rules.readers
    }

    /// Returns when the next request is due.
    pub fn due(&self) -> Millis {
        self.due
    }

    /// Returns the next request, or `None` if it is not due yet.
    pub fn next_request(&mut self, now: Millis, rng: &mut impl Rng) -> Option<ReadRequest> {
        if now < self.due {
            return None;
        }
        let sources = self.sources(now, rng);
        let source = sources[self.source_index % sources.len()].clone();
        let request = if self.needs_snapshot {
            ReadRequest::Snapshot(source)
        } else {
            ReadRequest::Records(source)
        };
        self.last_request = Some(request.clone());
        Some(request)
    }

    /// Applies an event to the plan.
    pub fn decide(&mut self, event: ReadEvent, now: Millis, rng: &mut impl Rng) {
        match event {
            ReadEvent::Progress { next, end } => self.record_progress(next, end, now),
            ReadEvent::Failed => self.record_failure(now, rng),
            ReadEvent::Gap => {
                self.needs_snapshot = true;
                self.record_failure(now, rng);
            }
            ReadEvent::Peers { members, hints } => {
                self.members = members;
                self.hints.raise(hints);
                let behind = self.hints.end > self.next || self.hints.folded > self.next;
                if behind && self.failures == 0 && !self.needs_snapshot {
                    self.due = self.due.min(now + self.rules.min_backoff);
                }
            }
        }
    }

    fn record_progress(&mut self, next: Offset, end: Offset, now: Millis) {
        let platform = self.requested_platform();
        self.needs_snapshot = false;
        self.next = next;
        let known = self.hints.end.max(self.hints.folded).max(end);
        let settled = now - self.started >= self.rules.settle_time;
        if next >= end && (platform || settled && next >= self.hints.folded) {
            self.state = ReadState::Ready;
        }
        if next >= known {
            self.behind_since = None;
        }
        let since = *self.behind_since.get_or_insert(now);
        let lags = next < known && next >= end && now - since >= self.rules.max_lag;
        self.failures = 0;
        self.source_index = if lags && !platform {
            // The source has no further records, but another host is known to have some.
            self.behind_since = None;
            self.source_index + 1
        } else {
            0
        };
        self.due = if next < end {
            now
        } else if platform {
            now + self.rules.poll_interval
        } else if next < known {
            now + self.rules.min_backoff
        } else {
            now
        };
    }

    /// Backs off exponentially with jitter, so that hosts don't all move on to the same source at
    /// the same time.
    fn record_failure(&mut self, now: Millis, rng: &mut impl Rng) {
        const MAX_DOUBLINGS: u32 = 6;
        let max_ms = self.rules.min_backoff.0 << self.failures.min(MAX_DOUBLINGS);
        self.failures += 1;
        self.due = now + Millis(rng.random_range(max_ms / 2..=max_ms));
        if self.requested_platform() {
            self.platform_backoff_until = self.due + self.rules.platform_backoff;
            // The platform moves to the end of the sources, so start again with the first.
            self.source_index = 0;
        } else {
            self.source_index += 1;
        }
    }

    fn requested_platform(&self) -> bool {
        self.last_request.as_ref().map(ReadRequest::source) == Some(&Source::Platform)
    }

    /// Returns the sources in the order in which they are tried.
    fn sources(&self, now: Millis, rng: &mut impl Rng) -> Vec<Source> {
        let remote = self.pick(false, rng);
        let local = self.pick(true, rng);
        let mut sources: Vec<_> = if self.needs_snapshot {
            local
                .into_iter()
                .chain([Source::Platform])
                .chain(remote)
                .collect()
        } else if self.is_reader() {
            [Source::Platform]
                .into_iter()
                .chain(remote)
                .chain(local)
                .collect()
        } else {
            let readers = self.readers().map(peer).collect::<Vec<_>>();
            let rest = [Source::Platform].into_iter().chain(remote).chain(local);
            readers.into_iter().chain(rest).collect()
        };
        if now < self.platform_backoff_until {
            sources.retain(|source| *source != Source::Platform);
            sources.push(Source::Platform);
        }
        sources.dedup();
        sources
    }

    /// Returns the other members of the local data centre.
    fn local(&self) -> impl Iterator<Item = &Member> {
        let own = (&self.host, &self.dc);
        self.members
            .iter()
            .filter(move |member| member.host != *own.0 && member.dc == *own.1)
    }

    /// Returns the readers among the other hosts of the local data centre. Hosts with an odd rank
    /// get them in reverse order, so that not all hosts try the same reader first.
    fn readers(&self) -> impl Iterator<Item = &Member> {
        let mut readers: Vec<_> = self.local().filter(|member| !member.leaving).collect();
        readers.sort_by_key(|member| rank(&member.host));
        readers.truncate(self.rules.readers);
        if rank(&self.host) % 2 == 1 {
            readers.reverse();
        }
        readers.into_iter()
    }

    /// Picks a random other host, in the local data centre or in another one.
    fn pick(&self, local: bool, rng: &mut impl Rng) -> Option<Source> {
        let others = self
            .members
            .iter()
            .filter(|member| member.host != self.host);
        let hosts: Vec<_> = others
            .filter(|member| (member.dc == self.dc) == local)
            .collect();
        let count = hosts.len();
        (count > 0).then(|| peer(hosts[rng.random_range(0..count)]))
    }
}

fn peer(member: &Member) -> Source {
    Source::Peer(member.steward)
}

/// Returns the rank of a host; the hosts with the lowest ranks are readers. Because of the salt the
/// order differs from the one by which relays are chosen.
fn rank(host: &HostName) -> u64 {
    const SALT: &[u8] = b"log reader ";
    rapidhash_v3(&[SALT, host.as_str().as_bytes()].concat())
}
