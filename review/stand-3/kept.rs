//! Ordinary callers on kept channels while large bodies of legal size are being handled.

use std::{
    io::{self, Write},
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    Outcome,
    http::{Channel, call, response, serve},
    system::{HOST, System, configuration, is_meant, stamp},
};

/// Time for which the worker of the uploads works on one.
const UPLOAD_TIME: Duration = Duration::from_secs(8);
/// Sizes of the uploads, and how many of each are sent. All are far below `max_body_bytes`.
const UPLOADS: [(usize, usize); 3] = [(4 << 20, 20), (500_000, 8), (70_000, 30)];
/// Size of the answers of the ordinary callers.
const ANSWER_BYTES: usize = 56_000;
/// Size of the first piece of an answer, and the time until the worker sends the rest.
const FIRST_BYTES: usize = 40_000;
const PIECE_PAUSE: Duration = Duration::from_millis(30);
const CALLERS: usize = 10;

pub fn play(trouble: bool, record: &str) -> io::Result<Outcome> {
    let system = System::start(2, 140, &configuration(1, 32 << 20))?;
    let log = system.record.clone();
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let ran = log.clone();
    let plain = serve(any, move |request, socket| {
        if !is_meant("i-plain", request, socket)? {
            return Ok(());
        }
        let size = request
            .path()
            .rsplit('/')
            .next()
            .and_then(|size| size.parse().ok());
        ran.add(format!(
            "worker i-plain runs {}",
            request.get("Request-Id").unwrap_or("")
        ));
        let answer = response(200, &stamp(request), &vec![b'x'; size.unwrap_or(800)]);
        // A longer answer is sent as it is made.
        let (first, rest) = answer.split_at(answer.len().min(FIRST_BYTES));
        socket.write_all(first)?;
        if !rest.is_empty() {
            thread::sleep(PIECE_PAUSE);
        }
        socket.write_all(rest)
    })?;
    let running = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&running);
    let uploads = serve(any, move |request, socket| {
        if !is_meant("i-store", request, socket)? {
            return Ok(());
        }
        count.fetch_add(1, Ordering::SeqCst);
        thread::sleep(UPLOAD_TIME);
        socket.write_all(&response(200, &stamp(request), b"stored"))
    })?;
    system.register("i-plain", "plain", plain, 64);
    system.register("i-store", "store", uploads, 64);
    system.supervise();
    if !system.await_ready() {
        return Ok(Outcome::NotRun("the machines aren't ready".to_owned()));
    }
    thread::sleep(Duration::from_secs(4));
    let front = system.front(0);
    let headers = |id: String, deadline: u64| {
        vec![
            ("Host", HOST.to_owned()),
            ("Request-Id", id),
            ("Deadline-Ms", deadline.to_string()),
            ("Api-Key", "key-huka".to_owned()),
        ]
    };
    let timeout = Duration::from_secs(25);
    let mut crowd = Vec::new();
    if trouble {
        for (size, count) in UPLOADS {
            for index in 0..count {
                let id = format!("upload-{size}-{index}");
                let (log, headers) = (log.clone(), headers(id.clone(), 20_000));
                crowd.push(thread::spawn(move || {
                    let body = vec![b'u'; size];
                    let answer = call(front, "POST", "/upload/x", &headers, &body, timeout);
                    let answer = answer.map(|answer| answer.status());
                    log.add(format!("{id} of {size} bytes: {answer:?}"));
                }));
            }
            thread::sleep(Duration::from_millis(1_300));
        }
        log.add(format!(
            "{} uploads run at their worker",
            running.load(Ordering::SeqCst)
        ));
    }
    let mut closed = 0;
    for index in 0..CALLERS {
        let mut channel = Channel::open(front, timeout)?;
        for size in [800, ANSWER_BYTES] {
            let id = format!("lookup-{index}-{size}");
            let answer = channel.call(
                "POST",
                &format!("/lookup/{size}"),
                &headers(id.clone(), 4_000),
                b"q",
            );
            match answer {
                Ok(answer) => {
                    let bytes = answer.body.len();
                    log.add(format!("{id}: status {}, {bytes} bytes", answer.status()));
                }
                Err(error) => {
                    closed += 1;
                    log.add(format!("{id}: channel ends without an answer: {error}"));
                    break;
                }
            }
        }
    }
    for upload in crowd {
        let _ = upload.join();
    }
    log.add(format!("{closed} requests on kept channels were closed without an answer; more than 3 break the rule"));
    log.write(record)?;
    Ok(if closed > 3 {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}
