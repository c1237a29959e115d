//! The cases.

use std::{
    io,
    sync::atomic::{AtomicUsize, Ordering},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::call,
    store::{Fault, RESULTS},
    system::{HOST, KEY, MODEL, NEW_KEY, Signal, System, submission},
    worker::{Plan, Worker, unix_ms},
};

/// `cancel_ms` of the settings.
const CANCEL: Duration = Duration::from_millis(3_000);
/// `contact_ms` of the settings, and some more.
const CONTACT: Duration = Duration::from_millis(3_200);
/// Number of items of the batch in question: they keep the workers busy for 13 s or more.
const ITEMS: usize = 64;

/// Runs a case. Returns whether its rule was broken.
pub fn run(case: &str, record: &str, trouble: bool) -> io::Result<bool> {
    match case {
        "frozen-submission" => frozen_submission(record, trouble),
        "late-submission" => late_submission(record, trouble),
        "stale-key" => stale_key(record, trouble),
        _ => Err(io::Error::other("unknown case")),
    }
}

fn engine(name: &str, slots: usize, events: u64, pace_ms: u64) -> Plan {
    Plan {
        name: name.to_owned(),
        service: "engines".to_owned(),
        slots,
        events,
        pace: Duration::from_millis(pace_ms),
        models: vec![(MODEL.to_owned(), 1)],
    }
}

/// What a trainer knows of a batch that it has ended.
struct Ended<'a> {
    id: &'a str,
    at: Instant,
    /// From when on the machines are in touch again.
    in_touch: Instant,
}

/// Sends a batch once. Returns the status of the answer, 0 without one.
fn submit(system: &System, node: usize, id: &str, items: usize, deadline_ms: u64) -> u16 {
    let body = submission(id, items, 0, 1);
    let deadline = deadline_ms.to_string();
    let headers = [
        ("Request-Id", id),
        ("Deadline-Ms", &deadline),
        ("Content-Type", "application/json"),
    ];
    // Clients wait 1.5 s longer than they allow.
    let patience = Duration::from_millis(deadline_ms + 1_500);
    let answer = system.nodes[node].call("POST", "/b/7c41e0", &headers, &body, patience);
    let status = answer.map_or(0, |answer| answer.status());
    let log = &system.record;
    log.add(format!(
        "batch {id} with {items} items sent to front-north-{node}, which answers: {status}"
    ));
    status
}

/// Ends a batch. Returns when that was acknowledged.
fn end(system: &System, node: usize, id: &str) -> io::Result<Instant> {
    for _ in 0..3 {
        let target = format!("/api/lots/{id}");
        let second = Duration::from_secs(3);
        let ended =
            system.nodes[node].call("DELETE", &target, &[("Deadline-Ms", "1500")], b"", second);
        let status = ended.map_or(0, |answer| answer.status());
        system.record.add(format!(
            "end of {id} asked of front-north-{node}, which answers: {status}"
        ));
        if status == 200 {
            return Ok(Instant::now());
        }
    }
    Err(io::Error::other("the end wasn't acknowledged"))
}

/// Records the items of an ended batch that ran. Returns the number of those that reached a worker too late.
fn count_late(system: &System, workers: &[Worker], ended: &Ended<'_>) -> usize {
    let log = &system.record;
    let mut late = 0;
    for worker in workers {
        for arrival in worker
            .arrivals()
            .iter()
            .filter(|arrival| arrival.id.starts_with(ended.id))
        {
            let is_late = arrival.at > ended.at + CANCEL && arrival.at > ended.in_touch;
            late += usize::from(is_late);
            let after = arrival.at.saturating_duration_since(ended.at).as_millis();
            let what = if is_late {
                "LATE, from a machine in touch"
            } else {
                "not counted"
            };
            let (id, name) = (&arrival.id, &worker.plan.name);
            log.add_at(
                arrival.at,
                format!("item {id} runs at {name} {after} ms after the end: {what}"),
            );
        }
    }
    log.add(format!(
        "{late} items reached a worker later than cancel_ms after the end, from machines in touch"
    ));
    late
}

/// The store leaves the writes that contain a batch unanswered, and does them 6 s later. The trainer sends the
/// batch again, as its sheet allows, and ends it.
fn late_submission(record: &str, trouble: bool) -> io::Result<bool> {
    const LOST: Duration = Duration::from_millis(4_500);
    const LATE: Duration = Duration::from_millis(6_000);
    let plans = vec![
        engine("i-7f3a91c2", 4, 40, 40),
        engine("i-02d9e6b4", 4, 40, 40),
    ];
    let (system, workers) = System::start(3, plans)?;
    system.limit(Duration::from_secs(110));
    let log = &system.record;
    let (id, owner) = batch_and_owner(&system)?;
    let id = id.as_str();
    log.add(format!("front-north-{owner} owns the partition of {id}"));
    let others: Vec<usize> = (0..3).filter(|number| *number != owner).collect();
    thread::sleep(CONTACT);
    let began = Instant::now();
    if trouble {
        let lost = id.to_owned().into_bytes();
        system.store.set_fault(move |request| {
            let holds = request.body.windows(lost.len()).any(|bytes| bytes == lost);
            // The record of an end is small.
            if began.elapsed() < LOST && holds && request.body.len() > 1_000 {
                Fault::Late(LATE)
            } else {
                Fault::None
            }
        });
        log.add("from now on the store leaves writes unanswered");
    }
    let (first, second) = (others[0], others[1]);
    let at = thread::scope(|scope| {
        // The ordinary work of another trainer.
        let work = scope.spawn(|| {
            for step in 0_u16.. {
                if began.elapsed() >= LOST {
                    return;
                }
                let other = format!("{step:04x}{}", &id[4..]);
                submit(&system, owner, &other, 4, 2_000);
                thread::sleep(Duration::from_millis(500));
            }
        });
        if submit(&system, first, id, ITEMS, 1_000) != 202 {
            submit(&system, second, id, ITEMS, 1_000);
        }
        let at = end(&system, second, id);
        let _ = work.join();
        at
    })?;
    let (appends, lost) = system.store.clear_fault();
    if trouble {
        log.add(format!(
            "the store answers again: it left {lost} of {appends} writes unanswered"
        ));
        if lost == 0 || lost as f64 > 0.35 * appends as f64 {
            return Err(io::Error::other(format!(
                "{lost} of {appends} writes unanswered"
            )));
        }
    }
    let in_touch = if trouble {
        began + LOST + LATE + CONTACT
    } else {
        at
    };
    log.add_at(in_touch, "all machines are in touch");
    thread::sleep((in_touch + Duration::from_secs(8)).saturating_duration_since(Instant::now()));
    let late = count_late(&system, &workers, &Ended { id, at, in_touch });
    log.write(record)?;
    Ok(late > 0)
}

/// A machine is frozen while it is sent a batch. The trainer leaves, and ends the batch at another machine.
fn frozen_submission(record: &str, trouble: bool) -> io::Result<bool> {
    const FREEZE: Duration = Duration::from_millis(4_000);
    let (system, workers) = System::start(3, vec![engine("i-7f3a91c2", 4, 40, 40)])?;
    system.limit(Duration::from_secs(100));
    let log = &system.record;
    // The machine that owns the batch's partition goes on undisturbed.
    let (id, owner) = batch_and_owner(&system)?;
    let id = id.as_str();
    log.add(format!("front-north-{owner} owns the partition of {id}"));
    let others: Vec<usize> = (0..3).filter(|number| *number != owner).collect();
    let (first, second) = (others[0], others[1]);
    thread::sleep(CONTACT);
    let frozen_at = Instant::now();
    if trouble {
        system.nodes[first].signal(Signal::Stop);
        log.add(format!("front-north-{first} is frozen"));
    }
    submit(&system, first, id, ITEMS, 1_500);
    let at = end(&system, second, id)?;
    if trouble {
        thread::sleep(FREEZE.saturating_sub(frozen_at.elapsed()));
        system.nodes[first].signal(Signal::Cont);
        log.add(format!("front-north-{first} goes on"));
    }
    thread::sleep(Duration::from_secs(12));
    // The owner is in touch all the while.
    let late = count_late(
        &system,
        &workers,
        &Ended {
            id,
            at,
            in_touch: at,
        },
    );
    log.write(record)?;
    Ok(late > 0)
}

/// The machine that owns a batch is frozen. Meanwhile the tenant gets a new key, with which it reads the batch at
/// other machines later than config_apply_ms after that.
fn stale_key(record: &str, trouble: bool) -> io::Result<bool> {
    const APPLY: Duration = Duration::from_millis(2_000);
    const FREEZE: Duration = Duration::from_millis(3_500);
    const COUNT: usize = 5;
    let (mut system, _workers) = System::start(COUNT, vec![engine("i-7f3a91c2", 4, 40, 40)])?;
    system.limit(Duration::from_secs(60));
    let log = system.record.clone();
    let (id, owner) = batch_and_owner(&system)?;
    log.add(format!("front-north-{owner} owns the partition of {id}"));
    let others: Vec<usize> = (0..COUNT).filter(|number| *number != owner).collect();
    if submit(&system, others[0], &id, ITEMS, 2_000) != 202 {
        return Err(io::Error::other("the batch isn't accepted"));
    }
    thread::sleep(CONTACT);
    let members = system.store.holders();
    let member = members
        .iter()
        .map(|(.., member)| member.clone())
        .find(|member| system.node_of(member) == Some(owner))
        .ok_or_else(|| io::Error::other("the owner holds no partition"))?;
    // As the answer to its renewal is on its way.
    let due = Instant::now() + Duration::from_secs(5);
    while system
        .store
        .joined(&member)
        .is_none_or(|since| since > Duration::from_millis(20))
    {
        if Instant::now() > due {
            return Err(io::Error::other("the owner doesn't renew its membership"));
        }
        thread::sleep(Duration::from_millis(2));
    }
    if trouble {
        system.nodes[owner].signal(Signal::Stop);
        log.add(format!("front-north-{owner} is frozen"));
    }
    let frozen_at = Instant::now();
    thread::sleep(Duration::from_millis(5));
    system.configure(&[KEY, NEW_KEY]);
    let named_at = Instant::now();
    log.add("the configuration with the new key is acknowledged");
    thread::sleep(
        (named_at + APPLY + Duration::from_millis(10)).saturating_duration_since(Instant::now()),
    );
    let refused = AtomicUsize::new(0);
    let system = &system;
    thread::scope(|scope| {
        for round in 0..2_u32 {
            for node in &others {
                let (id, log, refused) = (&id, &log, &refused);
                scope.spawn(move || {
                    thread::sleep(Duration::from_millis(500) * round);
                    let sent = Instant::now();
                    let target = format!("/api/lots/{id}?after=0");
                    let headers = [("Host", HOST), ("Api-Key", NEW_KEY), ("Wait-Ms", "1000")];
                    let front = system.nodes[*node].front();
                    let patience = Duration::from_millis(2_500);
                    let answer = call(front, "GET", &target, &headers, b"", patience);
                    let status = answer.map_or(0, |answer| answer.status());
                    let after = sent.duration_since(named_at).as_millis();
                    let took = sent.elapsed().as_millis();
                    let line = format!(
                        "read at front-north-{node} with the new key, {after} ms after its acknowledgement: \
                         {status} after {took} ms"
                    );
                    log.add_at(sent, line);
                    if matches!(status, 401 | 403 | 404) {
                        refused.fetch_add(1, Ordering::SeqCst);
                    }
                });
            }
        }
        if trouble {
            thread::sleep(FREEZE.saturating_sub(frozen_at.elapsed()));
            system.nodes[owner].signal(Signal::Cont);
            log.add(format!("front-north-{owner} goes on"));
        }
    });
    let refused = refused.into_inner();
    log.add(format!("{refused} reads were refused by machines in touch"));
    log.write(record)?;
    Ok(refused > 0)
}

/// Returns the identifier of a batch in partition 0, which the stand-in of the store deals anew last, and the
/// machine that holds it.
fn batch_and_owner(system: &System) -> io::Result<(String, usize)> {
    for draw in 0..200_u64 {
        let number = (unix_ms() as u64)
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(draw << 32);
        let id = format!("{number:016x}");
        let target = format!("/api/lots/{id}");
        let second = Duration::from_secs(1);
        system.nodes[0].call("GET", &target, &[], b"", second)?;
        if system.store.paged() == 0 {
            let holders = system.store.holders();
            let holder = holders
                .iter()
                .find(|(topic, part, _)| topic == RESULTS && *part == 0);
            let owner = holder.and_then(|(.., member)| system.node_of(member));
            let missing = || io::Error::other("no machine holds the partition");
            return Ok((id, owner.ok_or_else(missing)?));
        }
    }
    Err(io::Error::other("no batch in partition 0"))
}
