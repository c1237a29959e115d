//! A client of one target: an engine or a plain service.

use std::{
    net::SocketAddr,
    sync::{Arc, PoisonError},
};

use godwitspool_sync::Mutex;
use godwitspool_types::Millis;
use serde::{Serialize, de::DeserializeOwned};
use ureq::{
    Body, Error, Timeout,
    http::{Method, Request, Response, header::RETRY_AFTER},
};

use crate::{
    call_error::CallError,
    engine::{CacheEvents, Generate, KvHandle, Load, SwapAnswer, SwapOrder},
    plain_call::{PlainAnswer, PlainCall},
    target_connection::TargetConnection,
    token_stream::TokenStream,
};

/// Idle timeout of calls with a short response: cancel, export, load, cache events and scoring.
const CALL_IDLE_TIMEOUT: Millis = Millis(2_000);
/// Idle connections kept for a target.
const MAX_POOLED: usize = 64;
/// Maximum size of an error's body; a longer one is replaced by an empty message.
const MAX_MESSAGE_BYTES: u64 = 512;
/// Maximum size of a response that isn't streamed.
const MAX_RESPONSE_BYTES: u64 = 16 << 20;

/// A client of one target. Clones share the pool of connections.
#[derive(Clone, Debug)]
pub struct TargetClient {
    address: SocketAddr,
    pool: Arc<Mutex<Vec<TargetConnection>>>,
}

impl TargetClient {
    /// Creates a client; the first call opens a connection.
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

    /// Closes the idle connections. Called after one of them timed out, as the others may be broken
    /// too.
    pub fn clear_pool(&self) {
        self.pool
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clear();
    }

    /// Starts a generation. `idle_timeout` bounds the wait for each byte, from the first on.
    ///
    /// # Errors
    /// Returns any [`CallError`] except [`CallError::Truncated`].
    pub fn generate(
        &self,
        request: &Generate,
        idle_timeout: Millis,
    ) -> Result<TokenStream, CallError> {
        let connection = self.take_connection();
        connection.set_idle_timeout(idle_timeout);
        let body = encode(request)?;
        let response = self.send(
            &connection,
            Method::POST,
            "/v1/chat/completions",
            &body,
            idle_timeout,
        )?;
        Ok(TokenStream::new(
            self.clone(),
            connection,
            response.into_body(),
            idle_timeout,
        ))
    }

    /// Cancels a generation on the engine.
    ///
    /// # Errors
    /// Returns any [`CallError`]. An unknown request gives status 404.
    pub fn cancel(&self, request: &str) -> Result<(), CallError> {
        let path = format!("/v1/requests/{request}");
        self.exchange(Method::DELETE, &path, &[]).map(drop)
    }

    /// Stops a generation and returns a handle of its KV cache, for another engine.
    ///
    /// # Errors
    /// Returns any [`CallError`].
    pub fn export(&self, request: &str) -> Result<KvHandle, CallError> {
        self.ask(Method::POST, &format!("/kv/{request}/export"), &())
    }

    /// Reads the engine's load report.
    ///
    /// # Errors
    /// Returns any [`CallError`].
    pub fn load(&self) -> Result<Load, CallError> {
        decode(&self.exchange(Method::GET, "/load", &[])?)
    }

    /// Reads prefix cache events, starting at sequence number `from`.
    ///
    /// # Errors
    /// Returns any [`CallError`].
    pub fn cache_events(&self, from: u64) -> Result<CacheEvents, CallError> {
        decode(&self.exchange(Method::GET, &format!("/cache?from={from}"), &[])?)
    }

    /// Requests a weight swap and waits until the version is loaded, at most for `idle_timeout`.
    ///
    /// # Errors
    /// Returns any [`CallError`]. An old term gives status 409.
    pub fn swap(&self, order: &SwapOrder, idle_timeout: Millis) -> Result<SwapAnswer, CallError> {
        let connection = TargetConnection::new();
        connection.set_idle_timeout(idle_timeout);
        let body = encode(order)?;
        let response = self.send(
            &connection,
            Method::POST,
            "/admin/weights",
            &body,
            idle_timeout,
        )?;
        decode(&read_body(response, &connection, idle_timeout)?)
    }

    /// Forwards a call to a plain service.
    ///
    /// A call that isn't idempotent uses a new connection: on a pooled one that broke while idle, it
    /// would be unknown whether the call ran.
    ///
    /// # Errors
    /// Returns any [`CallError`] except [`CallError::Status`], since an error status is returned as an
    /// answer.
    pub fn call(&self, call: &PlainCall, idle_timeout: Millis) -> Result<PlainAnswer, CallError> {
        let connection = if call.idempotent {
            self.take_connection()
        } else {
            TargetConnection::new()
        };
        connection.set_idle_timeout(idle_timeout);
        let request = call.to_request(self.address)?;
        let response = run(&connection, request, idle_timeout)?;
        let answer = PlainAnswer::read(response, MAX_RESPONSE_BYTES)
            .map_err(|error| call_error(&connection, &error, idle_timeout))?;
        self.return_connection(connection);
        Ok(answer)
    }

    /// Posts a JSON value and reads the JSON answer; for services that score samples.
    ///
    /// # Errors
    /// Returns any [`CallError`].
    pub fn post<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        payload: &Q,
    ) -> Result<A, CallError> {
        self.ask(Method::POST, path, payload)
    }

    fn ask<Q: Serialize, A: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        payload: &Q,
    ) -> Result<A, CallError> {
        decode(&self.exchange(method, path, &encode(payload)?)?)
    }

    fn exchange(&self, method: Method, path: &str, body: &[u8]) -> Result<Vec<u8>, CallError> {
        let connection = self.take_connection();
        connection.set_idle_timeout(CALL_IDLE_TIMEOUT);
        let response = self.send(&connection, method, path, body, CALL_IDLE_TIMEOUT)?;
        let bytes = read_body(response, &connection, CALL_IDLE_TIMEOUT)?;
        self.return_connection(connection);
        Ok(bytes)
    }

    fn send(
        &self,
        connection: &TargetConnection,
        method: Method,
        path: &str,
        body: &[u8],
        idle_timeout: Millis,
    ) -> Result<Response<Body>, CallError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header("content-type", "application/json")
            .body(body.to_vec())
            .map_err(|error| CallError::NotSent {
                cause: error.to_string(),
            })?;
        let response = run(connection, request, idle_timeout)?;
        if response.status().is_success() {
            Ok(response)
        } else {
            Err(status_error(response))
        }
    }

    pub(crate) fn take_connection(&self) -> TargetConnection {
        let pooled = self
            .pool
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .pop();
        pooled.unwrap_or_else(TargetConnection::new)
    }

    pub(crate) fn return_connection(&self, connection: TargetConnection) {
        let mut pool = self.pool.lock().unwrap_or_else(PoisonError::into_inner);
        if pool.len() < MAX_POOLED {
            pool.push(connection);
        }
    }
}

/// Sends a request; without a body, it has no `Content-Length`.
fn run(
    connection: &TargetConnection,
    request: Request<Vec<u8>>,
    idle_timeout: Millis,
) -> Result<Response<Body>, CallError> {
    connection.begin_request();
    let response = connection
        .agent
        .run(request)
        .map_err(|error| call_error(connection, &error, idle_timeout))?;
    // The library refuses the numbers below 100 only.
    if response.status().as_u16() >= 600 {
        let cause = format!("status {}", response.status().as_u16());
        return Err(CallError::Protocol { cause });
    }
    Ok(response)
}

fn call_error(connection: &TargetConnection, error: &Error, idle_timeout: Millis) -> CallError {
    let cause = error.to_string();
    match error {
        _ if !connection.may_have_sent() => CallError::NotSent { cause },
        Error::Timeout(Timeout::Connect) => CallError::NotSent { cause },
        Error::Timeout(_) => CallError::Silent { idle: idle_timeout },
        _ => CallError::Broken { cause },
    }
}

fn read_body(
    response: Response<Body>,
    connection: &TargetConnection,
    idle_timeout: Millis,
) -> Result<Vec<u8>, CallError> {
    let mut body = response.into_body();
    body.with_config()
        .limit(MAX_RESPONSE_BYTES)
        .read_to_vec()
        .map_err(|error| call_error(connection, &error, idle_timeout))
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
