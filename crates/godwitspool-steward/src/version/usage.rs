//! Usage: held by three hosts, sealed by data centre, frozen and reported.

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

/// Other hosts that hold a usage record before the entry may end its answer.
const COPIES: usize = 2;
/// Time after a window's end in which its last records arrive.
const GRACE: Duration = Duration::from_millis(500);
/// Time between attempts to seal, freeze or report the same window.
const RETRY: Millis = Millis(1_000);
/// Windows for which a data centre's seal is waited for.
const PATIENCE_WINDOWS: u64 = 60;
/// Windows after which any data centre seals a record that its own has not.
const ORPHAN_WINDOWS: u64 = 2;
const MAX_SEALED_AT_ONCE: u64 = 4;

/// Seals, freezes and reports until the timer ends.
pub(crate) fn run(shared: &Arc<Shared>, ticks: &Receiver<Tick>) {
    let mut next = Millis::ZERO;
    while let Ok(Tick { now }) = ticks.recv() {
        if now < next || shared.board.age().is_none() {
            continue;
        }
        next = now + RETRY;
        let book = shared
            .reader
            .read(|replica| replica.fold().windows().clone());
        lock(&shared.usage).forget_covered(&book.coverage);
        seal(shared, &book);
        lead(shared, &book);
    }
}

// --- Holding

/// Holds an entry's records; those of the own entry are held by other hosts too before this returns.
pub(crate) fn hold(shared: &Shared, records: Vec<UsageRecord>) {
    take(shared, &records);
    let own = &shared.settings.host;
    if records.iter().all(|record| record.host != *own) {
        return;
    }
    let request = StewardRequest::HoldUsage(records);
    let mut copies = 0;
    for peer in keepers(shared) {
        match shared.ask(peer.steward, &request) {
            Ok(StewardAnswer::Done) => copies += 1,
            Ok(_) | Err(_) => shared.counts.usage.count("copy-failed"),
        }
        if copies == COPIES {
            return;
        }
    }
    shared.counts.usage.count("too-few-copies");
}

/// Returns the records that are held here.
pub(crate) fn held(shared: &Shared) -> Vec<UsageRecord> {
    lock(&shared.usage).all().map(wire_record).collect()
}

fn take(shared: &Shared, records: &[UsageRecord]) {
    let now = shared.clock.now();
    shared.reader.read(|replica| {
        let coverage = &replica.fold().windows().coverage;
        let mut held = lock(&shared.usage);
        for record in records {
            let taken = held.hold(request_usage(record), coverage, now);
            let reason = if taken { "held" } else { "known" };
            shared.counts.usage.count(reason);
        }
    });
}

/// Lists hosts to hold copies: first one of the own data centre, then one of another, then the rest.
fn keepers(shared: &Shared) -> Vec<Member> {
    let mut others = shared.gossip.members();
    others.retain(|member| member.host != shared.settings.host && !member.leaving);
    others.sort_by_key(|member| weight(&shared.settings.host, &member.host));
    let is_near = |member: &&Member| member.dc == shared.settings.dc;
    let near = others.iter().position(|member| is_near(&member));
    let far = others.iter().position(|member| !is_near(&member));
    let first = [near, far].into_iter().flatten().collect::<Vec<_>>();
    let rest = (0..others.len()).filter(|index| !first.contains(index));
    first
        .iter()
        .copied()
        .chain(rest)
        .map(|index| others[index].clone())
        .collect()
}

fn weight(one: &HostName, other: &HostName) -> u64 {
    rapidhash_v3(format!("{one}/{other}").as_bytes())
}

// --- Sealing

/// Seals what windows are over, if this host is the one to do so for its data centre.
fn seal(shared: &Shared, book: &WindowTable) {
    let members = shared.gossip.members();
    let Some(current) = window(shared, GRACE) else {
        return;
    };
    if !is_sealer(shared, &members) {
        return;
    }
    let first = book.last_frozen.map_or_else(
        || book.windows.keys().next().copied().unwrap_or(current - 1),
        |last| last + 1,
    );
    let first = first.max(current.saturating_sub(MAX_SEALED_AT_ONCE));
    let due = (first..current).find(|window| !book.is_sealed(*window, &shared.settings.dc));
    let Some(due) = due else {
        return;
    };
    gather(shared, &members);
    let now = shared.clock.now();
    let orphan = Millis(shared.settings.window.0 * ORPHAN_WINDOWS);
    let is_own = |host: &HostName| {
        let member = members.iter().find(|member| member.host == *host);
        member.is_some_and(|member| member.dc == shared.settings.dc)
    };
    let orphaned = if now > orphan {
        now - orphan
    } else {
        Millis::ZERO
    };
    let seal = lock(&shared.usage).seal(&shared.settings.dc, due, is_own, orphaned);
    shared.append(RecordBody::UsageSeal(seal));
}

/// Tells whether this host seals for its data centre: the first in an order that all its hosts know.
/// Two that both believe so are harmless, since the first seal in the log counts.
fn is_sealer(shared: &Shared, members: &[Member]) -> bool {
    let dc = &shared.settings.dc;
    let near = members
        .iter()
        .filter(|member| member.dc == *dc && !member.leaving);
    let first = near.min_by_key(|member| rapidhash_v3(member.host.as_str().as_bytes()));
    first.is_some_and(|member| member.host == shared.settings.host)
}

/// Takes what the other hosts of the data centre hold.
fn gather(shared: &Shared, members: &[Member]) {
    let near = members
        .iter()
        .filter(|member| member.dc == shared.settings.dc && member.host != shared.settings.host);
    for member in near {
        match shared.ask(member.steward, &StewardRequest::HeldUsage) {
            Ok(StewardAnswer::Usage(records)) => take(shared, &records),
            Ok(_) | Err(_) => shared.counts.usage.count("not-gathered"),
        }
    }
}

/// Returns the window that runs, or that ran a while ago.
pub(crate) fn window(shared: &Shared, ago: Duration) -> Option<u64> {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).ok()?;
    let at = since.checked_sub(ago)?;
    Some(at.as_millis() as u64 / shared.settings.window.0.max(1))
}

// --- Leading

fn lead(shared: &Shared, book: &WindowTable) {
    let Some(term) = shared.leases.may_act(LeaseKind::Usage) else {
        return;
    };
    let dcs = expected(shared);
    let Some(current) = window(shared, GRACE) else {
        return;
    };
    let view = UsageView {
        table: book,
        current,
        dcs: &dcs,
        seal_wait_windows: PATIENCE_WINDOWS,
    };
    for step in usage_steps(view, term) {
        match step {
            UsageStep::Freeze(frozen) => shared.append(RecordBody::WindowFrozen(frozen)),
            UsageStep::Report(frozen) => report(shared, &frozen),
        }
    }
}

/// Lists the data centres whose seals are waited for: the operators', and any that has a host.
fn expected(shared: &Shared) -> Vec<Dc> {
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

/// Reports frozen figures. The lease is checked once more before the report's last byte is sent.
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
            log::error!(window = frozen.window; "the platform holds other figures");
        }
        Err(error) => {
            counts.count("not-acknowledged");
            log::warn!(window = frozen.window; "not acknowledged: {error}");
        }
    }
}

// --- Wire forms

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

/// The request's own identity isn't kept once it is held; the source and sequence identify it.
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
