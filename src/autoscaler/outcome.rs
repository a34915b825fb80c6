//! What a plan says: machines to rent, and machines that nothing was packed into.

use std::collections::{BTreeMap, BTreeSet};

use super::packing::Packing;
use crate::types::{Amount, MachineId, TypeName, Zone};

/// Machines to rent from one pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScaleOutRequest {
    /// Type.
    pub kind: TypeName,
    /// Zone.
    pub zone: Zone,
    /// Spot machines.
    pub spot: bool,
    /// How many.
    pub count: u32,
}

/// Machines to rent and to give back.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Machines to rent.
    pub rent: Vec<ScaleOutRequest>,
    /// Machines that nothing was packed into.
    pub unused: BTreeSet<MachineId>,
    /// Capacity on ordinary machines for work to come that can't use spot ones.
    pub kept: BTreeMap<MachineId, Amount>,
    /// For how many tasks of each window capacity is on its way.
    pub pending_tasks: BTreeMap<String, u32>,
}

/// The plan that a packing comes to.
pub(super) fn outcome(packing: Packing) -> Plan {
    let rent = packing.rent.into_iter();
    let mut plan = Plan {
        rent: rent
            .map(|(pool, count)| ScaleOutRequest {
                kind: pool.kind,
                zone: pool.zone,
                spot: pool.spot,
                count,
            })
            .collect(),
        pending_tasks: packing.pending_tasks,
        ..Plan::default()
    };
    for free_capacity in packing.free_capacities {
        match free_capacity.id {
            Some(id) if !free_capacity.used => {
                plan.unused.insert(id);
            }
            Some(id) if free_capacity.kept != Amount::default() => {
                plan.kept.insert(id, free_capacity.kept);
            }
            _ => {}
        }
    }
    plan
}
