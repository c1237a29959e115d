//! A tenant submits a batch under the identifier of a batch of another one.

use std::{
    io,
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome,
    calls::{headers, submission},
    http::call,
    system::{System, configuration},
    text::Json,
    worker::{Floor, Worker},
};

const ITEMS: usize = 48;
const BATCH: &str = "7c41e09b52d6a3f8";
const TIMEOUT: Duration = Duration::from_secs(5);

/// Reads results of the batch from a position on; returns the status and the results' texts.
fn read(front: SocketAddr, key: &str, after: usize) -> io::Result<(u16, Vec<String>)> {
    let target = format!("/api/lots/{BATCH}?after={after}");
    let answer = call(front, "GET", &target, &headers("read", key), b"", TIMEOUT)?;
    let body = Json::parse(&answer.body);
    let results = body.get("results").list().iter();
    Ok((
        answer.status(),
        results
            .map(|result| result.get("output").text().to_owned())
            .collect(),
    ))
}

pub fn play(trouble: bool, record: &str) -> io::Result<Outcome> {
    let system = System::start(3, 140, &configuration(1, 32 << 20))?;
    let log = system.record.clone();
    let worker = Worker::new(
        "i-engine-1",
        12,
        Duration::from_millis(100),
        &Floor::default(),
        &log,
    );
    worker.start(&system, 12)?;
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
        TIMEOUT,
    )?;
    log.add(format!("huka submits batch {BATCH}: {}", answer.status()));
    let (due, mut texts, mut turn) = (Instant::now() + Duration::from_secs(25), Vec::new(), 0);
    while texts.len() < ITEMS && Instant::now() < due {
        turn += 1;
        if let Ok((200, more)) = read(system.front(turn), "key-huka", texts.len()) {
            texts.extend(more);
        }
        thread::sleep(Duration::from_millis(300));
    }
    if texts.len() < ITEMS {
        return Ok(Outcome::NotRun(format!(
            "huka has read {} results",
            texts.len()
        )));
    }
    log.add(format!("huka has read {ITEMS} results"));
    let mut foreign = 0;
    if trouble {
        let text =
            String::from_utf8_lossy(&body).replace(&format!("\"id\":\"{BATCH}"), "\"id\":\"puhu");
        let headers = headers(BATCH, "key-puhu");
        let answer = call(
            system.front(1),
            "POST",
            "/batch/",
            &headers,
            text.as_bytes(),
            TIMEOUT,
        )?;
        log.add(format!(
            "puhu submits a batch under the same identifier: {}",
            answer.status()
        ));
        for index in 0..3 {
            let (status, results) = read(system.front(index), "key-puhu", 0)?;
            log.add(format!(
                "puhu reads at machine {index}: {status}, {} results",
                results.len()
            ));
            foreign += results.len();
        }
    }
    log.add(format!(
        "{foreign} results of items that no worker has run for puhu were given to puhu"
    ));
    log.write(record)?;
    Ok(if foreign > 0 {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}
