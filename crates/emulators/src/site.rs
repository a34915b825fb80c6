//! The small world's site as the history's checker knows it: the same teams as in
//! the controllers' settings, and the cloud's one machine type.

use crate::history::{Amounts, MachineType, Site, Team};
use crate::nodes::{CPUS, RAM_GB, TYPE};
use crate::ZONES;

/// CPUs that the team `crew` may use; `guest` is listed with 0, which means no limit.
pub(crate) const CREW_CPUS: f64 = 400.0;

/// The teams and the machine type.
pub(crate) fn site() -> Site {
    let team = |name: &str, cpus_max| Team {
        name: name.into(),
        cpus_max,
        cards_max: None,
    };
    Site {
        teams: vec![team("crew", Some(CREW_CPUS)), team("guest", None)],
        types: vec![MachineType {
            name: TYPE.into(),
            free_capacity: Amounts {
                cpus: CPUS,
                cards: 0.0,
                ram_gb: RAM_GB,
            },
            zones: ZONES.map(str::to_owned).to_vec(),
        }],
    }
}
