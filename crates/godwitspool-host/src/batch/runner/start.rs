//! Starts the items that wait.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use godwitspool_request::stable_hash;
use godwitspool_types::{Millis, ServiceName, TargetName};

use super::{Run, Runner, is_stale};
use crate::{
    batch::{
        Batch, EventBuffer, Finished, OwnedPartition, Pace, claimant,
        item_work::{awaits_version, discard_stranded, work_left},
    },
    dialect::ForwardContext,
    http::{Connection, Exchange, MemoryBudget},
    lease_clock,
    process::Shared,
    version::{CHOICE_LIFETIME, Configuration, Outcome, PlaceRequest, Placement, Work},
};

/// Delay after which an item is tried again that waits for the version of its output.
const BOUND_RETRY: Millis = Millis(100);

/// The outcome of an attempt to start an item.
enum Start {
    /// The item waits for a target that serves the version of its output, while others have room, or has just given
    /// its output up.
    Bound,
    /// The item waits for a faster target, and a shorter one may start.
    Deferred,
    /// No target can run the item now.
    NoRoom,
    /// The item runs.
    Run(Box<Run>),
}

/// What one look at all batches starts and finds.
struct Round<'a> {
    configuration: &'a Configuration,
    now: Millis,
    started: Vec<Run>,
    /// Number of batches that wait for a newer configuration.
    held: usize,
    /// Whether any item is left waiting.
    waiting: bool,
}

impl Runner {
    /// Starts the items that may start now; returns whether any item is left waiting.
    pub(super) fn start_items(&mut self) -> bool {
        let shared = Arc::clone(&self.shared);
        let Some(configuration) = shared.configuration() else {
            return false;
        };
        let mut round = Round {
            configuration: &configuration,
            now: shared.clock.now(),
            started: Vec::new(),
            held: 0,
            waiting: false,
        };
        let mut parts = shared.owned_batches.lock();
        self.start_batches(&mut round, &mut parts, false);
        // They would take every slot for minutes.
        let has_large = |part: &OwnedPartition| part.batches.loaded.values().any(Batch::is_large);
        if parts.values().any(has_large) {
            self.start_batches(&mut round, &mut parts, true);
        }
        drop(parts);
        let Round {
            started,
            held,
            waiting,
            ..
        } = round;
        if held != self.held {
            log::info!(batches = held, configuration = configuration.version; "batches wait for a newer configuration");
            self.held = held;
        }
        self.runs.extend(started);
        waiting
    }

    /// Starts items of the large batches, or of the others.
    fn start_batches(
        &mut self,
        round: &mut Round<'_>,
        parts: &mut BTreeMap<u32, OwnedPartition>,
        large: bool,
    ) {
        let shared = Arc::clone(&self.shared);
        for (number, part) in parts {
            if is_stale(&shared, *number, part) {
                round.waiting = true;
                continue;
            }
            let mut dropped = Vec::new();
            let ownership = (*number, part.epoch);
            let open = part
                .batches
                .loaded
                .values_mut()
                .filter(|batch| batch.is_open());
            for batch in open.filter(|batch| batch.is_large() == large) {
                if !batch.submission.runs_under(round.configuration.version) {
                    round.waiting = true;
                    round.held += 1;
                    continue;
                }
                self.start_batch(round, batch, ownership, &mut dropped);
            }
            for finished in dropped {
                part.send_result(finished);
            }
        }
    }

    /// Starts items of a batch, and gives those up that have no route any more.
    fn start_batch(
        &mut self,
        round: &mut Round<'_>,
        batch: &mut Batch,
        ownership: (u32, u64),
        dropped: &mut Vec<Finished>,
    ) {
        let shared = &Arc::clone(&self.shared);
        'batch: loop {
            let items = match batch.next_items(round.now) {
                Ok(items) => items,
                Err(soonest) => {
                    round.waiting |= soonest.is_some();
                    break;
                }
            };
            let submission = Arc::clone(&batch.submission);
            for (item, ahead) in items {
                let spec = submission.items.view(item).unwrap_or_default();
                let print = || spec.fingerprint(&submission.workspace, &submission.host);
                let claimant = claimant(shared, submission.key());
                if let Some(pause) = shared.suspicion.pause(print, &claimant) {
                    batch.postpone(item, round.now + pause);
                    continue 'batch;
                }
                let Some(route) = round
                    .configuration
                    .route(&submission.host, &submission.prefix)
                else {
                    log::warn!(batch:% = submission.id, item:% = spec.id; "item given up: its route is gone");
                    dropped.push(batch.finish(item, false));
                    continue 'batch;
                };
                let Some(service) = route.service(rand::random()).cloned() else {
                    break 'batch;
                };
                match self.start(
                    round.configuration,
                    &service,
                    batch,
                    (item, ahead),
                    round.now,
                ) {
                    Start::Run(run) => {
                        batch.start(item);
                        round.started.push(Run {
                            part: ownership.0,
                            epoch: ownership.1,
                            claim: shared.suspicion.run_claim(print, &claimant),
                            ..*run
                        });
                        continue 'batch;
                    }
                    Start::Bound => {
                        round.waiting = true;
                        batch.postpone(item, round.now + BOUND_RETRY);
                        continue 'batch;
                    }
                    Start::Deferred => round.waiting = true,
                    Start::NoRoom => {
                        round.waiting = true;
                        // The operators' record of this version may not have arrived yet.
                        let (model, oldest) = (&submission.model, submission.min_version);
                        shared.learn_version(model, oldest, "a batch");
                        break 'batch;
                    }
                }
            }
            break;
        }
    }

    /// Starts a run of an item, given with the number of wanted items that go before it.
    fn start(
        &mut self,
        configuration: &Configuration,
        service: &ServiceName,
        batch: &mut Batch,
        item: (usize, Option<usize>),
        now: Millis,
    ) -> Start {
        let (index, ahead) = item;
        let shared = &self.shared;
        let submission = Arc::clone(&batch.submission);
        let spec = submission.items.view(index).unwrap_or_default();
        let model = submission.model.clone();
        let (making, sending) = submission.items.memory_of_run(index);
        let Some(mut memory) = MemoryBudget::reserve(&shared.memory, making) else {
            return Start::NoRoom;
        };
        let mut fleet = shared.fleet();
        let assigned = self
            .assignments
            .of(&fleet, service, configuration.models(service));
        discard_stranded(shared, &fleet, service, batch, (index, now));
        let pinned = batch.pinned_version(index);
        let oldest = pinned.unwrap_or(submission.min_version);
        let versions = oldest..=pinned.unwrap_or(u64::MAX);
        let work = Work {
            ahead: ahead.unwrap_or_default(),
            patient: ahead.is_some(),
            ..work_left(&self.lengths, shared, batch, index)
        };
        let request = PlaceRequest {
            assigned: &assigned,
            dc: &shared.settings.dc,
            excluded: None,
            host: stable_hash(shared.settings.host.as_str().as_bytes()),
            model: &model,
            now,
            service,
            versions: &versions,
            work,
        };
        let placed = fleet.place(&request);
        if placed.is_none() && pinned.is_some() && awaits_version(&fleet, batch, index, request) {
            return Start::Bound;
        }
        if placed.as_ref().is_some_and(|place| place.defer) && batch.defer(index, now) {
            return Start::Deferred;
        }
        let permitted = |place: &Placement| fleet.take_permit(&place.target, now);
        let Some(place) = placed.filter(permitted) else {
            let waiting = batch.waiting_items();
            let lacking = fleet.lacking_for_item(service, &model, &versions, waiting, now);
            drop(fleet);
            shared.permits.want(lacking);
            return Start::NoRoom;
        };
        let progress = &batch.items[index].progress;
        let (name, address, born) = (place.target, place.address, place.born);
        let entries_ms = shared.observe_entry_age(&fleet);
        let context = ForwardContext {
            target: &name,
            workspace: Some(&submission.workspace),
            remaining: None,
            resume_after: progress.last_event,
            version: pinned.or(place.expected),
        };
        let mut request = shared.dialect.item_request(&submission, &spec, &context);
        fleet.start(&name);
        let Some(connection) = connect(shared, &name, address) else {
            fleet.finish(&name, Outcome::Failed, now);
            return Start::NoRoom;
        };
        drop(fleet);
        let body = Arc::new(std::mem::take(&mut request.body));
        memory.resize(sending);
        log::info!(
            batch:% = submission.id, item:% = spec.id, target_name:% = name,
            resume_after:? = progress.last_event, failures = batch.items[index].failures, entries_ms,
            events = work.events.round(), expected_ms = place.run_ms.round(),
            own_ms = place.speed.own_ms.round(), recent_ms = place.speed.recent_ms.round(),
            deferred_ms = batch.items[index].deferred_since.map_or(0, |since| (now - since).0);
            "item starts"
        );
        Start::Run(Box::new(Run {
            part: 0,
            epoch: 0,
            item: index,
            model,
            target: name,
            address,
            born,
            exchange: Exchange::with_body(connection, &request, body)
                .begin_by(lease_clock() + CHOICE_LIFETIME),
            buffer: EventBuffer::default(),
            ended_in_noise: false,
            began: now,
            last_data: now,
            head_read: false,
            broke_off: false,
            pace: Pace::default(),
            claim: None,
            service: service.clone(),
            expected: place.expected,
            _memory: memory,
            submission,
        }))
    }
}

/// Returns a connection to a target; `None` if the attempt fails immediately.
fn connect(shared: &Shared, target: &TargetName, address: SocketAddr) -> Option<Connection> {
    let connection = shared.pool.connect(address);
    let connection = connection.inspect_err(|error| {
        log::warn!(target_name:% = target, error:%; "can't connect to a target");
    });
    connection.ok()
}
