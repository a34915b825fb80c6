//! Rule: a machine's type, zone and kind (spot or ordinary) as the job asks for them.

use crate::scheduler::{ClusterState, Machine};
use crate::types::{Amount, JobSpec, MachineType, Zone};

impl ClusterState {
    /// Whether machines of a type, zone and kind suit a job at all.
    pub fn kind_suits(spec: &JobSpec, spot: bool, kind: &MachineType, zone: &Zone) -> bool {
        spec.each.fits(kind.total)
            && (spec.spot || !spot)
            && spec.zone.as_ref().is_none_or(|z| z == zone)
            && spec.types.as_ref().is_none_or(|t| t.contains(&kind.name))
    }

    /// Whether a machine's type, zone and kind suit a job at all.
    pub fn suits(spec: &JobSpec, machine: &Machine) -> bool {
        Self::kind_suits(spec, machine.spot, &machine.kind, &machine.zone)
    }

    /// Whether tasks of this size fit no smaller type than this one.
    pub(in crate::scheduler) fn needs(&self, each: Amount, kind: &MachineType) -> bool {
        !self
            .capacity_index
            .kinds()
            .any(|k| k.total.cpu < kind.total.cpu && each.fits(k.total))
    }
}
