//! Messages to the other hosts, in order for each.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, PoisonError,
        mpsc::{self, Receiver, Sender},
    },
    thread,
    time::Duration,
};

use godwitspool_connection::messages::{EntryRequest, RolloutRequest};
use godwitspool_types::HostName;

use crate::process::shared::Shared;

const STOP_POLL: Duration = Duration::from_millis(100);

/// One queue and thread for each other host. A message that can't be sent is dropped: the steps
/// send again what is not confirmed.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    queues: Mutex<HashMap<HostName, Sender<RolloutRequest>>>,
}

impl Outbox {
    /// Queues a message.
    pub(crate) fn send(&self, shared: &Arc<Shared>, to: &HostName, message: RolloutRequest) {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        let queue = queues
            .entry(to.clone())
            .or_insert_with(|| open(shared, to.clone()));
        if let Err(mpsc::SendError(message)) = queue.send(message) {
            let queue = open(shared, to.clone());
            // The receiver of a queue just opened lives.
            queue.send(message).unwrap_or_default();
            queues.insert(to.clone(), queue);
        }
    }
}

fn open(shared: &Arc<Shared>, to: HostName) -> Sender<RolloutRequest> {
    let (sender, receiver) = mpsc::channel();
    let shared = Arc::clone(shared);
    let spawned = thread::Builder::new()
        .name("rollout-peer".to_owned())
        .spawn(move || deliver(&shared, &to, &receiver));
    if let Err(error) = spawned {
        log::error!("no thread for a peer: {error}");
    }
    sender
}

fn deliver(shared: &Arc<Shared>, to: &HostName, messages: &Receiver<RolloutRequest>) {
    while !shared.stopped() {
        let message = match messages.recv_timeout(STOP_POLL) {
            Ok(message) => message,
            Err(mpsc::RecvTimeoutError::Timeout) => continue,
            Err(mpsc::RecvTimeoutError::Disconnected) => return,
        };
        let view = shared.view();
        let Some(member) = view.members.iter().find(|member| member.host == *to) else {
            continue;
        };
        let request = EntryRequest::Rollout(message);
        if let Err(error) = shared.links.to(member.entry).call(&request) {
            log::debug!(host:% = to; "rollout message is not delivered: {error}");
        }
    }
}
