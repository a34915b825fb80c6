//! Plans which machines to rent and which machines may be deleted, without I/O or a clock.
//!
//! The plan packs running tasks, pending tasks and headroom for expected work into the existing
//! machines. It rents machines for work that finds no free capacity, the cheapest first. Machines
//! into which nothing was packed may be deleted.
//!
//! - `supply` and `free_capacity` hold the machines that are up, pending or rented by the plan.
//! - `demand` lists the work to pack, in packing order.
//! - `packing`, `placed` and `offers` choose a machine for each task and rent new machines.
//! - `outcome` builds the plan.

mod demand;
mod free_capacity;
mod input;
mod offers;
mod outcome;
mod packing;
mod placed;
mod supply;

use self::demand::{add_drained, items, pending_tasks, PendingTasks};
pub use self::input::{Expected, Input, PendingMachine, Shortfall};
use self::outcome::outcome;
pub use self::outcome::{Plan, ScaleOutRequest};
use self::packing::Packing;
use self::supply::{add_machines, ReservedCapacityTotals};
use crate::types::Time;

/// Returns the machines to rent, and the machines that are unused.
pub fn plan(input: &Input, now: Time) -> Plan {
    let mut packing = Packing::new(input, now);
    // Reserved capacity counts as used: its window has not begun, or its tasks have not arrived
    // yet.
    let mut reserved = ReservedCapacityTotals::of(input.cluster_state);
    // Tasks that the plan packs again, because they could move to spot machines or have to leave a
    // draining machine.
    let mut moving = PendingTasks::new();
    add_machines(&mut packing, input, &reserved.by_machine, &mut moving, now);
    add_drained(input.cluster_state, &mut moving);
    let pending = pending_tasks(input.cluster_state, &mut reserved.tasks, moving, now);
    for item in &items(input, pending, now) {
        let constrained_job = item.constrained_job.as_ref();
        match constrained_job.and_then(|id| input.cluster_state.job(id)) {
            Some(job) => packing.pack_constrained(item, job),
            None => packing.pack(item),
        }
    }
    outcome(packing)
}
