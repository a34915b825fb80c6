//! How many tasks of a gang each machine could take, now and later.

use sorrelhinge_protocol::placement::Device;
use sorrelhinge_topology::devices::{choose, AllocatedDevices, DeviceInventory};
use sorrelhinge_topology::gang::Slot;

use crate::scheduler::capacity_index::Nearness;
use crate::scheduler::{ClusterState, Job, Machine};
use crate::types::{Amount, JobId, Kind, MachineId, Time};

/// A slot's cost is counted in tenths of a second.
const COST_STEPS: f64 = 10.0;

/// A gang whose tasks are to be placed all at once.
pub(super) struct GangRequest<'a> {
    pub id: &'a JobId,
    pub job: &'a Job,
    /// Devices that each of its tasks needs.
    pub needs: Vec<Device>,
    pub now: Time,
}

/// What stays on a machine until somebody stops it.
#[derive(Default)]
struct LastingUse {
    amount: Amount,
    units: AllocatedDevices,
}

/// How many of `max` tasks find the devices that each needs, beside what is allocated.
fn with_devices(
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
    /// Machines that could take tasks of a gang. The only decision that looks
    /// at all machines, twice a second at most for each gang that waits.
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

    /// How many tasks of a gang a machine could take now, and later.
    fn slot(&self, request: &GangRequest, m_id: &MachineId, m: &Machine) -> Slot {
        let GangRequest { id, job, now, .. } = *request;
        let spec = &*job.spec;
        let needs = &request.needs;
        let free_capacity =
            self.free_capacity_for(id, job.leaves_reserved_capacity(now), m_id, now);
        let fit = |amount: Amount| spec.each.how_many(amount).min(spec.tasks);
        let lasting = self.lasting_use(m);
        let free = with_devices(
            &m.device_inventory,
            &m.allocated_devices,
            needs,
            fit(free_capacity),
        );
        let later = with_devices(
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
            cost: (cost * COST_STEPS) as u32,
        }
    }

    /// What on a machine doesn't end by itself: services that are not being stopped.
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
