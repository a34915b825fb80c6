//! Where there is room: usable machines by kind, zone, images and free room,
//! kept up to date, so that no decision has to look at every machine.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

use sorrelhinge_topology::tree::Domain;

use super::machine::Machine;
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
    /// Some of their room is kept for work that can't use spot machines.
    pub keeps: bool,
    /// Type.
    pub kind: TypeName,
    /// Zone.
    pub zone: Zone,
    /// How many units of each kind of device are in order.
    pub devices: Rc<[(String, u32)]>,
}

/// Whether a machine passes, or up to which place none does.
pub type Pass<'a> = &'a dyn Fn(Domain, &MachineId) -> Result<(), u32>;

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

/// Free CPUs, memory and GPUs, in the order of tightness.
pub type Size = (i64, i64, i64);

fn size(amount: Amount) -> Size {
    (amount.cpu, amount.ram, amount.gpu)
}

/// Machines by their free room, the tightest first, and those of the same by
/// their place, so that a domain that a rule bars is passed over at once.
#[derive(Clone, Debug, Default)]
struct Shelf(BTreeMap<Size, BTreeSet<(Domain, MachineId)>>);

impl Shelf {
    fn put(&mut self, size: Size, place: Domain, id: &MachineId) {
        self.0.entry(size).or_default().insert((place, id.clone()));
    }
    fn take(&mut self, size: Size, place: Domain, id: &MachineId) {
        if let Some(ids) = self.0.get_mut(&size) {
            ids.remove(&(place, id.clone()));
            if ids.is_empty() {
                self.0.remove(&size);
            }
        }
    }
    fn first(
        &self,
        each: Amount,
        steps: &Cell<u64>,
        pass: Pass<'_>,
    ) -> Option<(Size, Domain, &MachineId)> {
        for (&size, ids) in self.0.range((each.cpu, i64::MIN, i64::MIN)..) {
            steps.set(steps.get() + 1);
            let (cpu, ram, gpu) = size;
            if !each.fits(Amount { cpu, gpu, ram }) {
                continue;
            }
            let mut rest = ids.range(..);
            while let Some((place, id)) = rest.next() {
                steps.set(steps.get() + 1);
                match pass(*place, id) {
                    Ok(()) => return Some((size, *place, id)),
                    Err(until) if until > place.0 + 1 => {
                        rest = ids.range((Domain(until), MachineId::from(""))..);
                    }
                    Err(_) => {}
                }
            }
        }
        None
    }
}

#[derive(Clone, Debug, Default)]
struct Shelves {
    all: Shelf,
    ready: HashMap<Image, Shelf>,
    coming: HashMap<Image, Shelf>,
}

impl Shelves {
    fn change(&mut self, filed: &Filed, size: Size, id: &MachineId, put: bool) {
        let place = filed.place;
        let on = |shelf: &mut Shelf| {
            if put {
                shelf.put(size, place, id);
            } else {
                shelf.take(size, place, id);
            }
        };
        on(&mut self.all);
        for (image, ready) in &filed.images {
            let by = if *ready {
                &mut self.ready
            } else {
                &mut self.coming
            };
            let shelf = by.entry(image.clone()).or_default();
            on(shelf);
            if shelf.0.is_empty() {
                by.remove(image);
            }
        }
    }
}

/// Usable machines that have the properties of a [`GroupKey`] in common.
#[derive(Clone, Debug)]
pub struct Group {
    /// Their type.
    pub kind: Rc<MachineType>,
    /// By their free room.
    own: Shelves,
    /// By the free room that is not kept, if any of it is kept.
    open: Shelves,
    count: usize,
}

#[derive(Clone, Debug, PartialEq)]
struct Filed {
    group: GroupKey,
    place: Domain,
    own: Size,
    open: Size,
    version: u64,
    images: Vec<(Image, bool)>,
}

/// The index.
#[derive(Clone, Debug, Default)]
pub struct CapacityIndex {
    groups: BTreeMap<GroupKey, Group>,
    filed: HashMap<MachineId, Filed>,
    kinds: BTreeMap<TypeName, (Rc<MachineType>, usize)>,
    /// How many places were looked at, for tests of how the work grows.
    pub steps: Cell<u64>,
}

impl CapacityIndex {
    /// Files a machine anew after a change.
    pub fn file(&mut self, id: &MachineId, machine: &Machine) {
        if !machine.usable {
            self.drop_out(id);
            return;
        }
        let keeps = machine.kept != Amount::default();
        let group = GroupKey {
            spot: machine.spot,
            retiring: machine.retiring,
            slow: machine.slow,
            keeps,
            kind: machine.kind.name.clone(),
            zone: machine.zone.clone(),
            devices: machine.working.clone(),
        };
        let place = machine.place;
        let own = size(machine.free());
        let open = size(machine.free() - machine.kept);
        let version = machine.cache.version();
        if let Some(f) = self.filed.get(id) {
            if f.group == group
                && f.place == place
                && f.own == own
                && f.open == open
                && f.version == version
            {
                return;
            }
        }
        self.drop_out(id);
        let filed = Filed {
            group,
            place,
            own,
            open,
            version,
            images: machine
                .cache
                .images()
                .map(|(i, ready)| (i.clone(), ready))
                .collect(),
        };
        let group = self
            .groups
            .entry(filed.group.clone())
            .or_insert_with(|| Group {
                kind: machine.kind.clone(),
                own: Shelves::default(),
                open: Shelves::default(),
                count: 0,
            });
        group.count += 1;
        group.own.change(&filed, own, id, true);
        if keeps {
            group.open.change(&filed, open, id, true);
        }
        self.kinds
            .entry(machine.kind.name.clone())
            .or_insert_with(|| (machine.kind.clone(), 0))
            .1 += 1;
        self.filed.insert(id.clone(), filed);
    }

    /// Takes a machine out.
    pub fn drop_out(&mut self, id: &MachineId) {
        let Some(filed) = self.filed.remove(id) else {
            return;
        };
        if let Some(group) = self.groups.get_mut(&filed.group) {
            group.own.change(&filed, filed.own, id, false);
            if filed.group.keeps {
                group.open.change(&filed, filed.open, id, false);
            }
            group.count -= 1;
            if group.count == 0 {
                self.groups.remove(&filed.group);
            }
        }
        if let Some(kind) = self.kinds.get_mut(&filed.group.kind) {
            kind.1 -= 1;
            if kind.1 == 0 {
                self.kinds.remove(&filed.group.kind);
            }
        }
    }

    /// All groups that have machines.
    pub fn groups(&self) -> impl Iterator<Item = (&GroupKey, &Group)> {
        self.groups.iter()
    }

    /// The types of usable machines.
    pub fn kinds(&self) -> impl Iterator<Item = &Rc<MachineType>> {
        self.kinds.values().map(|(kind, _)| kind)
    }

    /// The tightest machine of a group with room for `each` whose image is
    /// this near, and that passes.
    pub fn first(
        &self,
        key: &GroupKey,
        group: &Group,
        (each, leaves_kept): (Amount, bool),
        (image, near): (&Image, Nearness),
        pass: Pass<'_>,
    ) -> Option<(Size, Domain, MachineId)> {
        self.steps.set(self.steps.get() + 1);
        let shelves = if key.keeps && leaves_kept {
            &group.open
        } else {
            &group.own
        };
        let shelf = match near {
            Nearness::Ready => shelves.ready.get(image)?,
            Nearness::Coming => shelves.coming.get(image)?,
            Nearness::Absent => &shelves.all,
        };
        shelf
            .first(each, &self.steps, pass)
            .map(|(size, place, id)| (size, place, id.clone()))
    }

    /// Whether a group's machines, free or not, have an image.
    pub fn has_image(group: &Group, image: &Image) -> bool {
        group.own.ready.contains_key(image)
    }
}
