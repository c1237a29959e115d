//! Which source to ask next, and when the host is ready.

use std::net::SocketAddr;

use godwitspool_connection::messages::Member;
use godwitspool_types::{Dc, HostName, Millis, Offset};
use rand::Rng;
use rapidhash::v3::rapidhash_v3;

use crate::membership::Hints;

/// Times of the log reader.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReadRules {
    /// Time between a reader's reads of the platform's log.
    pub poll: Millis,
    /// Hosts of a data centre that read the platform's log.
    pub readers: usize,
    /// Time for which a source may lag behind what others are known to have.
    pub lag: Millis,
    /// Time from the start in which peers are heard, before their word makes the host ready.
    pub settle: Millis,
    /// Shortest wait after a failure; it doubles with each further one.
    pub retry: Millis,
    /// Time for which the platform is asked last after it failed.
    pub shun: Millis,
}

impl Default for ReadRules {
    fn default() -> Self {
        Self {
            poll: Millis(250),
            readers: 2,
            lag: Millis(1_000),
            settle: Millis(1_500),
            retry: Millis(50),
            shun: Millis(1_500),
        }
    }
}

/// Where records come from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Source {
    /// Another host's steward.
    Peer(SocketAddr),
    /// The platform's log.
    Platform,
}

/// What to ask next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Ask {
    /// The records that follow those in force.
    Records(Source),
    /// A snapshot, and the records behind it.
    Snapshot(Source),
}

impl Ask {
    /// Returns who is asked.
    pub fn source(&self) -> &Source {
        match self {
            Self::Records(source) | Self::Snapshot(source) => source,
        }
    }
}

/// What happens to the plan.
#[derive(Clone, Debug)]
pub enum ReadEvent {
    /// A source answered.
    Came {
        /// Offset up to which records are in force now.
        next: Offset,
        /// End of the log as the source knows it.
        end: Offset,
    },
    /// A source failed, or isn't ready itself.
    Failed,
    /// A source no longer has the records that follow those in force.
    Gap,
    /// What membership knows.
    Known {
        /// Live and leaving hosts.
        members: Vec<Member>,
        /// Highest positions known.
        hints: Hints,
    },
}

/// Whether the host has what is in force.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ReadState {
    /// It has found neither the platform's log nor a peer that has it.
    #[default]
    NotReady,
    /// It has caught up at least once.
    Ready,
}

/// What a host knows about its sources.
#[derive(Clone, Debug)]
pub struct ReadPlan {
    behind_since: Option<Millis>,
    dc: Dc,
    due: Millis,
    empty: bool,
    failures: u32,
    hints: Hints,
    host: HostName,
    last: Option<Ask>,
    members: Vec<Member>,
    next: Offset,
    rules: ReadRules,
    shunned_until: Millis,
    started: Millis,
    state: ReadState,
    turn: usize,
}

impl ReadPlan {
    /// Makes the plan of a host that has nothing.
    pub fn new(host: HostName, dc: Dc, rules: ReadRules, now: Millis) -> Self {
        Self {
            behind_since: None,
            dc,
            due: now,
            empty: true,
            failures: 0,
            hints: Hints::default(),
            host,
            last: None,
            members: Vec::new(),
            next: Offset::default(),
            rules,
            shunned_until: now,
            started: now,
            state: ReadState::NotReady,
            turn: 0,
        }
    }

    /// Tells whether the host has caught up.
    pub fn state(&self) -> ReadState {
        self.state
    }

    /// Tells whether the host is one of its data centre's readers of the platform's log.
    pub fn is_reader(&self) -> bool {
        let own = rank(&self.host);
        let near = self.near().filter(|member| !member.leaving);
        near.filter(|member| rank(&member.host) < own).count() < self.rules.readers
    }

    /// Returns when the next ask is due.
    pub fn due(&self) -> Millis {
        self.due
    }

    /// Returns the next ask once it is due.
    pub fn ask(&mut self, now: Millis, rng: &mut impl Rng) -> Option<Ask> {
        if now < self.due {
            return None;
        }
        let sources = self.sources(now, rng);
        let source = sources[self.turn % sources.len()].clone();
        let ask = if self.empty {
            Ask::Snapshot(source)
        } else {
            Ask::Records(source)
        };
        self.last = Some(ask.clone());
        Some(ask)
    }

    /// Takes note of what happened.
    pub fn decide(&mut self, event: ReadEvent, now: Millis, rng: &mut impl Rng) {
        match event {
            ReadEvent::Came { next, end } => self.came(next, end, now),
            ReadEvent::Failed => self.failed(now, rng),
            ReadEvent::Gap => {
                self.empty = true;
                self.failed(now, rng);
            }
            ReadEvent::Known { members, hints } => {
                self.members = members;
                self.hints.raise(hints);
                let news = self.hints.end > self.next || self.hints.folded > self.next;
                if news && self.failures == 0 && !self.empty {
                    self.due = self.due.min(now + self.rules.retry);
                }
            }
        }
    }

    fn came(&mut self, next: Offset, end: Offset, now: Millis) {
        let platform = self.asked_platform();
        self.empty = false;
        self.next = next;
        let known = self.hints.end.max(self.hints.folded).max(end);
        let settled = now - self.started >= self.rules.settle;
        if next >= end && (platform || settled && next >= self.hints.folded) {
            self.state = ReadState::Ready;
        }
        if next >= known {
            self.behind_since = None;
        }
        let since = *self.behind_since.get_or_insert(now);
        let lags = next < known && next >= end && now - since >= self.rules.lag;
        self.failures = 0;
        self.turn = if lags && !platform {
            // The source has nothing more, but others are known to.
            self.behind_since = None;
            self.turn + 1
        } else {
            0
        };
        self.due = if next < end {
            now
        } else if platform {
            now + self.rules.poll
        } else if next < known {
            now + self.rules.retry
        } else {
            now
        };
    }

    /// Waits longer after each failure, by a random time, so that hosts don't all turn to the same
    /// source at once.
    fn failed(&mut self, now: Millis, rng: &mut impl Rng) {
        const MOST_DOUBLINGS: u32 = 6;
        let most = self.rules.retry.0 << self.failures.min(MOST_DOUBLINGS);
        self.failures += 1;
        self.due = now + Millis(rng.random_range(most / 2..=most));
        if self.asked_platform() {
            self.shunned_until = self.due + self.rules.shun;
            // The order of the sources has changed.
            self.turn = 0;
        } else {
            self.turn += 1;
        }
    }

    fn asked_platform(&self) -> bool {
        self.last.as_ref().map(Ask::source) == Some(&Source::Platform)
    }

    // --- Sources

    /// Returns the sources in the order in which they are asked.
    fn sources(&self, now: Millis, rng: &mut impl Rng) -> Vec<Source> {
        let far = self.pick(false, rng);
        let near = self.pick(true, rng);
        let mut sources: Vec<_> = if self.empty {
            near.into_iter()
                .chain([Source::Platform])
                .chain(far)
                .collect()
        } else if self.is_reader() {
            [Source::Platform]
                .into_iter()
                .chain(far)
                .chain(near)
                .collect()
        } else {
            let readers = self.readers().map(peer).collect::<Vec<_>>();
            let rest = [Source::Platform].into_iter().chain(far).chain(near);
            readers.into_iter().chain(rest).collect()
        };
        if now < self.shunned_until {
            sources.retain(|source| *source != Source::Platform);
            sources.push(Source::Platform);
        }
        sources.dedup();
        sources
    }

    fn near(&self) -> impl Iterator<Item = &Member> {
        let own = (&self.host, &self.dc);
        self.members
            .iter()
            .filter(move |member| member.host != *own.0 && member.dc == *own.1)
    }

    /// Returns the other hosts that read for the data centre, in an order of this host's own.
    fn readers(&self) -> impl Iterator<Item = &Member> {
        let mut readers: Vec<_> = self.near().filter(|member| !member.leaving).collect();
        readers.sort_by_key(|member| rank(&member.host));
        readers.truncate(self.rules.readers);
        if rank(&self.host) % 2 == 1 {
            readers.reverse();
        }
        readers.into_iter()
    }

    fn pick(&self, near: bool, rng: &mut impl Rng) -> Option<Source> {
        let others = self
            .members
            .iter()
            .filter(|member| member.host != self.host);
        let hosts: Vec<_> = others
            .filter(|member| (member.dc == self.dc) == near)
            .collect();
        let count = hosts.len();
        (count > 0).then(|| peer(hosts[rng.random_range(0..count)]))
    }
}

fn peer(member: &Member) -> Source {
    Source::Peer(member.steward)
}

fn rank(host: &HostName) -> u64 {
    const SALT: &[u8] = b"log reader ";
    rapidhash_v3(&[SALT, host.as_str().as_bytes()].concat())
}
