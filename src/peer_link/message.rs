//! Messages between controllers: a fixed little-endian header and a text.

use tokio::io::{AsyncReadExt, BufReader};
use tokio::net::tcp::OwnedReadHalf;
use zerocopy::little_endian::{U16, U32, U64};
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

use super::Answered;

/// How a header begins: "hnge" in the order of its bytes.
const MAGIC: u32 = 0x6567_6e68;
/// The version of the layout; messages of another end the connection.
const VERSION: u16 = 2;
/// Bytes of a header.
const LENGTH: usize = std::mem::size_of::<Header>();
/// Longest text that is passed on: a body of 64 KiB and some.
pub(super) const MAX_TEXT_BYTES: usize = 72 << 10;

/// What a message is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The state service has reached the revision `number`.
    Hint,
    /// A worker's heartbeat, for this controller.
    Heartbeat,
    /// A worker's heartbeat for a controller that the sender can't reach, to be
    /// passed on once more.
    Via,
    /// A submission.
    Submit,
    /// A cancellation; the text is the job's id.
    Withdraw,
    /// The answer to the request `number`.
    Answer,
    /// A worker's heartbeat, taken for this controller, which asked for it.
    Adopted,
    /// Machines whose heartbeats the sender answered: [`ForwardedHeartbeat`](super::ForwardedHeartbeat) entries. No
    /// answer.
    ForwardedHeartbeats,
    /// What a shard uses and needs ([`crate::peer_messages`], as the next two). No
    /// answer, and only while there are several shards.
    Needs,
    /// Machines that were rented.
    Rented,
    /// Tasks left to a shard.
    Left,
    /// A poll; the text is the job's id. A version that does not know it ends
    /// the connection, so it goes only to controllers that announced [`POLLS`].
    Poll,
}

/// All kinds; the place of one is its number on the wire, so new ones go to the end.
const KINDS: [Kind; 12] = [
    Kind::Hint,
    Kind::Heartbeat,
    Kind::Via,
    Kind::Submit,
    Kind::Withdraw,
    Kind::Answer,
    Kind::Adopted,
    Kind::ForwardedHeartbeats,
    Kind::Needs,
    Kind::Rented,
    Kind::Left,
    Kind::Poll,
];

/// How every message begins: fixed layout, little-endian. `length` bytes of
/// text follow.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned,
)]
#[repr(C)]
pub struct Header {
    magic: U32,
    version: U16,
    kind: U16,
    number: U64,
    status: U16,
    /// Of a hint: what its sender knows, see [`Message::flags`].
    flags: U16,
    length: U32,
}

/// What a controller says of itself with each hint, in the header's `status`;
/// the text is its name. A version that does not know it sends 0 and no text.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerAnnouncement {
    /// Takes heartbeats for the owner of the machines.
    pub helps: bool,
    /// Takes no more workers.
    pub crowded: bool,
    /// As their owner, asks others to answer heartbeats without anything new.
    pub relief: bool,
    /// Thousandths of the workers that it, as their owner, sends to others.
    pub share: u16,
}

// An announcement on the wire: three flags, and below them the share.
const ACCEPTS_HEARTBEATS_FLAG: u16 = 0x8000;
const CROWDED_FLAG: u16 = 0x4000;
/// A version that does not know it reads a share of 1000, which it then is.
const RELIEF_FLAG: u16 = 0x2000;

impl PeerAnnouncement {
    /// As it goes over the wire.
    pub fn encode(self) -> u16 {
        let flag = |on: bool, bit: u16| if on { bit } else { 0 };
        flag(self.helps, ACCEPTS_HEARTBEATS_FLAG)
            | flag(self.crowded, CROWDED_FLAG)
            | flag(self.relief, RELIEF_FLAG)
            | self.share.min(1000)
    }
    /// Reads it.
    pub fn parse(status: u16) -> Self {
        Self {
            helps: status & ACCEPTS_HEARTBEATS_FLAG != 0,
            crowded: status & CROWDED_FLAG != 0,
            relief: status & RELIEF_FLAG != 0,
            share: (status & !(ACCEPTS_HEARTBEATS_FLAG | CROWDED_FLAG | RELIEF_FLAG)).min(1000),
        }
    }
}

/// The sender knows that there may be several shards.
pub const SHARDS: u16 = 1;
/// The sender answers polls that are passed on. The version before does not say
/// so, and looks at [`SHARDS`] alone.
pub const POLLS: u16 = 2;
/// The sender knows that the state service has its smaller limits by now (`state.next`).
/// Versions before do not look.
pub const LIMITS_FELL: u16 = 4;

/// A message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// What it is.
    pub kind: Kind,
    /// A revision, or the number of a request.
    pub number: u64,
    /// An answer's HTTP status.
    pub status: u16,
    /// Of a hint: what its sender knows ([`SHARDS`], [`POLLS`]). Earlier versions send 0,
    /// and do not look.
    pub flags: u16,
    /// A body.
    pub text: Vec<u8>,
    /// It may wait for others to be sent with.
    pub waits: bool,
}

/// A message as its header has it: its text is still to be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MessageHead {
    /// The message, without its text.
    pub message: Message,
    /// How long the text is, in bytes.
    pub text_bytes: usize,
}

impl Message {
    /// One that asks for no answer, or is numbered by its sender.
    pub(super) fn new(kind: Kind, text: Vec<u8>) -> Self {
        Self {
            kind,
            number: 0,
            status: 0,
            flags: 0,
            text,
            waits: false,
        }
    }

    /// The answer to this request, by its kind: heartbeats' answers may wait for others.
    pub(super) fn answer(&self, answered: Answered) -> Self {
        Self {
            number: self.number,
            status: answered.status,
            waits: self.kind == Kind::Adopted,
            ..Self::new(Kind::Answer, answered.text)
        }
    }

    /// As it goes over the wire; none if it is too long.
    pub fn encode(&self) -> Option<Vec<u8>> {
        let length = u32::try_from(self.text.len()).ok()?;
        if self.text.len() > MAX_TEXT_BYTES {
            return None;
        }
        let kind = KINDS.iter().position(|k| *k == self.kind)?;
        let header = Header {
            magic: U32::new(MAGIC),
            version: U16::new(VERSION),
            kind: U16::new(kind as u16),
            number: U64::new(self.number),
            status: U16::new(self.status),
            flags: U16::new(self.flags),
            length: U32::new(length),
        };
        let mut bytes = header.as_bytes().to_vec();
        bytes.extend_from_slice(&self.text);
        Some(bytes)
    }

    /// Reads a header. None if it is not one of this version, or the text is too long.
    pub fn parse(bytes: &[u8]) -> Option<MessageHead> {
        let header = Header::read_from_bytes(bytes).ok()?;
        let text_bytes = header.length.get() as usize;
        let readable = header.magic.get() == MAGIC
            && header.version.get() == VERSION
            && text_bytes <= MAX_TEXT_BYTES;
        let kind = *KINDS.get(usize::from(header.kind.get()))?;
        let message = Self {
            kind,
            number: header.number.get(),
            status: header.status.get(),
            flags: header.flags.get(),
            text: Vec::new(),
            waits: false,
        };
        readable.then_some(MessageHead {
            message,
            text_bytes,
        })
    }

    /// Reads one from a connection; none if that ended, or brings what is no message.
    pub(super) async fn read(stream: &mut BufReader<OwnedReadHalf>) -> Option<Self> {
        let mut header = [0; LENGTH];
        stream.read_exact(&mut header).await.ok()?;
        let MessageHead {
            mut message,
            text_bytes,
        } = Self::parse(&header)?;
        message.text.resize(text_bytes, 0);
        stream.read_exact(&mut message.text).await.ok()?;
        Some(message)
    }
}
