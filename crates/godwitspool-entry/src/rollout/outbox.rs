//! Messages to other hosts, sent in order to each host.

use std::{
    collections::HashMap,
    sync::{
        Arc, PoisonError,
        mpsc::{self, Receiver, Sender},
    },
    thread,
    time::Duration,
};

use godwitspool_connection::messages::{EntryRequest, RolloutRequest};
use godwitspool_sync::Mutex;
use godwitspool_types::HostName;

use crate::process::shared::Shared;

const STOP_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// One queue and thread for each other host. A message that can't be sent is dropped, since the
/// steps repeat whatever isn't confirmed.
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
            .or_insert_with(|| open_queue(shared, to.clone()));
        if let Err(mpsc::SendError(message)) = queue.send(message) {
            let queue = open_queue(shared, to.clone());
            // The receiver of a newly opened queue is still there.
            queue.send(message).unwrap_or_default();
            queues.insert(to.clone(), queue);
        }
    }
}

/// Starts the thread of a host's queue.
fn open_queue(shared: &Arc<Shared>, to: HostName) -> Sender<RolloutRequest> {
    let (sender, receiver) = mpsc::channel();
    let shared = Arc::clone(shared);
    let spawned = thread::Builder::new()
        .name("rollout-peer".to_owned())
        .spawn(move || deliver(&shared, &to, &receiver));
    if let Err(error) = spawned {
        log::error!("can't start a thread for messages to another host: {error}");
    }
    sender
}

fn deliver(shared: &Arc<Shared>, to: &HostName, messages: &Receiver<RolloutRequest>) {
    while !shared.stopped() {
        let message = match messages.recv_timeout(STOP_POLL_INTERVAL) {
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
            log::debug!(host:% = to; "can't deliver a rollout message: {error}");
        }
    }
}
