//! A worker that is lost for good while it runs samples of which each must be of a single version.

use std::{
    collections::BTreeMap,
    io, thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome,
    calls::{headers, submission},
    http::call,
    system::{MODEL, System, configuration_with},
    worker::{Floor, Worker},
};

/// Number of workers at the time of the loss; one of them is lost, a share of 0.167.
const WORKERS: usize = 6;
const SLOTS: u32 = 4;
const ITEMS: usize = WORKERS * SLOTS as usize;
/// Number of workers, the first ones, whose items are long.
const LONG: usize = 2;
const BATCH: &str = "5b1c09e2d7f34a68";
/// A long item takes 20 s, another one 0.5 s.
const EVENTS: u64 = 200;
const SHORT_EVENTS: u64 = 5;
const GAP: Duration = Duration::from_millis(100);
/// Time after which the entry of a worker that sends nothing is removed: three check-in intervals.
const SILENCE: Duration = Duration::from_millis(3_600);
/// `contact_ms` of the settings.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Time for which the trainer waits for its step.
const BUDGET: Duration = Duration::from_secs(30);
/// Time at no worker in steady state from which on the rule is broken.
const FORGOTTEN: Duration = Duration::from_secs(5);
/// Time after a version was named that doesn't count.
const NAMED: Duration = Duration::from_secs(6);

pub fn play(trouble: bool, record: &str) -> io::Result<Outcome> {
    let system = System::start(3, 140, &configuration_with(1, 32 << 20, true))?;
    let log = system.record.clone();
    let floor = Floor::default();
    let worker = |number: usize| {
        let events = if number <= LONG { EVENTS } else { SHORT_EVENTS };
        Worker::new(&format!("i-engine-{number}"), events, GAP, &floor, &log)
    };
    let workers: Vec<Worker> = (1..=WORKERS).map(worker).collect();
    for worker in &workers {
        worker.start(&system, SLOTS)?;
    }
    let lost = &workers[1];
    system.supervise();
    if !system.await_ready() {
        return Ok(Outcome::NotRun("the machines aren't ready".to_owned()));
    }
    thread::sleep(Duration::from_secs(4));
    let body = submission(BATCH, ITEMS, b"prompt");
    let answer = call(
        system.front(0),
        "POST",
        "/batch/",
        &headers(BATCH, "key-huka"),
        &body,
        Duration::from_secs(5),
    )?;
    log.add(format!(
        "batch {BATCH} of {ITEMS} items, min_version 1: {}",
        answer.status()
    ));
    if answer.status() != 202 {
        return Ok(Outcome::NotRun("the batch wasn't accepted".to_owned()));
    }
    let submitted = Instant::now();
    thread::sleep(Duration::from_secs(1));
    thread::sleep(Duration::from_secs(1));
    if floor.busy() != LONG * SLOTS as usize {
        return Ok(Outcome::NotRun(format!("{} items run", floor.busy())));
    }
    system.store.put(
        "keyed.op",
        &format!("version/{MODEL}"),
        &format!(r#"{{"model":"{MODEL}","version":2}}"#),
    );
    log.add("version 2 is named");
    let named = Instant::now();
    thread::sleep(Duration::from_secs(4));
    if trouble {
        lost.crash();
    }
    let disturbed = Instant::now();
    let steady = (disturbed + CONTACT).max(named + NAMED);
    let mut removed = !trouble;
    let mut longest: BTreeMap<String, Duration> = BTreeMap::new();
    let items: Vec<String> = (0..ITEMS).map(|index| format!("{BATCH}-{index}")).collect();
    while submitted.elapsed() < BUDGET && floor.finished() < ITEMS {
        thread::sleep(Duration::from_millis(20));
        if !removed && disturbed.elapsed() >= SILENCE {
            removed = true;
            system.store.put("keyed.servers", &lost.name, "");
            log.add(format!("the entry of {} is removed", lost.name));
        }
        let slots = (WORKERS - usize::from(trouble)) * SLOTS as usize;
        if floor.busy() * 2 >= slots || Instant::now() < steady {
            continue;
        }
        for item in &items {
            let idle = floor.idle_since(item, submitted);
            if let Some(idle) = idle.filter(|_| !floor.has_finished(item)) {
                let idle = Instant::now().saturating_duration_since(idle.max(steady));
                let most = longest.entry(item.clone()).or_default();
                *most = idle.max(*most);
            }
        }
    }
    let forgotten: Vec<_> = longest
        .iter()
        .filter(|(_, idle)| **idle >= FORGOTTEN)
        .collect();
    for (item, idle) in &forgotten {
        log.add(format!("item {item}: at no worker for {idle:?} of steady state, with the workers under half full"));
    }
    let finished = floor.finished();
    log.add(format!("{finished} of {ITEMS} items were finished within the trainer's {BUDGET:?}; {} were forgotten", forgotten.len()));
    log.write(record)?;
    Ok(if finished < ITEMS && !forgotten.is_empty() {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}
