//! A connection to a target with an idle bound that can change while a stream is read.

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

/// Largest head of an answer that fits, and what a read takes at most.
const BUFFER_BYTES: usize = 16 << 10;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_IDLE_AGE: Duration = Duration::from_secs(20);

/// One connection to a target, used by one request at a time.
///
/// The idle bound is applied to each read, so a stream may last as long as it flows. A lane whose
/// request didn't end cleanly is dropped, never used again.
#[derive(Debug)]
pub(crate) struct Lane {
    pub(crate) agent: Agent,
    state: Arc<LaneState>,
}

/// What the transport shares with the lane's user.
#[derive(Debug, Default)]
struct LaneState {
    idle_ms: AtomicU64,
    sent: AtomicBool,
}

impl Lane {
    /// Opens no connection yet; the first request does.
    pub(crate) fn new() -> Self {
        let state = Arc::new(LaneState::default());
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
        let connector = TcpConnector::default().chain(LaneConnector {
            state: Arc::clone(&state),
        });
        let agent = Agent::with_parts(config, connector, DefaultResolver::default());
        Self { agent, state }
    }

    /// Bounds the time without a byte, from the next read on.
    pub(crate) fn set_idle_timeout(&self, idle: Millis) {
        self.state.idle_ms.store(idle.0, Ordering::Relaxed);
    }

    /// Starts a request: nothing of it has been sent.
    pub(crate) fn begin(&self) {
        self.state.sent.store(false, Ordering::Release);
    }

    /// Tells whether a byte of the current request may have left.
    pub(crate) fn sent(&self) -> bool {
        self.state.sent.load(Ordering::Acquire)
    }
}

#[derive(Debug)]
struct LaneConnector {
    state: Arc<LaneState>,
}

impl<In: Transport> Connector<In> for LaneConnector {
    type Out = LaneTransport<In>;

    fn connect(
        &self,
        _details: &ConnectionDetails,
        chained: Option<In>,
    ) -> Result<Option<Self::Out>, Error> {
        let state = Arc::clone(&self.state);
        Ok(chained.map(|inner| LaneTransport { inner, state }))
    }
}

#[derive(Debug)]
struct LaneTransport<T> {
    inner: T,
    state: Arc<LaneState>,
}

impl<T: Transport> Transport for LaneTransport<T> {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.inner.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        self.state.sent.store(true, Ordering::Release);
        self.inner.transmit_output(amount, timeout)
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        let idle_ms = self.state.idle_ms.load(Ordering::Relaxed);
        let mut bounded = timeout;
        if idle_ms > 0 {
            bounded.after = bounded.after.min(Duration::from_millis(idle_ms).into());
        }
        self.inner.await_input(bounded)
    }

    fn is_open(&mut self) -> bool {
        self.inner.is_open()
    }
}
