//! Leaders that change often, hand over and back, or come back at once.

use rand::Rng;

use super::meet;
use crate::*;

/// Leaders hand over and back, then all end, and one returns within a second, while
/// commands of each are still on their way.
#[test]
fn leaders_hand_over_and_back_and_all_end() {
    meet(|world| {
        world.fill_red();
        world.faults.held_part = 0.5;
        for _ in 0..4 {
            world.short_jobs(4);
            world.run_for(1.0);
            for _ in 0..world.of {
                world.begin_leadership();
            }
            world.run_for(1.0);
            world.keep_heartbeats();
            world.begin_leadership();
            world.run_for(2.0);
            world.owners.clear();
            world.run_for(1.0);
        }
        world.faults.held_part = 0.0;
    });
}

/// Processes that stand still for half a second or less, or end and are back in that
/// time, with commands and answers on their way.
#[test]
fn processes_back_within_half_a_second() {
    meet(|world| {
        world.fill_red();
        world.short_jobs(6);
        world.faults.held_part = 0.3;
        for _ in 0..20 {
            let pause_s = world.rng.random_range(0.1..0.5);
            for o in &mut world.owners {
                o.paused_until = world.now + STEP_S + pause_s;
            }
            world.begin_leadership();
            world.run_for(1.5);
        }
        world.faults.held_part = 0.0;
    });
}

/// Leaders change ten times in two minutes, between outages and with one refused.
#[test]
fn leaders_change_ten_times_in_two_minutes() {
    meet(|world| {
        world.fill_red();
        for round in 0..10 {
            world.short_jobs(1);
            world.begin_leadership();
            world.run_for(2.0);
            if round % 3 == 0 {
                world.cut_owners(3.0);
            }
            world.run_for(3.0);
            world.outage(5.0);
            world.run_for(7.0);
        }
    });
}
