//! Gossip datagrams and their encoding.

use godwitspool_types::{Dc, HostName, Incarnation, Millis, Offset};
use rapidhash::v3::rapidhash_v3;
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, Snafu, ensure};

use super::{MemberRecord, Rumor};

/// Largest encoded datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
const CHECKSUM_BYTES: usize = 4;

/// One message, with membership updates piggybacked on it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Datagram {
    /// The request or answer.
    pub message: Message,
    /// The sender's own record.
    pub sender: MemberRecord,
    /// Digest of the sender's member table. If a receiver in the same data centre has another
    /// digest, it fills its answer with records.
    pub digest: u64,
    /// Highest positions in the log known to the sender.
    pub hints: Hints,
    /// Last contact with each other data centre; empty in datagrams to other data centres.
    pub heard: Vec<DcContact>,
    /// Records of other hosts.
    pub updates: Vec<MemberRecord>,
    /// Rumors that are not about hosts.
    pub rumors: Vec<Rumor>,
}

/// The request or answer in a datagram.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// Acknowledges a probe.
    Ack {
        /// Sequence number of the acknowledged probe.
        sequence: u64,
        /// The probed host if the probe was indirect; `None` if the sender itself was probed.
        answered: Option<Answered>,
    },
    /// Carries updates only and expects no answer.
    News,
    /// Probes the receiver, which answers with [`Message::Ack`].
    Ping {
        /// Sequence number of the probe.
        sequence: u64,
    },
    /// Asks the receiver to probe a host on the sender's behalf.
    PingFor {
        /// Sequence number of the sender's probe, to be returned in the ack.
        sequence: u64,
        /// Host to probe.
        host: HostName,
        /// Address of its steward.
        address: std::net::SocketAddr,
    },
}

/// A host that answered an indirect probe.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Answered {
    /// Name of the probed host.
    pub host: HostName,
    /// Incarnation of the process that answered.
    pub life: Incarnation,
}

/// Positions in the log, each the highest that any host has reported.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hints {
    /// End of the log, exclusive.
    pub end: Offset,
    /// Offset up to which some host has applied the log, exclusive.
    pub folded: Offset,
    /// Offset after the last record that may have withdrawn a key.
    pub withdrawal: Offset,
}

impl Hints {
    /// Raises each position to that of `other` if it is higher, and returns whether any changed.
    ///
    /// ```
    /// use godwitspool_process::membership::Hints;
    /// use godwitspool_types::Offset;
    ///
    /// let mut hints = Hints::default();
    /// assert!(hints.raise(Hints { end: Offset(3), ..Hints::default() }));
    /// assert!(!hints.raise(Hints { end: Offset(2), ..Hints::default() }));
    /// ```
    pub fn raise(&mut self, other: Self) -> bool {
        let raised = Self {
            end: self.end.max(other.end),
            folded: self.folded.max(other.folded),
            withdrawal: self.withdrawal.max(other.withdrawal),
        };
        let rose = raised != *self;
        *self = raised;
        rose
    }
}

/// Time since the last contact with another data centre.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DcContact {
    /// The other data centre.
    pub dc: Dc,
    /// Time since a datagram was received from it.
    pub age: Millis,
}

/// Why a datagram can't be encoded or decoded.
#[derive(Debug, Snafu)]
pub enum DatagramError {
    /// Serialization failed.
    #[snafu(display("datagram can't be encoded: {source}"))]
    Encode {
        /// Error of the serializer.
        source: postcard::Error,
    },
    /// Shorter than the checksum.
    #[snafu(display("datagram of {bytes} bytes is shorter than its checksum"))]
    Short {
        /// Size of the datagram.
        bytes: usize,
    },
    /// The checksum doesn't match the body.
    #[snafu(display("checksum mismatch in a datagram of {bytes} bytes"))]
    Checksum {
        /// Size of the datagram.
        bytes: usize,
    },
    /// The checksum matches but the body can't be deserialized.
    #[snafu(display("datagram of {bytes} bytes can't be decoded: {source}"))]
    Damaged {
        /// Size of the datagram.
        bytes: usize,
        /// Error of the deserializer.
        source: postcard::Error,
    },
    /// Larger than [`MAX_DATAGRAM_BYTES`].
    #[snafu(display("datagram of {bytes} bytes exceeds the limit of {MAX_DATAGRAM_BYTES} bytes"))]
    Oversize {
        /// Size of the datagram.
        bytes: usize,
    },
}

impl Datagram {
    /// Encodes the datagram as a checksum followed by the postcard-encoded body.
    ///
    /// # Errors
    ///
    /// Fails if the encoded datagram exceeds [`MAX_DATAGRAM_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>, DatagramError> {
        let space = vec![0; CHECKSUM_BYTES];
        let mut bytes = postcard::to_extend(self, space).context(EncodeSnafu)?;
        ensure!(
            bytes.len() <= MAX_DATAGRAM_BYTES,
            OversizeSnafu { bytes: bytes.len() }
        );
        let checksum = checksum(&bytes[CHECKSUM_BYTES..]);
        bytes[..CHECKSUM_BYTES].copy_from_slice(&checksum);
        Ok(bytes)
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are too few or too many, the checksum differs, or the body can't be
    /// deserialized.
    pub fn decode(bytes: &[u8]) -> Result<Self, DatagramError> {
        let size = bytes.len();
        ensure!(size <= MAX_DATAGRAM_BYTES, OversizeSnafu { bytes: size });
        let (sum, body) = bytes
            .split_first_chunk::<CHECKSUM_BYTES>()
            .context(ShortSnafu { bytes: size })?;
        ensure!(*sum == checksum(body), ChecksumSnafu { bytes: size });
        postcard::from_bytes(body).context(DamagedSnafu { bytes: size })
    }
}

fn checksum(body: &[u8]) -> [u8; CHECKSUM_BYTES] {
    (rapidhash_v3(body) as u32).to_le_bytes()
}
