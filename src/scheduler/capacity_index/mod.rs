//! Where there is free capacity: usable machines by kind, zone, images and free capacity,
//! kept up to date, so that no decision has to look at every machine.

mod shelf;

use std::cell::Cell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use sorrelhinge_topology::devices::DeviceCount;
use sorrelhinge_topology::tree::Domain;

use self::shelf::Shelves;
pub(super) use self::shelf::Size;
use super::machine::{Machine, MachineTraits};
use crate::types::{Amount, Image, MachineId, MachineType, TypeName, Zone};

/// What a group's machines have in common.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct GroupKey {
    /// Spot machines.
    pub spot: bool,
    /// They should fall idle.
    pub retiring: bool,
    /// They take commands only now and then.
    pub slow: bool,
    /// Some of their free capacity is kept for work that can't use spot machines.
    pub keeps: bool,
    /// Type.
    pub kind: TypeName,
    /// Zone.
    pub zone: Zone,
    /// How many units of each kind of device are in order.
    pub devices: Rc<[DeviceCount]>,
}

impl GroupKey {
    /// What counts for the cost of a start on one of the machines, whose type is `kind`.
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

/// Whether a machine passes, or up to which place none does.
pub(super) type Pass<'a> = &'a dyn Fn(Domain, &MachineId) -> Result<(), Domain>;

/// What machine is looked for in a group.
pub struct Search<'a> {
    /// Its free capacity.
    pub each: Amount,
    /// Room that is kept doesn't count.
    pub leaves_kept: bool,
    /// The image.
    pub image: &'a Image,
    /// How far the image is from it.
    pub near: Nearness,
}

/// A machine that was found in a group.
pub struct Found {
    /// What is free there, without what is kept if that doesn't count.
    pub free: Size,
    /// Where it is.
    pub place: Domain,
    /// The machine.
    pub machine: MachineId,
}

/// How far an image is from being on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Nearness {
    /// It is there.
    Ready,
    /// It is being fetched.
    Coming,
    /// It would have to be fetched.
    Absent,
}

/// Usable machines that have the properties of a [`GroupKey`] in common.
#[derive(Clone, Debug)]
pub struct Group {
    /// Their type.
    pub kind: Rc<MachineType>,
    /// By their free capacity.
    own: Shelves,
    /// By the free capacity that is not kept, if any of it is kept.
    open: Shelves,
    count: usize,
}

/// By what a machine is filed: while none of it changes, it stays where it is.
#[derive(Clone, Debug, PartialEq)]
struct Filing {
    group: GroupKey,
    place: Domain,
    /// What is free, and what of it is not kept.
    own: Size,
    open: Size,
    /// Of its images.
    version: u64,
}

impl Filing {
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
            own: Size::of(machine.free()),
            open: Size::of(machine.free() - machine.kept),
            version: machine.cache.version(),
        }
    }
}

/// An image of a machine in the index.
#[derive(Clone, Debug, PartialEq)]
struct IndexedImage {
    image: Image,
    /// It is there; otherwise it is being fetched.
    ready: bool,
}

/// A machine in the index, with its images.
#[derive(Clone, Debug, PartialEq)]
struct Filed {
    filing: Filing,
    images: Vec<IndexedImage>,
}

/// A type, and how many usable machines there are of it.
#[derive(Clone, Debug)]
struct CountedType {
    kind: Rc<MachineType>,
    machines: usize,
}

/// Usable machines by group and free capacity. Kept up to date by
/// [`CapacityIndex::file`] with every change of a machine, so that a decision looks at a
/// few places only, however many machines there are.
#[derive(Clone, Debug, Default)]
pub struct CapacityIndex {
    groups: BTreeMap<GroupKey, Group>,
    filed: HashMap<MachineId, Filed>,
    kinds: BTreeMap<TypeName, CountedType>,
    /// How many places were looked at, for tests of how the work grows.
    pub steps: Cell<u64>,
}

impl CapacityIndex {
    /// Counts a place that is looked at.
    pub(super) fn count_step(&self) {
        self.steps.set(self.steps.get() + 1);
    }

    /// Files a machine anew after a change.
    pub fn file(&mut self, id: &MachineId, machine: &Machine) {
        if !machine.usable {
            self.drop_out(id);
            return;
        }
        let filing = Filing::of(machine);
        if self.filed.get(id).is_some_and(|f| f.filing == filing) {
            return;
        }
        self.drop_out(id);
        let images = machine.cache.images();
        let filed = Filed {
            filing,
            images: images
                .map(|(image, ready)| IndexedImage {
                    image: image.clone(),
                    ready,
                })
                .collect(),
        };
        self.put_in(id, &filed, &machine.kind);
        self.filed.insert(id.clone(), filed);
    }

    /// Puts a machine into its group, and counts it in its type.
    fn put_in(&mut self, id: &MachineId, filed: &Filed, kind: &Rc<MachineType>) {
        let key = &filed.filing.group;
        let group = self.groups.entry(key.clone()).or_insert_with(|| Group {
            kind: kind.clone(),
            own: Shelves::default(),
            open: Shelves::default(),
            count: 0,
        });
        group.count += 1;
        group.own.change(filed, filed.filing.own, id, true);
        if key.keeps {
            group.open.change(filed, filed.filing.open, id, true);
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

    /// Takes a machine out.
    pub fn drop_out(&mut self, id: &MachineId) {
        let Some(filed) = self.filed.remove(id) else {
            return;
        };
        let key = &filed.filing.group;
        if let Some(group) = self.groups.get_mut(key) {
            group.own.change(&filed, filed.filing.own, id, false);
            if key.keeps {
                group.open.change(&filed, filed.filing.open, id, false);
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

    /// All groups that have machines.
    pub fn groups(&self) -> impl Iterator<Item = (&GroupKey, &Group)> {
        self.groups.iter()
    }

    /// The types of usable machines.
    pub fn kinds(&self) -> impl Iterator<Item = &Rc<MachineType>> {
        self.kinds.values().map(|counted| &counted.kind)
    }

    /// The tightest machine of a group with free capacity for `each` whose image is
    /// this near, and that passes.
    pub fn first(
        &self,
        key: &GroupKey,
        group: &Group,
        search: &Search,
        pass: Pass<'_>,
    ) -> Option<Found> {
        self.count_step();
        let shelves = if key.keeps && search.leaves_kept {
            &group.open
        } else {
            &group.own
        };
        shelves.first(search, &self.steps, pass)
    }

    /// Whether a group's machines, free or not, have an image.
    pub fn has_image(group: &Group, image: &Image) -> bool {
        group.own.has_image(image)
    }
}
