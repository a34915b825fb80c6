//! A machine as the cloud's list or its worker's heartbeat shows it.

use std::net::SocketAddr;

use crate::agent_client::Heartbeat;
use crate::cloud::ListedMachine;
use crate::types::{MachineId, TypeName, Zone};

/// A machine as a list or a heartbeat shows it.
pub(super) struct SeenMachine<'a> {
    pub(super) id: &'a MachineId,
    pub(super) addr: SocketAddr,
    pub(super) kind: &'a TypeName,
    pub(super) zone: &'a Zone,
    pub(super) spot: bool,
}

impl<'a> SeenMachine<'a> {
    /// By the cloud's list, at the address that this names.
    pub(super) fn by_list(listed: &'a ListedMachine, addr: SocketAddr) -> Self {
        Self {
            id: &listed.id,
            addr,
            kind: &listed.machine_type,
            zone: &listed.zone,
            spot: listed.spot,
        }
    }

    /// By its worker's heartbeat.
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
