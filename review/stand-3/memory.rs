//! Batch submissions of legal size, as many as the store holds.

use std::{
    collections::HashMap,
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome,
    http::{Message, call, response, serve},
    system::{HOST, MODEL, Record, System, configuration, entry, is_meant, stamp, unix_ms},
    text::{Json, base64},
};

const MACHINES: usize = 3;
const MEMORY_MB: u64 = 140;
const BATCHES: usize = 15;
const ITEMS: usize = 42;
/// Size of an item's body with the disruption, and without it.
const LARGE_BYTES: usize = 560 * 1_000;
const SMALL_BYTES: usize = 600;
const EVENTS: u64 = 12;
/// Time from the first submission to the verdict.
const WATCH_TIME: Duration = Duration::from_secs(60);

/// A worker of a model that answers each item with a stream of events.
pub fn engine(name: &'static str, log: Record, gap: Duration) -> io::Result<SocketAddr> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    serve(any, move |request, socket| answer_item(name, request, socket, &log, gap))
}

fn answer_item(
    name: &str,
    request: &Message,
    socket: &mut TcpStream,
    log: &Record,
    gap: Duration,
) -> io::Result<()> {
    if !is_meant(name, request, socket)? {
        return Ok(());
    }
    if request.path() == "/api/order" {
        return socket.write_all(&response(200, &[], b""));
    }
    let mut head = String::from("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nWeight-Versions: 1\r\n");
    for (field, value) in stamp(request) {
        head.push_str(&format!("{field}: {value}\r\n"));
    }
    head.push_str("\r\n");
    socket.write_all(head.as_bytes())?;
    let from = request.get("Last-Event-Id").and_then(|last| last.parse::<u64>().ok());
    let id = request.get("Request-Id").unwrap_or("");
    if log_runs() {
        log.add(format!("worker {name} runs {id} after {from:?} for {:?}", request.get("Tenant")));
    }
    for number in from.map_or(1, |last| last + 1)..=EVENTS {
        let event = format!("id: {number}\ndata: {id} {number}\n\n");
        socket.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        thread::sleep(gap);
    }
    socket.write_all(b"0\r\n\r\n")
}

fn log_runs() -> bool {
    std::env::args().nth(1).is_some_and(|case| case != "memory")
}

pub fn headers(id: &str, key: &str) -> Vec<(&'static str, String)> {
    vec![
        ("Host", HOST.to_owned()),
        ("Request-Id", id.to_owned()),
        ("Deadline-Ms", "4000".to_owned()),
        ("Api-Key", key.to_owned()),
        ("Content-Type", "application/json".to_owned()),
    ]
}

/// Returns the submission of a batch.
pub fn submission(batch: &str, items: usize, body: &[u8]) -> Vec<u8> {
    let body = base64(body);
    let items: Vec<String> = (0..items)
        .map(|index| {
            format!(
                r#"{{"id":"{batch}-{index}","path":"/batch/{index}","headers":{{"Model":"{MODEL}","Token-Counts":"16,12","Prompt-Prefix":"{index:x}:16"}},"body":"{body}","num_tokens":28,"group":"g{}"}}"#,
                index / 4
            )
        })
        .collect();
    let groups = items.len() / 4;
    format!(
        r#"{{"step":0,"model":"{MODEL}","min_version":1,"target_groups":{groups},"items":[{}]}}"#,
        items.join(",")
    )
    .into_bytes()
}

pub fn play(trouble: bool, record: &str) -> io::Result<Outcome> {
    let system = System::start(MACHINES, MEMORY_MB, &configuration(1, 32 << 20))?;
    let log = system.record.clone();
    for name in ["i-engine-1", "i-engine-2"] {
        let address = engine(name, log.clone(), Duration::from_millis(20))?;
        system.store.put("keyed.servers", name, &entry("engine", address, 12, Some(1), unix_ms()));
    }
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let plain = serve(any, |request, socket| {
        if !is_meant("i-plain", request, socket)? {
            return Ok(());
        }
        socket.write_all(&response(200, &stamp(request), &[b'x'; 800]))
    })?;
    system.register("i-plain", "plain", plain, 12);
    system.supervise();
    if !system.await_ready() {
        return Ok(Outcome::NotRun("the machines aren't ready".to_owned()));
    }
    thread::sleep(Duration::from_secs(4));
    let began = Instant::now();
    let fronts: Vec<SocketAddr> = (0..MACHINES).map(|index| system.front(index)).collect();
    let (stop, looked, found) =
        (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let lookups = {
        let (stop, looked, found, fronts) = (stop.clone(), looked.clone(), found.clone(), fronts.clone());
        thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                let number = looked.fetch_add(1, Ordering::SeqCst);
                let headers = headers(&format!("lookup-{number}"), "key-huka");
                let front = fronts[number % fronts.len()];
                let answer = call(front, "POST", "/lookup/x", &headers, b"q", Duration::from_secs(4));
                if answer.is_ok_and(|answer| answer.status() == 200) {
                    found.fetch_add(1, Ordering::SeqCst);
                }
                thread::sleep(Duration::from_millis(150));
            }
        })
    };
    // Batches that were accepted, with the number of results that were read.
    let accepted: Arc<Mutex<HashMap<String, usize>>> = Arc::default();
    let mut clients = Vec::new();
    for client in 0..MACHINES {
        let (log, fronts, accepted) = (log.clone(), fronts.clone(), accepted.clone());
        clients.push(thread::spawn(move || {
            for number in 0..BATCHES / MACHINES {
                let batch = format!("{:016x}", 0x9e37_79b9_7f4a_7c15_u64.wrapping_mul((client * 64 + number + 1) as u64));
                let size = if trouble { LARGE_BYTES } else { SMALL_BYTES };
                let body = submission(&batch, ITEMS, &vec![b'p'; size]);
                for attempt in 0..6 {
                    let front = fronts[(client + attempt) % fronts.len()];
                    let answer = call(front, "POST", "/batch/", &headers(&batch, "key-huka"), &body, Duration::from_secs(6));
                    let status = answer.as_ref().map(Message::status);
                    log.add(format!("batch {batch}, {} bytes, attempt {attempt}: {status:?}", body.len()));
                    if matches!(status, Ok(202)) {
                        accepted.lock().unwrap().insert(batch.clone(), 0);
                        break;
                    }
                    thread::sleep(Duration::from_secs(1));
                }
            }
        }));
    }
    for client in clients {
        let _ = client.join();
    }
    log.add(format!("{} batches accepted, the store holds {} bytes", accepted.lock().unwrap().len(), system.store.bytes()));
    let mut turn = 0;
    while began.elapsed() < WATCH_TIME {
        let open: Vec<String> = {
            let accepted = accepted.lock().unwrap();
            accepted.iter().filter(|(_, read)| **read < ITEMS).map(|(batch, _)| batch.clone()).collect()
        };
        for batch in open {
            turn += 1;
            let after = accepted.lock().unwrap()[&batch];
            let target = format!("/api/lots/{batch}?after={after}");
            let answer = call(fronts[turn % MACHINES], "GET", &target, &headers("read", "key-huka"), b"", Duration::from_secs(3));
            if let Ok(answer) = answer
                && answer.status() == 200
            {
                let next = Json::parse(&answer.body).get("next_token").number() as usize;
                accepted.lock().unwrap().insert(batch.clone(), next);
                if next >= ITEMS {
                    let target = format!("/api/lots/{batch}");
                    let ended = call(fronts[turn % MACHINES], "DELETE", &target, &headers("end", "key-huka"), b"", Duration::from_secs(4));
                    log.add(format!("batch {batch}: all results read, its end is answered {:?}", ended.map(|answer| answer.status())));
                }
            }
        }
        thread::sleep(Duration::from_millis(500));
    }
    stop.store(true, Ordering::SeqCst);
    let _ = lookups.join();
    for (batch, read) in accepted.lock().unwrap().iter() {
        log.add(format!("batch {batch}: {read} of {ITEMS} results read"));
    }
    log.add(format!("{} of {} lookups answered", found.load(Ordering::SeqCst), looked.load(Ordering::SeqCst)));
    let mut often = 0;
    for (index, machine) in system.machines.iter().enumerate() {
        let ends = machine.ends.lock().unwrap().len();
        often += usize::from(ends >= 3);
        let peak = machine.peak_kb.load(Ordering::SeqCst);
        log.add(format!("machine {index}: its process ended {ends} times; at most {peak} kB of {} kB", MEMORY_MB * 1_024));
    }
    log.add(format!("on {often} machines a process ended three times or more; two break the rule"));
    log.write(record)?;
    Ok(if often >= 2 { Outcome::Broken } else { Outcome::Held })
}
