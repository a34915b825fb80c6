//! The operator's file, see `docs/topology.md`. Its JSON Schema is generated
//! from these types and committed as `deploy/topology.schema.json`.

use std::collections::BTreeSet;

use garde::Validate;
use ipnet::IpNet;
use schemars::JsonSchema;
use serde::Deserialize;
use sorrelhinge_protocol::invalid::{InvalidField, MalformedToml};
use sorrelhinge_protocol::placement::PlacementRules;
use wildmatch::WildMatch;

use crate::devices::{Stock, Unit};
use crate::finder::{Finder, Matcher};
use crate::tree::{Domain, Tree};

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

/// Units that the file gives to machines.
#[derive(Debug)]
pub(crate) struct DeviceStock {
    /// Machines by name, pattern and network.
    pub matcher: Matcher,
    /// Machines by type.
    pub types: Vec<String>,
    /// The units.
    pub stock: Stock,
}

impl DeviceEntry {
    /// The units and who has them; `at` is the path to the entry.
    fn stock(&self, at: &str) -> Result<DeviceStock, InvalidField> {
        let wrong = |field: &str, why: &str| InvalidField::value(format!("{at}.{field}"), why);
        if self.count.is_some() != self.units.is_empty() {
            return Err(wrong("units", "either count or units names them"));
        }
        if self.names_nothing() {
            return Err(wrong(
                "machines",
                "no machine, pattern, network or type is named",
            ));
        }
        let names = self.names();
        if let Some(other) = self.broken.iter().find(|b| !names.contains(b)) {
            return Err(wrong("broken", &format!("there is no unit {other:?}")));
        }
        let mut stock = Stock::default();
        for name in &names {
            let broken = self.broken.contains(name);
            stock.put(Unit::new(&self.kind, name), self.share, broken);
        }
        Ok(DeviceStock {
            matcher: Matcher {
                names: self.machines.clone(),
                patterns: patterns(&self.patterns),
                networks: self.networks.clone(),
            },
            types: self.types.clone(),
            stock,
        })
    }

    fn names_nothing(&self) -> bool {
        self.machines.is_empty()
            && self.patterns.is_empty()
            && self.networks.is_empty()
            && self.types.is_empty()
    }

    fn names(&self) -> Vec<String> {
        match self.count {
            Some(count) => (0..count).map(|n| n.to_string()).collect(),
            None => self.units.clone(),
        }
    }
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

fn patterns(texts: &[String]) -> Vec<WildMatch> {
    texts.iter().map(|p| WildMatch::new(p)).collect()
}

impl Settings {
    /// Reads and validates; the tree and the rules are checked by what is
    /// built from them.
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

    pub(crate) fn tree(&self) -> Result<Tree, SettingsError> {
        for (i, place) in self.place.iter().enumerate() {
            let at = format!("topology.place[{i}].domain");
            Tree::new(&self.levels, [place.domain.as_str()])
                .map_err(|why| InvalidField::value(at, why.to_string()))?;
        }
        let paths = self.place.iter().map(|p| p.domain.as_str());
        let tree = Tree::new(&self.levels, paths);
        Ok(tree.map_err(|why| InvalidField::value("topology.place", why.to_string()))?)
    }

    /// Which place each machine has.
    pub(crate) fn finder(&self, tree: &Tree) -> Result<Finder<Domain>, SettingsError> {
        let mut finder = Finder::default();
        for (i, place) in self.place.iter().enumerate() {
            let wrong = |field: &str, why: String| {
                InvalidField::value(format!("topology.place[{i}].{field}"), why)
            };
            let Some(domain) = tree.find(&place.domain) else {
                return Err(wrong("domain", "not in the tree".into()).into());
            };
            for name in &place.machines {
                finder
                    .name(name, domain)
                    .map_err(|e| wrong("machines", e.to_string()))?;
            }
            for pattern in &place.patterns {
                finder.pattern(pattern, domain);
            }
            for network in &place.networks {
                finder
                    .network(*network, domain)
                    .map_err(|e| wrong("networks", e.to_string()))?;
            }
        }
        Ok(finder)
    }

    /// The entries of devices, checked.
    pub(crate) fn stocks(&self) -> Result<Vec<DeviceStock>, SettingsError> {
        let entries = self.device.iter().enumerate();
        entries
            .map(|(i, entry)| Ok(entry.stock(&format!("topology.device[{i}]"))?))
            .collect()
    }

    /// Classes ask only for levels and kinds of devices that are described.
    pub(crate) fn check_policies(&self, tree: &Tree) -> Result<(), SettingsError> {
        let kinds: BTreeSet<&str> = self.device.iter().map(|d| d.kind.as_str()).collect();
        for (i, policy) in self.policy.iter().enumerate() {
            let at = format!("topology.policy[{i}].wishes");
            check_levels(&policy.wishes, &at, tree)?;
            check_kinds(&policy.wishes, &at, &kinds)?;
        }
        Ok(())
    }
}

/// All levels that rules name are in the tree.
fn check_levels(rules: &PlacementRules, at: &str, tree: &Tree) -> Result<(), InvalidField> {
    let spread = rules.spread.iter().enumerate();
    let levels = spread
        .map(|(n, r)| (format!("spread[{n}]"), &r.level))
        .chain(rules.together.iter().map(|r| ("together".into(), &r.level)))
        .chain(rules.fewest.iter().map(|r| ("fewest".into(), &r.level)));
    for (field, level) in levels {
        if tree.level(level).is_none() {
            let reason = format!("there is no level {level:?}");
            return Err(InvalidField::value(format!("{at}.{field}.level"), reason));
        }
    }
    Ok(())
}

/// All kinds of devices that rules name are described.
fn check_kinds(
    rules: &PlacementRules,
    at: &str,
    kinds: &BTreeSet<&str>,
) -> Result<(), InvalidField> {
    for (n, device) in rules.devices.iter().enumerate() {
        if !kinds.contains(device.kind.as_str()) {
            let reason = format!("no device of kind {:?} is described", device.kind);
            return Err(InvalidField::value(
                format!("{at}.devices[{n}].kind"),
                reason,
            ));
        }
    }
    Ok(())
}
