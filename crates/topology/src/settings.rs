//! Settings of the operator's topology file, described in `docs/topology.md`. The JSON
//! Schema of the file is generated from these types and committed as
//! `deploy/topology.schema.json`.

mod build;

use std::collections::BTreeSet;

use garde::Validate;
use ipnet::IpNet;
use schemars::JsonSchema;
use serde::Deserialize;
use sorrelhinge_protocol::invalid::{InvalidField, MalformedToml};
use sorrelhinge_protocol::placement::PlacementRules;

pub(crate) use self::build::InventoryRule;

/// Error in the topology file, with the line or the path of the wrong field.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The text is not TOML or does not follow the file's format.
    #[error(transparent)]
    Toml(#[from] MalformedToml),
    /// A field of the file has a value that is not valid.
    #[error(transparent)]
    Field(#[from] InvalidField),
}

fn levels() -> Vec<String> {
    ["zone", "rack", "switch", "machine"]
        .map(String::from)
        .to_vec()
}

/// Machines of one failure domain. A machine's name has precedence over patterns, and
/// patterns have precedence over networks. Among networks, the longest prefix counts.
#[derive(Clone, Debug, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Place {
    /// Path of the domain from the zone on, such as `danang-rack/r1/s1`.
    #[garde(length(bytes, min = 1, max = 200))]
    pub domain: String,
    /// Names of machines in the domain.
    #[serde(default)]
    #[garde(length(max = 100_000), inner(length(bytes, min = 1, max = 200)))]
    pub machines: Vec<String>,
    /// Patterns of machine names in the domain. `*` matches any text and `?` matches one
    /// character.
    #[serde(default)]
    #[garde(length(max = 1_000), inner(length(bytes, min = 1, max = 200)))]
    pub patterns: Vec<String>,
    /// Networks whose machines are in the domain, by the machines' addresses.
    #[serde(default)]
    #[schemars(with = "Vec<String>")]
    #[garde(length(max = 100_000))]
    pub networks: Vec<IpNet>,
}

fn one() -> u32 {
    1
}

/// Device units of one kind on a set of machines. All entries that name a machine add up.
#[derive(Clone, Debug, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct DeviceEntry {
    /// Kind of device, which jobs name in their placement rules.
    #[garde(length(bytes, min = 1, max = 64))]
    pub kind: String,
    /// Names of machines that have these units.
    #[serde(default)]
    #[garde(length(max = 100_000), inner(length(bytes, min = 1, max = 200)))]
    pub machines: Vec<String>,
    /// Patterns of names of machines that have these units.
    #[serde(default)]
    #[garde(length(max = 1_000), inner(length(bytes, min = 1, max = 200)))]
    pub patterns: Vec<String>,
    /// Networks whose machines have these units.
    #[serde(default)]
    #[schemars(with = "Vec<String>")]
    #[garde(length(max = 10_000))]
    pub networks: Vec<IpNet>,
    /// Machine types whose machines have these units.
    #[serde(default)]
    #[garde(length(max = 1_000), inner(length(bytes, min = 1, max = 200)))]
    pub types: Vec<String>,
    /// Number of units, which are named `0`, `1` and so on. Excludes `units`.
    #[serde(default)]
    #[garde(range(min = 1, max = 64))]
    pub count: Option<u32>,
    /// Names of the units. Excludes `count`.
    #[serde(default)]
    #[garde(length(max = 64), inner(length(bytes, min = 1, max = 40)))]
    pub units: Vec<String>,
    /// Maximum number of tasks that may use one unit at the same time.
    #[serde(default = "one")]
    #[garde(range(min = 1, max = 1_000))]
    pub share: u32,
    /// Names of units that are broken and are not given to tasks.
    #[serde(default)]
    #[garde(length(max = 64))]
    pub broken: Vec<String>,
}

/// Placement rules for all jobs of a class, in addition to each job's own rules.
#[derive(Clone, Debug, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct ClassPolicy {
    /// Job class to which the rules apply.
    #[garde(length(bytes, min = 1, max = 200))]
    pub class: String,
    /// Placement rules of the class.
    #[garde(dive)]
    pub wishes: PlacementRules,
}

/// Pace of moving tasks to restore their spread over domains.
#[derive(Clone, Debug, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Repair {
    /// Minimum time between two moves, in seconds.
    #[garde(range(min = 1.0, max = 86_400.0))]
    pub every_s: f64,
    /// Time in seconds for which a domain must not have lost a machine before tasks are moved
    /// back into it.
    #[garde(range(min = 0.0, max = 86_400.0))]
    pub settle_s: f64,
}

impl Default for Repair {
    fn default() -> Self {
        Self {
            every_s: 20.0,
            settle_s: 120.0,
        }
    }
}

/// Renting of additional machines for placement rules that the machines already rented
/// can't meet.
#[derive(Clone, Debug, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Renting {
    /// Maximum number of machines that may be starting at the same time in the hope that they
    /// come up in a needed domain.
    #[garde(range(max = 1_000))]
    pub overshoot: u32,
    /// Time in seconds for which the controller remembers in which domains machines of each
    /// type and zone came up.
    #[garde(range(min = 1.0, max = 86_400.0))]
    pub remember_s: f64,
}

impl Default for Renting {
    fn default() -> Self {
        Self {
            overshoot: 4,
            remember_s: 900.0,
        }
    }
}

/// Reservation of machines for gangs that don't fit into the free capacity.
#[derive(Clone, Debug, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Gangs {
    /// Maximum share of all machines' CPUs that may be reserved for gangs.
    #[garde(range(min = 0.0, max = 1.0))]
    pub held: f64,
    /// Time in seconds for which machines stay reserved for one gang before the next gang gets
    /// its turn.
    #[garde(range(min = 1.0, max = 86_400.0))]
    pub hold_s: f64,
}

impl Default for Gangs {
    fn default() -> Self {
        Self {
            held: 0.5,
            hold_s: 120.0,
        }
    }
}

/// Topology file of the operator: places and devices of machines, and placement rules.
#[derive(Clone, Debug, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Version of the file's format, which is 1.
    #[garde(range(min = 1, max = 1))]
    pub version: u32,
    /// Names of the levels of failure domains, outermost first. The first level is the cloud's
    /// zone and the last level is the machine itself.
    #[serde(default = "levels")]
    #[garde(length(min = 2, max = 8), inner(length(bytes, min = 1, max = 64)))]
    pub levels: Vec<String>,
    /// Failure domains and their machines.
    #[serde(default)]
    #[garde(length(max = 100_000), dive)]
    pub place: Vec<Place>,
    /// Devices and the machines that have them.
    #[serde(default)]
    #[garde(length(max = 10_000), dive)]
    pub device: Vec<DeviceEntry>,
    /// Placement rules of job classes.
    #[serde(default)]
    #[garde(length(max = 1_000), dive)]
    pub policy: Vec<ClassPolicy>,
    /// Pace of moving tasks to restore their spread over domains.
    #[serde(default)]
    #[garde(dive)]
    pub repair: Repair,
    /// Renting of additional machines for placement rules that the machines already rented
    /// can't meet.
    #[serde(default)]
    #[garde(dive)]
    pub renting: Renting,
    /// Reservation of machines for gangs that don't fit into the free capacity.
    #[serde(default)]
    #[garde(dive)]
    pub gangs: Gangs,
}

impl Settings {
    /// Parses the topology file and validates each field. Building the tree and the inventory
    /// rules checks the rest.
    ///
    /// # Errors
    ///
    /// Returns the line that is not valid TOML, or the first field that is out of range.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Self = toml::from_str(text).map_err(|e| MalformedToml::new(text, &e))?;
        settings
            .validate()
            .map_err(|report| InvalidField::first(&report, "topology"))?;
        let mut names = BTreeSet::new();
        if let Some(twice) = settings.levels.iter().find(|l| !names.insert(l.as_str())) {
            let reason = format!("{twice:?} appears twice");
            return Err(InvalidField::value("topology.levels", reason).into());
        }
        for (i, policy) in settings.policy.iter().enumerate() {
            let at = format!("topology.policy[{i}].wishes");
            policy.wishes.check(&at)?;
        }
        Ok(settings)
    }

    /// Returns the JSON Schema of the topology file as pretty-printed text.
    pub fn schema() -> String {
        let schema = schemars::schema_for!(Settings);
        serde_json::to_string_pretty(&schema).unwrap_or_default() + "\n"
    }
}
