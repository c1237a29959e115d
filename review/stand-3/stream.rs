//! Streams that end before the last sixth of the grace period of a machine that is stopped.

use std::{
    io::{self, BufRead, Write},
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome,
    calls::headers,
    http::{Channel, serve},
    system::{System, configuration, is_meant, stamp},
};

const STREAMS: usize = 6;
/// `bounds.grace_s` of the settings.
const GRACE: Duration = Duration::from_secs(8);
/// Time from SIGTERM until the worker has sent the last event. The last sixth of the grace period begins
/// at 6.667 s.
const LAST_EVENT: Duration = Duration::from_millis(6_635);
const EVENT_GAP: Duration = Duration::from_millis(100);
/// Time from the requests to SIGTERM.
const BEFORE: Duration = Duration::from_millis(700);

pub fn play(trouble: bool, record: &str) -> io::Result<Outcome> {
    let system = System::start(2, 140, &configuration(1, 32 << 20))?;
    let log = system.record.clone();
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    // When the streams are to end, and when the worker was still at work on one.
    let until: Arc<Mutex<Option<Instant>>> = Arc::default();
    let worked: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let (due, at_work, ran) = (Arc::clone(&until), Arc::clone(&worked), log.clone());
    let talker = serve(any, move |request, socket| {
        if !is_meant("i-talker", request, socket)? {
            return Ok(());
        }
        let id = request.get("Request-Id").unwrap_or("").to_owned();
        ran.add(format!("worker i-talker runs {id}"));
        let mut head = String::from(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nWeight-Versions: 1\r\n",
        );
        for (field, value) in stamp(request) {
            head.push_str(&format!("{field}: {value}\r\n"));
        }
        head.push_str("\r\n");
        socket.write_all(head.as_bytes())?;
        let mut number = 0;
        loop {
            number += 1;
            let event = format!("id: {number}\ndata: {id} {number}\n\n");
            let sent = socket.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes());
            if let Err(error) = sent {
                ran.add(format!(
                    "worker i-talker: the channel of {id} ends at event {number}: {error}"
                ));
                return Err(error);
            }
            at_work.lock().unwrap().push(Instant::now());
            let left = due
                .lock()
                .unwrap()
                .map(|due| due.saturating_duration_since(Instant::now()));
            if left.is_some_and(|left| left.is_zero()) {
                ran.add(format!(
                    "worker i-talker has sent the last event of {id}, {number}"
                ));
                return socket.write_all(b"0\r\n\r\n");
            }
            thread::sleep(left.unwrap_or(EVENT_GAP).min(EVENT_GAP));
        }
    })?;
    system.register("i-talker", "talker", talker, 64);
    system.supervise();
    if !system.await_ready() {
        return Ok(Outcome::NotRun("the machines aren't ready".to_owned()));
    }
    thread::sleep(Duration::from_secs(4));
    let front = system.front(0);
    let began = Instant::now();
    let mut clients = Vec::new();
    for index in 0..STREAMS {
        let log = log.clone();
        clients.push(thread::spawn(move || -> io::Result<bool> {
            let id = format!("talk-{index}");
            let mut fields = headers(&id, "key-huka");
            fields[2].1 = "20000".to_owned();
            let mut channel = Channel::open(front, Duration::from_secs(20))?;
            channel.send("POST", "/talk/x", &fields, b"hello")?;
            // The stream is complete with its last chunk.
            let (mut whole, mut events, mut error) = (false, 0, None);
            loop {
                let mut line = String::new();
                match channel.reader().read_line(&mut line) {
                    Ok(0) => break,
                    Ok(_) if line == "0\r\n" => {
                        whole = true;
                        break;
                    }
                    Ok(_) => events += usize::from(line.starts_with("id: ")),
                    Err(failed) => {
                        error = Some(failed);
                        break;
                    }
                }
            }
            log.add(format!(
                "{id}: {events} events, whole: {whole}, error: {error:?}"
            ));
            Ok(whole)
        }));
    }
    thread::sleep(BEFORE.saturating_sub(began.elapsed()));
    let stopped = Instant::now();
    if trouble {
        system.machines[0].signal("TERM");
        log.add("SIGTERM to machine 0");
    }
    *until.lock().unwrap() = Some(stopped + LAST_EVENT);
    let mut cut = 0;
    for client in clients {
        cut += usize::from(!matches!(client.join(), Ok(Ok(true))));
    }
    let last = worked
        .lock()
        .unwrap()
        .iter()
        .max()
        .map(|last| last.duration_since(stopped));
    let sixth = GRACE * 5 / 6;
    log.add(format!(
        "{cut} of {STREAMS} channels ended without a complete answer; the worker was at work until {last:?} after SIGTERM, the last sixth of the grace period begins at {sixth:?}"
    ));
    log.write(record)?;
    let excused = last.is_none_or(|last| last >= sixth);
    Ok(if cut > 0 && !excused {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}
