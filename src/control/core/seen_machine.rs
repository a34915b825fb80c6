//! Machine as the cloud's list or an agent's heartbeat shows it.

use std::net::SocketAddr;

use crate::agent_client::Heartbeat;
use crate::cloud::ListedMachine;
use crate::types::{MachineId, TypeName, Zone};

/// Machine as the cloud's list or an agent's heartbeat shows it.
pub(super) struct SeenMachine<'a> {
    pub(super) id: &'a MachineId,
    pub(super) addr: SocketAddr,
    pub(super) kind: &'a TypeName,
    pub(super) zone: &'a Zone,
    pub(super) spot: bool,
}

impl<'a> SeenMachine<'a> {
    /// Returns a machine of the cloud's list. `addr` is the address in that entry.
    pub(super) fn by_list(listed: &'a ListedMachine, addr: SocketAddr) -> Self {
        Self {
            id: &listed.id,
            addr,
            kind: &listed.machine_type,
            zone: &listed.zone,
            spot: listed.spot,
        }
    }

    /// Returns the machine that an agent's heartbeat describes.
    pub(super) fn by_heartbeat(heartbeat: &'a Heartbeat) -> Self {
        Self {
            id: &heartbeat.machine,
            addr: heartbeat.addr,
            kind: &heartbeat.machine_type,
            zone: &heartbeat.zone,
            spot: heartbeat.spot,
        }
    }
}
