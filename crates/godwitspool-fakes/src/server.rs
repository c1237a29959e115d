//! An HTTP server with a fixed number of worker threads, and functions that read requests and send
//! responses.

use std::{
    fmt,
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread::{self, JoinHandle},
    time::{SystemTime, UNIX_EPOCH},
};

use serde::{Serialize, de::DeserializeOwned};
use tiny_http::{Header, Request, Response, Server};

const MAX_BODY_BYTES: u64 = 16 << 20;

/// Returns the wall clock time in milliseconds since the Unix epoch, as used in history records.
///
/// ```
/// assert!(godwitspool_fakes::wall_ms() > 1_600_000_000_000);
/// ```
pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |span| span.as_millis() as u64)
}

/// Locks a mutex, also after a thread panicked while it held the lock.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A running HTTP server; it stops when dropped.
pub(crate) struct HttpServer {
    address: SocketAddr,
    server: Arc<Server>,
    workers: Vec<JoinHandle<()>>,
}

impl HttpServer {
    /// Binds the address and handles requests on `workers` threads.
    pub(crate) fn start(
        listen: SocketAddr,
        workers: usize,
        handle: impl Fn(Request) + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
        let server = Arc::new(server);
        let handle = Arc::new(handle);
        let workers = (0..workers)
            .map(|_| {
                let server = Arc::clone(&server);
                let handle = Arc::clone(&handle);
                thread::spawn(move || {
                    while let Ok(request) = server.recv() {
                        handle(request);
                    }
                })
            })
            .collect();
        Ok(Self {
            address,
            server,
            workers,
        })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }
}

impl fmt::Debug for HttpServer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HttpServer")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        for _ in &self.workers {
            self.server.unblock();
        }
        for worker in self.workers.drain(..) {
            drop(worker.join());
        }
    }
}

/// Reads the body of a request, up to [`MAX_BODY_BYTES`]. Returns an empty body on a read error.
pub(crate) fn read_body(request: &mut Request) -> Vec<u8> {
    let mut body = Vec::new();
    let reader = request.as_reader();
    match reader.take(MAX_BODY_BYTES).read_to_end(&mut body) {
        Ok(_) => body,
        Err(_) => Vec::new(),
    }
}

/// Decodes a JSON body. The error is the text of the response with status 400.
pub(crate) fn read_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, String> {
    serde_json::from_slice(body).map_err(|error| error.to_string())
}

/// Responds with status 200 and a JSON body.
pub(crate) fn respond_json(request: Request, value: &impl Serialize) {
    match serde_json::to_vec(value) {
        Ok(body) => {
            let response = Response::from_data(body);
            let response = match Header::from_bytes("content-type", "application/json") {
                Ok(header) => response.with_header(header),
                Err(()) => response,
            };
            drop(request.respond(response));
        }
        Err(error) => respond_status(request, 500, &error.to_string()),
    }
}

/// Responds with a status and a text body.
pub(crate) fn respond_status(request: Request, status: u16, text: &str) {
    let response = Response::from_string(text).with_status_code(status);
    drop(request.respond(response));
}

/// Sends no response; the caller sees an open connection without data.
pub(crate) fn leave_unanswered(request: Request) {
    drop(request.into_writer());
}

/// Returns where a request contains text that looks like a caller's API key, for the history.
pub(crate) fn find_key(request: &Request, body: &[u8]) -> Option<String> {
    const KEY_PREFIX: &str = "gsk-";
    if request.url().contains(KEY_PREFIX) {
        return Some("url".to_owned());
    }
    let header = request
        .headers()
        .iter()
        .find(|header| header.value.as_str().contains(KEY_PREFIX));
    if let Some(header) = header {
        return Some(format!("header {}", header.field));
    }
    let mut windows = body.windows(KEY_PREFIX.len());
    windows
        .any(|window| window == KEY_PREFIX.as_bytes())
        .then(|| "body".to_owned())
}

/// A response with server-sent events in chunked encoding; each event is flushed.
pub(crate) struct EventStream {
    writer: Box<dyn Write + Send>,
}

impl EventStream {
    /// Sends the head of the response.
    pub(crate) fn start(request: Request) -> io::Result<Self> {
        let mut writer = request.into_writer();
        writer.write_all(
            b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncache-control: no-cache\r\n\
              transfer-encoding: chunked\r\n\r\n",
        )?;
        writer.flush()?;
        Ok(Self { writer })
    }

    /// Sends a value as one event with JSON data.
    pub(crate) fn send(&mut self, value: &impl Serialize) -> io::Result<()> {
        let json = serde_json::to_string(value).map_err(io::Error::other)?;
        self.send_text(&json)
    }

    /// Sends the `[DONE]` event and ends the body.
    pub(crate) fn end(&mut self) -> io::Result<()> {
        self.send_text("[DONE]")?;
        self.writer.write_all(b"0\r\n\r\n")?;
        self.writer.flush()
    }

    fn send_text(&mut self, text: &str) -> io::Result<()> {
        let event = format!("data: {text}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        self.writer.write_all(chunk.as_bytes())?;
        self.writer.flush()
    }
}
