use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, PoisonError},
    thread,
    time::Duration,
};

use godwitspool_sync::MutexGuard;
use godwitspool_types::{Millis, ModelName, TargetName};

use super::Shared;
use crate::{
    dialect::OperatorRecord,
    lease_clock,
    store::{READ_SLACK, Topic},
    version::{EntryOrder, Lapse, Mirror, MirrorChange},
};

/// Minimum time that one read waits for new records, however short the apply timeout is.
const MIN_READ_WAIT: Duration = Duration::from_millis(200);
/// Fraction of the apply timeout reserved for applying a configuration.
const APPLY_RESERVE_FRACTION: f64 = 0.15;
/// Pause between reads of the targets' entries, which change several times per second. It limits
/// the number of calls, and stays well below the time after which a leaving target must not be
/// used.
const TARGETS_READ_INTERVAL: Duration = Duration::from_millis(400);
/// Maximum time that one read of the targets' entries waits for new records.
const TARGETS_READ_WAIT: Duration = Duration::from_millis(300);
/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Returns how long one read waits for new records. The wait is short enough that a configuration
/// is in force within the apply timeout even if the response that carried it is lost and the read
/// is repeated after its own timeout.
///
/// ```
/// use std::time::Duration;
///
/// use godwitspool_host::{process::read_wait, store::READ_SLACK};
///
/// let apply_timeout = Duration::from_secs(2);
/// assert!(read_wait(apply_timeout) + READ_SLACK < apply_timeout);
/// ```
pub fn read_wait(apply_timeout: Duration) -> Duration {
    let spent = READ_SLACK + RETRY_DELAY + apply_timeout.mul_f64(APPLY_RESERVE_FRACTION);
    apply_timeout.saturating_sub(spent).max(MIN_READ_WAIT)
}

/// Follows the operators' records or the targets' entries until the process exits.
pub fn follow(shared: &Arc<Shared>, topic: Topic) {
    let mut lapse = Lapse::default();
    let mut order = EntryOrder::default();
    let mut unreachable = false;
    let usual_wait = if topic == Topic::Targets {
        TARGETS_READ_WAIT
    } else {
        let apply_timeout = shared.settings.apply_timeout;
        let evacuate = shared.settings.evacuate.unwrap_or(apply_timeout);
        read_wait(apply_timeout.min(evacuate))
    };
    loop {
        // While reads fail, one that waits would only take longer to fail.
        let wait = if unreachable {
            Duration::ZERO
        } else {
            usual_wait
        };
        let next = mirrors(shared)[index(topic)].next();
        let (began, lease_began) = (shared.clock.now(), lease_clock());
        let fetched = Mirror::fetch(shared.store.as_ref(), topic, next, wait);
        let now = shared.clock.now();
        match fetched {
            Ok(fetched) => {
                if unreachable {
                    log::info!(topic:?; "store answers again");
                    unreachable = false;
                }
                let changes = mirrors(shared)[index(topic)].update(fetched, now);
                lapse.succeed(now);
                let keep_until = lapse.keep_until(now);
                apply(
                    shared,
                    topic,
                    changes,
                    keep_until,
                    next.is_none(),
                    &mut order,
                );
                if topic == Topic::Operator {
                    let mut fleet = shared.fleet();
                    fleet.operator_freshness.confirm(lease_began);
                }
                if topic == Topic::Targets {
                    shared.fleet().freshness.confirm(lease_began);
                    expire(shared, now);
                    order.prune(now);
                    thread::sleep(TARGETS_READ_INTERVAL);
                }
            }
            Err(error) => {
                if !unreachable {
                    log::warn!(topic:?, error:%; "can't read from the store");
                    unreachable = true;
                }
                lapse.fail(began);
                thread::sleep(RETRY_DELAY);
            }
        }
    }
}

fn mirrors(shared: &Shared) -> MutexGuard<'_, [Mirror; 2]> {
    shared
        .mirrors
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
}

fn index(topic: Topic) -> usize {
    usize::from(topic == Topic::Targets)
}

/// Applies changes of a topic. `first` is set if they are all records of the topic.
fn apply(
    shared: &Shared,
    topic: Topic,
    changes: Vec<MirrorChange>,
    keep_until: Option<Millis>,
    first: bool,
    order: &mut EntryOrder,
) {
    if changes.is_empty() {
        return;
    }
    if topic == Topic::Targets {
        for change in changes {
            apply_target(shared, &change, keep_until, first, order);
        }
    } else {
        // Without a configuration nothing is sent. Evacuations come before the first one, so that nothing
        // is sent before they are known.
        let (configurations, others): (Vec<OperatorChange>, Vec<OperatorChange>) = changes
            .into_iter()
            .filter_map(|change| read_operator(shared, change))
            .partition(|(_, record)| matches!(record, OperatorRecord::Configuration(_)));
        for (change, record) in others.into_iter().chain(configurations) {
            apply_operator(shared, &change, record);
        }
    }
    shared.report_unserved();
    shared.notify_change();
}

/// A change of the operators' topic, and the record that it stands for.
type OperatorChange = (MirrorChange, OperatorRecord);

/// Reads an operators' record or its removal; `None` if it means nothing or is invalid.
fn read_operator(shared: &Shared, change: MirrorChange) -> Option<OperatorChange> {
    let read = match &change.value {
        Some(value) => shared.dialect.operator_record(&change.key, value),
        None => shared.dialect.operator_removal(&change.key),
    };
    match read {
        Ok(Some(record)) => Some((change, record)),
        Ok(None) => {
            log::debug!(key:% = change.key; "operators' record of another kind ignored");
            None
        }
        Err(reason) => {
            log::warn!(key:% = change.key, offset = change.offset, reason:%; "invalid operators' record ignored");
            None
        }
    }
}

fn apply_operator(shared: &Shared, change: &MirrorChange, record: OperatorRecord) {
    match record {
        OperatorRecord::Evacuation { dc, active } => {
            shared.apply_evacuation(&dc, active, change.offset);
        }
        OperatorRecord::Configuration(configuration) => {
            let (version, routes) = (configuration.version, configuration.routes.len());
            let keys = configuration.keys.len();
            if shared.apply_configuration(*configuration) {
                log::info!(version, routes, keys, offset = change.offset; "configuration in force");
            }
        }
        OperatorRecord::Version { model, version } => {
            if shared.update_version(&model, version) {
                log::info!(model:%, version, offset = change.offset; "version named");
            }
        }
    }
}

fn apply_target(
    shared: &Shared,
    change: &MirrorChange,
    keep_until: Option<Millis>,
    first: bool,
    order: &mut EntryOrder,
) {
    let name = TargetName::from(change.key.as_str());
    let Some(value) = &change.value else {
        let lapsing = keep_until.is_some();
        log::info!(target_name:% = name, lapsing, offset = change.offset; "target's entry removed");
        shared.fleet().remove(&name, keep_until);
        return;
    };
    match shared.dialect.target_entry(&change.key, value) {
        Ok((entry, seq)) => {
            if !order.is_newest(&name, entry.born, seq, shared.clock.now()) {
                log::info!(target_name:% = name, seq, offset = change.offset; "late entry of the target ignored");
                return;
            }
            let mut fleet = shared.fleet();
            let known = fleet.get(&name);
            let is_changed =
                known.is_none_or(|known| known.entry != entry || known.kept_until.is_some());
            let is_new = known.is_none_or(|known| known.entry.born != entry.born);
            let cold_left = entry.cold_left;
            let (draining, models) = (entry.draining, sorted(&entry.models));
            let (service, address, born) = (entry.service.clone(), entry.address, entry.born);
            // An unchanged entry is applied too, because it may have lapsed before.
            if fleet.apply(entry) {
                let now = shared.clock.now();
                // An entry that is read at the start of this host may be that of an old target.
                let is_cold = if is_new && !first && cold_left == Millis::ZERO {
                    fleet.presume_cold(&name, now)
                } else {
                    fleet.observe_cold(&name, born, cold_left, now)
                };
                drop(fleet);
                if is_cold {
                    shared.report_cold(&name, "entry");
                }
                if !is_changed {
                    return;
                }
                log::info!(target_name:% = name, service:%, address:%, draining, born, models:?; "target's entry");
            } else {
                log::info!(target_name:% = name, born; "entry of an earlier start of the target ignored");
            }
        }
        Err(reason) => {
            log::warn!(target_name:% = name, offset = change.offset, reason:%; "target's entry is invalid, ignored");
            shared.fleet().remove(&name, None);
        }
    }
}

/// Removes targets whose lapsed entries haven't reappeared in time.
fn expire(shared: &Shared, now: Millis) {
    for target in shared.fleet().expire(now) {
        log::info!(target_name:% = target; "target gone, its entry has not reappeared");
    }
}

/// Returns the versions sorted by model, so that all hosts log identical lines.
fn sorted(models: &HashMap<ModelName, u64>) -> BTreeMap<ModelName, u64> {
    models
        .iter()
        .map(|(model, version)| (model.clone(), *version))
        .collect()
}
