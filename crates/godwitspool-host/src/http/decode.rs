//! Incremental decoding of message heads and bodies.

use snafu::Snafu;

use super::{Headers, Request, Response};

/// Maximum number of header fields in a message head.
const MAX_HEADER_FIELDS: usize = 96;
/// Maximum length of a chunk's size line, including extensions. RFC 9112 leaves this limit to the
/// receiver.
const MAX_CHUNK_LINE_BYTES: usize = 256;

/// Received bytes aren't a valid HTTP/1.1 message.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum DecodeError {
    /// The body exceeds the limit.
    #[snafu(display("message body exceeds the limit"))]
    Body,
    /// The start line or a header field is malformed, or the head exceeds a limit.
    #[snafu(display("message head is malformed or exceeds a limit"))]
    Head,
    /// `Content-Length` or `Transfer-Encoding` is malformed or unsupported, or the two conflict; or
    /// the chunked framing of a body is malformed.
    #[snafu(display("message framing is malformed or unsupported"))]
    Framing,
}

/// Decodes a request head. Returns it with its length in bytes, or `None` while it is incomplete.
///
/// # Errors
///
/// Fails if the bytes aren't a valid request head.
pub fn decode_request(bytes: &[u8]) -> Result<Option<(Request, usize)>, DecodeError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
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

/// Decodes a response head. Returns it with its length in bytes, or `None` while it is incomplete.
///
/// # Errors
///
/// Fails if the bytes aren't a valid response head, or the status isn't one of HTTP's five classes.
pub fn decode_response(bytes: &[u8]) -> Result<Option<(Response, usize)>, DecodeError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
    let mut head = httparse::Response::new(&mut fields);
    match head.parse(bytes).ok().ok_or(DecodeError::Head)? {
        httparse::Status::Partial => Ok(None),
        httparse::Status::Complete(length) => {
            let status = head.code.filter(|code| (100..600).contains(code));
            let response = Response {
                status: status.ok_or(DecodeError::Head)?,
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

/// Incremental decoder of one message body.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BodyDecoder {
    /// The number of bytes still to be received.
    Length(usize),
    /// The body uses the chunked transfer coding.
    Chunked(ChunkState),
    /// The body ends when the connection is closed.
    UntilClose,
    /// The body is complete.
    Done,
}

/// Which part of a chunked body is decoded next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChunkState {
    /// The size line of a chunk.
    Size,
    /// Data of a chunk, with the number of bytes still to be received.
    Data(usize),
    /// The line end after the data of a chunk.
    End,
    /// Trailer fields after the last chunk, up to the empty line.
    Trailer,
}

impl BodyDecoder {
    /// Returns the decoder for a request's body.
    ///
    /// # Errors
    ///
    /// Fails if `Content-Length` is malformed or repeated, the transfer coding isn't chunked, or both
    /// headers are present. Accepting such a request would allow request smuggling.
    pub fn of_request(headers: &Headers) -> Result<Self, DecodeError> {
        let has_coding = headers.get("transfer-encoding").is_some();
        let lengths: Vec<&str> = content_lengths(headers).collect();
        match (has_coding, lengths.as_slice()) {
            (true, []) if headers.lists("transfer-encoding", "chunked") => {
                Ok(Self::Chunked(ChunkState::Size))
            }
            (false, []) => Ok(Self::Done),
            (false, [length]) => Self::length(length),
            _ => Err(DecodeError::Framing),
        }
    }

    /// Returns the decoder for the body of a response to a request with the given method.
    ///
    /// # Errors
    ///
    /// Fails if `Content-Length` is malformed or repeated, or if both it and `Transfer-Encoding` are
    /// present.
    pub fn of_response(method: &str, response: &Response) -> Result<Self, DecodeError> {
        if method == "HEAD" || matches!(response.status, 100..=199 | 204 | 304) {
            return Ok(Self::Done);
        }
        let has_coding = response.headers.get("transfer-encoding").is_some();
        let lengths: Vec<&str> = content_lengths(&response.headers).collect();
        match (has_coding, lengths.as_slice()) {
            (true, []) => Ok(Self::Chunked(ChunkState::Size)),
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

    /// Returns whether the body is complete.
    pub fn is_done(&self) -> bool {
        *self == Self::Done
    }

    /// Decodes bytes of `input` and appends them to `body`. Bytes that follow the end of the body
    /// stay in `input`.
    ///
    /// # Errors
    ///
    /// Fails if the chunked framing is malformed.
    pub fn decode(&mut self, input: &mut Vec<u8>, body: &mut Vec<u8>) -> Result<(), DecodeError> {
        let mut used = 0;
        while let Some(step) = self.step(&input[used..], body)? {
            used += step;
        }
        input.drain(..used);
        Ok(())
    }

    /// Decodes one line or data block and returns the number of bytes consumed, or `None` when the
    /// body is complete or more input is needed.
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
            Self::Chunked(ChunkState::Data(left)) => {
                let taken = input.len().min(*left);
                body.extend_from_slice(&input[..taken]);
                *left -= taken;
                if *left == 0 {
                    *self = Self::Chunked(ChunkState::End);
                }
                Some(taken)
            }
            Self::Chunked(chunk) => {
                let Some(end) = input.iter().position(|byte| *byte == b'\n') else {
                    let bounded = input.len() <= MAX_CHUNK_LINE_BYTES;
                    return bounded.then_some(None).ok_or(DecodeError::Framing);
                };
                let line = input[..end]
                    .strip_suffix(b"\r")
                    .ok_or(DecodeError::Framing)?;
                *self = chunk.next_state(line)?;
                Some(end + 1)
            }
        };
        Ok(step)
    }
}

impl ChunkState {
    fn next_state(self, line: &[u8]) -> Result<BodyDecoder, DecodeError> {
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

fn content_lengths(headers: &Headers) -> impl Iterator<Item = &str> {
    let fields = headers.0.iter();
    let named = fields.filter(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    named.map(|(_, value)| value.trim())
}
