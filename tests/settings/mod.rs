//! Settings that several tests use.

pub(crate) mod controller;

use std::rc::Rc;

use sorrelhinge::config::Config;

use self::controller::{ControllerSettings, Team};

/// Settings of a small world: two zones, two teams whose amounts are these many
/// times the smallest.
pub(crate) fn config(scale: f64) -> Rc<Config> {
    let team = |name, guarantee_cpus: f64, limit_cpus: f64| Team {
        name,
        guarantee_cpus: guarantee_cpus * scale,
        limit_cpus: limit_cpus * scale,
    };
    let settings = ControllerSettings {
        zones: &["za", "zb"],
        teams: vec![team("red", 6.0, 10.0), team("blue", 4.0, 40.0)],
        ..ControllerSettings::small("n-0")
    };
    Rc::new(Config::parse(&settings.text()).expect("valid settings"))
}
