//! Usage records: held by three hosts, sealed per data centre, then frozen and reported per window.

use std::{
    sync::{Arc, mpsc::Receiver},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use godwitspool_connection::{
    http::{PlatformApi, PlatformError},
    messages::{Member, StewardAnswer, StewardRequest, UsageRecord},
    platform::{UsageReport, UsageRow},
};
use godwitspool_process::Tick;
use godwitspool_types::{Dc, HostName, Incarnation, Millis};
use godwitspool_version::{
    HostLife, LeaseKind, RecordBody, RequestUsage, UsageFigures, UsageStep, UsageView,
    WindowFrozen, WindowTable, usage_steps,
};
use rapidhash::v3::rapidhash_v3;

use crate::process::shared::{Shared, lock};

/// Number of other hosts to which a usage record is copied before the entry ends its answer.
const PEER_COPIES: usize = 2;
/// Time after a window's end in which its last records may still arrive.
const WINDOW_GRACE: Duration = Duration::from_millis(500);
/// Time between attempts to seal, freeze and report windows.
const RETRY_INTERVAL: Millis = Millis(1_000);
/// Number of windows after which a window is frozen without the seal of a data centre.
const SEAL_WAIT_WINDOWS: u64 = 60;
/// Number of windows after which a data centre also seals records of other data centres' hosts.
const ORPHAN_AGE_WINDOWS: u64 = 2;
/// Number of windows before the current one that are still sealed.
const MAX_SEAL_BACKLOG_WINDOWS: u64 = 4;

/// Seals, freezes and reports windows until the timer stops.
pub(crate) fn run(shared: &Arc<Shared>, ticks: &Receiver<Tick>) {
    let mut next = Millis::ZERO;
    while let Ok(Tick { now }) = ticks.recv() {
        if now < next || shared.current_view.age().is_none() {
            continue;
        }
        next = now + RETRY_INTERVAL;
        let table = shared
            .reader
            .read(|replica| replica.fold().windows().clone());
        lock(&shared.usage).forget_covered(&table.coverage);
        seal(shared, &table);
        freeze_and_report(shared, &table);
    }
}

/// Stores an entry's records. Those of this host's entry are also copied to other hosts before this
/// returns; a shortage of copies is only counted.
pub(crate) fn hold(shared: &Shared, records: Vec<UsageRecord>) {
    store(shared, &records);
    let own = &shared.settings.host;
    if records.iter().all(|record| record.host != *own) {
        return;
    }
    let request = StewardRequest::HoldUsage(records);
    let mut copies = 0;
    for peer in copy_candidates(shared) {
        match shared.ask(peer.steward, &request) {
            Ok(StewardAnswer::Done) => copies += 1,
            Ok(_) | Err(_) => shared.counts.usage.count("copy-failed"),
        }
        if copies == PEER_COPIES {
            return;
        }
    }
    shared.counts.usage.count("too-few-copies");
}

/// Returns the records that this host holds.
pub(crate) fn held(shared: &Shared) -> Vec<UsageRecord> {
    lock(&shared.usage).all().map(wire_record).collect()
}

fn store(shared: &Shared, records: &[UsageRecord]) {
    let now = shared.clock.now();
    shared.reader.read(|replica| {
        let coverage = &replica.fold().windows().coverage;
        let mut held = lock(&shared.usage);
        for record in records {
            let is_new = held.hold(request_usage(record), coverage, now);
            let reason = if is_new { "held" } else { "known" };
            shared.counts.usage.count(reason);
        }
    });
}

/// Lists hosts to which records are copied: first one in this data centre, then one in another,
/// then the rest.
fn copy_candidates(shared: &Shared) -> Vec<Member> {
    let mut others = shared.gossip.members();
    others.retain(|member| member.host != shared.settings.host && !member.leaving);
    others.sort_by_key(|member| pair_hash(&shared.settings.host, &member.host));
    let is_local = |member: &&Member| member.dc == shared.settings.dc;
    let local = others.iter().position(|member| is_local(&member));
    let remote = others.iter().position(|member| !is_local(&member));
    let first = [local, remote].into_iter().flatten().collect::<Vec<_>>();
    let rest = (0..others.len()).filter(|index| !first.contains(index));
    first
        .iter()
        .copied()
        .chain(rest)
        .map(|index| others[index].clone())
        .collect()
}

/// Returns a sort key that gives each host its own order of the other hosts, which spreads the
/// copies.
fn pair_hash(one: &HostName, other: &HostName) -> u64 {
    rapidhash_v3(format!("{one}/{other}").as_bytes())
}

/// Seals the oldest window that is over and not sealed, if this host seals for its data centre.
fn seal(shared: &Shared, table: &WindowTable) {
    let members = shared.gossip.members();
    let Some(current) = window_number(shared, WINDOW_GRACE) else {
        return;
    };
    if !is_sealer(shared, &members) {
        return;
    }
    let first = table.last_frozen.map_or_else(
        || table.windows.keys().next().copied().unwrap_or(current - 1),
        |last| last + 1,
    );
    let first = first.max(current.saturating_sub(MAX_SEAL_BACKLOG_WINDOWS));
    let due = (first..current).find(|window| !table.is_sealed(*window, &shared.settings.dc));
    let Some(due) = due else {
        return;
    };
    gather(shared, &members);
    let now = shared.clock.now();
    let orphan_age = Millis(shared.settings.window.0 * ORPHAN_AGE_WINDOWS);
    let is_own = |host: &HostName| {
        let member = members.iter().find(|member| member.host == *host);
        member.is_some_and(|member| member.dc == shared.settings.dc)
    };
    let orphaned_since = if now > orphan_age {
        now - orphan_age
    } else {
        Millis::ZERO
    };
    let seal = lock(&shared.usage).seal(&shared.settings.dc, due, is_own, orphaned_since);
    shared.append(RecordBody::UsageSeal(seal));
}

/// Returns whether this host seals for its data centre: the host whose name has the lowest hash
/// does. If the hosts' member lists differ, two may seal; only the first seal in the log takes
/// effect.
fn is_sealer(shared: &Shared, members: &[Member]) -> bool {
    let dc = &shared.settings.dc;
    let local = members
        .iter()
        .filter(|member| member.dc == *dc && !member.leaving);
    let first = local.min_by_key(|member| rapidhash_v3(member.host.as_str().as_bytes()));
    first.is_some_and(|member| member.host == shared.settings.host)
}

/// Copies the records that the other hosts of the data centre hold to this host.
fn gather(shared: &Shared, members: &[Member]) {
    let local = members
        .iter()
        .filter(|member| member.dc == shared.settings.dc && member.host != shared.settings.host);
    for member in local {
        match shared.ask(member.steward, &StewardRequest::HeldUsage) {
            Ok(StewardAnswer::Usage(records)) => store(shared, &records),
            Ok(_) | Err(_) => shared.counts.usage.count("not-gathered"),
        }
    }
}

/// Returns the number of the window that was current at the given time before now, or `None` before
/// 1970.
pub(crate) fn window_number(shared: &Shared, ago: Duration) -> Option<u64> {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).ok()?;
    let at = since.checked_sub(ago)?;
    Some(at.as_millis() as u64 / shared.settings.window.0.max(1))
}

/// Freezes and reports windows if this host holds the usage lease.
fn freeze_and_report(shared: &Shared, table: &WindowTable) {
    let Some(term) = shared.leases.may_act(LeaseKind::Usage) else {
        return;
    };
    let dcs = sealing_dcs(shared);
    let Some(current) = window_number(shared, WINDOW_GRACE) else {
        return;
    };
    let view = UsageView {
        table,
        current,
        dcs: &dcs,
        seal_wait_windows: SEAL_WAIT_WINDOWS,
    };
    for step in usage_steps(view, term) {
        match step {
            UsageStep::Freeze(frozen) => shared.append(RecordBody::WindowFrozen(frozen)),
            UsageStep::Report(frozen) => report(shared, &frozen),
        }
    }
}

/// Lists the data centres whose seals each window needs: those in the configuration and those that
/// have hosts, also while they are cut off.
fn sealing_dcs(shared: &Shared) -> Vec<Dc> {
    let mut dcs = shared.reader.read(|replica| {
        let configuration = replica.fold().configuration();
        configuration.dcs.keys().cloned().collect::<Vec<_>>()
    });
    dcs.extend(shared.gossip.members().into_iter().map(|member| member.dc));
    dcs.extend(shared.gossip.cut_off());
    dcs.sort();
    dcs.dedup();
    dcs
}

/// Reports a window's frozen figures to the platform. The lease is checked once more before the
/// report's last byte is sent.
fn report(shared: &Shared, frozen: &WindowFrozen) {
    let Some(term) = shared.leases.may_act(LeaseKind::Usage) else {
        return;
    };
    let report = UsageReport {
        host: shared.settings.host.clone(),
        rows: frozen.figures.iter().map(row).collect(),
        term,
        window: frozen.window,
    };
    let may_send = || shared.leases.may_act(LeaseKind::Usage) == Some(term);
    let counts = &shared.counts.reports;
    match shared.platform.report(&report, &may_send) {
        Ok(()) => {
            counts.count("acknowledged");
            shared.append(RecordBody::WindowReported {
                term,
                window: frozen.window,
            });
        }
        Err(PlatformError::Refused { status: 409, .. }) => {
            counts.count("differs");
            log::error!(window = frozen.window; "usage report conflicts with the figures that the platform holds");
        }
        Err(error) => {
            counts.count("not-acknowledged");
            log::warn!(window = frozen.window; "usage report not acknowledged by the platform: {error}");
        }
    }
}

fn row(figures: &UsageFigures) -> UsageRow {
    UsageRow {
        workspace: figures.workspace.clone(),
        service: figures.service.clone(),
        requests: figures.requests,
        prompt_tokens: figures.prompt_tokens,
        output_tokens: figures.output_tokens,
    }
}

fn request_usage(record: &UsageRecord) -> RequestUsage {
    RequestUsage {
        figures: UsageFigures {
            workspace: record.workspace.clone(),
            service: record.service.clone(),
            requests: 1,
            prompt_tokens: record.prompt_tokens,
            output_tokens: record.output_tokens,
        },
        sequence: record.sequence,
        source: HostLife {
            host: record.host.clone(),
            incarnation: Incarnation(record.incarnation),
        },
    }
}

/// Returns a record for the wire. The request's identifier isn't stored, because the source and the
/// sequence number identify the record, so it is left at its default.
fn wire_record(usage: RequestUsage) -> UsageRecord {
    UsageRecord {
        host: usage.source.host,
        sequence: usage.sequence,
        incarnation: usage.source.incarnation.0,
        output_tokens: usage.figures.output_tokens,
        prompt_tokens: usage.figures.prompt_tokens,
        request: godwitspool_types::RequestId::default(),
        service: usage.figures.service,
        workspace: usage.figures.workspace,
    }
}
