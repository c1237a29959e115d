//! A client of one target: an engine or a plain service.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use godwitspool_types::Millis;
use serde::{Serialize, de::DeserializeOwned};
use ureq::{
    Body, Error, Timeout,
    http::{Method, Request, Response, header::RETRY_AFTER},
};

use crate::{
    call_error::CallError,
    engine::{CacheEvents, Generate, KvHandle, Load, SwapAnswer, SwapOrder},
    lane::Lane,
    plain_call::{PlainAnswer, PlainCall},
    token_stream::TokenStream,
};

/// Idle bound of short calls.
const CALL_IDLE: Millis = Millis(2_000);
/// Clean lanes kept for a target.
const MAX_POOLED: usize = 64;
/// Bytes of an error's body that are kept.
const MAX_MESSAGE_BYTES: u64 = 512;
/// Bytes of a plain service's answer.
const MAX_ANSWER_BYTES: u64 = 16 << 20;

/// A client of one target. Clones share the pool of connections.
#[derive(Clone, Debug)]
pub struct TargetClient {
    address: SocketAddr,
    pool: Arc<Mutex<Vec<Lane>>>,
}

impl TargetClient {
    /// Names the target; nothing is opened yet.
    ///
    /// ```
    /// use godwitspool_connection::TargetClient;
    ///
    /// let client = TargetClient::new("127.0.0.1:9000".parse().unwrap());
    /// assert_eq!(client.address().port(), 9000);
    /// ```
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            pool: Arc::default(),
        }
    }

    /// Returns the target's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Drops the pooled connections, after one of them went silent.
    pub fn clear_pool(&self) {
        self.pool
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clear();
    }

    // -----------------------------------------------------------------------
    // Engines

    /// Starts a generation. `idle` bounds the wait for the first byte.
    ///
    /// # Errors
    /// Any [`CallError`] but [`CallError::Truncated`].
    pub fn generate(&self, request: &Generate, idle: Millis) -> Result<TokenStream, CallError> {
        let lane = self.take_lane();
        lane.set_idle_timeout(idle);
        let body = encode(request)?;
        let response = self.send(&lane, Method::POST, "/v1/chat/completions", &body, idle)?;
        Ok(TokenStream::new(
            self.clone(),
            lane,
            response.into_body(),
            idle,
        ))
    }

    /// Cancels a generation on the engine.
    ///
    /// # Errors
    /// Any [`CallError`]; an unknown request has status 404.
    pub fn cancel(&self, request: &str) -> Result<(), CallError> {
        let path = format!("/v1/requests/{request}");
        self.exchange(Method::DELETE, &path, &[]).map(drop)
    }

    /// Stops a generation and names its KV cache for another engine.
    ///
    /// # Errors
    /// Any [`CallError`].
    pub fn export(&self, request: &str) -> Result<KvHandle, CallError> {
        self.ask(Method::POST, &format!("/kv/{request}/export"), &())
    }

    /// Reads the load report.
    ///
    /// # Errors
    /// Any [`CallError`].
    pub fn load(&self) -> Result<Load, CallError> {
        decode(&self.exchange(Method::GET, "/load", &[])?)
    }

    /// Reads prefix cache events from a sequence number on.
    ///
    /// # Errors
    /// Any [`CallError`].
    pub fn cache_events(&self, from: u64) -> Result<CacheEvents, CallError> {
        decode(&self.exchange(Method::GET, &format!("/cache?from={from}"), &[])?)
    }

    /// Orders a weight swap; answered once the version is loaded.
    ///
    /// # Errors
    /// Any [`CallError`]; an old term has status 409.
    pub fn swap(&self, order: &SwapOrder, patience: Millis) -> Result<SwapAnswer, CallError> {
        let lane = Lane::new();
        lane.set_idle_timeout(patience);
        let body = encode(order)?;
        let response = self.send(&lane, Method::POST, "/admin/weights", &body, patience)?;
        decode(&read_body(response, &lane, patience)?)
    }

    // -----------------------------------------------------------------------
    // Plain services

    /// Passes a call through to a plain service.
    ///
    /// A call that isn't idempotent gets a connection of its own, so that a pooled connection that
    /// died idle never leaves its fate unknown.
    ///
    /// # Errors
    /// Any [`CallError`] but [`CallError::Status`]: a status is part of the answer.
    pub fn call(&self, call: &PlainCall, idle: Millis) -> Result<PlainAnswer, CallError> {
        let lane = if call.idempotent {
            self.take_lane()
        } else {
            Lane::new()
        };
        lane.set_idle_timeout(idle);
        let request = call.to_request(self.address)?;
        let response = run(&lane, request, idle)?;
        let answer = PlainAnswer::read(response, MAX_ANSWER_BYTES)
            .map_err(|error| broken(&lane, &error, idle))?;
        self.give_lane(lane);
        Ok(answer)
    }

    // -----------------------------------------------------------------------

    /// Posts a value and reads the answer; for services that score samples.
    ///
    /// # Errors
    /// Any [`CallError`].
    pub fn post<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        question: &Q,
    ) -> Result<A, CallError> {
        self.ask(Method::POST, path, question)
    }

    fn ask<Q: Serialize, A: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        question: &Q,
    ) -> Result<A, CallError> {
        decode(&self.exchange(method, path, &encode(question)?)?)
    }

    fn exchange(&self, method: Method, path: &str, body: &[u8]) -> Result<Vec<u8>, CallError> {
        let lane = self.take_lane();
        lane.set_idle_timeout(CALL_IDLE);
        let response = self.send(&lane, method, path, body, CALL_IDLE)?;
        let bytes = read_body(response, &lane, CALL_IDLE)?;
        self.give_lane(lane);
        Ok(bytes)
    }

    fn send(
        &self,
        lane: &Lane,
        method: Method,
        path: &str,
        body: &[u8],
        idle: Millis,
    ) -> Result<Response<Body>, CallError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header("content-type", "application/json")
            .body(body.to_vec())
            .map_err(|error| CallError::NotSent {
                cause: error.to_string(),
            })?;
        let response = run(lane, request, idle)?;
        if response.status().is_success() {
            Ok(response)
        } else {
            Err(status_error(response))
        }
    }

    pub(crate) fn take_lane(&self) -> Lane {
        let pooled = self
            .pool
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .pop();
        pooled.unwrap_or_else(Lane::new)
    }

    pub(crate) fn give_lane(&self, lane: Lane) {
        let mut pool = self.pool.lock().unwrap_or_else(PoisonError::into_inner);
        if pool.len() < MAX_POOLED {
            pool.push(lane);
        }
    }
}

/// Sends a request; one without a body goes without a `Content-Length`.
fn run(lane: &Lane, request: Request<Vec<u8>>, idle: Millis) -> Result<Response<Body>, CallError> {
    lane.begin();
    lane.agent
        .run(request)
        .map_err(|error| broken(lane, &error, idle))
}

fn broken(lane: &Lane, error: &Error, idle: Millis) -> CallError {
    let cause = error.to_string();
    match error {
        _ if !lane.sent() => CallError::NotSent { cause },
        Error::Timeout(Timeout::Connect) => CallError::NotSent { cause },
        Error::Timeout(_) => CallError::Silent { idle },
        _ => CallError::Broken { cause },
    }
}

fn read_body(response: Response<Body>, lane: &Lane, idle: Millis) -> Result<Vec<u8>, CallError> {
    let mut body = response.into_body();
    body.with_config()
        .limit(MAX_ANSWER_BYTES)
        .read_to_vec()
        .map_err(|error| broken(lane, &error, idle))
}

fn status_error(response: Response<Body>) -> CallError {
    let status = response.status().as_u16();
    let retry_after = response
        .headers()
        .get(RETRY_AFTER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok());
    let mut body = response.into_body();
    let message = body
        .with_config()
        .limit(MAX_MESSAGE_BYTES)
        .read_to_string()
        .unwrap_or_default();
    CallError::Status {
        status,
        retry_after,
        message,
    }
}

fn encode(value: &impl Serialize) -> Result<Vec<u8>, CallError> {
    serde_json::to_vec(value).map_err(|error| CallError::NotSent {
        cause: error.to_string(),
    })
}

fn decode<A: DeserializeOwned>(bytes: &[u8]) -> Result<A, CallError> {
    serde_json::from_slice(bytes).map_err(|error| CallError::Protocol {
        cause: error.to_string(),
    })
}
