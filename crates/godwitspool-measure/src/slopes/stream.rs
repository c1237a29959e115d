//! Slopes of the entry's data path over real sockets: CPU time by tokens, memory by open streams.
//!
//! Callers, fakes, the entry and a steward share this process. The CPU time of the entry is taken as
//! that of the process minus that of the threads of the callers and the fakes, so it includes the
//! time of the steward.

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
const ENGINE_COUNT: u32 = 4;
/// Number of requests that each caller sends in a measured round.
const REQUESTS_PER_CALLER: usize = 60;
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
const STREAM_COUNTS: [usize; 3] = [50, 100, 200];
const TOKEN_COUNTS: [usize; 4] = [1, 50, 100, 200];
/// Number of tokens of a stream that is held open.
const OPEN_TOKENS: u32 = 2_000;

pub(super) fn measure() -> io::Result<Vec<Series>> {
    Ok(vec![measure_cpu()?, measure_memory()?])
}

fn options(step_ms: u64) -> EngineOptions {
    EngineOptions {
        kv_blocks: 1 << 20,
        request_us: 0,
        step_ms,
        ..EngineOptions::default()
    }
}

fn measure_cpu() -> io::Result<Series> {
    let system = System::start(ENGINE_COUNT, options(2))?;
    // Opens the connections, so that no thread of a fake ends within a measured round.
    round_cpu_us(&system, 1)?;
    let mut values = Vec::new();
    for tokens in TOKEN_COUNTS {
        values.push(round_cpu_us(&system, tokens as u32)? / (CALLERS * REQUESTS_PER_CALLER) as f64);
    }
    let mut values = values.into_iter();
    Ok(Series::measure(
        "stream-us",
        "tokens of a request",
        "us",
        &TOKEN_COUNTS,
        |_| values.next().unwrap_or(0.0),
    ))
}

/// Returns the CPU time of the entry in a round of requests.
fn round_cpu_us(system: &System, tokens: u32) -> io::Result<f64> {
    let before = ProcessUsage::read()?.cpu_us - threads_cpu_us(FAKES_THREAD)?;
    let callers_us = thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|index| {
                let caller = Caller::new(system.entry.address());
                scope.spawn(move || {
                    for request in 0..REQUESTS_PER_CALLER {
                        caller.generate(&format!("prompt {index} {request}"), tokens)?;
                    }
                    own_thread_cpu_us()
                })
            })
            .collect();
        callers.into_iter().try_fold(0.0, |sum, caller| {
            let own_us = caller
                .join()
                .unwrap_or_else(|_| Err(io::Error::other("caller panicked")));
            own_us.map(|own_us| sum + own_us)
        })
    })?;
    let after = ProcessUsage::read()?.cpu_us - threads_cpu_us(FAKES_THREAD)?;
    Ok(after - before - callers_us)
}

/// Measures the resident memory that open streams add.
fn measure_memory() -> io::Result<Series> {
    let system = System::start(ENGINE_COUNT, options(50))?;
    let max_streams = STREAM_COUNTS[STREAM_COUNTS.len() - 1];
    // Streams that bypass the entry bring the fakes to their maximum memory before the baseline is
    // read.
    let direct = open_streams(&system, max_streams, true)?;
    thread::sleep(SETTLE_TIME);
    drop(direct);
    let base_bytes = ProcessUsage::read()?.resident_bytes;
    let mut streams = Vec::new();
    let mut values = Vec::new();
    for count in STREAM_COUNTS {
        streams.extend(open_streams(&system, count - streams.len(), false)?);
        thread::sleep(SETTLE_TIME);
        values.push(ProcessUsage::read()?.resident_bytes - base_bytes);
    }
    let mut values = values.into_iter();
    Ok(Series::measure(
        "open-stream-bytes",
        "streams",
        "bytes",
        &STREAM_COUNTS,
        |_| values.next().unwrap_or(0.0),
    ))
}

/// Starts streams without reading them. They end when the sockets are dropped.
fn open_streams(system: &System, count: usize, direct: bool) -> io::Result<Vec<TcpStream>> {
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
