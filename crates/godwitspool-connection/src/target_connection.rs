//! A connection to a target whose idle timeout can change while a stream is read.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use godwitspool_types::Millis;
use ureq::{
    Agent, Error,
    config::Config,
    unversioned::{
        resolver::DefaultResolver,
        transport::{Buffers, ConnectionDetails, Connector, NextTimeout, TcpConnector, Transport},
    },
};

/// Maximum size of a response's header block, and of one read.
const BUFFER_BYTES: usize = 16 << 10;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_IDLE_AGE: Duration = Duration::from_secs(20);

/// One connection to a target, used by one request at a time.
///
/// The idle timeout applies to each read, so a stream may last as long as data arrives. A
/// connection whose request didn't end cleanly is closed and not reused.
#[derive(Debug)]
pub(crate) struct TargetConnection {
    pub(crate) agent: Agent,
    state: Arc<ConnectionState>,
}

/// State that the transport shares with the connection's user.
#[derive(Debug, Default)]
struct ConnectionState {
    idle_timeout_ms: AtomicU64,
    sent: AtomicBool,
}

impl TargetConnection {
    /// Creates a connection without opening it; the first request does.
    pub(crate) fn new() -> Self {
        let state = Arc::new(ConnectionState::default());
        let config = Config::builder()
            .http_status_as_error(false)
            .input_buffer_size(BUFFER_BYTES)
            .max_idle_age(MAX_IDLE_AGE)
            .max_idle_connections(1)
            .max_redirects(0)
            .no_delay(true)
            .output_buffer_size(BUFFER_BYTES)
            .proxy(None)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .build();
        let connector = TcpConnector::default().chain(TargetConnector {
            state: Arc::clone(&state),
        });
        let agent = Agent::with_parts(config, connector, DefaultResolver::default());
        Self { agent, state }
    }

    /// Sets the longest wait for a byte, from the next read on.
    pub(crate) fn set_idle_timeout(&self, idle_timeout: Millis) {
        self.state
            .idle_timeout_ms
            .store(idle_timeout.0, Ordering::Relaxed);
    }

    /// Records that a new request starts, of which nothing has been sent yet.
    pub(crate) fn begin_request(&self) {
        self.state.sent.store(false, Ordering::Release);
    }

    /// Returns whether a part of the current request may have been sent.
    pub(crate) fn may_have_sent(&self) -> bool {
        self.state.sent.load(Ordering::Acquire)
    }
}

#[derive(Debug)]
struct TargetConnector {
    state: Arc<ConnectionState>,
}

impl<In: Transport> Connector<In> for TargetConnector {
    type Out = TargetTransport<In>;

    fn connect(
        &self,
        _details: &ConnectionDetails,
        chained: Option<In>,
    ) -> Result<Option<Self::Out>, Error> {
        let state = Arc::clone(&self.state);
        Ok(chained.map(|inner| TargetTransport { inner, state }))
    }
}

#[derive(Debug)]
struct TargetTransport<T> {
    inner: T,
    state: Arc<ConnectionState>,
}

impl<T: Transport> Transport for TargetTransport<T> {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.inner.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        self.state.sent.store(true, Ordering::Release);
        self.inner.transmit_output(amount, timeout)
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        let idle_timeout_ms = self.state.idle_timeout_ms.load(Ordering::Relaxed);
        let mut limited = timeout;
        if idle_timeout_ms > 0 {
            limited.after = limited
                .after
                .min(Duration::from_millis(idle_timeout_ms).into());
        }
        self.inner.await_input(limited)
    }

    fn is_open(&mut self) -> bool {
        self.inner.is_open()
    }
}
