//! The slots of a gang: how many of its tasks fit on each machine, now and later.

use sorrelhinge_protocol::placement::Device;
use sorrelhinge_topology::devices::{choose, AllocatedDevices, DeviceInventory};
use sorrelhinge_topology::gang::Slot;

use crate::scheduler::capacity_index::Nearness;
use crate::scheduler::{ClusterState, Job, Machine};
use crate::types::{Amount, JobId, Kind, MachineId, Time};

/// Steps per second in a slot's integer cost, which is in tenths of a second.
const COST_STEPS_PER_S: f64 = 10.0;

/// A request for slots for all tasks of a gang.
pub(super) struct GangRequest<'a> {
    pub id: &'a JobId,
    pub job: &'a Job,
    /// Devices that each task of the gang needs.
    pub needs: Vec<Device>,
    pub now: Time,
}

/// Capacity and devices of a machine that stay in use until a user or the scheduler stops
/// the tasks.
#[derive(Default)]
struct LastingUse {
    amount: Amount,
    units: AllocatedDevices,
}

/// Returns how many of `max` tasks get the devices that each needs, given the devices
/// already allocated.
fn tasks_with_devices(
    device_inventory: &DeviceInventory,
    allocated: &AllocatedDevices,
    needs: &[Device],
    max: u32,
) -> u32 {
    if needs.is_empty() {
        return max;
    }
    let mut allocated = allocated.clone();
    let mut count = 0;
    while count < max {
        match choose(device_inventory, &allocated, needs) {
            Some(units) => allocated.take(&units),
            None => break,
        }
        count += 1;
    }
    count
}

impl ClusterState {
    /// Returns a slot for each machine that suits a gang. This is the only decision that
    /// scans all machines. It runs at most twice a second for each waiting gang.
    pub(super) fn slots(&self, request: &GangRequest) -> Vec<Slot> {
        let GangRequest { job, now, .. } = *request;
        let mut slots = Vec::new();
        for (m_id, m) in &self.machines {
            self.capacity_index.count_step();
            let suits = m.usable
                && !job.avoids(m_id, now)
                && Self::suits(&job.spec, m)
                && Machine::could(&m.working, &request.needs);
            if suits {
                slots.push(self.slot(request, m_id, m));
            }
        }
        slots
    }

    /// Returns the slot of a machine: the number of a gang's tasks that fit now and later.
    fn slot(&self, request: &GangRequest, m_id: &MachineId, m: &Machine) -> Slot {
        let GangRequest { id, job, now, .. } = *request;
        let spec = &*job.spec;
        let needs = &request.needs;
        let free_capacity =
            self.free_capacity_for(id, job.leaves_reserved_capacity(now), m_id, now);
        let fit = |amount: Amount| spec.each.how_many(amount).min(spec.tasks);
        let lasting = self.lasting_use(m);
        let free = tasks_with_devices(
            &m.device_inventory,
            &m.allocated_devices,
            needs,
            fit(free_capacity),
        );
        let later = tasks_with_devices(
            &m.device_inventory,
            &lasting.units,
            needs,
            fit(m.kind.total - lasting.amount),
        );
        let near = if m.cache.has(&spec.image) {
            Nearness::Ready
        } else {
            Nearness::Absent
        };
        let cost = self.place_cost(spec, near, &m.traits());
        Slot {
            machine: m_id.clone(),
            place: m.place,
            free,
            later: later.max(free),
            cost: (cost * COST_STEPS_PER_S) as u32,
        }
    }

    /// Returns what tasks that don't end by themselves use on a machine. These are the tasks
    /// of services that are not being stopped.
    fn lasting_use(&self, m: &Machine) -> LastingUse {
        let mut lasting = LastingUse::default();
        for task in &m.claims {
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            let claim = job.tasks.claims().get(&task.index);
            let ends = job.spec.kind != Kind::Service || claim.is_some_and(|c| c.stop.is_some());
            if !ends {
                lasting.amount += job.spec.each;
                lasting.units.take(claim.map_or(&[][..], |c| &c.units));
            }
        }
        lasting
    }
}
