//! Filter rule: the job's spec must allow the machine's type, zone and kind (spot or
//! ordinary).

use crate::scheduler::{ClusterState, Machine};
use crate::types::{Amount, JobSpec, MachineType, Zone};

impl ClusterState {
    /// Returns whether a job's spec allows machines of a type, zone and kind, whatever their
    /// free capacity.
    pub fn kind_suits(spec: &JobSpec, spot: bool, kind: &MachineType, zone: &Zone) -> bool {
        spec.each.fits(kind.total)
            && (spec.spot || !spot)
            && spec.zone.as_ref().is_none_or(|z| z == zone)
            && spec.types.as_ref().is_none_or(|t| t.contains(&kind.name))
    }

    /// Returns whether a job's spec allows a machine's type, zone and kind, whatever its free
    /// capacity.
    pub fn suits(spec: &JobSpec, machine: &Machine) -> bool {
        Self::kind_suits(spec, machine.spot, &machine.kind, &machine.zone)
    }

    /// Returns whether a task of size `each` fits no machine type smaller than `kind`.
    pub(in crate::scheduler) fn needs(&self, each: Amount, kind: &MachineType) -> bool {
        !self
            .capacity_index
            .kinds()
            .any(|k| k.total.cpu < kind.total.cpu && each.fits(k.total))
    }
}
