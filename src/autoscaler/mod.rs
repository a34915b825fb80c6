//! Which machines to rent and which to give back, without I/O or clock.
//!
//! The plan packs what runs, what waits and a headroom for what may come into
//! the machines that there are; what finds no free capacity there is rented, the
//! cheapest first, and machines that nothing was packed into may go.
//!
//! - `supply`, `free_capacity`: the machines that there are, on their way or rented;
//! - `demand`: the work to pack, in order;
//! - `packing`, `placed`, `offers`: where each item goes, and what is rented for it;
//! - `outcome`: the plan.

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
use self::supply::{add_machines, ReservedFreeCapacity};
use crate::types::Time;

/// Makes the plan.
pub fn plan(input: &Input, now: Time) -> Plan {
    let mut packing = Packing::new(input);
    // What is reserved is used, by a window that has not begun or whose work is to come.
    let mut reserved = ReservedFreeCapacity::of(input.cluster_state);
    // Tasks that could move to spot machines are packed anew.
    let mut moving = PendingTasks::new();
    add_machines(&mut packing, input, &reserved.by_machine, &mut moving, now);
    add_drained(input.cluster_state, &mut moving);
    let pending = pending_tasks(input.cluster_state, &mut reserved.tasks, moving, now);
    for item in &items(input, pending, now) {
        let placed = item.placed.as_ref();
        match placed.and_then(|id| input.cluster_state.job(id)) {
            Some(job) => packing.pack_placed(item, job),
            None => packing.pack(item),
        }
    }
    outcome(packing)
}
