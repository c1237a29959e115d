//! The engine's HTTP API.

use std::{net::SocketAddr, sync::Arc, thread, time::Duration};

use godwitspool_connection::engine::{Generate, SwapAnswer, SwapOrder};
use godwitspool_types::WeightVersion;
use tiny_http::{Method, Request};

use crate::{
    batch::Sequence,
    engine::{Shared, State},
    engine_event::EngineEvent,
    engine_options::SwapFault,
    server::{
        EventStream, find_key, lock, read_body, read_json, respond_json, respond_status, wall_ms,
    },
    token::prompt_hash,
};

const LATE_SWAP_DELAY: Duration = Duration::from_secs(1);
const STORE_RETRY_DELAY: Duration = Duration::from_millis(50);
const MAX_STORE_ATTEMPTS: u32 = 100;
/// Bytes of prompt text that count as one token.
const BYTES_PER_TOKEN: usize = 4;

/// Handles one request.
pub(crate) fn handle(mut request: Request, shared: &Arc<Shared>) {
    let body = read_body(&mut request);
    let key = find_key(&request, &body);
    let url = request.url().to_owned();
    let parts = url.trim_start_matches('/').split('/').collect::<Vec<_>>();
    let is_generation = url == "/v1/chat/completions";
    if let (Some(location), false) = (&key, is_generation) {
        shared.record(
            &mut lock(&shared.state),
            EngineEvent::KeySeen(location.clone()),
        );
    }
    match (request.method(), parts.as_slice()) {
        (Method::Post, ["v1", "chat", "completions"]) => generate(request, &body, key, shared),
        (Method::Delete, ["v1", "requests", id]) => cancel(request, id, shared),
        (Method::Post, ["kv", id, "export"]) => export(request, id, shared),
        (Method::Post, ["admin", "weights"]) => swap(request, &body, shared),
        (Method::Get, ["load"]) => load(request, shared),
        (Method::Get, ["history"]) => {
            let history = lock(&shared.state).full_history(&shared.options.target);
            respond_json(request, &history);
        }
        (Method::Get, [path]) if path.starts_with("cache") => cache(request, path, shared),
        _ => respond_status(request, 404, "no such call"),
    }
}

fn generate(request: Request, body: &[u8], key: Option<String>, shared: &Arc<Shared>) {
    let params = match read_json::<Generate>(body) {
        Ok(params) => params,
        Err(error) => return respond_status(request, 400, &error),
    };
    if params.model != shared.options.model {
        return respond_status(request, 404, "no such model");
    }
    let prompt = prompt_hash(&params.messages, params.seed);
    if params
        .kv
        .as_ref()
        .is_some_and(|kv| kv.blob != format!("{prompt:016x}"))
    {
        return respond_status(request, 400, "KV cache of another prompt");
    }
    let next = params
        .kv
        .as_ref()
        .map_or(params.resume.len() as u32, |kv| kv.tokens);
    let event = EngineEvent::Received {
        key,
        max_tokens: params.max_tokens,
        messages: prompt_hash(&params.messages, 0),
        prompt,
        request: params.request.clone(),
        start: next,
    };
    {
        let mut state = lock(&shared.state);
        if state.crashed {
            return;
        }
        shared.record(&mut state, event);
    }
    let Ok(stream) = EventStream::start(request) else {
        return;
    };
    let mut state = lock(&shared.state);
    let state = &mut *state;
    if state.crashed {
        return;
    }
    let sequence = sequence(params, prompt, next, stream, shared, state);
    state.batch.push(sequence);
    shared.wake.notify_all();
}

fn sequence(
    params: Generate,
    prompt: u64,
    next: u32,
    stream: EventStream,
    shared: &Shared,
    state: &mut State,
) -> Sequence {
    let options = &shared.options;
    let cached = state.cache.touch(&params.messages, wall_ms());
    let count = |messages: &[_]| prompt_tokens(messages);
    let uncached = if params.kv.is_some() {
        0
    } else {
        count(&params.messages[cached..]) + next
    };
    let tokens = count(&params.messages) + params.max_tokens;
    let (end, finish) = Sequence::end_for(prompt, params.max_tokens);
    let poison = !options.poison.is_empty()
        && params
            .messages
            .iter()
            .any(|message| message.content.contains(&options.poison));
    Sequence {
        blocks: u64::from(tokens.div_ceil(options.block_tokens.max(1))),
        end,
        finish,
        next,
        poison,
        prefill: uncached / options.prefill_tokens.max(1),
        prompt,
        request: params.request,
        spans: Vec::new(),
        stream,
    }
}

fn prompt_tokens(messages: &[godwitspool_connection::engine::Message]) -> u32 {
    let bytes = messages
        .iter()
        .map(|message| message.content.len())
        .sum::<usize>();
    (bytes / BYTES_PER_TOKEN) as u32 + 1
}

fn cancel(request: Request, id: &str, shared: &Shared) {
    let mut state = lock(&shared.state);
    let weights = state.weights.clone();
    let Some(event) = state.batch.cancel(id, &weights) else {
        drop(state);
        return respond_status(request, 404, "no such request");
    };
    shared.record(&mut state, event);
    drop(state);
    respond_status(request, 200, "cancelled");
}

fn export(request: Request, id: &str, shared: &Shared) {
    let mut state = lock(&shared.state);
    let weights = state.weights.clone();
    let Some((handle, event)) = state.batch.export(id, &weights) else {
        drop(state);
        return respond_status(request, 404, "no such request");
    };
    shared.record(&mut state, event);
    drop(state);
    respond_json(request, &handle);
}

fn load(request: Request, shared: &Shared) {
    let state = lock(&shared.state);
    let latest = wall_ms().saturating_sub(shared.options.load_lag_ms);
    let lagging = state.loads.iter().rev().find(|(at, _)| *at <= latest);
    let load = match lagging {
        Some((_, load)) => load.clone(),
        None => state.batch.load(&state.weights),
    };
    drop(state);
    respond_json(request, &load);
}

fn cache(request: Request, path: &str, shared: &Shared) {
    let from = path
        .split_once("from=")
        .and_then(|(_, text)| text.parse().ok());
    let before = wall_ms().saturating_sub(shared.options.event_lag_ms);
    let events = lock(&shared.state).cache.events(from.unwrap_or(0), before);
    respond_json(request, &events);
}

fn swap(request: Request, body: &[u8], shared: &Arc<Shared>) {
    let order = match read_json::<SwapOrder>(body) {
        Ok(order) => order,
        Err(error) => return respond_status(request, 400, &error),
    };
    let shared = Arc::clone(shared);
    // Loading takes long, so it doesn't occupy a worker thread.
    thread::spawn(move || load_weights(request, &order, &shared));
}

fn load_weights(request: Request, order: &SwapOrder, shared: &Shared) {
    let fault = {
        let mut state = lock(&shared.state);
        if shared.options.fencing && order.term < state.term {
            let event = swap_event(order, false);
            shared.record(&mut state, event);
            drop(state);
            return respond_status(request, 409, "an order with a higher term was seen");
        }
        state.term = state.term.max(order.term);
        state.swap_fault
    };
    thread::sleep(Duration::from_millis(shared.options.swap_ms));
    let downloaded = shared
        .options
        .store
        .is_none_or(|store| download(store, order));
    let effective = downloaded && matches!(fault, SwapFault::None | SwapFault::Late);
    if fault == SwapFault::Late {
        respond_status(request, 500, "swap failed");
        thread::sleep(LATE_SWAP_DELAY);
        set_weights(shared, order, effective);
        return;
    }
    let weights = set_weights(shared, order, effective);
    match fault {
        SwapFault::FalseSuccess => {
            respond_json(
                request,
                &SwapAnswer {
                    weights: order.version.clone(),
                },
            );
        }
        SwapFault::None if downloaded => respond_json(request, &SwapAnswer { weights }),
        _ => respond_status(request, 500, "swap failed"),
    }
}

fn set_weights(shared: &Shared, order: &SwapOrder, effective: bool) -> WeightVersion {
    let mut state = lock(&shared.state);
    // An order with a higher term may have arrived while the weights were loading.
    let effective = effective && !(shared.options.fencing && order.term < state.term);
    if effective && !state.crashed {
        state.weights = order.version.clone();
    }
    let event = swap_event(order, effective);
    shared.record(&mut state, event);
    state.weights.clone()
}

fn swap_event(order: &SwapOrder, effective: bool) -> EngineEvent {
    EngineEvent::Swap {
        effective,
        term: order.term,
        version: order.version.clone(),
    }
}

/// Downloads the weights and retries while the store limits the rate. Returns whether it succeeded.
fn download(store: SocketAddr, order: &SwapOrder) -> bool {
    let url = format!("http://{store}/weights/{}/{}", order.model, order.version);
    for _ in 0..MAX_STORE_ATTEMPTS {
        match ureq::get(&url).call() {
            Ok(mut answer) => return answer.body_mut().read_to_vec().is_ok(),
            Err(ureq::Error::StatusCode(429)) => thread::sleep(STORE_RETRY_DELAY),
            Err(_) => return false,
        }
    }
    false
}
