//! Meetings of decisions: two troubles at once, each by a script of its own, in
//! worlds of several seeds and of one shard and three.

mod cancellation;
mod cancellation_apart;
mod capacity;
mod completion;
mod day;
mod leadership;
mod leadership_late;
mod out_of_reach;
mod partition;

use crate::*;

/// Seeds a meeting.
const SEEDS: std::ops::Range<u64> = 0..3;

/// Runs a meeting's script in each world, alone and with other faults drawn beside
/// it, then until all is long over. Every step checks the rules.
pub(crate) fn meet(script: impl Fn(&mut World)) {
    for seed in SEEDS {
        for shards in [1, 3] {
            for beside in [false, true] {
                let mut world = World::of_shards(seed, false, shards);
                world.calm = true;
                world.faults.drawn = beside;
                world.note(&format!("seed {seed}, {shards} blocks, others {beside}"));
                script(&mut world);
                world.run_for(60.0);
                assert!(world.started > 0, "nothing_ran");
            }
        }
    }
}

impl World {
    /// Steps for so many seconds.
    pub(crate) fn run_for(&mut self, seconds: f64) {
        let end = self.now + seconds;
        while self.now < end {
            self.step(false);
        }
    }

    /// Jobs of the red team that fill its limit, with as much waiting, and run on
    /// some seconds.
    pub(crate) fn fill_red(&mut self) -> Vec<String> {
        let first = self.jobs.len() as u32;
        let jobs = (first..first + 5).map(|id| array(self, id, ENDLESS, 4));
        let jobs = jobs.collect();
        self.run_for(12.0);
        jobs
    }

    /// Jobs whose tasks end after some seconds.
    pub(crate) fn short_jobs(&mut self, count: u32) {
        let first = self.jobs.len() as u32;
        for id in first..first + count {
            array(self, id, "batch", 3);
        }
    }
}
