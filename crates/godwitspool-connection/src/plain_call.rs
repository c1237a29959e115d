//! Calls that are forwarded to plain services.

use std::net::SocketAddr;

use ureq::{
    Body, Error,
    http::{Request, Response},
};

use crate::call_error::CallError;

/// Request headers that are forwarded to a target. All others are dropped, above all those that may
/// hold the caller's key.
const REQUEST_HEADERS: [&str; 6] = [
    "accept",
    "accept-language",
    "content-type",
    "if-match",
    "if-none-match",
    "x-request-id",
];
/// Response headers that are forwarded to the caller.
const RESPONSE_HEADERS: [&str; 6] = [
    "cache-control",
    "content-language",
    "content-type",
    "etag",
    "last-modified",
    "retry-after",
];

/// An HTTP header.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Header {
    /// Name, in lower case.
    pub name: String,
    /// Value; response headers whose value isn't visible ASCII are dropped.
    pub value: String,
}

/// A call to a plain service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlainCall {
    /// Body of the request.
    pub body: Vec<u8>,
    /// Headers as the caller sent them. Only those that a target may see are forwarded.
    pub headers: Vec<Header>,
    /// Whether the call may run twice without harm.
    pub idempotent: bool,
    /// HTTP method, such as `GET`.
    pub method: String,
    /// Path and query string.
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
            .filter(|header| is_listed(&REQUEST_HEADERS, &header.name))
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
    /// Body of the response.
    pub body: Vec<u8>,
    /// Headers that are forwarded to the caller.
    pub headers: Vec<Header>,
    /// HTTP status code.
    pub status: u16,
}

impl PlainAnswer {
    pub(crate) fn read(response: Response<Body>, max_bytes: u64) -> Result<Self, Error> {
        let status = response.status().as_u16();
        let headers = response
            .headers()
            .iter()
            .filter(|(name, _)| is_listed(&RESPONSE_HEADERS, name.as_str()))
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

fn is_listed(list: &[&str], name: &str) -> bool {
    list.iter().any(|listed| listed.eq_ignore_ascii_case(name))
}
