//! A client of the platform's HTTP interfaces.

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

const MAX_RESPONSE_BYTES: u64 = 64 << 20;
const MAX_REASON_BYTES: u64 = 1 << 10;

/// Why a call to the platform failed.
#[derive(Debug, Snafu)]
pub enum PlatformError {
    /// The platform is unreachable or responded with 503; the call had no effect.
    #[snafu(display("{call}: platform unavailable: {reason}"))]
    Outage {
        /// Name of the call, such as `append`.
        call: &'static str,
        /// Error of the HTTP library, or the body of the response.
        reason: String,
    },
    /// The platform refused the call; the call had no effect.
    #[snafu(display("{call}: platform refused with status {status}: {reason}"))]
    Refused {
        /// Name of the call, such as `append`.
        call: &'static str,
        /// HTTP status code of the response.
        status: u16,
        /// Body of the response; empty when it is longer than 1 KiB or not UTF-8.
        reason: String,
    },
    /// The check before the last byte failed, so the request stayed incomplete; the call had no
    /// effect.
    #[snafu(display("{call}: request left incomplete, the check before its last byte failed"))]
    Withheld {
        /// Name of the call, such as `order`.
        call: &'static str,
    },
    /// The request may have been sent, but no valid response arrived; it may have taken effect.
    #[snafu(display("{call}: outcome unknown: {reason}"))]
    Unknown {
        /// Name of the call, such as `append`.
        call: &'static str,
        /// Error of the HTTP library or the decoder, or the status and body of the response.
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

    /// Returns whether the platform refused the call for its rate limit, so a later retry may
    /// succeed.
    pub fn is_throttled(&self) -> bool {
        matches!(self, Self::Refused { status: 429, .. })
    }
}

/// The calls that the system makes to the platform.
///
/// # Errors
///
/// Every call returns a [`PlatformError`], which distinguishes an outage, a refusal, a withheld
/// request and an unknown outcome.
#[expect(clippy::missing_errors_doc, reason = "documented once on the trait")]
pub trait PlatformApi: Send + Sync {
    /// Appends records to the log atomically: all or none.
    fn append(&self, records: &[String]) -> Result<Appended, PlatformError>;
    /// Reads at most `max` records of the log, starting at offset `from`.
    fn read(&self, from: Offset, max: usize) -> Result<LogPage, PlatformError>;
    /// Returns the list of hosts, which lags behind the true state.
    fn hosts(&self) -> Result<HostList, PlatformError>;
    /// Returns the list of targets, which lags behind the true state.
    fn targets(&self) -> Result<TargetList, PlatformError>;
    /// Starts or stops targets in a data centre.
    ///
    /// `may_send` is called before the last byte of the request. When it returns false, the request
    /// stays incomplete and the call fails with [`PlatformError::Withheld`].
    fn order(
        &self,
        order: &TargetOrder,
        may_send: &dyn Fn() -> bool,
    ) -> Result<OrderAnswer, PlatformError>;
    /// Reports usage; returns once the platform has stored it.
    ///
    /// `may_send` is as for [`order`](Self::order).
    fn report(
        &self,
        report: &UsageReport,
        may_send: &dyn Fn() -> bool,
    ) -> Result<(), PlatformError>;
}

/// Timeouts of a [`Platform`] client.
#[derive(Clone, Copy, Debug)]
pub struct PlatformBounds {
    /// Timeout for opening a connection; 500 ms by default.
    pub connect_timeout: Millis,
    /// Timeout for a whole call, including the connection; 2 s by default.
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

/// A client of the platform at a base URL.
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
    /// Creates a client with the default timeouts.
    pub fn new(base: impl Into<String>) -> Self {
        Self::with_bounds(base, PlatformBounds::default())
    }

    /// Creates a client with the given timeouts.
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
        let result = self.agent.get(&url).call();
        let mut response = check_status(call, result, &[])?;
        parse(call, &mut response)
    }

    fn post(
        &self,
        call: &'static str,
        path: &str,
        body: &impl Serialize,
        accepted: &[u16],
    ) -> Result<Response<Body>, PlatformError> {
        let url = format!("{}{path}", self.base);
        let result = self.agent.post(&url).send_json(body);
        check_status(call, result, accepted)
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
        let result = self
            .agent
            .post(format!("{}{path}", self.base))
            .content_type("application/json")
            .header("content-length", body.len())
            .send(SendBody::from_reader(&mut body));
        if body.is_withheld() {
            return Err(PlatformError::Withheld { call });
        }
        check_status(call, result, accepted)
    }
}

impl PlatformApi for Platform {
    fn append(&self, records: &[String]) -> Result<Appended, PlatformError> {
        let body = AppendRequest {
            records: records.to_vec(),
        };
        let mut response = self.post("append", "/log/append", &body, &[])?;
        parse("append", &mut response)
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
        // Status 409 carries an `OrderAnswer`: `Fenced` or `NoneAvailable`.
        let mut response = self.post_checked("order", "/orders", order, &[409], may_send)?;
        parse("order", &mut response)
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

/// Returns the response if its status is a success or one of `accepted`, and an error otherwise.
fn check_status(
    call: &'static str,
    result: Result<Response<Body>, ureq::Error>,
    accepted: &[u16],
) -> Result<Response<Body>, PlatformError> {
    let mut response = result.map_err(|error| classify(call, &error))?;
    let status = response.status().as_u16();
    if (200..300).contains(&status) || accepted.contains(&status) {
        return Ok(response);
    }
    let body = response.body_mut().with_config().limit(MAX_REASON_BYTES);
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

fn classify(call: &'static str, error: &ureq::Error) -> PlatformError {
    let reason = error.to_string();
    if is_unsent(error) {
        PlatformError::Outage { call, reason }
    } else {
        PlatformError::Unknown { call, reason }
    }
}

fn is_unsent(error: &ureq::Error) -> bool {
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
    response: &mut Response<Body>,
) -> Result<T, PlatformError> {
    let body = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES);
    body.read_json().map_err(|error| PlatformError::Unknown {
        call,
        reason: error.to_string(),
    })
}
