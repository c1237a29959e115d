use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, MutexGuard, PoisonError},
    thread,
    time::Duration,
};

use godwitspool_types::{Millis, ModelName, TargetName};

use super::Shared;
use crate::{
    dialect::OperatorRecord,
    store::{READ_SLACK, Topic},
    version::{Mirror, MirrorChange},
};

/// Least wait in one read, whatever the bound on the age of the configuration.
const READ_WAIT_LEAST: Duration = Duration::from_millis(200);
/// Part of the bound on the age of the configuration that is kept for applying it.
const APPLY_SHARE: f64 = 0.15;
/// Pause between reads of the targets' entries, which change several times a second: bounds the
/// calls, and stays well below the time after which a leaving target must not be used.
const TARGETS_PAUSE: Duration = Duration::from_millis(400);
/// Pause after a read that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Entries that vanish within this time after a failed read may have lapsed.
const AWAY_MEMORY: Millis = Millis(4_000);

/// Returns how long one read waits for news, so that a configuration is in force in time even if
/// the answer that carried it was lost and the read is repeated after its bound.
///
/// ```
/// use std::time::Duration;
///
/// use godwitspool_host::{process::news_wait, store::READ_SLACK};
///
/// let apply = Duration::from_secs(2);
/// assert!(news_wait(apply) + READ_SLACK < apply);
/// ```
pub fn news_wait(apply: Duration) -> Duration {
    let spent = READ_SLACK + RETRY_PAUSE + apply.mul_f64(APPLY_SHARE);
    apply.saturating_sub(spent).max(READ_WAIT_LEAST)
}

/// Follows the operators' records and the targets' entries, for as long as the process lives.
pub fn follow(shared: &Arc<Shared>, topic: Topic) {
    let mut failed: Option<Millis> = None;
    let mut away = false;
    let wait = news_wait(shared.settings.apply);
    loop {
        let next = mirrors(shared)[index(topic)].next();
        let fetched = Mirror::fetch(shared.store.as_ref(), topic, next, wait);
        let now = shared.clock.now();
        match fetched {
            Ok(fetched) => {
                if away {
                    log::info!(topic:?; "store answers again");
                    away = false;
                }
                let changes = mirrors(shared)[index(topic)].update(fetched, now);
                let lapsing = failed.is_some_and(|failed| now - failed < AWAY_MEMORY);
                apply(shared, topic, changes, lapsing);
                if topic == Topic::Targets {
                    expire(shared, now);
                    thread::sleep(TARGETS_PAUSE);
                }
            }
            Err(error) => {
                if !away {
                    log::warn!(topic:?, error:%; "store doesn't answer");
                    away = true;
                }
                failed = Some(now);
                thread::sleep(RETRY_PAUSE);
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

fn apply(shared: &Shared, topic: Topic, changes: Vec<MirrorChange>, lapsing: bool) {
    if changes.is_empty() {
        return;
    }
    for change in changes {
        match topic {
            Topic::Targets => apply_target(shared, &change, lapsing),
            _ => apply_operator(shared, &change),
        }
    }
    shared.announce();
}

fn apply_operator(shared: &Shared, change: &MirrorChange) {
    let Some(value) = &change.value else {
        return;
    };
    match shared.dialect.operator_record(&change.key, value) {
        Ok(Some(OperatorRecord::Configuration(configuration))) => {
            let (version, routes) = (configuration.version, configuration.routes.len());
            let keys = configuration.keys.len();
            if shared.configure(*configuration) {
                log::info!(version, routes, keys, offset = change.offset; "configuration in force");
            }
        }
        Ok(Some(OperatorRecord::Version { model, version })) => {
            if shared.name_version(&model, version) {
                log::info!(model:%, version, offset = change.offset; "version named");
            }
        }
        Ok(None) => log::debug!(key:% = change.key; "operators' record of another kind"),
        Err(reason) => {
            log::warn!(key:% = change.key, offset = change.offset, reason:%; "operators' record left out");
        }
    }
}

fn apply_target(shared: &Shared, change: &MirrorChange, lapsing: bool) {
    let now = shared.clock.now();
    let name = TargetName::from(change.key.as_str());
    let Some(value) = &change.value else {
        log::info!(target_name:% = name, lapsing, offset = change.offset; "target's entry removed");
        shared.fleet().remove(&name, now, lapsing);
        return;
    };
    match shared.dialect.target_entry(&change.key, value) {
        Ok(entry) => {
            let mut fleet = shared.fleet();
            let known = fleet.get(&name);
            let news = known.is_none_or(|known| known.entry != entry || known.lapsed.is_some());
            let (draining, models) = (entry.draining, sorted(&entry.models));
            let (service, address, born) = (entry.service.clone(), entry.address, entry.born);
            // An unchanged entry counts too: it may have lapsed and come back.
            if fleet.apply(entry) {
                if !news {
                    return;
                }
                log::info!(target_name:% = name, service:%, address:%, draining, born, models:?; "target's entry");
            } else {
                log::info!(target_name:% = name, born; "entry of an earlier start left out");
            }
        }
        Err(reason) => {
            log::warn!(target_name:% = name, offset = change.offset, reason:%; "target's entry left out");
            shared.fleet().remove(&name, now, false);
        }
    }
}

fn expire(shared: &Shared, now: Millis) {
    for target in shared.fleet().expire(now) {
        log::info!(target_name:% = target; "target gone, its entry hasn't come back");
    }
}

/// Returns versions in the order of their models, so that every host writes the same line.
fn sorted(models: &HashMap<ModelName, u64>) -> BTreeMap<ModelName, u64> {
    models
        .iter()
        .map(|(model, version)| (model.clone(), *version))
        .collect()
}
