//! A small machine type, which tests change where it matters to them.

use sorrelhinge::types::{Amount, MachineType, TypeName, Zone};

/// Machines of so many CPUs and GB of memory, in these zones, with free capacity for 8 GB of images.
pub(super) fn machine_type(cpus: f64, ram_gb: f64, zones: &[&str]) -> MachineType {
    MachineType {
        name: TypeName::from("t"),
        total: Amount::new(cpus, 0.0, ram_gb),
        cache_gb: 8.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: 0.3,
        boot_s: 10.0,
        zones: zones.iter().map(|zone| Zone::from(*zone)).collect(),
    }
}
