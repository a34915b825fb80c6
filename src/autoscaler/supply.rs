//! Lists the machines into which a plan packs work: machines that are up, without the capacity that
//! is reserved on them for reservation windows, and pending machines.

use std::collections::HashMap;

use super::demand::PendingTasks;
use super::free_capacity::FreeCapacity;
use super::packing::Packing;
use super::Input;
use crate::scheduler::{ClusterState, Job, Machine, Progress, ReservedTasks};
use crate::types::{Amount, Kind, MachineId, Time};

/// Capacity that is reserved for reservation windows.
#[derive(Default)]
pub(super) struct ReservedCapacityTotals<'a> {
    /// Reserved capacity on each machine.
    pub(super) by_machine: HashMap<&'a MachineId, Amount>,
    /// Number of tasks for which capacity is reserved, by window and machine.
    pub(super) tasks: ReservedTasks,
}

impl<'a> ReservedCapacityTotals<'a> {
    pub(super) fn of(cluster_state: &'a ClusterState) -> Self {
        let mut reserved = Self::default();
        for on in cluster_state.reserved_capacity() {
            let amount = on.window.each().times(i64::from(on.tasks));
            *reserved.by_machine.entry(on.machine).or_default() += amount;
            reserved.tasks.insert(on.key(), on.tasks);
        }
        reserved
    }
}

/// Adds the machines that are up and the pending machines to the packing. Counts in `moving` the
/// tasks that could move to spot machines.
pub(super) fn add_machines<'a>(
    packing: &mut Packing,
    input: &Input<'a>,
    reserved: &HashMap<&MachineId, Amount>,
    moving: &mut PendingTasks<'a>,
    now: Time,
) {
    let machines = input.cluster_state.machines().iter();
    for (id, machine) in machines.filter(|(_, m)| m.usable) {
        let mut free_capacity = free_capacity_of(id, machine, reserved.get(id).copied());
        for task in &machine.claims {
            let Some(job) = input.cluster_state.job(&task.job) else {
                continue;
            };
            if job.spec.spot && !machine.spot {
                *moving.entry(&task.job).or_insert(0) += 1;
            } else if ends_while_booting(job, task.index, input.boot_s, now) {
                free_capacity.free_soon += job.spec.each;
            }
        }
        packing.add(free_capacity);
    }
    for c in input.pending_machines {
        let free_capacity = packing.new_machine_capacity(&c.kind, &c.zone, c.spot);
        packing.add(free_capacity);
    }
    packing.first_rental = packing.free_capacities.len();
}

/// Returns the free capacity of a machine that is up, without the capacity reserved for windows.
fn free_capacity_of(id: &MachineId, machine: &Machine, reserved: Option<Amount>) -> FreeCapacity {
    let fixed = machine.used - machine.movable;
    let mut free_capacity =
        FreeCapacity::new(machine.kind.clone(), machine.zone.clone(), machine.spot);
    free_capacity.id = Some(id.clone());
    free_capacity.free -= fixed;
    free_capacity.used = fixed != Amount::default();
    if let Some(amount) = reserved {
        free_capacity.free -= amount;
        free_capacity.used = true;
    }
    free_capacity.free_soon = free_capacity.free;
    free_capacity.place = Some(machine.place);
    free_capacity.device_inventory = machine.device_inventory.clone();
    if machine.allocated_devices.any() {
        free_capacity.allocated_devices = machine.allocated_devices.clone();
    }
    free_capacity
}

/// Returns whether a running task should end before a machine that is rented now is up.
fn ends_while_booting(job: &Job, index: u32, boot_s: f64, now: Time) -> bool {
    if job.spec.kind != Kind::Array {
        return false;
    }
    let claim = job.tasks.claims().get(&index);
    let Some(Progress::Running(since)) = claim.map(|c| c.progress) else {
        return false;
    };
    let left_s = (job.spec.estimate_s - now.since(since)).max(2.0);
    left_s <= boot_s
}
