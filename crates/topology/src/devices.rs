//! Devices: what units a machine has, which claims use them, and which to
//! give out. A unit is in use until its task is known to have ended, also when the
//! file does not name it any more, so that none is ever given out twice.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sorrelhinge_protocol::placement::Device;

/// One unit of a kind on a machine. In records: `["encoder","enc0"]`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Unit(pub String, pub String);

impl Unit {
    /// A unit by kind and name.
    pub fn new(kind: &str, name: &str) -> Self {
        Self(kind.to_owned(), name.to_owned())
    }
    /// Its kind.
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
    /// How many tasks may use it at a time.
    share: u32,
    broken: bool,
}

/// A unit that the file gives a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InventoryUnit<'a> {
    /// Which.
    pub unit: &'a Unit,
    /// How many tasks may use it at a time.
    pub share: u32,
    /// It is not given out.
    pub broken: bool,
}

/// How many units of a kind there are.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DeviceCount {
    /// Kind of device.
    pub kind: String,
    /// Units.
    pub count: u32,
}

/// The units that the file gives a machine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DeviceInventory(BTreeMap<Unit, State>);

impl DeviceInventory {
    /// Adds a unit that `share` tasks may use at a time.
    pub fn put(&mut self, unit: Unit, share: u32, broken: bool) {
        self.0.insert(unit, State { share, broken });
    }
    /// Adds all units of another.
    pub fn add(&mut self, other: &DeviceInventory) {
        for (unit, state) in &other.0 {
            self.0.insert(unit.clone(), *state);
        }
    }
    /// Whether it has no unit.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
    /// How many tasks can use a unit of each kind, were none broken.
    pub fn slots(&self) -> BTreeMap<&str, u32> {
        let mut slots = BTreeMap::new();
        for (unit, state) in &self.0 {
            *slots.entry(unit.kind()).or_insert(0) += state.share;
        }
        slots
    }
    /// Whether a unit is there and in order.
    pub fn works(&self, unit: &Unit) -> bool {
        self.0.get(unit).is_some_and(|s| !s.broken)
    }
    /// All units, in the order of kinds and names.
    pub fn units(&self) -> impl Iterator<Item = InventoryUnit<'_>> {
        self.0.iter().map(|(unit, state)| InventoryUnit {
            unit,
            share: state.share,
            broken: state.broken,
        })
    }
    /// How many units of each kind are in order.
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

/// Units that claims on a machine use.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AllocatedDevices {
    units: BTreeMap<Unit, u32>,
    /// Claims that may use units whose names are not known.
    unnamed: u32,
}

impl AllocatedDevices {
    /// A claim uses these.
    pub fn take(&mut self, units: &[Unit]) {
        for unit in units {
            *self.units.entry(unit.clone()).or_insert(0) += 1;
        }
    }
    /// A claim's task is known to have ended.
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
    /// A claim uses units that its record does not name: an earlier version
    /// wrote it.
    pub fn take_unnamed(&mut self) {
        self.unnamed += 1;
    }
    /// Such a claim's task is known to have ended.
    pub fn give_unnamed(&mut self) {
        self.unnamed = self.unnamed.saturating_sub(1);
    }
    /// How many claims use a unit.
    pub fn holders(&self, unit: &Unit) -> u32 {
        self.units.get(unit).copied().unwrap_or(0)
    }
    /// Whether any unit is in use.
    pub fn any(&self) -> bool {
        self.unnamed > 0 || !self.units.is_empty()
    }
}

/// Units for one more task; none if a required one is missing, broken or taken.
/// Of a preferred kind there are as many as are free, all or none. While a
/// claim uses units without names, none are given out.
pub fn choose(
    device_inventory: &DeviceInventory,
    allocated: &AllocatedDevices,
    needs: &[Device],
) -> Option<Vec<Unit>> {
    let mut chosen = Vec::new();
    for need in needs {
        // Units that others share already go first: unused ones stay unused.
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
