//! Frames: a mark, a length and a postcard body.

use std::io::{self, Read, Write};

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use snafu::{ResultExt, Snafu, ensure};

/// Opens every frame and names the protocol's version.
const MARK: [u8; 4] = *b"GWS1";
const HEADER_BYTES: usize = 8;

/// Why a frame could not be read or written.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum FrameError {
    /// The connection ended or failed.
    #[snafu(display("connection failed: {source}"))]
    Connection {
        /// Cause.
        source: io::Error,
    },
    /// The connection ended within a frame.
    #[snafu(display("connection ended within a frame, {missing} bytes before its end"))]
    Cut {
        /// Bytes that are missing at least.
        missing: usize,
    },
    /// The body is not a message of the expected type.
    #[snafu(display("frame body of {bytes} bytes can't be decoded: {source}"))]
    Damaged {
        /// Size of the body.
        bytes: usize,
        /// Cause.
        source: postcard::Error,
    },
    /// The message can't be encoded.
    #[snafu(display("message can't be encoded: {source}"))]
    Encode {
        /// Cause.
        source: postcard::Error,
    },
    /// The frame doesn't begin with the protocol's mark.
    #[snafu(display("frame begins with {found:02x?}, expected {MARK:02x?}"))]
    Mark {
        /// What was found.
        found: [u8; 4],
    },
    /// The frame is larger than allowed.
    #[snafu(display("frame of {bytes} bytes exceeds the bound of {bound} bytes"))]
    Oversize {
        /// Size of the body.
        bytes: usize,
        /// Largest size allowed.
        bound: usize,
    },
    /// Bytes are left over behind the message.
    #[snafu(display("frame has {bytes} bytes behind its message"))]
    Trailing {
        /// How many.
        bytes: usize,
    },
}

impl FrameError {
    /// Returns whether the connection itself failed, rather than what came over it.
    pub fn is_connection(&self) -> bool {
        matches!(self, Self::Connection { .. })
    }
}

/// A message with the id that matches answers to requests.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct Tagged<T> {
    pub id: u64,
    pub body: T,
}

/// Encodes a frame.
pub(super) fn encode(message: &impl Serialize, bound: usize) -> Result<Vec<u8>, FrameError> {
    let frame = vec![0; HEADER_BYTES];
    let mut frame = postcard::to_extend(message, frame).context(EncodeSnafu)?;
    let bytes = frame.len() - HEADER_BYTES;
    ensure!(bytes <= bound, OversizeSnafu { bytes, bound });
    frame[..4].copy_from_slice(&MARK);
    frame[4..HEADER_BYTES].copy_from_slice(&(bytes as u32).to_le_bytes());
    Ok(frame)
}

/// Writes a frame in one piece.
pub(super) fn write(mut writer: impl Write, frame: &[u8]) -> Result<(), FrameError> {
    writer.write_all(frame).context(ConnectionSnafu)
}

/// Reads a frame's body; nothing when the connection ended between frames.
///
/// Memory grows with what arrives, not with what the header claims.
pub(super) fn read(mut reader: impl Read, bound: usize) -> Result<Option<Vec<u8>>, FrameError> {
    let header = read_up_to(&mut reader, HEADER_BYTES)?;
    if header.is_empty() {
        return Ok(None);
    }
    let Ok(header) = <[u8; HEADER_BYTES]>::try_from(header.as_slice()) else {
        let missing = HEADER_BYTES - header.len();
        return CutSnafu { missing }.fail();
    };
    let [m0, m1, m2, m3, l0, l1, l2, l3] = header;
    let found = [m0, m1, m2, m3];
    ensure!(found == MARK, MarkSnafu { found });
    let bytes = u32::from_le_bytes([l0, l1, l2, l3]) as usize;
    ensure!(bytes <= bound, OversizeSnafu { bytes, bound });
    let body = read_up_to(&mut reader, bytes)?;
    let missing = bytes - body.len();
    ensure!(missing == 0, CutSnafu { missing });
    Ok(Some(body))
}

fn read_up_to(reader: impl Read, bytes: usize) -> Result<Vec<u8>, FrameError> {
    let mut body = Vec::new();
    let mut part = reader.take(bytes as u64);
    part.read_to_end(&mut body).context(ConnectionSnafu)?;
    Ok(body)
}

/// Decodes a frame's body.
pub(super) fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, FrameError> {
    let bytes = body.len();
    let (message, rest) = postcard::take_from_bytes(body).context(DamagedSnafu { bytes })?;
    ensure!(rest.is_empty(), TrailingSnafu { bytes: rest.len() });
    Ok(message)
}
