//! Heartbeats, transactions and commands that come late, to the next leader or after it.

use super::meet;
use crate::*;

impl World {
    /// All copies kept so far come again, the oldest first.
    fn deliver_copies(&mut self) {
        let copies: Vec<_> = self.copies.iter().rev().take(300).rev().cloned().collect();
        for heartbeat in copies {
            self.deliver_late(&heartbeat);
        }
    }
}

/// Old heartbeats arrive after newer ones: of the same attempt, of an earlier one, and
/// of an earlier incarnation.
#[test]
fn old_heartbeats_arrive_after_newer_ones() {
    meet(|world| {
        world.faults.keeps = true;
        world.short_jobs(4);
        world.fill_red();
        world.deliver_copies();
        world.run_for(2.0);
        for at in 0..4 {
            world.workers[at].silence_ignored_until = world.now + LEASE_S + 4.0;
        }
        world.run_for(LEASE_S + 6.0);
        for _ in 0..5 {
            world.deliver_copies();
            world.run_for(1.0);
        }
    });
}

/// Heartbeats are held back until a new leader has acted, and arrive there; and copies
/// reach every controller just as a new leader begins.
#[test]
fn held_heartbeats_reach_the_next_leader() {
    meet(|world| {
        world.faults.keeps = true;
        world.short_jobs(4);
        world.run_for(1.0);
        world.keep_heartbeats();
        world.fill_red();
        let held = std::mem::take(&mut world.faults.kept);
        world.faults.kept = held.clone();
        for _ in 0..world.of {
            world.begin_leadership();
            world.deliver_copies();
        }
        world.run_for(3.0);
        for heartbeat in &held {
            world.deliver_late(heartbeat);
        }
        world.run_for(1.0);
        world.deliver_copies();
    });
}

/// Transactions without an answer are carried out late, after newer ones of the same
/// controller, and after a takeover.
#[test]
fn unanswered_transactions_are_carried_out_late() {
    meet(|world| {
        world.faults.late_part = 0.4;
        world.short_jobs(6);
        world.fill_red();
        world.short_jobs(4);
        world.run_for(6.0);
        world.begin_leadership();
        world.run_for(6.0);
        let first = world.jobs.keys().next().cloned().expect("a job");
        world.confirm_cancelled(&first);
        world.run_for(14.0);
        world.faults.late_part = 0.0;
    });
}

/// A deposed leader's commands arrive after the new leader's.
#[test]
fn commands_of_a_deposed_leader_arrive_last() {
    meet(|world| {
        world.run_for(3.0);
        world.faults.held_part = 0.7;
        world.short_jobs(6);
        world.run_for(2.0);
        for _ in 0..4 {
            world.fill_red();
            for _ in 0..world.of {
                world.begin_leadership();
            }
            world.faults.held_part = 0.0;
            world.run_for(6.0);
            world.faults.held_part = 0.7;
        }
        world.faults.held_part = 0.0;
    });
}
