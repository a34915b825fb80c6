//! Locations and devices of machines, and the placement rules that depend on them. The
//! crate does no I/O and reads no clock.
//!
//! - [`tree`] numbers failure domains so that each domain is a range of numbers.
//! - [`finder`] finds a machine's place by name, pattern or network.
//! - [`devices`] keeps device units and the claims that use them, and chooses units for tasks.
//! - [`policy`] judges what a job's placement rules allow, given where its tasks are.
//! - [`drain`] chooses the next task to move off a draining machine and stops tasks at the deadline.
//! - [`repair`] decides which domains are stable enough to move tasks back into them.
//! - [`gang`] plans all tasks of a gang at once and what to reserve if capacity is short.
//! - [`renting`] remembers in which domains the rented machines of each type and zone came up.
//! - [`settings`] reads the operator's topology file.

pub mod devices;
pub mod drain;
pub mod finder;
pub mod gang;
pub mod policy;
pub mod renting;
pub mod repair;
pub mod settings;
pub mod tree;

use std::collections::BTreeMap;
use std::net::IpAddr;

use sorrelhinge_protocol::types::{TypeName, Zone};

use devices::DeviceInventory;
use finder::Finder;
use settings::{InventoryRule, Settings, SettingsError};
use tree::Tree;

/// Operator's topology file after validation, with indexes for lookups.
#[derive(Debug)]
pub struct Topology {
    /// Tree of all failure domains that the topology file names.
    pub tree: Tree,
    /// Parsed topology file, for values that are rarely looked up.
    pub settings: Settings,
    finder: Finder<tree::Domain>,
    devices: Vec<InventoryRule>,
}

impl Topology {
    /// Parses and validates the text of the topology file.
    ///
    /// # Errors
    ///
    /// Returns the line that is not valid TOML, or the path of the field that is not valid.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings = Settings::parse(text)?;
        let tree = settings.tree()?;
        let finder = settings.finder(&tree)?;
        let devices = settings.inventory_rules()?;
        settings.check_policies(&tree)?;
        Ok(Self {
            tree,
            settings,
            finder,
            devices,
        })
    }

    /// Returns the place of a machine in the tree of failure domains.
    ///
    /// The cloud decides in which zone the machine is. If the topology file puts the machine in
    /// another zone, the file is wrong, and only the zone counts as known.
    pub fn place(&self, name: &str, addr: Option<IpAddr>, zone: &Zone) -> Place {
        let zone_only = self.tree.find(zone.as_str()).unwrap_or(tree::ROOT);
        match self.finder.find(name, addr) {
            Some(domain) if self.tree.covers(zone_only, *domain) => Place {
                domain: *domain,
                conflict: false,
            },
            Some(_) => Place {
                domain: zone_only,
                conflict: true,
            },
            None => Place {
                domain: zone_only,
                conflict: false,
            },
        }
    }

    /// Returns the device units of a machine from all device entries that name it or its type.
    pub fn device_inventory(
        &self,
        name: &str,
        addr: Option<IpAddr>,
        kind: &TypeName,
    ) -> DeviceInventory {
        let mut device_inventory = DeviceInventory::default();
        for entry in &self.devices {
            let by_type = || entry.types.iter().any(|t| t == kind.as_str());
            if entry.matcher.matches(name, addr) || by_type() {
                device_inventory.add(&entry.device_inventory);
            }
        }
        device_inventory
    }

    /// Returns, for each device kind, an upper bound of the tasks that can use its units on one
    /// machine.
    ///
    /// The bound adds up all device entries of the topology file, including those that name
    /// only machine types.
    pub fn max_slots(&self) -> BTreeMap<String, u32> {
        let mut max: BTreeMap<String, u32> = BTreeMap::new();
        for entry in &self.devices {
            for (kind, count) in entry.device_inventory.slots() {
                // Several device entries can apply to the same machine, so their slots add up.
                *max.entry(kind.to_owned()).or_insert(0) += count;
            }
        }
        max
    }

    /// Returns the placement rules that the operator sets for all jobs of a class.
    pub fn class_placement_rules(
        &self,
        class: &str,
    ) -> impl Iterator<Item = &sorrelhinge_protocol::placement::PlacementRules> {
        let class = class.to_owned();
        self.settings
            .policy
            .iter()
            .filter(move |p| p.class == class)
            .map(|p| &p.wishes)
    }
}

/// Place of a machine in the tree of failure domains.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Place {
    /// Innermost failure domain that is known to contain the machine.
    pub domain: tree::Domain,
    /// Whether the topology file and the cloud put the machine in different zones.
    pub conflict: bool,
}
