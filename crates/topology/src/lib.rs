//! Where machines are and what is attached to them, and what follows for
//! placing, without I/O or clock:
//!
//! - [`tree`]: failure domains, numbered so that a domain is a range;
//! - [`finder`]: a machine's place, by name, pattern or network;
//! - [`devices`]: units, which claims use them, and which to give out;
//! - [`policy`]: what a job's placement rules allow, given where its tasks are;
//! - [`drain`]: which task to move off next, and when there is no waiting;
//! - [`repair`]: what piled up, and which domains can be trusted again;
//! - [`gang`]: placing all tasks at once, and what to reserve where capacity is short;
//! - [`renting`]: which types and zones brought which domains;
//! - [`settings`]: the operator's file.

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

/// The operator's file, checked and made fit for questions.
#[derive(Debug)]
pub struct Topology {
    /// Failure domains.
    pub tree: Tree,
    /// The file, for what is looked up rarely.
    pub settings: Settings,
    finder: Finder<tree::Domain>,
    devices: Vec<InventoryRule>,
}

impl Topology {
    /// Reads the file's text. The error names the line or the path of what is
    /// wrong.
    ///
    /// # Errors
    ///
    /// The line that is no TOML, or the field that is wrong.
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

    /// Where a machine is. Its zone is the cloud's word: a place in another
    /// zone is a mistake in the file, and then only the zone is known.
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

    /// What is attached to a machine.
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

    /// The most units of each kind that one machine can have, of all that the
    /// file names; by machine types, where only types are named.
    pub fn max_units(&self) -> BTreeMap<String, u32> {
        let mut max: BTreeMap<String, u32> = BTreeMap::new();
        for entry in &self.devices {
            for (kind, count) in entry.device_inventory.slots() {
                // Several entries can meet on one machine.
                *max.entry(kind.to_owned()).or_insert(0) += count;
            }
        }
        max
    }

    /// What an operator asks for all jobs of a class.
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

/// A machine's place.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Place {
    /// The innermost domain that is known.
    pub domain: tree::Domain,
    /// The file says one zone and the cloud another.
    pub conflict: bool,
}
