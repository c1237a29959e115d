//! The platform's interfaces over HTTP.

use std::time::Duration;

use godwitspool_types::{Millis, Offset, Ran};
use serde::{Serialize, de::DeserializeOwned};
use snafu::Snafu;
use ureq::{Agent, Body, SendBody, http::Response};

use crate::{
    checked_body::CheckedBody,
    platform::{
        AppendRequest, Appended, HostList, LogPage, OrderAnswer, TargetList, TargetOrder,
        UsageReport,
    },
};

const ANSWER_BYTES: u64 = 64 << 20;
const REASON_BYTES: u64 = 1 << 10;

/// Why a call of the platform failed.
#[derive(Debug, Snafu)]
pub enum PlatformError {
    /// The platform can't be reached or says that it is out; nothing was done.
    #[snafu(display("{call}: platform is out: {reason}"))]
    Outage {
        /// The call.
        call: &'static str,
        /// What was seen.
        reason: String,
    },
    /// The platform refused the call; nothing was done.
    #[snafu(display("{call}: platform refused with status {status}: {reason}"))]
    Refused {
        /// The call.
        call: &'static str,
        /// Status of the answer.
        status: u16,
        /// Body of the answer, cut.
        reason: String,
    },
    /// The check before the last byte failed, so the call was never sent whole; nothing was done.
    #[snafu(display("{call}: withheld, the right to send it ended"))]
    Withheld {
        /// The call.
        call: &'static str,
    },
    /// The call was sent and its answer lost; it may have taken effect.
    #[snafu(display("{call}: fate unknown: {reason}"))]
    Unknown {
        /// The call.
        call: &'static str,
        /// What was seen.
        reason: String,
    },
}

impl PlatformError {
    /// Returns whether the call may have taken effect.
    ///
    /// ```
    /// use godwitspool_connection::http::PlatformError;
    /// use godwitspool_types::Ran;
    ///
    /// let error = PlatformError::Refused { call: "append", status: 429, reason: String::new() };
    /// assert_eq!(error.ran(), Ran::NotRun);
    /// ```
    pub fn ran(&self) -> Ran {
        match self {
            Self::Outage { .. } | Self::Refused { .. } | Self::Withheld { .. } => Ran::NotRun,
            Self::Unknown { .. } => Ran::Unknown,
        }
    }

    /// Returns whether the platform refused for its rate, so that the same call may pass later.
    pub fn is_throttled(&self) -> bool {
        matches!(self, Self::Refused { status: 429, .. })
    }
}

/// What the system asks of the platform.
///
/// # Errors
///
/// Every call ends with a [`PlatformError`] that tells an outage, a refusal and an unknown fate apart.
#[expect(clippy::missing_errors_doc, reason = "said once for all calls")]
pub trait PlatformApi: Send + Sync {
    /// Appends records to the log, all or none.
    fn append(&self, records: &[String]) -> Result<Appended, PlatformError>;
    /// Reads at most `max` records of the log from an offset on.
    fn read(&self, from: Offset, max: usize) -> Result<LogPage, PlatformError>;
    /// Returns the lagging list of hosts.
    fn hosts(&self) -> Result<HostList, PlatformError>;
    /// Returns the lagging list of targets.
    fn targets(&self) -> Result<TargetList, PlatformError>;
    /// Orders targets of a data centre, if the check passes before the order's last byte is sent.
    fn order(
        &self,
        order: &TargetOrder,
        may_send: &dyn Fn() -> bool,
    ) -> Result<OrderAnswer, PlatformError>;
    /// Reports usage, if the check passes before the report's last byte is sent; returns once it is
    /// stored.
    fn report(
        &self,
        report: &UsageReport,
        may_send: &dyn Fn() -> bool,
    ) -> Result<(), PlatformError>;
}

/// Bounds of a [`Platform`].
#[derive(Clone, Copy, Debug)]
pub struct PlatformBounds {
    /// Time to open a connection.
    pub connect_timeout: Millis,
    /// Time for a whole call.
    pub call_timeout: Millis,
}

impl Default for PlatformBounds {
    fn default() -> Self {
        Self {
            connect_timeout: Millis(500),
            call_timeout: Millis(2_000),
        }
    }
}

/// The platform at a base URL.
///
/// ```
/// use godwitspool_connection::http::{Platform, PlatformApi};
///
/// let platform = Platform::new("http://127.0.0.1:1");
/// assert!(platform.hosts().is_err());
/// ```
#[derive(Clone, Debug)]
pub struct Platform {
    agent: Agent,
    base: String,
}

impl Platform {
    /// Makes a client of the platform at a base URL.
    pub fn new(base: impl Into<String>) -> Self {
        Self::with_bounds(base, PlatformBounds::default())
    }

    /// Makes a client with bounds of its own.
    pub fn with_bounds(base: impl Into<String>, bounds: PlatformBounds) -> Self {
        let base = base.into().trim_end_matches('/').to_owned();
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .proxy(None)
            .max_redirects(0)
            .max_idle_age(Duration::from_secs(5))
            .timeout_connect(Some(bounds.connect_timeout.duration()))
            .timeout_global(Some(bounds.call_timeout.duration()))
            .build();
        Self {
            agent: config.into(),
            base,
        }
    }

    fn get<T: DeserializeOwned>(&self, call: &'static str, path: &str) -> Result<T, PlatformError> {
        let url = format!("{}{path}", self.base);
        let sent = self.agent.get(&url).call();
        let mut answer = accept(call, sent, &[])?;
        parse(call, &mut answer)
    }

    fn post(
        &self,
        call: &'static str,
        path: &str,
        body: &impl Serialize,
        accepted: &[u16],
    ) -> Result<Response<Body>, PlatformError> {
        let url = format!("{}{path}", self.base);
        let sent = self.agent.post(&url).send_json(body);
        accept(call, sent, accepted)
    }
}

impl Platform {
    fn post_checked(
        &self,
        call: &'static str,
        path: &str,
        body: &impl Serialize,
        accepted: &[u16],
        may_send: &dyn Fn() -> bool,
    ) -> Result<Response<Body>, PlatformError> {
        let mut body = CheckedBody::new(body, may_send);
        let sent = self
            .agent
            .post(format!("{}{path}", self.base))
            .content_type("application/json")
            .header("content-length", body.len())
            .send(SendBody::from_reader(&mut body));
        if body.is_refused() {
            return Err(PlatformError::Withheld { call });
        }
        accept(call, sent, accepted)
    }
}

impl PlatformApi for Platform {
    fn append(&self, records: &[String]) -> Result<Appended, PlatformError> {
        let body = AppendRequest {
            records: records.to_vec(),
        };
        let mut answer = self.post("append", "/log/append", &body, &[])?;
        parse("append", &mut answer)
    }

    fn read(&self, from: Offset, max: usize) -> Result<LogPage, PlatformError> {
        self.get("read", &format!("/log?from={from}&max={max}"))
    }

    fn hosts(&self) -> Result<HostList, PlatformError> {
        self.get("hosts", "/hosts")
    }

    fn targets(&self) -> Result<TargetList, PlatformError> {
        self.get("targets", "/targets")
    }

    fn order(
        &self,
        order: &TargetOrder,
        may_send: &dyn Fn() -> bool,
    ) -> Result<OrderAnswer, PlatformError> {
        // The refusals of the protocol are answers: fenced and none available.
        let mut answer = self.post_checked("order", "/orders", order, &[409], may_send)?;
        parse("order", &mut answer)
    }

    fn report(
        &self,
        report: &UsageReport,
        may_send: &dyn Fn() -> bool,
    ) -> Result<(), PlatformError> {
        self.post_checked("report", "/usage", report, &[], may_send)
            .map(drop)
    }
}

fn accept(
    call: &'static str,
    sent: Result<Response<Body>, ureq::Error>,
    accepted: &[u16],
) -> Result<Response<Body>, PlatformError> {
    let mut answer = sent.map_err(|error| failure(call, &error))?;
    let status = answer.status().as_u16();
    if (200..300).contains(&status) || accepted.contains(&status) {
        return Ok(answer);
    }
    let body = answer.body_mut().with_config().limit(REASON_BYTES);
    let reason = body.read_to_string().unwrap_or_default();
    Err(match status {
        503 => PlatformError::Outage { call, reason },
        500..=599 => PlatformError::Unknown {
            call,
            reason: format!("status {status}: {reason}"),
        },
        _ => PlatformError::Refused {
            call,
            status,
            reason,
        },
    })
}

fn failure(call: &'static str, error: &ureq::Error) -> PlatformError {
    let reason = error.to_string();
    if sent_nothing(error) {
        PlatformError::Outage { call, reason }
    } else {
        PlatformError::Unknown { call, reason }
    }
}

fn sent_nothing(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::BadUri(_)
        | ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => true,
        ureq::Error::Io(source) => source.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}

fn parse<T: DeserializeOwned>(
    call: &'static str,
    answer: &mut Response<Body>,
) -> Result<T, PlatformError> {
    let body = answer.body_mut().with_config().limit(ANSWER_BYTES);
    body.read_json().map_err(|error| PlatformError::Unknown {
        call,
        reason: error.to_string(),
    })
}
