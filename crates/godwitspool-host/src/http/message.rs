use std::fmt;

/// Header fields in the order received, as (name, value) pairs.
///
/// ```
/// use godwitspool_host::http::Headers;
///
/// let mut headers = Headers::default();
/// headers.push("Content-Type", "text/plain");
/// assert_eq!(headers.get("content-type"), Some("text/plain"));
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Headers(pub Vec<(String, String)>);

impl Headers {
    /// Returns the first value of a field. Names are compared case-insensitively.
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut fields = self.0.iter();
        let field = fields.find(|(field, _)| field.eq_ignore_ascii_case(name));
        field.map(|(_, value)| value.as_str())
    }

    /// Appends a field.
    pub fn push(&mut self, name: impl Into<String>, value: impl Into<String>) {
        self.0.push((name.into(), value.into()));
    }

    /// Removes all fields with a name.
    pub fn remove(&mut self, name: &str) {
        self.0
            .retain(|(field, _)| !field.eq_ignore_ascii_case(name));
    }

    /// Replaces all fields with a name by a single one.
    pub fn set(&mut self, name: impl Into<String>, value: impl Into<String>) {
        let name = name.into();
        self.remove(&name);
        self.push(name, value);
    }

    /// Returns whether a comma-separated field contains a token, compared case-insensitively.
    pub fn lists(&self, name: &str, token: &str) -> bool {
        let fields = self
            .0
            .iter()
            .filter(|(field, _)| field.eq_ignore_ascii_case(name));
        let mut tokens = fields.flat_map(|(_, value)| value.split(','));
        tokens.any(|listed| listed.trim().eq_ignore_ascii_case(token))
    }

    /// Removes hop-by-hop fields (RFC 9110, section 7.6.1).
    pub fn remove_hop_by_hop(&mut self) {
        let named: Vec<String> = self
            .0
            .iter()
            .filter(|(name, _)| name.eq_ignore_ascii_case("connection"))
            .flat_map(|(_, value)| value.split(','))
            .map(|name| name.trim().to_owned())
            .collect();
        for name in named.iter().map(String::as_str).chain(HOP_BY_HOP) {
            self.remove(name);
        }
    }
}

/// Hop-by-hop fields, and fields of the message framing, which each connection sets itself.
const HOP_BY_HOP: [&str; 10] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// A request with its complete body.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Request {
    /// Method, such as `POST`.
    pub method: String,
    /// Request target: path and query, undecoded.
    pub target: String,
    /// Header fields. Those of a request to be sent must not include `Content-Length`, which
    /// [`encode`](Self::encode) adds.
    pub headers: Headers,
    /// Body, decoded from its transfer coding.
    pub body: Vec<u8>,
}

impl Request {
    /// Creates a request without headers.
    pub fn new(method: &str, target: impl Into<String>, body: impl Into<Vec<u8>>) -> Self {
        Self {
            method: method.to_owned(),
            target: target.into(),
            headers: Headers::default(),
            body: body.into(),
        }
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns the first query parameter with a name, undecoded.
    ///
    /// ```
    /// use godwitspool_host::http::Request;
    ///
    /// let request = Request::new("GET", "/results?after=3&wait=1", Vec::new());
    /// assert_eq!(request.parameter("after"), Some("3"));
    /// ```
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// Returns the bytes of the request, with a `Content-Length` field.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = self.encode_head(self.body.len());
        bytes.extend_from_slice(&self.body);
        bytes
    }

    /// Returns the bytes of the request's head, with a `Content-Length` field of the given length.
    pub fn encode_head(&self, length: usize) -> Vec<u8> {
        let mut bytes = format!("{} {} HTTP/1.1\r\n", self.method, self.target).into_bytes();
        encode_fields(&mut bytes, &self.headers, Some(length));
        bytes
    }
}

/// A response; `body` is complete unless the response is streamed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Header fields.
    pub headers: Headers,
    /// Body, decoded from its transfer coding.
    pub body: Vec<u8>,
}

impl Response {
    /// Creates a response without headers.
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self {
            status,
            headers: Headers::default(),
            body: body.into(),
        }
    }

    /// Adds a header field.
    pub fn with(mut self, name: &str, value: impl fmt::Display) -> Self {
        self.headers.push(name, value.to_string());
        self
    }

    /// Returns the bytes of the response, with a `Content-Length` field.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = self.encode_head(false);
        bytes.extend_from_slice(&self.body);
        bytes
    }

    /// Returns the bytes of the response's head, with a `Content-Length` field, and with the field that
    /// announces that the connection is closed if `close` is set.
    pub fn encode_head(&self, close: bool) -> Vec<u8> {
        let mut bytes = status_line(self.status);
        if close {
            bytes.extend_from_slice(b"Connection: close\r\n");
        }
        encode_fields(&mut bytes, &self.headers, Some(self.body.len()));
        bytes
    }

    /// Returns the bytes of the head of a response whose body follows in chunks.
    pub fn encode_chunked_head(&self) -> Vec<u8> {
        let mut bytes = status_line(self.status);
        let mut headers = self.headers.clone();
        headers.push("Transfer-Encoding", "chunked");
        encode_fields(&mut bytes, &headers, None);
        bytes
    }
}

fn status_line(status: u16) -> Vec<u8> {
    format!("HTTP/1.1 {status} {}\r\n", reason_phrase(status)).into_bytes()
}

fn encode_fields(bytes: &mut Vec<u8>, headers: &Headers, length: Option<usize>) {
    for (name, value) in &headers.0 {
        bytes.extend_from_slice(name.as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(value.as_bytes());
        bytes.extend_from_slice(b"\r\n");
    }
    if let Some(length) = length {
        bytes.extend_from_slice(format!("Content-Length: {length}\r\n").as_bytes());
    }
    bytes.extend_from_slice(b"\r\n");
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        202 => "Accepted",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
