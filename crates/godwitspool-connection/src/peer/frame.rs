//! Frames: four magic bytes, the length of the body (u32, little-endian) and the postcard body.

use std::io::{self, Read, Write};

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use snafu::{ResultExt, Snafu, ensure};

/// First bytes of every frame; they name the protocol and its version.
const MAGIC: [u8; 4] = *b"GWS1";
const HEADER_BYTES: usize = 8;

/// Why a frame could not be read or written.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum FrameError {
    /// The connection ended or failed.
    #[snafu(display("connection failed: {source}"))]
    Connection {
        /// Error of the socket.
        source: io::Error,
    },
    /// The connection ended within a frame.
    #[snafu(display("connection ended within a frame, at least {missing} bytes are missing"))]
    Truncated {
        /// Minimum number of missing bytes. If the header is incomplete, only bytes of the header
        /// are counted.
        missing: usize,
    },
    /// The body doesn't decode to a message of the expected type.
    #[snafu(display("frame body of {bytes} bytes can't be decoded: {source}"))]
    Damaged {
        /// Size of the body.
        bytes: usize,
        /// Error of the decoder.
        source: postcard::Error,
    },
    /// The message can't be encoded.
    #[snafu(display("message can't be encoded: {source}"))]
    Encode {
        /// Error of the encoder.
        source: postcard::Error,
    },
    /// The frame doesn't begin with the protocol's magic bytes.
    #[snafu(display("frame begins with {found:02x?}, expected {MAGIC:02x?}"))]
    Magic {
        /// First bytes of the frame.
        found: [u8; 4],
    },
    /// The body is larger than allowed.
    #[snafu(display("frame body of {bytes} bytes exceeds the limit of {max_bytes} bytes"))]
    Oversize {
        /// Size of the body.
        bytes: usize,
        /// Maximum size of a body.
        max_bytes: usize,
    },
    /// The body has bytes after the message.
    #[snafu(display("frame body has {bytes} extra bytes after its message"))]
    Trailing {
        /// Number of extra bytes.
        bytes: usize,
    },
}

impl FrameError {
    /// Returns whether the connection failed, as opposed to an invalid frame.
    pub fn is_connection(&self) -> bool {
        matches!(self, Self::Connection { .. })
    }
}

/// A message with the id that matches an answer to its request.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct Tagged<T> {
    pub id: u64,
    pub body: T,
}

/// Encodes a message as a frame whose body has at most `max_bytes` bytes.
pub(super) fn encode(message: &impl Serialize, max_bytes: usize) -> Result<Vec<u8>, FrameError> {
    let frame = vec![0; HEADER_BYTES];
    let mut frame = postcard::to_extend(message, frame).context(EncodeSnafu)?;
    let bytes = frame.len() - HEADER_BYTES;
    ensure!(bytes <= max_bytes, OversizeSnafu { bytes, max_bytes });
    frame[..4].copy_from_slice(&MAGIC);
    frame[4..HEADER_BYTES].copy_from_slice(&(bytes as u32).to_le_bytes());
    Ok(frame)
}

/// Writes an encoded frame.
pub(super) fn write(mut writer: impl Write, frame: &[u8]) -> Result<(), FrameError> {
    writer.write_all(frame).context(ConnectionSnafu)
}

/// Reads a frame's body; returns `None` when the connection ended between two frames.
///
/// Allocates memory only for bytes that arrive, not for the length that the header claims.
pub(super) fn read(mut reader: impl Read, max_bytes: usize) -> Result<Option<Vec<u8>>, FrameError> {
    let header = read_up_to(&mut reader, HEADER_BYTES)?;
    if header.is_empty() {
        return Ok(None);
    }
    let Ok(header) = <[u8; HEADER_BYTES]>::try_from(header.as_slice()) else {
        let missing = HEADER_BYTES - header.len();
        return TruncatedSnafu { missing }.fail();
    };
    let [m0, m1, m2, m3, l0, l1, l2, l3] = header;
    let found = [m0, m1, m2, m3];
    ensure!(found == MAGIC, MagicSnafu { found });
    let bytes = u32::from_le_bytes([l0, l1, l2, l3]) as usize;
    ensure!(bytes <= max_bytes, OversizeSnafu { bytes, max_bytes });
    let body = read_up_to(&mut reader, bytes)?;
    let missing = bytes - body.len();
    ensure!(missing == 0, TruncatedSnafu { missing });
    Ok(Some(body))
}

fn read_up_to(reader: impl Read, bytes: usize) -> Result<Vec<u8>, FrameError> {
    let mut body = Vec::new();
    let mut limited = reader.take(bytes as u64);
    limited.read_to_end(&mut body).context(ConnectionSnafu)?;
    Ok(body)
}

/// Decodes a frame's body.
pub(super) fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, FrameError> {
    let bytes = body.len();
    let (message, rest) = postcard::take_from_bytes(body).context(DamagedSnafu { bytes })?;
    ensure!(rest.is_empty(), TrailingSnafu { bytes: rest.len() });
    Ok(message)
}
