//! Structures built from the topology file: the tree of domains, the index of machines'
//! places, and the device units of machines.

use std::collections::BTreeSet;

use sorrelhinge_protocol::invalid::InvalidField;
use sorrelhinge_protocol::placement::PlacementRules;
use wildmatch::WildMatch;

use super::{DeviceEntry, Settings, SettingsError};
use crate::devices::{DeviceInventory, Unit};
use crate::finder::{Finder, Matcher};
use crate::tree::{Domain, Tree};

/// Device units that one entry of the topology file assigns to a set of machines.
#[derive(Debug)]
pub(crate) struct InventoryRule {
    /// Machines that the entry names by name, pattern or network.
    pub matcher: Matcher,
    /// Machine types whose machines have the entry's device units.
    pub types: Vec<String>,
    /// Device units that each machine named by the entry has.
    pub device_inventory: DeviceInventory,
}

impl DeviceEntry {
    /// Validates this device entry and returns its units and machines. `at` is the path of the
    /// entry for errors.
    fn device_inventory(&self, at: &str) -> Result<InventoryRule, InvalidField> {
        let wrong = |field: &str, why: &str| InvalidField::value(format!("{at}.{field}"), why);
        if self.count.is_some() != self.units.is_empty() {
            return Err(wrong("units", "exactly one of count and units must be set"));
        }
        if self.names_no_machines() {
            return Err(wrong(
                "machines",
                "no machine, pattern, network or type is named",
            ));
        }
        let names = self.names();
        if let Some(other) = self.broken.iter().find(|b| !names.contains(b)) {
            return Err(wrong("broken", &format!("there is no unit {other:?}")));
        }
        let mut device_inventory = DeviceInventory::default();
        for name in &names {
            let broken = self.broken.contains(name);
            device_inventory.put(Unit::new(&self.kind, name), self.share, broken);
        }
        Ok(InventoryRule {
            matcher: Matcher {
                names: self.machines.clone(),
                patterns: patterns(&self.patterns),
                networks: self.networks.clone(),
            },
            types: self.types.clone(),
            device_inventory,
        })
    }

    fn names_no_machines(&self) -> bool {
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

fn patterns(texts: &[String]) -> Vec<WildMatch> {
    texts.iter().map(|p| WildMatch::new(p)).collect()
}

impl Settings {
    /// Builds the tree of all failure domains that the topology file names.
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

    /// Builds the index that finds the domain of a machine.
    pub(crate) fn finder(&self, tree: &Tree) -> Result<Finder<Domain>, SettingsError> {
        let mut finder = Finder::default();
        for (i, place) in self.place.iter().enumerate() {
            let wrong = |field: &str, why: String| {
                InvalidField::value(format!("topology.place[{i}].{field}"), why)
            };
            let Some(domain) = tree.find(&place.domain) else {
                return Err(wrong("domain", "the domain is not in the tree".into()).into());
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

    /// Validates all device entries and returns their units and machines.
    pub(crate) fn inventory_rules(&self) -> Result<Vec<InventoryRule>, SettingsError> {
        let entries = self.device.iter().enumerate();
        entries
            .map(|(i, entry)| Ok(entry.device_inventory(&format!("topology.device[{i}]"))?))
            .collect()
    }

    /// Checks that the rules of classes name only levels and device kinds that the file
    /// describes.
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

/// Checks that the tree has all levels that the rules name. `at` is the path of the rules
/// for errors.
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

/// Checks that the file describes all device kinds that the rules name. `at` is the path of
/// the rules for errors.
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
