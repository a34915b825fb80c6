//! Index of usable machines by type, zone, images and free capacity. Every change of a
//! machine updates the index, so that no decision has to examine every machine.

mod shelf;

use std::cell::Cell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use sorrelhinge_topology::devices::DeviceCount;
use sorrelhinge_topology::tree::Domain;

use self::shelf::MachinesByImage;
pub(super) use self::shelf::Size;
use super::machine::{Machine, MachineTraits};
use crate::types::{Amount, Image, MachineId, MachineType, TypeName, Zone};

/// Properties that all machines of a `Group` have in common.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct GroupKey {
    /// Whether the machines are spot machines.
    pub spot: bool,
    /// Whether the machines should become idle.
    pub retiring: bool,
    /// Whether the machines receive commands only occasionally.
    pub slow: bool,
    /// Whether part of the machines' free capacity is kept for work that can't use spot
    /// machines.
    pub keeps: bool,
    /// Name of the machine type.
    pub kind: TypeName,
    /// Zone of the machines.
    pub zone: Zone,
    /// Number of working units of each kind of device.
    pub devices: Rc<[DeviceCount]>,
}

impl GroupKey {
    /// Returns the properties that determine the cost of a start on one of the machines.
    /// `kind` is the machines' type.
    pub(super) fn traits<'a>(&'a self, kind: &'a MachineType) -> MachineTraits<'a> {
        MachineTraits {
            spot: self.spot,
            retiring: self.retiring,
            slow: self.slow,
            kind,
            zone: &self.zone,
        }
    }
}

/// Check of one machine. Returns `Ok` if the machine passes, or the `Domain` before which
/// no further machine passes.
pub(super) type MachineCheck<'a> = &'a dyn Fn(Domain, &MachineId) -> Result<(), Domain>;

/// Requirements on the machine that a search in a group should find.
pub struct Search<'a> {
    /// Free capacity that the machine must have.
    pub each: Amount,
    /// Whether capacity that is kept for work that can't use spot machines counts as used.
    pub leaves_kept: bool,
    /// Image that the task runs.
    pub image: &'a Image,
    /// How far the image is from being on the machine.
    pub near: Nearness,
}

/// Machine that a search in a group has found.
pub struct FoundMachine {
    /// Free capacity of the machine, less the kept capacity if the search excludes it.
    pub free: Size,
    /// Failure domain of the machine.
    pub place: Domain,
    /// Id of the machine.
    pub machine: MachineId,
}

/// How far an image is from being on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Nearness {
    /// The machine has the image.
    Ready,
    /// The machine is fetching the image.
    Coming,
    /// The machine would have to fetch the image.
    Absent,
}

/// Usable machines that share the properties of a [`GroupKey`].
#[derive(Clone, Debug)]
pub struct Group {
    /// Type of the machines.
    pub kind: Rc<MachineType>,
    /// Machines by their free capacity.
    free: MachinesByImage,
    /// Machines by the free capacity that is not kept. Empty if the group keeps no
    /// capacity.
    unkept: MachinesByImage,
    count: usize,
}

/// Properties that determine a machine's position in the index. The position stays as long
/// as none of them changes.
#[derive(Clone, Debug, PartialEq)]
struct IndexKey {
    group: GroupKey,
    place: Domain,
    /// All free capacity in `free`, and the part of it that is not kept in `unkept`.
    free: Size,
    unkept: Size,
    /// Version of the machine's image cache.
    version: u64,
}

impl IndexKey {
    fn of(machine: &Machine) -> Self {
        Self {
            group: GroupKey {
                spot: machine.spot,
                retiring: machine.retiring,
                slow: machine.slow,
                keeps: machine.kept != Amount::default(),
                kind: machine.kind.name.clone(),
                zone: machine.zone.clone(),
                devices: machine.working.clone(),
            },
            place: machine.place,
            free: Size::of(machine.free()),
            unkept: Size::of(machine.free() - machine.kept),
            version: machine.cache.version(),
        }
    }
}

/// Image of a machine in the index.
#[derive(Clone, Debug, PartialEq)]
struct IndexedImage {
    image: Image,
    /// Whether the machine has the image. Otherwise the machine is fetching it.
    ready: bool,
}

/// Machine in the index, with the images under which it is indexed.
#[derive(Clone, Debug, PartialEq)]
struct IndexedMachine {
    key: IndexKey,
    images: Vec<IndexedImage>,
}

/// Machine type with the number of usable machines of this type.
#[derive(Clone, Debug)]
struct CountedType {
    kind: Rc<MachineType>,
    machines: usize,
}

/// Usable machines by group and free capacity. [`CapacityIndex::file`] updates the index
/// with every change of a machine, so that a decision examines only a few entries, no
/// matter how many machines there are.
#[derive(Clone, Debug, Default)]
pub struct CapacityIndex {
    groups: BTreeMap<GroupKey, Group>,
    machines: HashMap<MachineId, IndexedMachine>,
    kinds: BTreeMap<TypeName, CountedType>,
    /// Number of entries that decisions examined. Tests check how this number grows.
    pub steps: Cell<u64>,
}

impl CapacityIndex {
    /// Counts one examined entry.
    pub(super) fn count_step(&self) {
        self.steps.set(self.steps.get() + 1);
    }

    /// Updates the position of a machine after a change. Removes a machine that is not
    /// usable.
    pub fn file(&mut self, id: &MachineId, machine: &Machine) {
        if !machine.usable {
            self.remove(id);
            return;
        }
        let key = IndexKey::of(machine);
        if self.machines.get(id).is_some_and(|m| m.key == key) {
            return;
        }
        self.remove(id);
        let images = machine.cache.images();
        let indexed = IndexedMachine {
            key,
            images: images
                .map(|(image, ready)| IndexedImage {
                    image: image.clone(),
                    ready,
                })
                .collect(),
        };
        self.insert(id, &indexed, &machine.kind);
        self.machines.insert(id.clone(), indexed);
    }

    /// Adds a machine to its group and counts it for its type.
    fn insert(&mut self, id: &MachineId, indexed: &IndexedMachine, kind: &Rc<MachineType>) {
        let key = &indexed.key.group;
        let group = self.groups.entry(key.clone()).or_insert_with(|| Group {
            kind: kind.clone(),
            free: MachinesByImage::default(),
            unkept: MachinesByImage::default(),
            count: 0,
        });
        group.count += 1;
        group.free.change(indexed, indexed.key.free, id, true);
        if key.keeps {
            group.unkept.change(indexed, indexed.key.unkept, id, true);
        }
        let counted = self
            .kinds
            .entry(kind.name.clone())
            .or_insert_with(|| CountedType {
                kind: kind.clone(),
                machines: 0,
            });
        counted.machines += 1;
    }

    /// Removes a machine from the index.
    pub fn remove(&mut self, id: &MachineId) {
        let Some(indexed) = self.machines.remove(id) else {
            return;
        };
        let key = &indexed.key.group;
        if let Some(group) = self.groups.get_mut(key) {
            group.free.change(&indexed, indexed.key.free, id, false);
            if key.keeps {
                group.unkept.change(&indexed, indexed.key.unkept, id, false);
            }
            group.count -= 1;
            if group.count == 0 {
                self.groups.remove(key);
            }
        }
        if let Some(counted) = self.kinds.get_mut(&key.kind) {
            counted.machines -= 1;
            if counted.machines == 0 {
                self.kinds.remove(&key.kind);
            }
        }
    }

    /// Returns all groups that have machines, in order of their keys.
    pub fn groups(&self) -> impl Iterator<Item = (&GroupKey, &Group)> {
        self.groups.iter()
    }

    /// Returns the types of all usable machines.
    pub fn kinds(&self) -> impl Iterator<Item = &Rc<MachineType>> {
        self.kinds.values().map(|counted| &counted.kind)
    }

    /// Returns the machine of a group with the least free capacity that meets `search` and
    /// passes `pass`.
    pub fn first(
        &self,
        key: &GroupKey,
        group: &Group,
        search: &Search,
        pass: MachineCheck<'_>,
    ) -> Option<FoundMachine> {
        self.count_step();
        let machines = if key.keeps && search.leaves_kept {
            &group.unkept
        } else {
            &group.free
        };
        machines.first(search, &self.steps, pass)
    }

    /// Returns whether any machine of a group has an image, even if the machine has no free
    /// capacity.
    pub fn has_image(group: &Group, image: &Image) -> bool {
        group.free.has_image(image)
    }
}
