//! Follows the platform's log and lists into the view.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use godwitspool_connection::{
    http::{Platform, PlatformApi, PlatformError},
    messages::Member,
    platform::HostEntry,
};
use godwitspool_types::Offset;
use godwitspool_version::Fold;

use crate::version::board::Board;

const LOG_POLL: Duration = Duration::from_millis(100);
const LIST_POLL: Duration = Duration::from_millis(200);
const MAX_PAGE_RECORDS: usize = 1_000;

/// Folds the log until told to stop.
pub(crate) fn follow_log(platform: &Platform, board: &Arc<Board>, stopped: &AtomicBool) {
    let mut fold = Fold::default();
    while !stopped.load(Ordering::Acquire) {
        let page = read_page(platform, &mut fold);
        board.update(|view| {
            if view.offset != fold.next() {
                view.configuration = Arc::clone(fold.configuration());
                view.offset = fold.next();
            }
        });
        match page {
            Ok(end) if fold.next() < end => continue,
            Ok(_) => board.confirm(),
            Err(error) => log::warn!("log is not read: {error}"),
        }
        thread::sleep(LOG_POLL);
    }
}

fn read_page(platform: &Platform, fold: &mut Fold) -> Result<Offset, PlatformError> {
    let page = platform.read(fold.next(), MAX_PAGE_RECORDS)?;
    for record in &page.records {
        if let Err(error) = fold.apply_text(record.offset, &record.body) {
            log::error!(offset:% = record.offset; "{error}");
        }
    }
    Ok(page.end)
}

/// Follows the lists of hosts and targets until told to stop.
pub(crate) fn follow_lists(platform: &Platform, board: &Arc<Board>, stopped: &AtomicBool) {
    while !stopped.load(Ordering::Acquire) {
        match platform.targets() {
            Ok(list) => board.update(|view| view.targets = list.targets),
            Err(error) => log::warn!("list of targets is not read: {error}"),
        }
        match platform.hosts() {
            Ok(list) => board.update(|view| {
                view.members = list.hosts.into_iter().map(member).collect();
            }),
            Err(error) => log::warn!("list of hosts is not read: {error}"),
        }
        thread::sleep(LIST_POLL);
    }
}

fn member(entry: HostEntry) -> Member {
    Member {
        host: entry.host,
        dc: entry.dc,
        entry: SocketAddr::new(entry.address, entry.entry_port),
        leaving: entry.leaving,
        steward: SocketAddr::new(entry.address, entry.steward_port),
    }
}
