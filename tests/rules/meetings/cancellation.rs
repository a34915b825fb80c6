//! Cancellations that another controller confirms while the owner cannot see them.

use super::meet;
use crate::*;

/// Another controller confirms cancellations, and then nobody is served for longer
/// than `cancel_s`.
fn cancelled_then_out_for_all(world: &mut World) {
    world.run_for(1.0);
    world.confirm_all_cancelled();
    world.run_for(1.0);
    world.outage(CANCEL_S + 28.0);
    world.run_for(CANCEL_S + 28.0);
}

/// The owner is refused alone, others confirm cancellations, then nobody is served
/// for longer than `cancel_s`: the tasks end within it, as the owner lets leases go.
#[test]
fn gap_refused_alone_then_out_for_all_longer_than_cancel_s() {
    meet(|world| {
        world.fill_red();
        world.cut_owners(14.0);
        cancelled_then_out_for_all(world);
    });
}

/// The same, with machines that hang meanwhile and go on inside their lease.
#[test]
fn gap_while_machines_hang() {
    meet(|world| {
        world.fill_red();
        world.cut_owners(14.0);
        for at in 0..3 {
            world.hang(at, 8.0 + 5.0 * at as f64);
        }
        cancelled_then_out_for_all(world);
    });
}

/// The same, and the owner's process stands still from the recording of claims until
/// long after `cancel_s`: then it finds the workers in a new incarnation, with the fencing token
/// that it gave them, and knows of no cancellation.
#[test]
fn gap_while_the_owner_stands_still_before_it_sends_starts() {
    meet(|world| {
        array(world, 0, "batch", 8);
        world.run_for(8.0);
        for id in 1..6 {
            array(world, id, ENDLESS, 4);
        }
        world.faults.stop_after_record_s = CANCEL_S + 6.0;
        world.run_for(STEP_S);
        world.faults.stop_after_record_s = 0.0;
        world.confirm_all_cancelled();
        world.outage(CANCEL_S + 40.0);
        world.run_for(CANCEL_S + 40.0);
        array(world, 90, "batch", 8);
        world.run_for(30.0);
    });
}

/// The same, with starts held back on their way, and claims whose transactions are
/// carried out late. A start can come after the confirmation, and never later than
/// the lease that the owner's last answer renewed.
#[test]
fn gap_while_starts_and_claims_are_late() {
    meet(|world| {
        world.run_for(4.0);
        world.faults.held_part = 0.6;
        world.faults.late_part = 0.4;
        for id in 0..6 {
            array(world, id, ENDLESS, 3);
        }
        world.run_for(3.0);
        world.cut_owners(14.0);
        world.run_for(0.5);
        world.confirm_all_cancelled();
        world.run_for(1.0);
        world.outage(CANCEL_S + 28.0);
        world.run_for(CANCEL_S + 28.0);
        let late_s = world.faults.last_start_s;
        assert!(late_s <= CANCEL_S - 3.0, "a start {late_s} s late");
        world.faults.held_part = 0.0;
        world.faults.late_part = 0.0;
        array(world, 90, "batch", 1);
        world.run_for(30.0);
    });
}

/// A leader cut off from the state service and the other controllers, while workers
/// reach it and nobody else: what is cancelled through the next leader is gone.
#[test]
fn a_leader_cut_off_keeps_its_workers_while_the_next_one_cancels() {
    meet(|world| {
        world.fill_red();
        world.cut_owners(CANCEL_S + 40.0);
        world.faults.to_first = true;
        for _ in 0..world.of {
            world.begin_leadership();
        }
        world.run_for(1.0);
        world.confirm_all_cancelled();
        world.run_for(CANCEL_S + 40.0);
        world.faults.to_first = false;
    });
}
