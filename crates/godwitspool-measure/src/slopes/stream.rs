//! Slopes of the entry's data path over real sockets: what tokens, requests and open streams cost.
//!
//! Callers, stand-ins and the entry share this process. The entry's processor time is what remains
//! of the process's once that of the stand-ins' threads and of the callers is taken off.

use std::{
    io::{self, Write},
    net::TcpStream,
    thread,
    time::Duration,
};

use godwitspool_fakes::EngineOptions;

use crate::{
    process_usage::{ProcessUsage, own_thread_cpu_us, threads_cpu_us},
    series::Series,
    system::{Caller, FAKES_THREAD, System},
};

const CALLERS: usize = 16;
const ENGINES: u32 = 4;
/// Requests of one caller in a measured round.
const REQUESTS: usize = 60;
const SETTLE: Duration = Duration::from_millis(1_500);
const STREAM_COUNTS: [usize; 3] = [50, 100, 200];
const TOKEN_COUNTS: [usize; 4] = [1, 50, 100, 200];
/// Tokens of a stream that is held open.
const OPEN_TOKENS: u32 = 2_000;

pub(super) fn measure() -> io::Result<Vec<Series>> {
    Ok(vec![processor()?, resident()?])
}

fn options(step_ms: u64) -> EngineOptions {
    EngineOptions {
        kv_blocks: 1 << 20,
        request_us: 0,
        step_ms,
        ..EngineOptions::default()
    }
}

// ---------------------------------------------------------------------------
// Processor time of requests

fn processor() -> io::Result<Series> {
    let system = System::start(ENGINES, options(2))?;
    // Opens the connections, so that no stand-in's thread ends within a round.
    round_us(&system, 1)?;
    let mut figures = Vec::new();
    for tokens in TOKEN_COUNTS {
        figures.push(round_us(&system, tokens as u32)? / (CALLERS * REQUESTS) as f64);
    }
    let mut figures = figures.into_iter();
    Ok(Series::measure(
        "stream-us",
        "tokens of a request",
        "us",
        &TOKEN_COUNTS,
        |_| figures.next().unwrap_or(0.0),
    ))
}

/// Returns the entry's processor time in a round of requests.
fn round_us(system: &System, tokens: u32) -> io::Result<f64> {
    let before = ProcessUsage::read()?.cpu_us - threads_cpu_us(FAKES_THREAD)?;
    let callers_us = thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|index| {
                let caller = Caller::new(system.entry.address());
                scope.spawn(move || {
                    for request in 0..REQUESTS {
                        caller.generate(&format!("prompt {index} {request}"), tokens)?;
                    }
                    own_thread_cpu_us()
                })
            })
            .collect();
        callers.into_iter().try_fold(0.0, |sum, caller| {
            let own = caller
                .join()
                .unwrap_or_else(|_| Err(io::Error::other("caller panicked")));
            own.map(|own| sum + own)
        })
    })?;
    let after = ProcessUsage::read()?.cpu_us - threads_cpu_us(FAKES_THREAD)?;
    Ok(after - before - callers_us)
}

// ---------------------------------------------------------------------------
// Memory of open streams

/// Resident memory that open streams add, once the stand-ins hold as much as they ever will.
fn resident() -> io::Result<Series> {
    let system = System::start(ENGINES, options(50))?;
    let most = STREAM_COUNTS[STREAM_COUNTS.len() - 1];
    let direct = open(&system, most, true)?;
    thread::sleep(SETTLE);
    drop(direct);
    let base = ProcessUsage::read()?.resident_bytes;
    let mut streams = Vec::new();
    let mut figures = Vec::new();
    for count in STREAM_COUNTS {
        streams.extend(open(&system, count - streams.len(), false)?);
        thread::sleep(SETTLE);
        figures.push(ProcessUsage::read()?.resident_bytes - base);
    }
    let mut figures = figures.into_iter();
    Ok(Series::measure(
        "open-stream-bytes",
        "streams",
        "bytes",
        &STREAM_COUNTS,
        |_| figures.next().unwrap_or(0.0),
    ))
}

/// Starts streams without reading them; they end when the sockets are dropped.
fn open(system: &System, count: usize, direct: bool) -> io::Result<Vec<TcpStream>> {
    let engines = system.engines();
    (0..count)
        .map(|index| {
            let address = if direct {
                engines[index % engines.len()]
            } else {
                system.entry.address()
            };
            let mut stream = TcpStream::connect(address)?;
            let caller = Caller::new(address);
            stream.write_all(&caller.raw_request(&format!("open {index}"), OPEN_TOKENS)?)?;
            Ok(stream)
        })
        .collect()
}
