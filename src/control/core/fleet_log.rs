//! Logs the used and free capacity of all machines.

use super::Core;
use crate::scheduler::TypeUsage;
use crate::types::Time;

/// Interval of the log line, in seconds.
const FLEET_LOG_INTERVAL_S: f64 = 10.0;

/// Amount units per CPU. Amounts count thousandths of a CPU.
const CPU: i64 = 1000;

/// Totals of all ordinary machines or of all spot machines, in machines and whole CPUs.
#[derive(Default)]
struct MachineTotals {
    machines: i64,
    cpus: i64,
    used: i64,
}

impl Core {
    /// Logs the capacity of the fleet if `FLEET_LOG_INTERVAL_S` has passed since the last log line.
    pub(super) fn log_fleet_if_due(&mut self, now: Time) {
        if self.scaling.take_log_due(FLEET_LOG_INTERVAL_S, now) {
            self.log_fleet();
        }
    }

    /// Logs the used and free capacity of all machines, in whole CPUs.
    fn log_fleet(&self) {
        let ordinary = self.machine_totals(false);
        let spot = self.machine_totals(true);
        let wanting = self.cluster_state.jobs_to_place();
        let pending: u32 = wanting.map(|(_, j)| j.tasks.pending()).sum();
        let machines = self.cluster_state.machines().values();
        let retiring = machines.filter(|m| m.retiring).count();
        tracing::info!(
            ordinary = ordinary.machines,
            cpus = ordinary.cpus,
            used = ordinary.used,
            spot = spot.machines,
            spot_cpus = spot.cpus,
            spot_used = spot.used,
            pending_machines = self.inventory.pending_machines().len(),
            retiring,
            pending,
            teams = self.team_usage(),
            kinds = self.use_by_type(),
            "fleet"
        );
    }

    /// Returns the totals of all spot machines if `spot` is set, or else of all ordinary machines.
    fn machine_totals(&self, spot: bool) -> MachineTotals {
        let mut totals = MachineTotals::default();
        let machines = self.cluster_state.machines().values();
        for machine in machines.filter(|m| m.spot == spot) {
            totals.machines += 1;
            totals.cpus += machine.kind.total.cpu / CPU;
            totals.used += machine.used.cpu / CPU;
        }
        totals
    }

    /// Returns each team with its usage in whole CPUs, as text.
    fn team_usage(&self) -> String {
        let teams = self.cluster_state.teams().iter();
        let usage: Vec<String> = teams
            .map(|t| format!("{}:{}", t.name, t.used.cpu / CPU))
            .collect();
        usage.join(",")
    }

    /// Returns each machine type with its number of machines and its total, used and needed
    /// whole CPUs, as text.
    fn use_by_type(&self) -> String {
        let usage: Vec<String> = self
            .cluster_state
            .use_of_types()
            .iter()
            .map(|(kind, usage)| {
                let TypeUsage {
                    machines,
                    cpus,
                    used,
                    needed,
                } = usage;
                format!("{kind}:{machines}/{cpus}/{used}/{needed}")
            })
            .collect();
        usage.join(",")
    }
}
