//! Reads records and snapshots from peers and from the platform.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, PoisonError},
};

use godwitspool_connection::{
    http::PlatformApi,
    messages::{StewardAnswer, StewardRequest},
    peer::{Link, LinkBounds},
    platform::{LogPage, LogRecord},
};
use godwitspool_sync::Mutex;
use godwitspool_types::{Millis, Offset};
use godwitspool_version::{Fold, Record, RecordBody, SnapshotParts};

use super::Source;

const MAX_PAGE_RECORDS: usize = 1_000;
const MAX_LINKS: usize = 16;
/// Longer than a steward waits for new records before it answers.
const PEER_ANSWER_TIMEOUT: Millis = Millis(2_500);

/// A source's answer.
pub(super) enum Answer {
    /// The request failed, with the reason.
    Failed(String),
    /// The source no longer retains the requested records.
    Gap,
    Records {
        records: Vec<LogRecord>,
        end: Offset,
        /// Time since `end` was known to be the log's end.
        age: Millis,
    },
    Snapshot(Box<Fold>),
}

/// Connections to the peers and the platform.
pub(super) struct Sources<Platform> {
    links: Mutex<HashMap<SocketAddr, Arc<Link<StewardRequest, StewardAnswer>>>>,
    platform: Platform,
}

impl<Platform: PlatformApi> Sources<Platform> {
    pub fn new(platform: Platform) -> Self {
        Self {
            links: Mutex::default(),
            platform,
        }
    }

    /// Reads the records from an offset on.
    pub fn records(&self, source: &Source, from: Offset) -> Answer {
        match source {
            Source::Peer(address) => self.call_peer(*address, &StewardRequest::Tail(from), from),
            Source::Platform => match self.platform.read(from, MAX_PAGE_RECORDS) {
                Ok(page) => from_page(page, from),
                Err(error) => Answer::Failed(error.to_string()),
            },
        }
    }

    /// Reads a snapshot. The platform may answer with records instead, if its log still retains all
    /// records from `next` on.
    pub fn snapshot(&self, source: &Source, next: Offset) -> Answer {
        match source {
            Source::Peer(address) => self.call_peer(*address, &StewardRequest::Snapshot, next),
            Source::Platform => self.find_snapshot(next),
        }
    }

    fn call_peer(&self, address: SocketAddr, request: &StewardRequest, from: Offset) -> Answer {
        let answer = match self.link(address).call(request) {
            Ok(answer) => answer,
            Err(error) => return Answer::Failed(error.to_string()),
        };
        match answer {
            StewardAnswer::Snapshot { body, .. } => match Fold::restore(&body) {
                Ok(fold) => Answer::Snapshot(Box::new(fold)),
                Err(error) => Answer::Failed(error.to_string()),
            },
            StewardAnswer::Tail { retained, .. } if retained > from => Answer::Gap,
            StewardAnswer::Tail {
                records,
                end,
                age_ms,
                ..
            } => Answer::Records {
                records,
                end,
                age: Millis(age_ms),
            },
            StewardAnswer::NotReady => Answer::Failed(format!("{address} is not ready")),
            StewardAnswer::Done | StewardAnswer::Usage(_) | StewardAnswer::View(_) => {
                Answer::Failed(format!("{address} sent an answer of another kind"))
            }
        }
    }

    /// Searches the log for the first complete snapshot whose following records are all retained.
    fn find_snapshot(&self, next: Offset) -> Answer {
        let mut parts = SnapshotParts::default();
        let mut from = next;
        loop {
            let page = match self.platform.read(from, MAX_PAGE_RECORDS) {
                Ok(page) => page,
                Err(error) => return Answer::Failed(error.to_string()),
            };
            if page.retained <= next {
                return from_page(page, next);
            }
            let Some(last) = page.records.last().map(|record| record.offset) else {
                return Answer::Failed("no snapshot in the log".to_owned());
            };
            for record in &page.records {
                add_part(&mut parts, record);
            }
            if let Some(fold) = parts.take_from(page.retained) {
                return Answer::Snapshot(Box::new(fold));
            }
            from = last.next();
        }
    }

    fn link(&self, address: SocketAddr) -> Arc<Link<StewardRequest, StewardAnswer>> {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        if links.len() > MAX_LINKS && !links.contains_key(&address) {
            links.clear();
        }
        let bounds = LinkBounds::default().with_answer_timeout(PEER_ANSWER_TIMEOUT);
        let link = links
            .entry(address)
            .or_insert_with(|| Arc::new(Link::new(address, bounds)));
        Arc::clone(link)
    }
}

fn from_page(page: LogPage, from: Offset) -> Answer {
    if page.retained > from {
        return Answer::Gap;
    }
    Answer::Records {
        records: page.records,
        end: page.end,
        age: Millis::ZERO,
    }
}

fn add_part(parts: &mut SnapshotParts, record: &LogRecord) {
    if let Ok(Record {
        body: RecordBody::Snapshot(part),
        ..
    }) = Record::decode(&record.body)
    {
        parts.add(&part);
    }
}
