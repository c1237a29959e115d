//! An item under which workers crashed, and whose owner is killed after that.

use std::{
    io, thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome,
    http::call,
    memory::{headers, submission},
    system::{System, configuration},
    worker::{Floor, Worker},
};

const WORKERS: usize = 5;
const SLOTS: u32 = 12;
const ITEMS: usize = 16;
const BATCH: &str = "3fa85f6457174562";
/// Number of crashes of workers, one worker at a time.
const CRASHES: usize = 3;
const EVENTS: u64 = 60;
const GAP: Duration = Duration::from_millis(100);
/// Time for which a crashed worker is down.
const DOWN: Duration = Duration::from_millis(1_000);
/// `contact_ms` of the settings.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Time for which the trainer waits for its step.
const BUDGET: Duration = Duration::from_secs(30);
/// Time at no worker in steady state from which on the rule is broken.
const FORGOTTEN: Duration = Duration::from_secs(5);

pub fn play(trouble: bool, record: &str) -> io::Result<Outcome> {
    let system = System::start(3, 140, &configuration(1, 32 << 20))?;
    let log = system.record.clone();
    let floor = Floor::default();
    let workers: Vec<Worker> = (1..=WORKERS)
        .map(|number| Worker::new(&format!("i-engine-{number}"), EVENTS, GAP, &floor, &log))
        .collect();
    for worker in &workers {
        worker.start(&system, SLOTS)?;
    }
    system.supervise();
    if !system.await_ready() {
        return Ok(Outcome::NotRun("the machines aren't ready".to_owned()));
    }
    thread::sleep(Duration::from_secs(4));
    let body = submission(BATCH, ITEMS, b"prompt");
    let answer = call(system.front(0), "POST", "/batch/", &headers(BATCH, "key-huka"), &body, Duration::from_secs(5))?;
    log.add(format!("batch {BATCH} of {ITEMS} items: {}", answer.status()));
    if answer.status() != 202 {
        return Ok(Outcome::NotRun("the batch wasn't accepted".to_owned()));
    }
    let submitted = Instant::now();
    let item = format!("{BATCH}-0");
    let mut steady = submitted + CONTACT;
    // KILL=0 leaves out the kill of the owner.
    let kills = std::env::var("KILL").map_or(true, |value| value != "0");
    if trouble {
        for _ in 0..CRASHES {
            let Some(place) = await_run(&floor, &item, Duration::from_millis(300)) else {
                return Ok(Outcome::NotRun("the item isn't run".to_owned()));
            };
            let Some(worker) = workers.iter().find(|worker| worker.name == place) else {
                return Ok(Outcome::NotRun("the worker isn't known".to_owned()));
            };
            worker.crash();
            thread::sleep(DOWN);
            worker.start(&system, SLOTS)?;
        }
        steady = Instant::now() + CONTACT;
        if kills {
            if await_run(&floor, &item, Duration::from_millis(300)).is_none() {
                return Ok(Outcome::NotRun("the item isn't run again".to_owned()));
            }
            let owner = system.store.owner_of(BATCH);
            let machine = system.machines.iter().find(|machine| owner.starts_with(&format!("{}:", machine.ip)));
            let Some(machine) = machine else {
                return Ok(Outcome::NotRun(format!("owner {owner:?} isn't known")));
            };
            log.add(format!("SIGKILL to the machine {} that runs the batch", machine.ip));
            machine.signal("KILL");
            steady = Instant::now() + Duration::from_millis(600) + CONTACT;
        }
    }
    let mut longest = Duration::ZERO;
    while submitted.elapsed() < BUDGET && !floor.has_finished(&item) {
        thread::sleep(Duration::from_millis(20));
        if let Some(left) = floor.idle_since(&item, submitted) {
            let idle = Instant::now().saturating_duration_since(left.max(steady));
            if floor.busy() * 2 < WORKERS * SLOTS as usize {
                longest = longest.max(idle);
            }
        }
    }
    let finished = floor.has_finished(&item);
    log.add(format!(
        "item {item}: finished {finished} within the trainer's {BUDGET:?}; at no worker for {longest:?} of steady state, with the workers under half full"
    ));
    log.add(format!("{} runs of {ITEMS} items were finished", floor.finished()));
    log.write(record)?;
    Ok(if !finished && longest >= FORGOTTEN { Outcome::Broken } else { Outcome::Held })
}

/// Waits until an item has been at a worker for some time, and returns the worker.
fn await_run(floor: &Floor, item: &str, time: Duration) -> Option<String> {
    let due = Instant::now() + Duration::from_secs(15);
    while Instant::now() < due {
        if let Some((worker, since)) = floor.place(item)
            && since >= time
        {
            return Some(worker);
        }
        thread::sleep(Duration::from_millis(10));
    }
    None
}
