//! The operator's file, see `docs/topology.md`. Its JSON Schema is generated
//! from these types and committed as `deploy/topology.schema.json`.

mod build;

use std::collections::BTreeSet;

use garde::Validate;
use ipnet::IpNet;
use schemars::JsonSchema;
use serde::Deserialize;
use sorrelhinge_protocol::invalid::{InvalidField, MalformedToml};
use sorrelhinge_protocol::placement::PlacementRules;

pub(crate) use self::build::InventoryRule;

/// What is wrong with the file: the line, or the path to the wrong field.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// It is not TOML, or not of the format.
    #[error(transparent)]
    Toml(#[from] MalformedToml),
    /// A field is not valid.
    #[error(transparent)]
    Field(#[from] InvalidField),
}

fn levels() -> Vec<String> {
    ["zone", "rack", "switch", "machine"]
        .map(String::from)
        .to_vec()
}

/// Machines of a domain. A machine's name counts before patterns, and these
/// before networks; of networks, the longest prefix.
#[derive(Clone, Debug, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Place {
    /// Path from the zone on: `danang-rack/r1/s1`.
    #[garde(length(bytes, min = 1, max = 200))]
    pub domain: String,
    /// Machines by name.
    #[serde(default)]
    #[garde(length(max = 100_000), inner(length(bytes, min = 1, max = 200)))]
    pub machines: Vec<String>,
    /// Machines by pattern of names: `*` any text, `?` one character.
    #[serde(default)]
    #[garde(length(max = 1_000), inner(length(bytes, min = 1, max = 200)))]
    pub patterns: Vec<String>,
    /// Machines by the network that their address lies in.
    #[serde(default)]
    #[schemars(with = "Vec<String>")]
    #[garde(length(max = 100_000))]
    pub networks: Vec<IpNet>,
}

fn one() -> u32 {
    1
}

/// Units of a kind on machines. All entries that name a machine count.
#[derive(Clone, Debug, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct DeviceEntry {
    /// Kind.
    #[garde(length(bytes, min = 1, max = 64))]
    pub kind: String,
    /// Machines by name.
    #[serde(default)]
    #[garde(length(max = 100_000), inner(length(bytes, min = 1, max = 200)))]
    pub machines: Vec<String>,
    /// Machines by pattern of names.
    #[serde(default)]
    #[garde(length(max = 1_000), inner(length(bytes, min = 1, max = 200)))]
    pub patterns: Vec<String>,
    /// Machines by network.
    #[serde(default)]
    #[schemars(with = "Vec<String>")]
    #[garde(length(max = 10_000))]
    pub networks: Vec<IpNet>,
    /// Machines by type.
    #[serde(default)]
    #[garde(length(max = 1_000), inner(length(bytes, min = 1, max = 200)))]
    pub types: Vec<String>,
    /// How many units there are; they are called `0`, `1` and on. Instead of
    /// `units`.
    #[serde(default)]
    #[garde(range(min = 1, max = 64))]
    pub count: Option<u32>,
    /// The units' names. Instead of `count`.
    #[serde(default)]
    #[garde(length(max = 64), inner(length(bytes, min = 1, max = 40)))]
    pub units: Vec<String>,
    /// How many tasks may hold one unit at a time.
    #[serde(default = "one")]
    #[garde(range(min = 1, max = 1_000))]
    pub share: u32,
    /// Units that are out of order.
    #[serde(default)]
    #[garde(length(max = 64))]
    pub broken: Vec<String>,
}

/// What is asked for all jobs of a class, beside what each asks itself.
#[derive(Clone, Debug, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct ClassPolicy {
    /// The class.
    #[garde(length(bytes, min = 1, max = 200))]
    pub class: String,
    /// The wishes.
    #[garde(dive)]
    pub wishes: PlacementRules,
}

/// Spreading again what piled up.
#[derive(Clone, Debug, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Repair {
    /// Seconds between two moves.
    #[garde(range(min = 1.0, max = 86_400.0))]
    pub every_s: f64,
    /// For how long a domain must have lost no machine before anything is
    /// moved back into it.
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

/// Renting for rules that the machines there are can't meet.
#[derive(Clone, Debug, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Renting {
    /// The most machines on their way at a time for the sake of where they may
    /// come up.
    #[garde(range(max = 1_000))]
    pub overshoot: u32,
    /// For how long it is remembered which types and zones brought which
    /// domains.
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

/// Gangs that find no room.
#[derive(Clone, Debug, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Gangs {
    /// The largest part of all machines' CPUs that is held for gangs.
    #[garde(range(min = 0.0, max = 1.0))]
    pub held: f64,
    /// For how long machines are held for one gang before the next has its
    /// turn.
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

/// The file.
#[derive(Clone, Debug, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Version of the format: 1.
    #[garde(range(min = 1, max = 1))]
    pub version: u32,
    /// Levels, outermost first. The first is what the cloud calls a zone, the
    /// last the machine itself.
    #[serde(default = "levels")]
    #[garde(length(min = 2, max = 8), inner(length(bytes, min = 1, max = 64)))]
    pub levels: Vec<String>,
    /// Where machines are.
    #[serde(default)]
    #[garde(length(max = 100_000), dive)]
    pub place: Vec<Place>,
    /// What is attached to them.
    #[serde(default)]
    #[garde(length(max = 10_000), dive)]
    pub device: Vec<DeviceEntry>,
    /// What classes ask.
    #[serde(default)]
    #[garde(length(max = 1_000), dive)]
    pub policy: Vec<ClassPolicy>,
    /// Spreading again what piled up.
    #[serde(default)]
    #[garde(dive)]
    pub repair: Repair,
    /// Renting for rules.
    #[serde(default)]
    #[garde(dive)]
    pub renting: Renting,
    /// Gangs.
    #[serde(default)]
    #[garde(dive)]
    pub gangs: Gangs,
}

impl Settings {
    /// Reads and validates; the tree and the rules are checked by what is
    /// built from them.
    ///
    /// # Errors
    ///
    /// The line that is no TOML, or the first field that is out of range.
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

    /// The file's JSON Schema.
    pub fn schema() -> String {
        let schema = schemars::schema_for!(Settings);
        serde_json::to_string_pretty(&schema).unwrap_or_default() + "\n"
    }
}
