//! Polls the platform's lists of targets and hosts, and writes snapshots before the log removes the
//! records that they include.

use std::sync::{Arc, mpsc::Receiver};

use godwitspool_connection::http::PlatformApi;
use godwitspool_process::Tick;
use godwitspool_types::{Millis, Offset};
use godwitspool_version::{LeaseKind, SnapshotCadence, SnapshotPosition, snapshot_records};

use crate::process::shared::{Shared, lock};

/// Maximum size of the text in one record of a snapshot.
const MAX_SNAPSHOT_PART_BYTES: usize = 64 << 10;
/// Minimum time between snapshots, so that the parts of one have been read back from the log before
/// the next one is considered.
const MIN_SNAPSHOT_INTERVAL: Millis = Millis(10_000);

/// Polls the lists at each tick until the timer stops.
pub(crate) fn run(shared: &Arc<Shared>, ticks: &Receiver<Tick>) {
    let mut written = shared.clock.now();
    while let Ok(tick) = ticks.recv() {
        match shared.platform.targets() {
            Ok(list) => shared.current_view.set_targets(list.targets),
            Err(error) => log::warn!("can't read the list of targets: {error}"),
        }
        match shared.platform.hosts() {
            Ok(list) => {
                if !list.hosts.is_empty() {
                    shared.current_view.set_hosts_listed();
                }
                shared.gossip.set_host_list(list.hosts);
            }
            Err(error) => log::warn!("can't read the list of hosts: {error}"),
        }
        shared.current_view.set_members(shared.gossip.members());
        if shared.leases.may_act(LeaseKind::Usage).is_some() {
            write_snapshot(shared, &mut written, tick.now);
        }
    }
}

/// Writes a snapshot if one is due. Only the holder of the usage lease calls this, so that there is
/// one writer.
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
    if is_new
        && now - *written >= MIN_SNAPSHOT_INTERVAL
        && SnapshotCadence::default().is_due(position, now)
    {
        let records = shared
            .reader
            .read(|replica| snapshot_records(replica.fold(), MAX_SNAPSHOT_PART_BYTES));
        for record in records {
            shared.append_record(record);
        }
        *written = now;
    }
}
