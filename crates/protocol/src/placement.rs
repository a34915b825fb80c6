//! Placement rules of jobs for the topology of machines. Users give them in the optional
//! field `topology` of a job's body, and operators give the same fields in a policy for a
//! class.
//!
//! PROTOCOL requires that unknown fields are ignored. A controller also ignores `topology`
//! unless the topology feature is on.
//!
//! ```json
//! {"spread":   [{"level": "switch", "most": 1, "must": true}],
//!  "together": {"level": "rack", "must": false},
//!  "fewest":   {"level": "switch", "most": 2, "must": true},
//!  "devices":  [{"kind": "encoder", "count": 1, "must": true}]}
//! ```

use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::invalid::InvalidField;

fn yes() -> bool {
    true
}
fn one() -> u32 {
    1
}

/// Rule that spreads a job's tasks over the domains of a level. With neither `most` nor
/// `share`, the tasks are spread evenly over all domains.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Spread {
    /// Name of the level whose domains the rule counts.
    #[garde(length(bytes, min = 1, max = 64))]
    pub level: String,
    /// Maximum number of the job's tasks in one domain.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(range(min = 1))]
    // The field has its name on the wire, because the texts of refused requests quote it.
    pub most: Option<u32>,
    /// Maximum share of the job's tasks in one domain, above 0 and up to 1. The resulting
    /// number of tasks is rounded up.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(range(min = 0.0001, max = 1.0))]
    pub share: Option<f64>,
    /// Whether the spread rule is required. Otherwise, it is preferred.
    #[serde(default = "yes")]
    #[garde(skip)]
    pub must: bool,
}

/// Rule that puts all tasks of a job into one domain of a level.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Together {
    /// Name of the level whose domains the rule counts.
    #[garde(length(bytes, min = 1, max = 64))]
    pub level: String,
    /// Whether the rule for one domain is required. Otherwise, it is preferred.
    #[serde(default = "yes")]
    #[garde(skip)]
    pub must: bool,
}

/// Rule that puts a job's tasks into few domains of a level.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Fewest {
    /// Name of the level whose domains the rule counts.
    #[garde(length(bytes, min = 1, max = 64))]
    pub level: String,
    /// Maximum number of domains that the tasks may use. 0 means as few domains as have the
    /// capacity for them.
    #[serde(default)]
    #[garde(skip)]
    #[serde(rename = "most")]
    pub max: u32,
    /// Whether the limit on domains is required. Otherwise, it is preferred.
    #[serde(default = "yes")]
    #[garde(skip)]
    pub must: bool,
}

/// Device that each task of a job needs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Device {
    /// Kind of device, as in the inventory of the topology file.
    #[garde(length(bytes, min = 1, max = 64))]
    pub kind: String,
    /// Number of device units that each task needs.
    #[serde(default = "one")]
    #[garde(range(min = 1, max = 64))]
    pub count: u32,
    /// Whether the device is required. Otherwise, it is preferred, and a task starts without it
    /// if no unit is free.
    #[serde(default = "yes")]
    #[garde(skip)]
    pub must: bool,
}

/// All placement rules of a job or of a class.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
// The published schemas call this type `Wishes`.
#[schemars(rename = "Wishes")]
pub struct PlacementRules {
    /// Rules that spread the job's tasks over domains.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[garde(length(max = 16), dive)]
    pub spread: Vec<Spread>,
    /// Rule that puts all tasks of the job into one domain.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(dive)]
    pub together: Option<Together>,
    /// Rule that puts the job's tasks into few domains.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(dive)]
    pub fewest: Option<Fewest>,
    /// Devices that each task of the job needs.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[garde(length(max = 16), dive)]
    pub devices: Vec<Device>,
    /// Whether the job's rules were lost. The job's tasks may then use any device.
    #[serde(skip)]
    #[garde(skip)]
    pub lost: bool,
}

impl PlacementRules {
    /// Returns whether there are no placement rules.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Reads the placement rules from the field `topology` of a job's body.
    ///
    /// Returns `None` if the field is missing, null or without rules.
    ///
    /// # Errors
    ///
    /// Returns the path of the first field that is malformed or out of range.
    pub fn read(value: &serde_json::Value) -> Result<Option<Self>, InvalidField> {
        let Some(field) = value.get("topology").filter(|v| !v.is_null()) else {
            return Ok(None);
        };
        let rules = Self::deserialize(field).map_err(|error| InvalidField::Malformed {
            path: "topology".into(),
            reason: error.to_string(),
        })?;
        rules.check("topology")?;
        Ok(Some(rules).filter(|w| !w.is_empty()))
    }

    /// Checks that all values of the placement rules are within their ranges. `at` is the path
    /// of the rules for errors.
    ///
    /// # Errors
    ///
    /// Returns the path of the first field that is out of range.
    pub fn check(&self, at: &str) -> Result<(), InvalidField> {
        self.validate()
            .map_err(|report| InvalidField::first(&report, at))?;
        for (i, device) in self.devices.iter().enumerate() {
            if self.devices[..i].iter().any(|d| d.kind == device.kind) {
                return Err(InvalidField::value(
                    format!("{at}.devices[{i}].kind"),
                    "the device kind appears twice",
                ));
            }
        }
        Ok(())
    }
}
