//! Amounts of CPUs, GPUs and memory.

use serde::{Deserialize, Serialize};

/// Amounts of what a machine offers, in thousandths, so that sums are exact.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Amount {
    /// Thousandths of a CPU.
    pub cpu: i64,
    /// Thousandths of a GPU.
    pub gpu: i64,
    /// Thousandths of a GB of memory.
    pub ram: i64,
}

impl Amount {
    /// A team's limit where it has none: more than any setting may say, and small
    /// enough that sums of such limits are exact.
    pub const NO_LIMIT: i64 = 1_000_000_000_000;

    /// From whole units.
    pub fn new(cpus: f64, gpus: f64, ram_gb: f64) -> Self {
        let milli = |x: f64| (x * 1000.0).round() as i64;
        Self {
            cpu: milli(cpus),
            gpu: milli(gpus),
            ram: milli(ram_gb),
        }
    }
    /// Whether this fits into `free_capacity`.
    pub fn fits(self, free_capacity: Amount) -> bool {
        self.cpu <= free_capacity.cpu
            && self.gpu <= free_capacity.gpu
            && self.ram <= free_capacity.ram
    }
    /// Whether CPUs and GPUs fit into `free_capacity`; teams are not limited in memory.
    pub fn fits_team(self, free_capacity: Amount) -> bool {
        self.cpu <= free_capacity.cpu && self.gpu <= free_capacity.gpu
    }
    /// How many times this fits into `free_capacity`.
    pub fn how_many(self, free_capacity: Amount) -> u32 {
        let part = |need: i64, has: i64| match need {
            0 => i64::from(u32::MAX),
            need => (has / need).clamp(0, i64::from(u32::MAX)),
        };
        part(self.cpu, free_capacity.cpu)
            .min(part(self.gpu, free_capacity.gpu))
            .min(part(self.ram, free_capacity.ram)) as u32
    }
    /// This amount `n` times.
    pub fn times(self, n: i64) -> Self {
        Self {
            cpu: self.cpu.saturating_mul(n),
            gpu: self.gpu.saturating_mul(n),
            ram: self.ram.saturating_mul(n),
        }
    }
}

impl std::ops::Add for Amount {
    type Output = Amount;
    fn add(self, o: Amount) -> Amount {
        Amount {
            cpu: self.cpu.saturating_add(o.cpu),
            gpu: self.gpu.saturating_add(o.gpu),
            ram: self.ram.saturating_add(o.ram),
        }
    }
}

impl std::ops::Sub for Amount {
    type Output = Amount;
    fn sub(self, o: Amount) -> Amount {
        self + o.times(-1)
    }
}

impl std::ops::AddAssign for Amount {
    fn add_assign(&mut self, o: Amount) {
        *self = *self + o;
    }
}

impl std::ops::SubAssign for Amount {
    fn sub_assign(&mut self, o: Amount) {
        *self = *self - o;
    }
}
