//! Tests of the fake engine: streams, crashes, weight swaps and load.

use std::{
    io::{BufRead, BufReader},
    thread,
    time::{Duration, Instant},
};

use godwitspool_connection::engine::{
    Chunk, Finish, Generate, KvHandle, Load, Message, SwapAnswer, SwapOrder,
};
use godwitspool_fakes::{
    Engine, EngineEvent, EngineOptions, SwapFault, answer_length, prompt_hash, token,
};
use godwitspool_types::{Term, WeightVersion};
use rstest::rstest;

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

fn quick() -> EngineOptions {
    EngineOptions {
        request_us: 0,
        step_ms: 1,
        swap_ms: 5,
        ..EngineOptions::default()
    }
}

fn ask(text: &str, max_tokens: u32) -> Generate {
    Generate {
        max_tokens,
        messages: vec![Message {
            content: text.into(),
            role: "user".into(),
        }],
        model: "model".into(),
        request: format!("request {text}"),
        stream: true,
        ..Generate::default()
    }
}

/// Reads events until the stream ends or breaks.
fn generate(engine: &Engine, params: &Generate) -> (Vec<Chunk>, bool) {
    let url = format!("http://{}/v1/chat/completions", engine.address());
    let Ok(answer) = ureq::post(url).send_json(params) else {
        return (Vec::new(), false);
    };
    let mut chunks = Vec::new();
    for line in BufReader::new(answer.into_body().into_reader()).lines() {
        let Ok(line) = line else {
            return (chunks, false);
        };
        match line.strip_prefix("data: ") {
            Some("[DONE]") => return (chunks, true),
            Some(json) => chunks.push(serde_json::from_str(json).expect("a chunk")),
            None => {}
        }
    }
    (chunks, false)
}

fn texts(chunks: &[Chunk]) -> Vec<String> {
    let texts = chunks
        .iter()
        .map(|chunk| chunk.choices[0].delta.content.clone());
    texts.filter(|text| !text.is_empty()).collect()
}

fn expected(params: &Generate) -> (Vec<String>, Finish) {
    let prompt = prompt_hash(&params.messages, params.seed);
    let (count, finish) = answer_length(prompt, params.max_tokens);
    (
        (0..count).map(|index| token(prompt, index)).collect(),
        finish,
    )
}

fn wait_until(mut done: impl FnMut() -> bool) {
    let start = Instant::now();
    while !done() {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "the condition was not met in time"
        );
        thread::sleep(Duration::from_millis(2));
    }
}

fn swap(engine: &Engine, version: &str, term: u64) -> Result<SwapAnswer, ureq::Error> {
    let url = format!("http://{}/admin/weights", engine.address());
    let order = SwapOrder {
        model: "model".into(),
        term: Term(term),
        version: version.into(),
    };
    ureq::post(url).send_json(&order)?.body_mut().read_json()
}

#[test]
fn streams_the_expected_tokens_and_continues_a_resumed_answer() {
    let engine = Engine::start(quick()).unwrap();
    let mut params = ask("hello", 40);
    let (tokens, finish) = expected(&params);
    let (chunks, done) = generate(&engine, &params);
    assert!(done);
    assert_eq!(texts(&chunks), tokens);
    assert_eq!(
        chunks.last().unwrap().choices[0].finish_reason,
        Some(finish)
    );

    params.resume = tokens[..7].to_vec();
    let (chunks, _) = generate(&engine, &params);
    assert_eq!(texts(&chunks), tokens[7..]);
    assert_eq!(chunks[0].choices[0].index, 7);
}

#[test]
fn a_poison_prompt_ends_all_streams_and_the_engine_refuses_until_restarted() {
    let engine = Engine::start(EngineOptions {
        step_ms: 10,
        ..quick()
    })
    .unwrap();
    thread::scope(|scope| {
        let long = scope.spawn(|| generate(&engine, &ask("long", 4_000)));
        wait_until(|| !engine.history().is_empty());
        let (_, done) = generate(&engine, &ask("a poison-prompt", 10));
        assert!(!done);
        assert!(!long.join().unwrap().1);
    });
    assert!(engine.is_crashed());
    assert!(generate(&engine, &ask("after", 10)).0.is_empty());
    engine.restart();
    assert!(generate(&engine, &ask("after", 10)).1);
}

#[test]
fn silence_leaves_connections_open_and_new_ones_work() {
    let engine = Engine::start(EngineOptions {
        step_ms: 5,
        ..quick()
    })
    .unwrap();
    thread::scope(|scope| {
        let silent = scope.spawn(|| generate(&engine, &ask("silent", 400)));
        wait_until(|| !engine.history().is_empty());
        engine.silence();
        assert!(generate(&engine, &ask("new", 10)).1);
        assert!(!silent.is_finished());
        engine.crash();
        assert!(!silent.join().unwrap().1);
    });
}

#[test]
fn an_exported_stream_continues_on_another_engine() {
    let (one, two) = (
        Engine::start(quick()).unwrap(),
        Engine::start(quick()).unwrap(),
    );
    let mut params = ask("moves", 2_000);
    params.request = "moving".into();
    let (chunks, kv) = thread::scope(|scope| {
        let first = scope.spawn(|| generate(&one, &params).0);
        wait_until(|| !one.history().is_empty());
        thread::sleep(Duration::from_millis(30));
        let url = format!("http://{}/kv/moving/export", one.address());
        let mut answer = ureq::post(url).send_empty().unwrap();
        let kv = answer.body_mut().read_json::<KvHandle>().unwrap();
        (first.join().unwrap(), kv)
    });
    assert_eq!(
        chunks.last().unwrap().choices[0].finish_reason,
        Some(Finish::Exported)
    );
    let mut tokens = texts(&chunks);
    assert_eq!(tokens.len(), kv.tokens as usize);
    params.kv = Some(kv);
    tokens.extend(texts(&generate(&two, &params).0));
    assert_eq!(tokens, expected(&params).0);
}

#[test]
fn a_cancelled_stream_ends_with_the_reason_cancelled() {
    let engine = Engine::start(quick()).unwrap();
    let mut params = ask("cancelled", 40_000);
    params.request = "gone".into();
    thread::scope(|scope| {
        let stream = scope.spawn(|| generate(&engine, &params).0);
        wait_until(|| !engine.history().is_empty());
        let url = format!("http://{}/v1/requests/gone", engine.address());
        wait_until(|| ureq::delete(&url).call().is_ok());
        let chunks = stream.join().unwrap();
        let last = chunks.last().unwrap();
        assert_eq!(last.choices[0].finish_reason, Some(Finish::Cancelled));
    });
}

#[rstest]
#[case::works(SwapFault::None, true, "v2")]
#[case::fails(SwapFault::Fails, false, "v1")]
#[case::false_success(SwapFault::FalseSuccess, true, "v1")]
fn a_swap_fault_determines_the_response_and_the_weights_in_use(
    #[case] fault: SwapFault,
    #[case] answered: bool,
    #[case] serves: &str,
) {
    let engine = Engine::start(quick()).unwrap();
    engine.set_swap_fault(fault);
    assert_eq!(swap(&engine, "v2", 3).is_ok(), answered);
    assert_eq!(engine.weights(), WeightVersion::from(serves));
    let (chunks, _) = generate(&engine, &ask("after", 4));
    assert_eq!(chunks[0].weights, WeightVersion::from(serves));
}

#[test]
fn a_late_swap_reports_failure_and_takes_effect() {
    let engine = Engine::start(quick()).unwrap();
    engine.set_swap_fault(SwapFault::Late);
    assert!(swap(&engine, "v2", 3).is_err());
    wait_until(|| engine.weights() == WeightVersion::from("v2"));
}

#[rstest]
#[case::with_fencing(true, "v3")]
#[case::without_fencing(false, "v2")]
fn an_old_term_is_refused_only_with_fencing(#[case] fencing: bool, #[case] serves: &str) {
    let engine = Engine::start(EngineOptions { fencing, ..quick() }).unwrap();
    swap(&engine, "v3", 9).unwrap();
    assert_eq!(swap(&engine, "v2", 8).is_err(), fencing);
    assert_eq!(engine.weights(), WeightVersion::from(serves));
}

#[test]
fn a_swap_in_mid_stream_shows_in_chunks_and_in_the_history() {
    let engine = Engine::start(quick()).unwrap();
    let params = ask("swapped", 1_500);
    let chunks = thread::scope(|scope| {
        let stream = scope.spawn(|| generate(&engine, &params).0);
        wait_until(|| !engine.history().is_empty());
        thread::sleep(Duration::from_millis(30));
        swap(&engine, "v2", 1).unwrap();
        stream.join().unwrap()
    });
    let count = chunks
        .iter()
        .filter(|chunk| chunk.weights.as_str() == "v1")
        .count();
    assert!(
        count > 0 && count < chunks.len() - 1,
        "{count} of {} chunks with the old version",
        chunks.len()
    );
    let ended = engine
        .history()
        .into_iter()
        .find_map(|record| match record.event {
            EngineEvent::Ended { spans, .. } => Some(spans),
            _ => None,
        });
    let spans = ended.unwrap();
    assert_eq!(spans[0].to as usize, count);
    assert_eq!(spans[1].version, WeightVersion::from("v2"));
}

#[test]
fn kv_blocks_limit_the_running_requests() {
    let options = EngineOptions {
        kv_blocks: 400,
        load_lag_ms: 0,
        step_ms: 5,
        ..quick()
    };
    let engine = Engine::start(options).unwrap();
    thread::scope(|scope| {
        for index in 0..4 {
            let params = ask(&format!("load {index}"), 3_000);
            let engine = &engine;
            scope.spawn(move || generate(engine, &params));
        }
        let url = format!("http://{}/load", engine.address());
        wait_until(|| {
            let load: Load = ureq::get(&url)
                .call()
                .unwrap()
                .body_mut()
                .read_json()
                .unwrap();
            assert!(load.kv_used <= load.kv_total);
            load.running == 2 && load.waiting == 2
        });
        engine.crash();
    });
}

#[test]
fn an_api_key_in_a_request_is_recorded() {
    let engine = Engine::start(quick()).unwrap();
    generate(&engine, &ask("gsk-0123", 4));
    let seen = engine.history().into_iter().any(|record| {
        matches!(record.event, EngineEvent::Received { key: Some(location), .. } if location == "body")
    });
    assert!(seen);
    generate(&engine, &ask("clean", 4));
    let keys = engine
        .history()
        .into_iter()
        .filter(|record| matches!(record.event, EngineEvent::Received { key: Some(_), .. }));
    assert_eq!(keys.count(), 1);
}
