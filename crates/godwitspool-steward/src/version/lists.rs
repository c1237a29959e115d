//! Follows the platform's lists and writes snapshots before retention passes.

use std::sync::{Arc, mpsc::Receiver};

use godwitspool_connection::http::PlatformApi;
use godwitspool_process::Tick;
use godwitspool_types::{Millis, Offset};
use godwitspool_version::{LeaseKind, SnapshotCadence, SnapshotPosition, snapshot_records};

use crate::process::shared::{Shared, lock};

const PART_BYTES: usize = 64 << 10;
/// Time in which a snapshot's parts come back through the log.
const SNAPSHOT_WAIT: Millis = Millis(10_000);

/// Follows the lists until the timer ends.
pub(crate) fn run(shared: &Arc<Shared>, ticks: &Receiver<Tick>) {
    let mut written = shared.clock.now();
    while let Ok(tick) = ticks.recv() {
        match shared.platform.targets() {
            Ok(list) => shared.board.set_targets(list.targets),
            Err(error) => log::warn!("list of targets is not read: {error}"),
        }
        match shared.platform.hosts() {
            Ok(list) => shared.gossip.set_host_list(list.hosts),
            Err(error) => log::warn!("list of hosts is not read: {error}"),
        }
        shared.board.set_members(shared.gossip.members());
        if shared.leases.may_act(LeaseKind::Usage).is_some() {
            write_snapshot(shared, &mut written, tick.now);
        }
    }
}

/// Writes a snapshot if one is due. The holder of the usage lease does so, to have one writer.
fn write_snapshot(shared: &Shared, written: &mut Millis, now: Millis) {
    let (end, snapshot) = shared.reader.read(|replica| {
        let fold = replica.fold();
        (fold.next(), fold.snapshot_end())
    });
    if let Ok(page) = shared.platform.read(end, 1) {
        *lock(&shared.retained) = page.retained;
    }
    let position = SnapshotPosition {
        end,
        retained: *lock(&shared.retained),
        snapshot,
        written: *written,
    };
    let is_new = snapshot.is_none_or(|last| end.0 > last.0 + u64::from(end > Offset(0)));
    if is_new && now - *written >= SNAPSHOT_WAIT && SnapshotCadence::default().is_due(position, now)
    {
        let records = shared
            .reader
            .read(|replica| snapshot_records(replica.fold(), PART_BYTES));
        for record in records {
            shared.append_record(record);
        }
        *written = now;
    }
}
