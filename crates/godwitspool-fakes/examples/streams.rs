//! Measures whether fake engines reach their configured token rate: `streams [ENGINES [STREAMS]]`.
//! `STREAMS` is the number of concurrent streams per engine.

use std::{
    io::{BufRead, BufReader},
    sync::atomic::{AtomicU64, Ordering},
    thread,
    time::{Duration, Instant},
};

use godwitspool_connection::engine::{Generate, Message};
use godwitspool_fakes::{Engine, EngineOptions};

const MAX_TOKENS: u32 = 400;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut counts = std::env::args().skip(1).map(|text| text.parse::<usize>());
    let engines = counts.next().transpose()?.unwrap_or(14);
    let streams = counts.next().transpose()?.unwrap_or(16);
    let options = EngineOptions {
        kv_blocks: 1 << 20,
        ..EngineOptions::default()
    };
    let started = (0..engines).map(|_| Engine::start(options.clone()));
    let engines = started.collect::<Result<Vec<_>, _>>()?;
    let tokens = AtomicU64::new(0);
    let slowest_us = AtomicU64::new(0);
    let start = Instant::now();
    thread::scope(|scope| {
        for engine in &engines {
            for stream in 0..streams {
                let (tokens, slowest_us) = (&tokens, &slowest_us);
                scope.spawn(move || {
                    let (received, time) = read(engine, stream);
                    tokens.fetch_add(received, Ordering::Relaxed);
                    let token_us = time.as_micros() as u64 / received.max(1);
                    slowest_us.fetch_max(token_us, Ordering::Relaxed);
                });
            }
        }
    });
    let seconds = start.elapsed().as_secs_f64();
    let tokens = tokens.load(Ordering::Relaxed);
    let expected_us = options.step_ms * 1_000 + options.request_us * streams as u64;
    println!(
        "{} engines of {streams} streams: {tokens} tokens in {seconds:.1} s",
        engines.len()
    );
    println!("expected at full batch: one token per stream in {expected_us} us");
    println!(
        "slowest stream: one token in {} us",
        slowest_us.load(Ordering::Relaxed)
    );
    Ok(())
}

/// Reads one stream and returns its number of tokens and the time taken.
fn read(engine: &Engine, stream: usize) -> (u64, Duration) {
    let params = Generate {
        max_tokens: MAX_TOKENS,
        messages: vec![Message {
            content: format!("{stream}"),
            role: "user".into(),
        }],
        model: "model".into(),
        request: format!("{stream}"),
        stream: true,
        ..Generate::default()
    };
    let start = Instant::now();
    let url = format!("http://{}/v1/chat/completions", engine.address());
    let Ok(answer) = ureq::post(url).send_json(&params) else {
        return (0, start.elapsed());
    };
    let lines = BufReader::new(answer.into_body().into_reader()).lines();
    let lines = lines
        .map_while(Result::ok)
        .filter(|line| line.starts_with("data: {"));
    (lines.count() as u64, start.elapsed())
}
