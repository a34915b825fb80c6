//! What a job asks of the topology: the optional field `topology` of a job's
//! body, and the same words in an operator's policy for a class. PROTOCOL says
//! of unknown fields that they are ignored, and so is this one unless the
//! feature is on.
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

/// How far a job's tasks are to be apart. With neither `most` nor `share`, the
/// tasks go evenly over the domains there are.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Spread {
    /// Level whose domains count.
    #[garde(length(bytes, min = 1, max = 64))]
    pub level: String,
    /// The most tasks in one domain.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(range(min = 1))]
    // By its name on the wire, which the texts of refusals quote.
    pub most: Option<u32>,
    /// The largest share of the job's tasks in one domain, above 0 up to 1,
    /// rounded up.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(range(min = 0.0001, max = 1.0))]
    pub share: Option<f64>,
    /// Required rather than preferred.
    #[serde(default = "yes")]
    #[garde(skip)]
    pub must: bool,
}

/// That a job's tasks are to be in one domain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Together {
    /// Level whose domains count.
    #[garde(length(bytes, min = 1, max = 64))]
    pub level: String,
    /// Required rather than preferred.
    #[serde(default = "yes")]
    #[garde(skip)]
    pub must: bool,
}

/// That a job's tasks are to be in few domains.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Fewest {
    /// Level whose domains count.
    #[garde(length(bytes, min = 1, max = 64))]
    pub level: String,
    /// The most domains; 0: as few as there is room in.
    #[serde(default)]
    #[garde(skip)]
    #[serde(rename = "most")]
    pub max: u32,
    /// Required rather than preferred.
    #[serde(default = "yes")]
    #[garde(skip)]
    pub must: bool,
}

/// A device that each task needs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Device {
    /// Kind, as in the inventory.
    #[garde(length(bytes, min = 1, max = 64))]
    pub kind: String,
    /// How many units.
    #[serde(default = "one")]
    #[garde(range(min = 1, max = 64))]
    pub count: u32,
    /// Required rather than preferred: a task with a preferred device starts
    /// without one where none is free.
    #[serde(default = "yes")]
    #[garde(skip)]
    pub must: bool,
}

/// Everything that a job asks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
// The published schemas call it so.
#[schemars(rename = "Wishes")]
pub struct PlacementRules {
    /// To be apart.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[garde(length(max = 16), dive)]
    pub spread: Vec<Spread>,
    /// To be together.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(dive)]
    pub together: Option<Together>,
    /// To be in few domains.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(dive)]
    pub fewest: Option<Fewest>,
    /// Devices.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[garde(length(max = 16), dive)]
    pub devices: Vec<Device>,
    /// They are not known any more, so its tasks may hold anything.
    #[serde(skip)]
    #[garde(skip)]
    pub lost: bool,
}

impl PlacementRules {
    /// Whether nothing is asked.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Reads the field `topology` of a job's body; the error names the place.
    ///
    /// # Errors
    ///
    /// The first field that is malformed or out of range, by its path.
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

    /// Whether all values are within their ranges; `at` is where they stand.
    ///
    /// # Errors
    ///
    /// The first field that is out of range, by its path.
    pub fn check(&self, at: &str) -> Result<(), InvalidField> {
        self.validate()
            .map_err(|report| InvalidField::first(&report, at))?;
        for (i, device) in self.devices.iter().enumerate() {
            if self.devices[..i].iter().any(|d| d.kind == device.kind) {
                return Err(InvalidField::value(
                    format!("{at}.devices[{i}].kind"),
                    "named twice",
                ));
            }
        }
        Ok(())
    }
}
