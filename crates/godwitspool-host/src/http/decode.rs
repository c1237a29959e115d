//! Incremental decoding of heads and bodies.

use snafu::Snafu;

use super::{Headers, Request, Response};

/// Header fields that a head may hold.
const FIELDS_MAX: usize = 96;
/// Digits and extension of a chunk's size line; RFC 9112 leaves the bound to the receiver.
const CHUNK_LINE_MAX: usize = 256;

/// Bytes that are no message of HTTP/1.1.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum DecodeError {
    /// The start line or a field is malformed.
    #[snafu(display("malformed head"))]
    Head,
    /// Length and transfer coding are missing, contradict each other or are malformed.
    #[snafu(display("malformed framing"))]
    Framing,
}

/// Decodes a request's head; returns it with its length in bytes, or `None` while it is incomplete.
///
/// # Errors
///
/// When the bytes are no head.
pub fn decode_request(bytes: &[u8]) -> Result<Option<(Request, usize)>, DecodeError> {
    let mut fields = [httparse::EMPTY_HEADER; FIELDS_MAX];
    let mut head = httparse::Request::new(&mut fields);
    match head.parse(bytes).ok().ok_or(DecodeError::Head)? {
        httparse::Status::Partial => Ok(None),
        httparse::Status::Complete(length) => {
            let request = Request {
                method: head.method.unwrap_or_default().to_owned(),
                target: head.path.unwrap_or_default().to_owned(),
                headers: headers(head.headers),
                body: Vec::new(),
            };
            Ok(Some((request, length)))
        }
    }
}

/// Decodes an answer's head; returns it with its length in bytes, or `None` while it is incomplete.
///
/// # Errors
///
/// When the bytes are no head.
pub fn decode_response(bytes: &[u8]) -> Result<Option<(Response, usize)>, DecodeError> {
    let mut fields = [httparse::EMPTY_HEADER; FIELDS_MAX];
    let mut head = httparse::Response::new(&mut fields);
    match head.parse(bytes).ok().ok_or(DecodeError::Head)? {
        httparse::Status::Partial => Ok(None),
        httparse::Status::Complete(length) => {
            let response = Response {
                status: head.code.unwrap_or_default(),
                headers: headers(head.headers),
                body: Vec::new(),
            };
            Ok(Some((response, length)))
        }
    }
}

fn headers(fields: &[httparse::Header<'_>]) -> Headers {
    let field = |field: &httparse::Header<'_>| {
        let value = String::from_utf8_lossy(field.value).into_owned();
        (field.name.to_owned(), value)
    };
    Headers(fields.iter().map(field).collect())
}

/// Decodes one body as its bytes arrive.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BodyDecoder {
    /// So many bytes are still to come.
    Length(usize),
    /// Chunks follow.
    Chunked(Chunk),
    /// The body ends where the connection is closed.
    UntilClose,
    /// The body is whole.
    Done,
}

/// Where a chunked body stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Chunk {
    /// A size line is next.
    Size,
    /// So many bytes of a chunk are still to come.
    Data(usize),
    /// The line end behind a chunk is next.
    End,
    /// Trailer fields follow the last chunk.
    Trailer,
}

impl BodyDecoder {
    /// Chooses the decoder of a request.
    ///
    /// # Errors
    ///
    /// When length and coding contradict each other: such a request could be smuggled.
    pub fn of_request(headers: &Headers) -> Result<Self, DecodeError> {
        let coded = headers.get("transfer-encoding").is_some();
        let lengths: Vec<&str> = lengths(headers).collect();
        match (coded, lengths.as_slice()) {
            (true, []) if headers.lists("transfer-encoding", "chunked") => {
                Ok(Self::Chunked(Chunk::Size))
            }
            (false, []) => Ok(Self::Done),
            (false, [length]) => Self::length(length),
            _ => Err(DecodeError::Framing),
        }
    }

    /// Chooses the decoder of an answer.
    ///
    /// # Errors
    ///
    /// When length and coding contradict each other.
    pub fn of_response(method: &str, response: &Response) -> Result<Self, DecodeError> {
        if method == "HEAD" || matches!(response.status, 100..=199 | 204 | 304) {
            return Ok(Self::Done);
        }
        let coded = response.headers.get("transfer-encoding").is_some();
        let lengths: Vec<&str> = lengths(&response.headers).collect();
        match (coded, lengths.as_slice()) {
            (true, []) => Ok(Self::Chunked(Chunk::Size)),
            (false, []) => Ok(Self::UntilClose),
            (false, [length]) => Self::length(length),
            _ => Err(DecodeError::Framing),
        }
    }

    fn length(text: &str) -> Result<Self, DecodeError> {
        let digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
        match text.parse() {
            Ok(0) if digits => Ok(Self::Done),
            Ok(length) if digits => Ok(Self::Length(length)),
            _ => Err(DecodeError::Framing),
        }
    }

    /// Tells whether the body is whole.
    pub fn is_done(&self) -> bool {
        *self == Self::Done
    }

    /// Moves what `input` holds of the body to `body`; what follows the body stays in `input`.
    ///
    /// # Errors
    ///
    /// When a chunk is malformed.
    pub fn decode(&mut self, input: &mut Vec<u8>, body: &mut Vec<u8>) -> Result<(), DecodeError> {
        let mut used = 0;
        while let Some(step) = self.step(&input[used..], body)? {
            used += step;
        }
        input.drain(..used);
        Ok(())
    }

    /// Decodes one run of bytes and returns its length; `None` when more bytes are needed.
    fn step(&mut self, input: &[u8], body: &mut Vec<u8>) -> Result<Option<usize>, DecodeError> {
        let step = match self {
            Self::Done => None,
            _ if input.is_empty() => None,
            Self::UntilClose => {
                body.extend_from_slice(input);
                Some(input.len())
            }
            Self::Length(left) => {
                let taken = input.len().min(*left);
                body.extend_from_slice(&input[..taken]);
                *left -= taken;
                if *left == 0 {
                    *self = Self::Done;
                }
                Some(taken)
            }
            Self::Chunked(Chunk::Data(left)) => {
                let taken = input.len().min(*left);
                body.extend_from_slice(&input[..taken]);
                *left -= taken;
                if *left == 0 {
                    *self = Self::Chunked(Chunk::End);
                }
                Some(taken)
            }
            Self::Chunked(chunk) => {
                let Some(end) = input.iter().position(|byte| *byte == b'\n') else {
                    let bounded = input.len() <= CHUNK_LINE_MAX;
                    return bounded.then_some(None).ok_or(DecodeError::Framing);
                };
                let line = input[..end]
                    .strip_suffix(b"\r")
                    .ok_or(DecodeError::Framing)?;
                *self = chunk.after_line(line)?;
                Some(end + 1)
            }
        };
        Ok(step)
    }
}

impl Chunk {
    fn after_line(self, line: &[u8]) -> Result<BodyDecoder, DecodeError> {
        let next = match self {
            Self::End if line.is_empty() => Self::Size,
            Self::Trailer if line.is_empty() => return Ok(BodyDecoder::Done),
            Self::Trailer => Self::Trailer,
            Self::Size => {
                let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
                let digits = std::str::from_utf8(digits)
                    .ok()
                    .ok_or(DecodeError::Framing)?;
                let hex = digits.trim_end();
                if hex.is_empty() || !hex.bytes().all(|byte| byte.is_ascii_hexdigit()) {
                    return Err(DecodeError::Framing);
                }
                let size = usize::from_str_radix(hex, 16)
                    .ok()
                    .ok_or(DecodeError::Framing)?;
                if size == 0 {
                    Self::Trailer
                } else {
                    Self::Data(size)
                }
            }
            Self::Data(_) | Self::End => return Err(DecodeError::Framing),
        };
        Ok(BodyDecoder::Chunked(next))
    }
}

fn lengths(headers: &Headers) -> impl Iterator<Item = &str> {
    let fields = headers.0.iter();
    let named = fields.filter(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    named.map(|(_, value)| value.trim())
}
