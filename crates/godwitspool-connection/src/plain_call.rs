//! Calls that pass through to plain services.

use std::net::SocketAddr;

use ureq::{
    Body, Error,
    http::{Request, Response},
};

use crate::call_error::CallError;

/// Headers of a caller that may reach a target. Everything else stays here, keys above all.
const PASSED_TO_TARGET: [&str; 6] = [
    "accept",
    "accept-language",
    "content-type",
    "if-match",
    "if-none-match",
    "x-request-id",
];
/// Headers of a target that may reach a caller.
const PASSED_TO_CALLER: [&str; 6] = [
    "cache-control",
    "content-language",
    "content-type",
    "etag",
    "last-modified",
    "retry-after",
];

/// A header that passes through.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Header {
    /// Name, in lower case.
    pub name: String,
    /// Value.
    pub value: String,
}

/// A call to a plain service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlainCall {
    /// Body.
    pub body: Vec<u8>,
    /// Headers as the caller sent them; only those that may pass are sent on.
    pub headers: Vec<Header>,
    /// Whether running twice does no harm.
    pub idempotent: bool,
    /// Method.
    pub method: String,
    /// Path and query.
    pub path: String,
}

impl PlainCall {
    pub(crate) fn to_request(&self, address: SocketAddr) -> Result<Request<Vec<u8>>, CallError> {
        let mut request = Request::builder()
            .method(self.method.as_str())
            .uri(format!("http://{address}{}", self.path));
        for header in self
            .headers
            .iter()
            .filter(|header| passes(&PASSED_TO_TARGET, &header.name))
        {
            request = request.header(&header.name, &header.value);
        }
        request
            .body(self.body.clone())
            .map_err(|error| CallError::NotSent {
                cause: error.to_string(),
            })
    }
}

/// The answer of a plain service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlainAnswer {
    /// Body, whole.
    pub body: Vec<u8>,
    /// Headers that may pass to the caller.
    pub headers: Vec<Header>,
    /// HTTP status.
    pub status: u16,
}

impl PlainAnswer {
    pub(crate) fn read(response: Response<Body>, max_bytes: u64) -> Result<Self, Error> {
        let status = response.status().as_u16();
        let headers = response
            .headers()
            .iter()
            .filter(|(name, _)| passes(&PASSED_TO_CALLER, name.as_str()))
            .filter_map(|(name, value)| {
                let value = value.to_str().ok()?.to_owned();
                Some(Header {
                    name: name.as_str().to_owned(),
                    value,
                })
            })
            .collect();
        let mut body = response.into_body();
        let body = body.with_config().limit(max_bytes).read_to_vec()?;
        Ok(Self {
            body,
            headers,
            status,
        })
    }
}

fn passes(list: &[&str], name: &str) -> bool {
    list.iter().any(|passed| passed.eq_ignore_ascii_case(name))
}
