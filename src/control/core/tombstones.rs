//! Names of deleted machines. These names are never used again, so a late machine list or a
//! late copy of a heartbeat must not bring a deleted machine back.

use std::collections::{BTreeMap, BTreeSet};

use sorrelhinge_sharding::shard::ShardScope;

use super::deleted_machines::DeletedMachines;
use crate::config::Config;
use crate::state::view::View;
use crate::state::Change;
use crate::types::{MachineId, Time};

/// Time for which names of deleted machines are kept, in durations of an agent's lease. At most
/// `MAX_DELETED_MACHINES` names are kept.
const DELETED_LEASES: f64 = 12.0;
const MAX_DELETED_MACHINES: usize = 20_000;

/// Names of deleted machines.
pub(super) struct MachineTombstones {
    /// Machines that were deleted under this grant, and the time of each deletion.
    deleted: BTreeMap<MachineId, Time>,
    /// Names of deleted machines to record for later owners.
    to_record: DeletedMachines,
    /// Names of deleted machines that earlier owners recorded.
    inherited: BTreeSet<MachineId>,
}

impl MachineTombstones {
    /// Loads the names of deleted machines that earlier owners recorded.
    pub(super) fn load(view: &View, scope: ShardScope) -> Self {
        let recorded = view.retired_machines.values();
        Self {
            deleted: BTreeMap::new(),
            to_record: DeletedMachines::load(view, scope),
            inherited: recorded
                .flat_map(|stored| stored.value.machines.iter().cloned())
                .collect(),
        }
    }

    /// Returns whether a machine was deleted.
    pub(super) fn contains(&self, machine: &MachineId) -> bool {
        self.is_recent(machine) || self.is_inherited(machine)
    }

    /// Returns whether a machine was recently deleted under this grant.
    pub(super) fn is_recent(&self, machine: &MachineId) -> bool {
        self.deleted.contains_key(machine)
    }

    /// Returns whether an earlier owner recorded a machine as deleted.
    pub(super) fn is_inherited(&self, machine: &MachineId) -> bool {
        self.inherited.contains(machine)
    }

    /// Records that a machine was deleted, so that late lists and heartbeats don't add it again.
    pub(super) fn add(&mut self, machine: &MachineId, now: Time) {
        self.deleted.insert(machine.clone(), now);
        self.to_record.add(machine, now);
    }

    /// Removes old names of deleted machines. A name is kept for longer than a late list shows the
    /// machine. The reason is that copies of the machine's heartbeats may arrive well over a lease
    /// late. The names are few enough to keep for that long. Beyond the maximum, the oldest names
    /// are removed first.
    pub(super) fn expire(&mut self, cfg: &Config, now: Time) {
        let mut keep_s = (4.0 * cfg.list_lag_s + 10.0).max(DELETED_LEASES * cfg.lease_s);
        self.deleted.retain(|_, at| now.since(*at) < keep_s);
        while self.deleted.len() > MAX_DELETED_MACHINES && keep_s > 1.0 {
            keep_s /= 2.0;
            self.deleted.retain(|_, at| now.since(*at) < keep_s);
        }
    }

    /// Returns the change that records the names of the machines deleted last for later owners, or
    /// `None` if it is not due.
    pub(super) fn change(&mut self, value_bytes: usize, now: Time) -> Option<Change> {
        self.to_record.change(value_bytes, now)
    }
}
