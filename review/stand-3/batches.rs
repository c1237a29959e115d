//! Batch submissions of one tenant, and calls of another one that name them.

use std::{
    io,
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome,
    http::call,
    memory::{engine, headers, submission},
    system::{System, configuration, entry, unix_ms},
    text::Json,
};

const ITEMS: usize = 48;
const BATCH: &str = "7c41e09b52d6a3f8";
/// Interval between the events of an item.
const GAP: Duration = Duration::from_millis(100);
const TIMEOUT: Duration = Duration::from_secs(5);

fn start() -> io::Result<System> {
    let system = System::start(3, 140, &configuration(1, 32 << 20))?;
    let address = engine("i-engine-1", system.record.clone(), GAP)?;
    system.store.put("keyed.servers", "i-engine-1", &entry("engine", address, 12, Some(1), unix_ms()));
    system.supervise();
    Ok(system)
}

/// Reads results of the batch from a position on; returns the status and the results' texts.
fn read(front: SocketAddr, key: &str, after: usize) -> io::Result<(u16, Vec<(String, String)>)> {
    let target = format!("/api/lots/{BATCH}?after={after}");
    let answer = call(front, "GET", &target, &headers("read", key), b"", TIMEOUT)?;
    let body = Json::parse(&answer.body);
    let results = body.get("results").list().iter();
    let results =
        results.map(|result| (result.get("id").text().to_owned(), result.get("output").text().to_owned()));
    Ok((answer.status(), results.collect()))
}

/// Reads at all machines in turn until all results are known or the time is over.
fn read_until(system: &System, key: &str, time: Duration) -> Vec<(String, String)> {
    let (due, mut results, mut turn) = (Instant::now() + time, Vec::new(), 0);
    while results.len() < ITEMS && Instant::now() < due {
        turn += 1;
        if let Ok((200, more)) = read(system.front(turn), key, results.len()) {
            results.extend(more);
        }
        thread::sleep(Duration::from_millis(300));
    }
    results
}

/// A tenant ends a batch submission of another one.
pub fn end(trouble: bool, record: &str) -> io::Result<Outcome> {
    let system = start()?;
    let log = system.record.clone();
    if !system.await_ready() {
        return Ok(Outcome::NotRun("the machines aren't ready".to_owned()));
    }
    thread::sleep(Duration::from_secs(4));
    let body = submission(BATCH, ITEMS, b"prompt");
    let answer = call(system.front(0), "POST", "/batch/", &headers(BATCH, "key-huka"), &body, TIMEOUT)?;
    log.add(format!("huka submits batch {BATCH} of {ITEMS} items: {}", answer.status()));
    if answer.status() != 202 {
        return Ok(Outcome::NotRun("the batch wasn't accepted".to_owned()));
    }
    thread::sleep(Duration::from_millis(1_000));
    if trouble {
        let (status, _) = read(system.front(1), "key-puhu", 0)?;
        log.add(format!("puhu reads batch {BATCH}: {status}"));
        let target = format!("/api/lots/{BATCH}");
        let answer = call(system.front(1), "DELETE", &target, &headers("end", "key-puhu"), b"", TIMEOUT)?;
        log.add(format!("puhu ends batch {BATCH}: {}", answer.status()));
    }
    let results = read_until(&system, "key-huka", Duration::from_secs(25));
    log.add(format!("huka, who hasn't ended the batch, has read {} of {ITEMS} results", results.len()));
    log.write(record)?;
    Ok(if results.len() < ITEMS { Outcome::Broken } else { Outcome::Held })
}

/// A tenant submits a batch under the identifier of a batch of another one.
pub fn same(trouble: bool, record: &str) -> io::Result<Outcome> {
    let system = start()?;
    let log = system.record.clone();
    if !system.await_ready() {
        return Ok(Outcome::NotRun("the machines aren't ready".to_owned()));
    }
    thread::sleep(Duration::from_secs(4));
    let body = submission(BATCH, ITEMS, b"prompt");
    let answer = call(system.front(0), "POST", "/batch/", &headers(BATCH, "key-huka"), &body, TIMEOUT)?;
    log.add(format!("huka submits batch {BATCH}: {}", answer.status()));
    let results = read_until(&system, "key-huka", Duration::from_secs(25));
    log.add(format!("huka has read {} results", results.len()));
    let mut foreign = 0;
    if trouble {
        let text = String::from_utf8_lossy(&body).replace(&format!("\"id\":\"{BATCH}"), "\"id\":\"puhu");
        let answer = call(system.front(1), "POST", "/batch/", &headers(BATCH, "key-puhu"), text.as_bytes(), TIMEOUT)?;
        log.add(format!("puhu submits a batch under the same identifier: {}", answer.status()));
        for index in 0..3 {
            let (status, results) = read(system.front(index), "key-puhu", 0)?;
            log.add(format!("puhu reads at machine {index}: {status}, {} results, the first {:?}", results.len(), results.first()));
            foreign += results.iter().filter(|(_, text)| text.contains(BATCH)).count();
        }
    }
    let (status, _) = read(system.front(2), "key-huka", 0)?;
    log.add(format!("huka reads its batch: {status}"));
    log.add(format!("{foreign} results with texts of huka's items were given to puhu"));
    log.write(record)?;
    Ok(if foreign > 0 || status != 200 { Outcome::Broken } else { Outcome::Held })
}
