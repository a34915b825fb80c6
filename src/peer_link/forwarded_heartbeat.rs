//! Notices of heartbeats that one controller answered for the machines' owner.

use zerocopy::little_endian::U64;
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

use crate::types::{Incarnation, MachineId, SequenceNumber};

/// Which heartbeat of a machine was answered for its owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeartbeatNotice {
    /// The machine.
    pub machine: MachineId,
    /// Its agent's incarnation.
    pub incarnation: Incarnation,
    /// The heartbeat's number in the incarnation.
    pub sequence: SequenceNumber,
}

/// A [`HeartbeatNotice`] on the wire: fixed layout, little-endian. A name that is shorter
/// is filled up with zeros.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned,
)]
#[repr(C)]
pub struct ForwardedHeartbeat {
    incarnation: U64,
    sequence: U64,
    name: [u8; MACHINE_NAME_BYTES],
}

/// The longest name in a [`ForwardedHeartbeat`]; heartbeats of others go to the owner.
const MACHINE_NAME_BYTES: usize = 32;
/// How many go in one message.
pub(super) const MAX_HEARTBEATS_PER_MESSAGE: usize = 128;

impl ForwardedHeartbeat {
    /// Of a machine's heartbeat; none if its name is too long.
    pub fn new(
        machine: &MachineId,
        incarnation: Incarnation,
        sequence: SequenceNumber,
    ) -> Option<Self> {
        let bytes = machine.as_str().as_bytes();
        let mut name = [0; MACHINE_NAME_BYTES];
        name.get_mut(..bytes.len())?.copy_from_slice(bytes);
        Some(Self {
            incarnation: U64::new(incarnation.0),
            sequence: U64::new(sequence.0),
            name,
        })
    }

    /// Which machine, incarnation and heartbeat; none if the name is no text.
    pub fn read(&self) -> Option<HeartbeatNotice> {
        let end = self.name.iter().position(|b| *b == 0);
        let name = &self.name[..end.unwrap_or(MACHINE_NAME_BYTES)];
        Some(HeartbeatNotice {
            machine: MachineId::from(std::str::from_utf8(name).ok()?),
            incarnation: Incarnation(self.incarnation.get()),
            sequence: SequenceNumber(self.sequence.get()),
        })
    }

    /// The entries of a message; none if its length is no multiple of one's.
    pub fn parse(bytes: &[u8]) -> Option<&[Self]> {
        <[Self]>::ref_from_bytes(bytes).ok()
    }
}
