//! Datagrams and their coding.

use godwitspool_types::{Dc, HostName, Incarnation, Millis, Offset};
use rapidhash::v3::rapidhash_v3;
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, Snafu, ensure};

use super::{MemberRecord, Rumor};

/// Largest datagram, in bytes.
pub const DATAGRAM_BYTES: usize = 1_200;
const CHECKSUM_BYTES: usize = 4;

/// One message with what its sender knows.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Datagram {
    /// What is asked or answered.
    pub message: Message,
    /// The sender about itself.
    pub sender: MemberRecord,
    /// Digest of the members that the sender knows.
    pub digest: u64,
    /// Positions in the log.
    pub hints: Hints,
    /// When the sender's data centre last heard of others; only within a data centre.
    pub heard: Vec<DcHeard>,
    /// Hosts.
    pub updates: Vec<MemberRecord>,
    /// Other news.
    pub rumors: Vec<Rumor>,
}

/// What a datagram asks or answers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// Answers a probe.
    Ack {
        /// Number of the probe.
        sequence: u64,
        /// The host that answered, when it was probed on behalf of another.
        answered: Option<Answered>,
    },
    /// Tells news and asks for nothing.
    News,
    /// Asks for an answer.
    Ping {
        /// Number of the probe.
        sequence: u64,
    },
    /// Asks to probe a host on the sender's behalf.
    PingFor {
        /// Number of the probe.
        sequence: u64,
        /// The host.
        host: HostName,
        /// Address of its steward.
        address: std::net::SocketAddr,
    },
}

/// A host that answered a probe on behalf of another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Answered {
    /// The host.
    pub host: HostName,
    /// Its life.
    pub life: Incarnation,
}

/// Positions in the log, each the highest that any host knows of.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hints {
    /// End of the log.
    pub end: Offset,
    /// Offset up to which a host has folded, exclusive.
    pub folded: Offset,
    /// Offset behind the last withdrawal of a key.
    pub withdrawal: Offset,
}

impl Hints {
    /// Raises each position to that of other hints, and tells whether one rose.
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

/// How long ago another data centre was heard.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DcHeard {
    /// The data centre.
    pub dc: Dc,
    /// Time since a word came from it.
    pub age: Millis,
}

/// Why bytes are no datagram.
#[derive(Debug, Snafu)]
pub enum DatagramError {
    /// It can't be encoded.
    #[snafu(display("datagram can't be encoded: {source}"))]
    Encode {
        /// Cause.
        source: postcard::Error,
    },
    /// Too few bytes.
    #[snafu(display("datagram of {bytes} bytes is too short"))]
    Short {
        /// Size.
        bytes: usize,
    },
    /// The checksum differs.
    #[snafu(display("checksum of a datagram of {bytes} bytes differs"))]
    Checksum {
        /// Size.
        bytes: usize,
    },
    /// The body is not a datagram.
    #[snafu(display("datagram of {bytes} bytes can't be decoded: {source}"))]
    Damaged {
        /// Size.
        bytes: usize,
        /// Cause.
        source: postcard::Error,
    },
    /// It is larger than allowed.
    #[snafu(display("datagram of {bytes} bytes exceeds {DATAGRAM_BYTES}"))]
    Oversize {
        /// Size.
        bytes: usize,
    },
}

impl Datagram {
    /// Codes the datagram behind a checksum.
    ///
    /// # Errors
    ///
    /// When it is too large.
    pub fn encode(&self) -> Result<Vec<u8>, DatagramError> {
        let space = vec![0; CHECKSUM_BYTES];
        let mut bytes = postcard::to_extend(self, space).context(EncodeSnafu)?;
        ensure!(
            bytes.len() <= DATAGRAM_BYTES,
            OversizeSnafu { bytes: bytes.len() }
        );
        let checksum = checksum(&bytes[CHECKSUM_BYTES..]);
        bytes[..CHECKSUM_BYTES].copy_from_slice(&checksum);
        Ok(bytes)
    }

    /// Reads a datagram.
    ///
    /// # Errors
    ///
    /// When the bytes are damaged.
    pub fn decode(bytes: &[u8]) -> Result<Self, DatagramError> {
        let size = bytes.len();
        ensure!(size <= DATAGRAM_BYTES, OversizeSnafu { bytes: size });
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
