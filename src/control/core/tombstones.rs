//! Deleted machines. Their names are never used again, so a late machine
//! list, or a late copy of a heartbeat, must not bring one back.

use std::collections::{BTreeMap, BTreeSet};

use sorrelhinge_sharding::shard::ShardScope;

use super::deleted_machines::DeletedMachines;
use crate::config::Config;
use crate::state::view::View;
use crate::state::Change;
use crate::types::{MachineId, Time};

/// Names of deleted machines are kept for so many leases, and so many of them.
const DELETED_LEASES: f64 = 12.0;
const MAX_DELETED_MACHINES: usize = 20_000;

/// The names of deleted machines.
pub(super) struct MachineTombstones {
    /// Deleted under this grant, and when.
    deleted: BTreeMap<MachineId, Time>,
    /// Those to note for later owners.
    to_record: DeletedMachines,
    /// Those that earlier owners noted.
    inherited: BTreeSet<MachineId>,
}

impl MachineTombstones {
    /// What earlier owners noted.
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

    /// Whether a machine was deleted.
    pub(super) fn contains(&self, machine: &MachineId) -> bool {
        self.is_recent(machine) || self.is_inherited(machine)
    }

    /// Whether a machine was deleted under this grant, and not long ago.
    pub(super) fn is_recent(&self, machine: &MachineId) -> bool {
        self.deleted.contains_key(machine)
    }

    /// Whether an earlier owner noted a machine as deleted.
    pub(super) fn is_inherited(&self, machine: &MachineId) -> bool {
        self.inherited.contains(machine)
    }

    /// A machine was deleted.
    pub(super) fn add(&mut self, machine: &MachineId, now: Time) {
        self.deleted.insert(machine.clone(), now);
        self.to_record.add(machine, now);
    }

    /// Names are kept for longer than a late list shows them: copies of their heartbeats
    /// come well over a lease late. They are few enough, and beyond a bound the oldest go
    /// first.
    pub(super) fn expire(&mut self, cfg: &Config, now: Time) {
        let mut keep_s = (4.0 * cfg.list_lag_s + 10.0).max(DELETED_LEASES * cfg.lease_s);
        self.deleted.retain(|_, at| now.since(*at) < keep_s);
        while self.deleted.len() > MAX_DELETED_MACHINES && keep_s > 1.0 {
            keep_s /= 2.0;
            self.deleted.retain(|_, at| now.since(*at) < keep_s);
        }
    }

    /// The change that notes the latest names for later owners, if it is time.
    pub(super) fn change(&mut self, value_bytes: usize, now: Time) -> Option<Change> {
        self.to_record.change(value_bytes, now)
    }
}
