//! A machine type of the cloud.

use super::{Amount, TypeName, Zone};

/// A machine type as the cloud describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineType {
    /// Name.
    pub name: TypeName,
    /// What it offers.
    pub total: Amount,
    /// Capacity for cached images, in GB.
    pub cache_gb: f64,
    /// How fast images arrive, in GB a second.
    pub fetch_gb_per_s: f64,
    /// Price an hour.
    pub price: f64,
    /// Price an hour of a spot machine.
    pub spot_price: f64,
    /// Usual time until its worker heartbeats, in seconds.
    pub boot_s: f64,
    /// Where it exists.
    pub zones: Vec<Zone>,
}
