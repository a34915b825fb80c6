//! Devices of machines: the inventory of units, the units that claims use, and the choice
//! of units for a new task.
//!
//! A unit stays in use until its task is known to have ended, even if the topology file no
//! longer names the unit. Otherwise two tasks could get the same unit.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sorrelhinge_protocol::placement::Device;

/// One device unit of a machine, as kind and name. Records keep a unit as
/// `["encoder","enc0"]`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Unit(pub String, pub String);

impl Unit {
    /// Creates a unit from its device kind and its name.
    pub fn new(kind: &str, name: &str) -> Self {
        Self(kind.to_owned(), name.to_owned())
    }
    /// Returns the device kind of this unit, for example `encoder`.
    pub fn kind(&self) -> &str {
        &self.0
    }
}

impl std::fmt::Display for Unit {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}:{}", self.0, self.1)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct State {
    /// Maximum number of tasks that may use the unit at the same time.
    share: u32,
    broken: bool,
}

/// A device unit that the topology file assigns to a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InventoryUnit<'a> {
    /// Kind and name of the device unit.
    pub unit: &'a Unit,
    /// Maximum number of tasks that may use the unit at the same time.
    pub share: u32,
    /// Whether the unit is broken. A broken unit is never given to a task.
    pub broken: bool,
}

/// Number of device units of one kind on a machine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DeviceCount {
    /// Kind of the counted device units, for example `encoder`.
    pub kind: String,
    /// Number of units of this device kind.
    pub count: u32,
}

/// All device units that the topology file assigns to one machine, with the state of each.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DeviceInventory(BTreeMap<Unit, State>);

impl DeviceInventory {
    /// Adds a device unit that up to `share` tasks may use at the same time.
    pub fn put(&mut self, unit: Unit, share: u32, broken: bool) {
        self.0.insert(unit, State { share, broken });
    }
    /// Adds all device units of another inventory to this one.
    pub fn add(&mut self, other: &DeviceInventory) {
        for (unit, state) in &other.0 {
            self.0.insert(unit.clone(), *state);
        }
    }
    /// Returns whether the machine has no device units.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
    /// Returns how many tasks could use a unit of each device kind if no unit were broken.
    pub fn slots(&self) -> BTreeMap<&str, u32> {
        let mut slots = BTreeMap::new();
        for (unit, state) in &self.0 {
            *slots.entry(unit.kind()).or_insert(0) += state.share;
        }
        slots
    }
    /// Returns whether the machine has this unit and the unit is not broken.
    pub fn works(&self, unit: &Unit) -> bool {
        self.0.get(unit).is_some_and(|s| !s.broken)
    }
    /// Returns all device units of the machine, sorted by kind and name.
    pub fn units(&self) -> impl Iterator<Item = InventoryUnit<'_>> {
        self.0.iter().map(|(unit, state)| InventoryUnit {
            unit,
            share: state.share,
            broken: state.broken,
        })
    }
    /// Returns the number of units of each device kind that are not broken.
    pub fn working(&self) -> Vec<DeviceCount> {
        let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
        for (unit, state) in &self.0 {
            if !state.broken {
                *counts.entry(unit.kind()).or_insert(0) += 1;
            }
        }
        let counts = counts.into_iter().map(|(kind, count)| DeviceCount {
            kind: kind.to_owned(),
            count,
        });
        counts.collect()
    }
}

/// Device units that claims on one machine use. A claim is a task's recorded placement.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AllocatedDevices {
    units: BTreeMap<Unit, u32>,
    /// Number of claims that may use units whose names are not known.
    unnamed: u32,
}

impl AllocatedDevices {
    /// Records that one claim uses these device units.
    pub fn take(&mut self, units: &[Unit]) {
        for unit in units {
            *self.units.entry(unit.clone()).or_insert(0) += 1;
        }
    }
    /// Releases these device units after the task of their claim is known to have ended.
    pub fn give(&mut self, units: &[Unit]) {
        for unit in units {
            if let Some(count) = self.units.get_mut(unit) {
                *count -= 1;
                if *count == 0 {
                    self.units.remove(unit);
                }
            }
        }
    }
    /// Records a claim that uses units that its record does not name, because an earlier
    /// version wrote the record.
    pub fn take_unnamed(&mut self) {
        self.unnamed += 1;
    }
    /// Removes a claim with unnamed units after its task is known to have ended.
    pub fn give_unnamed(&mut self) {
        self.unnamed = self.unnamed.saturating_sub(1);
    }
    /// Returns the number of claims that use a device unit.
    pub fn holders(&self, unit: &Unit) -> u32 {
        self.units.get(unit).copied().unwrap_or(0)
    }
    /// Returns whether a claim uses any device unit of the machine.
    pub fn any(&self) -> bool {
        self.unnamed > 0 || !self.units.is_empty()
    }
}

/// Chooses device units for one more task on a machine.
///
/// Returns `None` if too few units of a required kind are working and free. For a preferred
/// kind, the result has either all requested units or none. While a claim uses units
/// without names, no unit counts as free.
pub fn choose(
    device_inventory: &DeviceInventory,
    allocated: &AllocatedDevices,
    needs: &[Device],
) -> Option<Vec<Unit>> {
    let mut chosen = Vec::new();
    for need in needs {
        // Units that other tasks already share come first, so that unused units stay unused.
        let mut free: Vec<(u32, &Unit)> = device_inventory
            .0
            .iter()
            .filter(|(unit, state)| unit.kind() == need.kind && !state.broken)
            .map(|(unit, state)| (state.share.saturating_sub(allocated.holders(unit)), unit))
            .filter(|(left, _)| *left > 0 && allocated.unnamed == 0)
            .collect();
        free.sort();
        if free.len() >= need.count as usize {
            let units = free.into_iter().take(need.count as usize);
            chosen.extend(units.map(|(_, unit)| unit.clone()));
        } else if need.must {
            return None;
        }
    }
    Some(chosen)
}
