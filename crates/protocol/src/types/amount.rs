//! Amounts of CPUs, GPUs and memory.

use serde::{Deserialize, Serialize};

/// Amounts of a machine's resources, in thousandths of a unit. Integers keep sums exact.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Amount {
    /// Number of CPUs, in thousandths of a CPU.
    pub cpu: i64,
    /// Number of GPUs, in thousandths of a GPU.
    pub gpu: i64,
    /// Memory in thousandths of a GB.
    pub ram: i64,
}

impl Amount {
    /// Limit of a team that has no limit. The value is above every limit that the settings
    /// allow, and small enough that sums of such limits are exact.
    pub const NO_LIMIT: i64 = 1_000_000_000_000;

    /// Creates an amount from numbers of CPUs, GPUs and GB of memory.
    pub fn new(cpus: f64, gpus: f64, ram_gb: f64) -> Self {
        let milli = |x: f64| (x * 1000.0).round() as i64;
        Self {
            cpu: milli(cpus),
            gpu: milli(gpus),
            ram: milli(ram_gb),
        }
    }
    /// Returns whether this amount fits into `free_capacity`.
    pub fn fits(self, free_capacity: Amount) -> bool {
        self.cpu <= free_capacity.cpu
            && self.gpu <= free_capacity.gpu
            && self.ram <= free_capacity.ram
    }
    /// Returns whether the CPUs and GPUs fit into `free_capacity`. Memory does not count,
    /// because teams have no memory limit.
    pub fn fits_team(self, free_capacity: Amount) -> bool {
        self.cpu <= free_capacity.cpu && self.gpu <= free_capacity.gpu
    }
    /// Returns how many times this amount fits into `free_capacity`.
    pub fn how_many(self, free_capacity: Amount) -> u32 {
        let part = |need: i64, has: i64| match need {
            0 => i64::from(u32::MAX),
            need => (has / need).clamp(0, i64::from(u32::MAX)),
        };
        part(self.cpu, free_capacity.cpu)
            .min(part(self.gpu, free_capacity.gpu))
            .min(part(self.ram, free_capacity.ram)) as u32
    }
    /// Returns this amount multiplied by `n`.
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
