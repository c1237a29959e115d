//! Permits for requests to targets that have named a limit or are cold, from the host that is the target's home.

use std::{
    collections::{HashMap, HashSet},
    sync::PoisonError,
    time::Duration,
};

use godwitspool_process::CounterByReason;
use godwitspool_sync::{Condvar, Mutex};
use godwitspool_types::{Millis, TargetName};
use serde::{Deserialize, Serialize};

use super::{Shared, peers};
use crate::{
    http::{Request, Reservation, Response},
    version::{Limiter, Permit, PermitNeed},
};

/// Path of requests for permits between hosts.
pub const PERMIT_PATH: &str = "/godwitspool/permit";
/// Time within which a home must answer: several round trips between data centres.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(100);
/// Delay before a permit is asked for again if no home could be reached.
const UNREACHABLE_RETRY: Millis = Millis(200);

/// A call to a target's home.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
enum PermitCall {
    /// The target has answered without a limit.
    End { target: TargetName, age: Millis },
    /// A host wants to send one request to the target.
    Take {
        target: TargetName,
        limit: f64,
        /// Time since the target named the limit to the asking host.
        age: Millis,
        /// Whether the asking host couldn't reach the target's home.
        stands_in: bool,
    },
    /// A host wants to send one request to a cold target. Homes of earlier builds refuse the call, so the
    /// host sends nothing.
    TakeCold {
        target: TargetName,
        /// Permits a second while it is cold.
        rate: f64,
        /// The limit that the target has also named to the asking host, and the time since.
        named: Option<(f64, Millis)>,
        /// Whether the asking host couldn't reach the target's home.
        stands_in: bool,
    },
}

/// Permits given out by this host, and wanted from others.
#[derive(Debug)]
pub struct Permits {
    limiter: Mutex<Limiter>,
    wanted: Mutex<Wanted>,
    /// Notified when permits are wanted or limits have ended.
    changed: Condvar,
    /// Number of permits asked for by outcome.
    answers: CounterByReason,
}

#[derive(Debug, Default)]
struct Wanted {
    /// Targets at which items or reward calls could run with a permit.
    targets: HashSet<TargetName>,
    /// Targets that have ended their limit, by the time of the response.
    ended: HashMap<TargetName, Millis>,
}

impl Permits {
    /// Creates the state of a host that knows of no limit.
    pub fn new(answers: CounterByReason) -> Self {
        Self {
            limiter: Mutex::default(),
            wanted: Mutex::default(),
            changed: Condvar::new(),
            answers,
        }
    }

    /// Records the limit that a response of a target names, if any.
    pub fn observe(&self, shared: &Shared, target: &TargetName, limit: Option<f64>) {
        let now = shared.clock.now();
        if !shared.fleet().observe_limit(target, limit, now) {
            return;
        }
        log::info!(target_name:% = target, limit; "target names a limit, or none any more");
        if limit.is_none() {
            let mut wanted = self.wanted.lock().unwrap_or_else(PoisonError::into_inner);
            wanted.ended.insert(target.clone(), now);
            drop(wanted);
            self.changed.notify_all();
        }
    }

    /// Has permits fetched for targets at which items or reward calls could run with one.
    pub fn want(&self, targets: Vec<TargetName>) {
        if targets.is_empty() {
            return;
        }
        let mut wanted = self.wanted.lock().unwrap_or_else(PoisonError::into_inner);
        wanted.targets.extend(targets);
        drop(wanted);
        self.changed.notify_all();
    }

    /// Fetches the permits that are wanted, and reports limits that have ended, until the process ends.
    pub fn fetch(&self, shared: &Shared) {
        loop {
            let mut wanted = self.wanted.lock().unwrap_or_else(PoisonError::into_inner);
            while wanted.targets.is_empty() && wanted.ended.is_empty() {
                let woken = self.changed.wait(wanted);
                wanted = woken.unwrap_or_else(PoisonError::into_inner);
            }
            let Wanted { targets, ended } = std::mem::take(&mut *wanted);
            drop(wanted);
            for (target, at) in ended {
                let age = shared.clock.now() - at;
                self.ask(shared, &target, |_| PermitCall::End {
                    target: target.clone(),
                    age,
                });
            }
            let mut fetched = false;
            for target in targets {
                fetched |= self.acquire(shared, &target);
            }
            if fetched {
                shared.owned_batches.waker.wake();
            }
        }
    }

    /// Asks the home of a target for a permit, which is added to the stock. Returns false if there is
    /// none, and the target is left out for some time. Blocks until a host answers or the timeouts of
    /// the home and of its stand-in have passed.
    pub fn acquire(&self, shared: &Shared, target: &TargetName) -> bool {
        let now = shared.clock.now();
        let Some(need) = shared.fleet().permit_need(target, now) else {
            return true;
        };
        let named = need.named.map(|(limit, named_at)| (limit, now - named_at));
        let answer = self.ask(shared, target, |stands_in| {
            let target = target.clone();
            match (need.cold, named) {
                (None, Some((limit, age))) => PermitCall::Take {
                    target,
                    limit,
                    age,
                    stands_in,
                },
                (rate, named) => PermitCall::TakeCold {
                    target,
                    rate: rate.unwrap_or_default(),
                    named,
                    stands_in,
                },
            }
        });
        let now = shared.clock.now();
        let mut fleet = shared.fleet();
        let (reason, permitted) = match answer {
            Some(Permit::Granted) => {
                if let Some(limited) = fleet.limited(target, now) {
                    limited.add_permit(now);
                }
                ("granted", true)
            }
            Some(Permit::Unlimited) => {
                fleet.end_limit(target);
                ("unlimited", true)
            }
            Some(Permit::Later(retry)) => {
                if let Some(limited) = fleet.limited(target, now) {
                    limited.block(retry, now);
                }
                ("later", false)
            }
            None => {
                if let Some(limited) = fleet.limited(target, now) {
                    limited.block(UNREACHABLE_RETRY, now);
                }
                ("no answer", false)
            }
        };
        drop(fleet);
        self.answers.count(reason);
        permitted
    }

    /// Calls the home of a target or, if that can't be reached, the host that stands in for it.
    fn ask(
        &self,
        shared: &Shared,
        target: &TargetName,
        call: impl Fn(bool) -> PermitCall,
    ) -> Option<Permit> {
        let homes = shared.peers.homes(shared, target.as_str());
        for (home, stands_in) in homes.into_iter().zip([false, true]) {
            let call = call(stands_in);
            if home == shared.settings.peer {
                return Some(self.answer(shared, &call));
            }
            let body = match postcard::to_stdvec(&call) {
                Ok(body) => body,
                Err(error) => {
                    log::error!(error:%; "can't encode a request for a permit");
                    return None;
                }
            };
            let request = Request::new("POST", PERMIT_PATH, body);
            match peers::call(
                shared,
                home,
                &request,
                PERMIT_TIMEOUT,
                &mut Reservation::default(),
            ) {
                Ok(answer) if answer.status == 200 => match postcard::from_bytes(&answer.body) {
                    Ok(permit) => return Some(permit),
                    Err(error) => {
                        log::warn!(home:%, error:%; "invalid answer to a request for a permit");
                    }
                },
                Ok(answer) => {
                    log::warn!(home:%, status = answer.status; "request for a permit refused");
                }
                Err(error) => {
                    log::info!(home:%, target_name:% = target, error:%; "can't ask the home of a target's limit");
                    shared.peers.mark_stale();
                }
            }
        }
        None
    }

    fn answer(&self, shared: &Shared, call: &PermitCall) -> Permit {
        let now = shared.clock.now();
        let mut limiter = self.limiter.lock().unwrap_or_else(PoisonError::into_inner);
        match call {
            PermitCall::End { target, age } => {
                limiter.end(target, now - *age);
                Permit::Unlimited
            }
            PermitCall::Take {
                target,
                limit,
                age,
                stands_in,
            } => limiter.take(target, *limit, now - *age, *stands_in, now),
            PermitCall::TakeCold {
                target,
                rate,
                named,
                stands_in,
            } => {
                let need = PermitNeed {
                    named: named.map(|(limit, age)| (limit, now - age)),
                    cold: Some(*rate),
                };
                limiter.take_for(target, need, *stands_in, now)
            }
        }
    }

    /// Answers another host.
    pub fn serve(&self, shared: &Shared, request: &Request) -> Response {
        let call = match postcard::from_bytes::<PermitCall>(&request.body) {
            Ok(call) => call,
            Err(error) => {
                log::warn!(error:%; "invalid request for a permit");
                return Response::new(400, Vec::new());
            }
        };
        match postcard::to_stdvec(&self.answer(shared, &call)) {
            Ok(bytes) => Response::new(200, bytes),
            Err(error) => {
                log::error!(error:%; "can't encode a permit");
                Response::new(500, Vec::new())
            }
        }
    }
}
