use std::{
    collections::HashMap,
    io::{self, Write},
    net::{IpAddr, SocketAddr, TcpListener},
    os::fd::{AsFd, BorrowedFd},
    sync::{
        Arc, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use godwitspool_sync::{Condvar, Mutex, MutexGuard};
use socket2::SockRef;

use super::{
    BodyDecoder, COVERED_BYTES, Candidate, Connection, Interest, LARGE_BYTES, Limited, Limits,
    OpenConnection, Phase, ReadError, Received, Request, Response, Waker, choose_closed,
    choose_refused, decode_request, is_too_slow, wait,
};
use crate::lease_clock;

/// Stack size of a connection's thread. Handlers keep no large values on the stack.
const STACK_BYTES: usize = 256 * 1024;
/// A caller that accepts no bytes of its response for this long counts as disconnected, comparable
/// to the socket's `TCP_USER_TIMEOUT` for unacknowledged data.
const SEND_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay after a failed accept, so that running out of file descriptors doesn't cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Maximum time that a request waits for memory which others are giving up: their threads have to notice
/// it, on a machine that may be busy.
const MEMORY_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time that a new connection waits for one that is being closed in its favour.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);
/// First size of the buffer of a body whose length isn't known, and the least by which it grows.
const BODY_STEP_BYTES: usize = 16 * 1024;
/// The most by which the buffer of a body grows ahead of what has arrived.
const MAX_BODY_STEP_BYTES: usize = 1024 * 1024;
/// Time that a response may take however slow its reader is. Beyond it the minimum rate applies.
const SEND_GRACE: Duration = Duration::from_secs(15);

/// Limits on the size of requests and on the time taken to send them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Bounds {
    /// Maximum size of a request head in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Maximum time from the first byte of a request head to its last.
    pub header_timeout: Duration,
    /// Maximum time that a connection may stay idle between requests, and between two reads of a
    /// request body.
    pub idle_timeout: Duration,
}

impl Default for Bounds {
    /// Bounds used before a configuration is known; similar to the defaults of common reverse
    /// proxies.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 32 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

type Handler = dyn Fn(&mut Caller, Request) -> io::Result<()> + Send + Sync;
type BoundsSource = dyn Fn() -> Bounds + Send + Sync;

/// An HTTP server that runs one thread per connection and passes each request to a handler.
pub struct Server {
    address: SocketAddr,
    inner: Arc<Inner>,
}

struct Inner {
    bounds: Box<BoundsSource>,
    /// Whether the accept thread is still running.
    accepting: AtomicBool,
    connections: Mutex<Connections>,
    /// Notified when a connection has been closed.
    closed: Condvar,
    limits: Limits,
    /// Number of the next connection, which is its key in `connections`.
    next_number: AtomicU64,
    draining: AtomicBool,
    handler: Box<Handler>,
    /// Becomes readable when the listener and idle connections must be closed.
    stop: Waker,
}

/// The open connections.
#[derive(Debug, Default)]
struct Connections {
    by_address: HashMap<IpAddr, usize>,
    by_number: HashMap<u64, Arc<OpenConnection>>,
}

impl Connections {
    fn insert(&mut self, number: u64, open: Arc<OpenConnection>) {
        *self.by_address.entry(open.address()).or_default() += 1;
        self.by_number.insert(number, open);
    }

    fn remove(&mut self, number: u64) {
        let Some(open) = self.by_number.remove(&number) else {
            return;
        };
        if let Some(count) = self.by_address.get_mut(&open.address()) {
            *count -= 1;
            if *count == 0 {
                self.by_address.remove(&open.address());
            }
        }
    }

    fn count_of(&self, address: IpAddr) -> usize {
        self.by_address.get(&address).copied().unwrap_or_default()
    }
}

/// A connection while a thread serves it. Dropping it gives back what the connection holds.
#[derive(Debug)]
struct Served {
    number: u64,
    open: Arc<OpenConnection>,
    server: Arc<Inner>,
}

impl Drop for Served {
    fn drop(&mut self) {
        self.server.release(&self.open);
        self.server.connections().remove(self.number);
        self.server.closed.notify_all();
    }
}

impl std::fmt::Debug for Inner {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Inner")
            .field("limits", &self.limits)
            .finish_non_exhaustive()
    }
}

impl std::fmt::Debug for Server {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Server")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl Server {
    /// Binds an address and starts to accept connections. `bounds` is called for each request, so
    /// that changed bounds also apply to open connections.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound or the accept thread can't be started.
    pub fn start(
        address: SocketAddr,
        bounds: impl Fn() -> Bounds + Send + Sync + 'static,
        handler: impl Fn(&mut Caller, Request) -> io::Result<()> + Send + Sync + 'static,
    ) -> io::Result<Self> {
        Self::start_limited(address, Limits::default(), bounds, handler)
    }

    /// The same, with limits on what all clients together may make the server use.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound or the accept thread can't be started.
    pub fn start_limited(
        address: SocketAddr,
        limits: Limits,
        bounds: impl Fn() -> Bounds + Send + Sync + 'static,
        handler: impl Fn(&mut Caller, Request) -> io::Result<()> + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        if let Some(bytes) = limits.buffer {
            // Accepted sockets inherit both.
            SockRef::from(&listener).set_recv_buffer_size(bytes)?;
            SockRef::from(&listener).set_send_buffer_size(bytes)?;
        }
        let address = listener.local_addr()?;
        let inner = Arc::new(Inner {
            bounds: Box::new(bounds),
            accepting: AtomicBool::new(true),
            connections: Mutex::default(),
            closed: Condvar::new(),
            limits,
            next_number: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            handler: Box::new(handler),
            stop: Waker::new()?,
        });
        let acceptor = Arc::clone(&inner);
        thread::Builder::new()
            .name("accept".to_owned())
            .spawn(move || {
                acceptor.accept(&listener);
                acceptor.accepting.store(false, Ordering::SeqCst);
            })?;
        Ok(Self { address, inner })
    }

    /// Returns the address the server listens on; port 0 has been replaced by the actual port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.inner.connections().by_number.len()
    }

    /// Returns whether the server has stopped accepting and all connections are closed. Until then,
    /// a request may have arrived on an open connection even if it hasn't been read yet.
    pub fn is_ended(&self) -> bool {
        // `accepting` is read first: the last accepted connection is counted before it is cleared.
        !self.inner.accepting.load(Ordering::SeqCst) && self.open_connections() == 0
    }

    /// Closes each connection after its next response. New connections are still accepted.
    pub fn drain(&self) {
        self.inner.draining.store(true, Ordering::SeqCst);
    }

    /// Closes the listener and idle connections. Requests in flight are completed.
    pub fn stop(&self) {
        self.drain();
        self.inner.stop.wake();
    }

    /// Responds to the requests in flight before the process ends, whatever their handlers wait for:
    /// with `refusal` to those that haven't been read whole, with status 504 to those that have and
    /// may have taken effect. Responses that have begun are left to their handlers.
    pub fn respond_last(&self, refusal: &Response) -> LastResponses {
        let connections: Vec<Arc<OpenConnection>> = self
            .inner
            .connections()
            .by_number
            .values()
            .cloned()
            .collect();
        let mut responses = LastResponses::default();
        for connection in connections {
            let sent = connection.respond_last(|phase| match phase {
                Phase::Reading => Some(refusal.clone()),
                Phase::Handling => Some(Response::new(504, Vec::new())),
                Phase::Idle | Phase::Responding | Phase::Closed => None,
            });
            match sent {
                Ok(Phase::Reading) => responses.refused += 1,
                Ok(Phase::Handling) => responses.unfinished += 1,
                Ok(Phase::Responding) => responses.responding += 1,
                Ok(Phase::Idle | Phase::Closed) => {}
                Err(error) => {
                    log::info!(error:%; "can't send the last response of a connection");
                    responses.failed += 1;
                }
            }
        }
        responses
    }
}

/// Numbers of requests that were in flight when [`Server::respond_last`] was called.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LastResponses {
    /// Refused, since they hadn't been read whole.
    pub refused: u64,
    /// Answered with status 504.
    pub unfinished: u64,
    /// Left to their handlers, which have begun to respond.
    pub responding: u64,
    /// The caller couldn't be sent a response.
    pub failed: u64,
}

impl Inner {
    fn connections(&self) -> MutexGuard<'_, Connections> {
        let connections = self.connections.lock();
        connections.unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the open connections as the choice of one to end needs them.
    fn candidates(&self) -> Vec<Candidate> {
        let open: Vec<_> = {
            let connections = self.connections();
            let numbered = connections.by_number.iter();
            numbered
                .map(|(number, open)| (*number, Arc::clone(open)))
                .collect()
        };
        let now = lease_clock();
        let candidates = open.iter();
        candidates
            .map(|(number, open)| open.candidate(*number, now))
            .collect()
    }

    /// Ends a connection in favour of another one. Returns whether it was ended.
    fn end(&self, number: u64, limited: Limited) -> bool {
        let open = self.connections().by_number.get(&number).cloned();
        let ended = open.is_some_and(|open| open.end(&self.limits.refusal));
        if ended {
            (self.limits.observe)(limited);
        }
        ended
    }

    /// Takes memory so that a connection holds at least `bytes` until its request is answered. Ends
    /// lower-priority connections if they hold what is missing, and waits until they have given it back.
    fn hold(&self, number: u64, open: &OpenConnection, bytes: usize) -> bool {
        let held = open.held();
        if bytes <= held.max(COVERED_BYTES) {
            return true;
        }
        let missing = bytes - held;
        let due = Instant::now() + MEMORY_TIMEOUT;
        let budget = &self.limits.memory;
        loop {
            if budget.take(missing, bytes) {
                open.set_held(bytes);
                return true;
            }
            let left = due.saturating_duration_since(Instant::now());
            if left.is_zero() || open.phase() == Phase::Closed || !self.make_room(number, missing) {
                return false;
            }
            budget.await_room(missing, bytes, left.min(CLOSE_TIMEOUT));
        }
    }

    /// Ends a connection that holds memory, unless those that are ended already hold enough. Returns
    /// whether memory will be given back.
    fn make_room(&self, asking: u64, missing: usize) -> bool {
        let candidates = self.candidates();
        let closed = candidates
            .iter()
            .filter(|candidate| candidate.phase == Phase::Closed);
        if closed.map(|candidate| candidate.bytes).sum::<usize>() >= missing {
            return true;
        }
        // One that isn't ended has made progress meanwhile, and another one is chosen next time.
        choose_refused(&candidates, asking).is_some_and(|chosen| {
            chosen != asking && {
                self.end(chosen, Limited::Memory);
                true
            }
        })
    }

    /// Gives back the memory that a connection holds.
    fn release(&self, open: &OpenConnection) {
        self.limits.memory.give(open.set_held(0));
    }

    /// Waits until there is a place for another connection of an address, and closes the lowest-priority
    /// one for it. Returns whether there is one.
    fn make_place(&self, address: IpAddr) -> bool {
        let due = Instant::now() + CLOSE_TIMEOUT;
        let mut closing = false;
        let mut connections = self.connections();
        loop {
            let all = connections.by_number.len() >= self.limits.connections;
            let own = connections.count_of(address) >= self.limits.per_address;
            if !all && !own {
                return true;
            }
            if !closing {
                drop(connections);
                let chosen = choose_closed(&self.candidates(), own.then_some(address));
                closing = chosen.is_some_and(|chosen| self.end(chosen, Limited::Connections));
                if !closing {
                    return false;
                }
                connections = self.connections();
                continue;
            }
            let left = due.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            let waited = self.closed.wait_timeout(connections, left);
            connections = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        let readable = Interest {
            read: true,
            ..Interest::default()
        };
        loop {
            let sockets = [(listener.as_fd(), readable), self.stop.socket()];
            let stopped = match wait(&sockets, None).as_deref() {
                Ok(ready) => ready.get(1).is_some_and(|stop| stop.read),
                Err(error) => {
                    log::warn!(error:%; "can't poll the listener");
                    thread::sleep(ACCEPT_RETRY_DELAY);
                    false
                }
            };
            // Connections in the backlog when the server is stopped are served too.
            loop {
                match listener.accept() {
                    Ok((socket, peer)) => self.spawn_connection(socket, peer),
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                    Err(error) => {
                        log::warn!(error:%; "can't accept a connection");
                        thread::sleep(ACCEPT_RETRY_DELAY);
                        break;
                    }
                }
            }
            if stopped {
                return;
            }
        }
    }

    fn spawn_connection(self: &Arc<Self>, socket: std::net::TcpStream, peer: SocketAddr) {
        if !self.make_place(peer.ip()) {
            (self.limits.observe)(Limited::Connections);
            let refusal = self.limits.refusal.clone().with("Connection", "close");
            if let Err(error) = (&socket).write(&refusal.encode()) {
                log::debug!(error:%, peer:%; "can't refuse a connection");
            }
            return;
        }
        let connection = match Connection::accepted(socket) {
            Ok(connection) => connection,
            Err(error) => {
                log::debug!(error:%, peer:%; "connection failed before its first request");
                return;
            }
        };
        let number = self.next_number.fetch_add(1, Ordering::SeqCst);
        let open = Arc::new(OpenConnection::new(connection.socket(), peer.ip()));
        self.connections().insert(number, Arc::clone(&open));
        let served = Served {
            number,
            open,
            server: Arc::clone(self),
        };
        let spawned = thread::Builder::new()
            .name("caller".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || serve_connection(connection, served));
        if let Err(error) = spawned {
            log::warn!(error:%, peer:%; "can't start a thread for a connection");
        }
    }

    /// Waits for a request and reads it with its body.
    fn read_request(
        &self,
        connection: &mut Connection,
        served: &Served,
    ) -> Result<Request, ReadError> {
        let open = &served.open;
        let idle_since = Instant::now();
        while connection.input.is_empty() {
            let bounds = (self.bounds)();
            let left = bounds.idle_timeout.saturating_sub(idle_since.elapsed());
            if left.is_zero() || !self.receive(connection, left, true)? {
                return Err(ReadError::Ended);
            }
        }
        if !open.enter(Phase::Reading) {
            return Err(ReadError::Ended);
        }
        let began = Instant::now();
        let bounds = (self.bounds)();
        let (mut request, length) = loop {
            if let Some(head) = decode_request(&connection.input)? {
                break head;
            }
            if connection.input.len() > bounds.header_bytes {
                return Err(ReadError::Refused { status: 431 });
            }
            let left = bounds.header_timeout.saturating_sub(began.elapsed());
            if left.is_zero() || !self.receive(connection, left, false)? {
                return Err(ReadError::Refused { status: 408 });
            }
        };
        if length > bounds.header_bytes {
            return Err(ReadError::Refused { status: 431 });
        }
        connection.input.drain(..length);
        let mut decoder = BodyDecoder::of_request(&request.headers)?;
        if let BodyDecoder::Length(length) = decoder
            && length > bounds.body_bytes
        {
            return Err(ReadError::Refused { status: 413 });
        }
        if !decoder.is_done() && request.headers.lists("expect", "100-continue") {
            let sent = self.send_all(connection, open, b"HTTP/1.1 100 Continue\r\n\r\n");
            sent.ok().ok_or(ReadError::Ended)?;
        }
        let whole = match decoder {
            BodyDecoder::Length(length) => length,
            _ => bounds.body_bytes.saturating_add(BODY_STEP_BYTES),
        };
        let body_began = Instant::now();
        loop {
            let needed = request.body.len() + connection.input.len().min(whole);
            if needed > request.body.capacity() {
                // Small bodies are taken at once, large ones as they arrive.
                let step = if whole <= LARGE_BYTES {
                    whole
                } else {
                    needed + needed.clamp(BODY_STEP_BYTES, MAX_BODY_STEP_BYTES)
                };
                let capacity = step.min(whole).max(needed);
                if !self.hold(served.number, open, capacity) {
                    let limited = Limited::Memory;
                    return Err(ReadError::Limited { limited });
                }
                request.body.reserve_exact(capacity - request.body.len());
            }
            decoder.decode(&mut connection.input, &mut request.body)?;
            if request.body.len() > bounds.body_bytes {
                return Err(ReadError::Refused { status: 413 });
            }
            if decoder.is_done() {
                return Ok(request);
            }
            if !self.receive(connection, bounds.idle_timeout, false)? {
                return Err(ReadError::Refused { status: 408 });
            }
            open.record_progress();
            let (received, elapsed) = (request.body.len(), body_began.elapsed());
            if is_too_slow(received, elapsed, bounds.idle_timeout, self.limits.rate) {
                let limited = Limited::Rate;
                return Err(ReadError::Limited { limited });
            }
        }
    }

    /// Sends bytes. Fails if the caller disconnects, accepts none for too long, or is too slow.
    fn send_all(
        &self,
        connection: &mut Connection,
        open: &OpenConnection,
        bytes: &[u8],
    ) -> io::Result<()> {
        let began = Instant::now();
        let mut done = 0;
        while done < bytes.len() {
            let sent = connection.send(&bytes[done..])?;
            done += sent;
            if sent > 0 {
                open.record_progress();
                continue;
            }
            let writable = Interest {
                write: true,
                ..Interest::default()
            };
            let ready = wait(&[(connection.as_fd(), writable)], Some(SEND_TIMEOUT))?;
            if !ready[0].write {
                return Err(io::ErrorKind::TimedOut.into());
            }
            if is_too_slow(done, began.elapsed(), SEND_GRACE, self.limits.rate) {
                (self.limits.observe)(Limited::Rate);
                return Err(io::ErrorKind::TimedOut.into());
            }
        }
        Ok(())
    }

    /// Waits for bytes and receives them. Returns false if none arrive within the timeout. When
    /// `idle` is set, stopping the server ends the wait.
    fn receive(
        &self,
        connection: &mut Connection,
        timeout: Duration,
        idle: bool,
    ) -> Result<bool, ReadError> {
        let readable = Interest {
            read: true,
            ..Interest::default()
        };
        let sockets = [(connection.as_fd(), readable), self.stop.socket()];
        let sockets = if idle { &sockets[..] } else { &sockets[..1] };
        let ready = wait(sockets, Some(timeout)).ok().ok_or(ReadError::Ended)?;
        let stopped = ready.get(1).is_some_and(|stop| stop.read);
        if !ready[0].read {
            return if stopped {
                Err(ReadError::Ended)
            } else {
                Ok(false)
            };
        }
        match connection.receive() {
            Ok(Received::Bytes | Received::Nothing) => Ok(true),
            Ok(Received::End) | Err(_) => Err(ReadError::Ended),
        }
    }
}

/// The connection to the caller whose request is being handled.
#[derive(Debug)]
pub struct Caller {
    /// Whether the connection is closed after the response.
    pub close: bool,
    connection: Connection,
    /// Bytes of the budget that the request took. What its handler has taken beyond is for the response.
    request_bytes: usize,
    served: Served,
}

impl Caller {
    /// Returns whether the server has responded in place of the handler.
    pub fn is_answered(&self) -> bool {
        self.served.open.phase() == Phase::Closed
    }

    /// Sends a complete response. If there is no memory for it, the caller gets 502 in its place.
    ///
    /// # Errors
    ///
    /// Fails if there is no memory, or the caller has disconnected or accepts no bytes.
    pub fn respond(&mut self, response: &Response) -> io::Result<()> {
        self.start_response()?;
        let mut head = response.encode_head(self.close);
        if response.body.len() <= COVERED_BYTES {
            // Both leave in one packet.
            head.extend_from_slice(&response.body);
            return self.send(&head);
        }
        let request_bytes = self.request_bytes.min(self.held());
        if !self.hold(request_bytes + response.body.len()) {
            self.send(&Response::new(502, Vec::new()).encode_head(true))?;
            return Err(io::ErrorKind::OutOfMemory.into());
        }
        self.send(&head)?;
        self.send(&response.body)
    }

    /// Takes memory from the server's budget so that this request holds at least `bytes` until it is
    /// answered. Returns false if there is none; the connection is closed after the next response then.
    pub fn hold(&mut self, bytes: usize) -> bool {
        let Served {
            number,
            open,
            server,
        } = &self.served;
        let held = server.hold(*number, open, bytes);
        if !held {
            (server.limits.observe)(Limited::Memory);
            self.close = true;
        }
        held
    }

    /// Gives memory back so that this request holds no more than `bytes`.
    pub fn release_to(&mut self, bytes: usize) {
        let Served { open, server, .. } = &self.served;
        let held = open.held();
        if bytes < held {
            open.set_held(bytes);
            server.limits.memory.give(held - bytes);
        }
    }

    /// Returns the number of bytes of the server's budget that this request holds.
    pub fn held(&self) -> usize {
        self.served.open.held()
    }

    fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        let Served { open, server, .. } = &self.served;
        server.send_all(&mut self.connection, open, bytes)
    }

    /// Sends an error response and closes the connection.
    fn refuse(&mut self, response: &Response) {
        self.close = true;
        if let Err(error) = self.respond(response) {
            log::debug!(error:%, status = response.status; "can't send an error response");
        }
    }

    /// Records that the response begins. Fails if the server has sent the last one itself.
    fn start_response(&mut self) -> io::Result<()> {
        // The server may have started to drain while the request was handled.
        self.close |= self.served.server.draining.load(Ordering::SeqCst);
        if self.served.open.enter(Phase::Responding) {
            Ok(())
        } else {
            Err(io::ErrorKind::ConnectionAborted.into())
        }
    }

    /// Sends the head of a response whose body follows in chunks.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected or accepts no bytes.
    pub fn begin(&mut self, response: &Response) -> io::Result<()> {
        self.start_response()?;
        let mut response = response.clone();
        if self.close {
            response.headers.push("Connection", "close");
        }
        self.send(&response.encode_chunked_head())
    }

    /// Sends a chunk of the body. Empty chunks are left out, since they would end the body.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected or accepts no bytes.
    pub fn chunk(&mut self, bytes: &[u8]) -> io::Result<()> {
        if bytes.is_empty() {
            return Ok(());
        }
        let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
        chunk.extend_from_slice(bytes);
        chunk.extend_from_slice(b"\r\n");
        self.send(&chunk)
    }

    /// Ends a chunked body.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected or accepts no bytes.
    pub fn end(&mut self) -> io::Result<()> {
        self.send(b"0\r\n\r\n")
    }

    /// Returns the socket with an interest in hangup, to notice that the caller disconnects.
    pub fn socket(&self) -> (BorrowedFd<'_>, Interest) {
        let interest = Interest {
            hangup: true,
            ..Interest::default()
        };
        (self.connection.as_fd(), interest)
    }
}

fn serve_connection(connection: Connection, accepted: Served) {
    let mut caller = Caller {
        close: false,
        connection,
        request_bytes: 0,
        served: accepted,
    };
    let server = Arc::clone(&caller.served.server);
    loop {
        let request = match server.read_request(&mut caller.connection, &caller.served) {
            Ok(request) => request,
            Err(ReadError::Ended) => return,
            Err(ReadError::Refused { status }) => {
                caller.refuse(&Response::new(status, Vec::new()));
                return;
            }
            Err(ReadError::Limited { limited }) => {
                (server.limits.observe)(limited);
                server.release(&caller.served.open);
                caller.refuse(&server.limits.refusal);
                return;
            }
        };
        caller.close =
            server.draining.load(Ordering::SeqCst) || request.headers.lists("connection", "close");
        if !caller.served.open.enter(Phase::Handling) {
            return;
        }
        caller.request_bytes = caller.held();
        let handled = (server.handler)(&mut caller, request);
        server.release(&caller.served.open);
        if let Err(error) = handled {
            log::debug!(error:%; "can't send a response");
            return;
        }
        if caller.close || !caller.served.open.enter(Phase::Idle) {
            return;
        }
    }
}
