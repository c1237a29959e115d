//! Requests of other entries, and the links to other entries.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, PoisonError},
};

use godwitspool_connection::{
    messages::{EntryAnswer, EntryRequest},
    peer::{Link, LinkBounds},
};
use godwitspool_sync::Mutex;

use crate::{process::shared::Shared, request, rollout};

/// A link to another entry.
pub(crate) type EntryLink = Link<EntryRequest, EntryAnswer>;

/// Links to other entries, by address.
#[derive(Debug, Default)]
pub(crate) struct Links {
    links: Mutex<HashMap<SocketAddr, Arc<EntryLink>>>,
}

impl Links {
    /// Returns the link to an entry, which is created on first use.
    pub(crate) fn to(&self, address: SocketAddr) -> Arc<EntryLink> {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        let link = links
            .entry(address)
            .or_insert_with(|| Arc::new(Link::new(address, LinkBounds::default())));
        Arc::clone(link)
    }
}

/// Answers a message of another entry.
pub(crate) fn answer(shared: &Arc<Shared>, message: EntryRequest) -> EntryAnswer {
    match message {
        EntryRequest::Rollout(message) => {
            EntryAnswer::Rollout(rollout::peers::answer(shared, message))
        }
        EntryRequest::Serving(message) => {
            EntryAnswer::Serving(request::peers::answer(shared, message))
        }
    }
}
