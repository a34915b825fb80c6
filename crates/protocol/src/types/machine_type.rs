//! Machine type that the cloud offers.

use super::{Amount, TypeName, Zone};

/// Machine type as the cloud describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineType {
    /// Name of the machine type in the cloud.
    pub name: TypeName,
    /// Resources of a machine of this type.
    pub total: Amount,
    /// Disk space of a machine for cached images, in GB.
    pub cache_gb: f64,
    /// Rate at which a machine fetches images, in GB per second.
    pub fetch_gb_per_s: f64,
    /// Price of an on-demand machine per hour.
    pub price: f64,
    /// Price of a spot machine per hour. Infinite if the cloud offers no spot machines of this
    /// type.
    pub spot_price: f64,
    /// Usual time in seconds from the rental of a machine until the first heartbeat of its
    /// worker.
    pub boot_s: f64,
    /// Zones in which the cloud offers this type.
    pub zones: Vec<Zone>,
}
