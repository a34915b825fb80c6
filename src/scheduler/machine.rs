//! Machines as the scheduler sees them, with their modelled image caches.

use std::collections::BTreeSet;
use std::rc::Rc;

use sorrelhinge_image_distribution::fetch_timeout;
use sorrelhinge_protocol::placement::Device;
use sorrelhinge_topology::devices::{AllocatedDevices, DeviceCount, DeviceInventory};
use sorrelhinge_topology::tree::{Domain, ROOT};

use super::capacity_index::Nearness;
use crate::types::{Amount, Image, JobSpec, MachineType, TaskId, Time, TypeName, Zone};

#[derive(Clone, Debug, PartialEq)]
struct Cached {
    image: Image,
    gb: f64,
    /// A task has run on it; until then it may still be on its way.
    ready: bool,
}

/// Images on a machine, modelled: heartbeats don't name them. Least recently
/// used first.
#[derive(Clone, Debug, Default)]
pub struct Cache {
    cached_images: Vec<Cached>,
    /// Rises with every change of what is there.
    version: u64,
}

impl Cache {
    /// Whether the image should be there.
    pub fn has(&self, image: &Image) -> bool {
        self.cached_images
            .iter()
            .any(|c| c.image == *image && c.ready)
    }
    /// Whether the image is there or on its way.
    pub fn expects(&self, image: &Image) -> bool {
        self.cached_images.iter().any(|c| c.image == *image)
    }
    /// How far an image is from being there.
    pub(super) fn nearness(&self, image: &Image) -> Nearness {
        if self.has(image) {
            Nearness::Ready
        } else if self.expects(image) {
            Nearness::Coming
        } else {
            Nearness::Absent
        }
    }
    /// An image is used; the oldest ones leave if there is no disk space. `ran`: a
    /// task runs on it, so it is there.
    pub fn touch(&mut self, image: &Image, gb: f64, free_capacity: f64, ran: bool) {
        let at = self.cached_images.iter().position(|c| c.image == *image);
        let ready = ran || at.is_some_and(|i| self.cached_images[i].ready);
        match at {
            Some(i) => {
                let was = self.cached_images.remove(i);
                self.version += u64::from(was.ready != ready);
            }
            None => self.version += 1,
        }
        self.cached_images.push(Cached {
            image: image.clone(),
            gb,
            ready,
        });
        let mut total: f64 = self.cached_images.iter().map(|c| c.gb).sum();
        while total > free_capacity && self.cached_images.len() > 1 {
            total -= self.cached_images.remove(0).gb;
            self.version += 1;
        }
    }
    /// The same for an image of minutes: what tasks here need, and what is being
    /// fetched, stays. An upgrade that evicts the version that serves leaves no
    /// way back. If there is no disk space beside it, the worker says so.
    pub fn touch_beside(
        &mut self,
        spec: &JobSpec,
        free_capacity: f64,
        ran: bool,
        needed: &[Image],
    ) {
        let others = self.cached_images.iter().filter(|c| c.image != spec.image);
        let others: Vec<fetch_timeout::Cached> = others
            .map(|c| fetch_timeout::Cached {
                image: c.image.clone(),
                gb: c.gb,
                serves: needed.contains(&c.image),
                moves: !c.ready,
            })
            .collect();
        let leave =
            fetch_timeout::evictable(&others, spec.image_gb, free_capacity).unwrap_or_default();
        self.cached_images.retain(|c| !leave.contains(&c.image));
        self.version += leave.len() as u64;
        self.touch(&spec.image, spec.image_gb, f64::INFINITY, ran);
    }
    /// An image that was on its way is there.
    pub fn is_there(&mut self, image: &Image) {
        for c in self.cached_images.iter_mut().filter(|c| c.image == *image) {
            self.version += u64::from(!c.ready);
            c.ready = true;
        }
    }
    /// No task waits for the image any more: a fetch under way is given up.
    pub fn give_up(&mut self, image: &Image) {
        let before = self.cached_images.len();
        self.cached_images.retain(|c| c.image != *image || c.ready);
        self.version += u64::from(before != self.cached_images.len());
    }
    /// All images, and whether they are there already.
    pub(super) fn images(&self) -> impl Iterator<Item = (&Image, bool)> {
        self.cached_images.iter().map(|c| (&c.image, c.ready))
    }
    pub(super) fn version(&self) -> u64 {
        self.version
    }
}

/// The rate of a fetch counts as at least so many GB a second, so that a type without one
/// has a finite fetch time.
const MIN_FETCH_GB_PER_S: f64 = 1e-3;

/// The rate at which a machine of a type fetches images, in GB a second.
pub(super) fn fetch_rate(kind: &MachineType) -> f64 {
    kind.fetch_gb_per_s.max(MIN_FETCH_GB_PER_S)
}

/// How long a machine of a type fetches a job's image, in seconds.
pub(super) fn fetch_s(spec: &JobSpec, kind: &MachineType) -> f64 {
    spec.image_gb / fetch_rate(kind)
}

/// Machines that the cloud offers as one: of a type, in a zone, at one price.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CapacityPool {
    /// Spot machines.
    pub spot: bool,
    /// Type.
    pub kind: TypeName,
    /// Zone.
    pub zone: Zone,
}

/// What of a machine, or of a group of them, counts for the cost of a start there.
#[derive(Clone, Copy, Debug)]
pub(super) struct MachineTraits<'a> {
    /// A spot machine.
    pub spot: bool,
    /// It should fall idle.
    pub retiring: bool,
    /// It takes commands only now and then.
    pub slow: bool,
    /// Its type.
    pub kind: &'a MachineType,
    /// Its zone.
    pub zone: &'a Zone,
}

impl MachineTraits<'_> {
    /// The pool that it is of.
    pub(super) fn pool(&self) -> CapacityPool {
        CapacityPool {
            spot: self.spot,
            kind: self.kind.name.clone(),
            zone: self.zone.clone(),
        }
    }
}

/// A machine as the scheduler sees it.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Its type.
    pub kind: Rc<MachineType>,
    /// Its zone.
    pub zone: Zone,
    /// A spot machine.
    pub spot: bool,
    /// May get new tasks.
    pub usable: bool,
    /// Takes commands only now and then.
    pub slow: bool,
    /// Tasks that claim it.
    pub claims: BTreeSet<TaskId>,
    /// Sum of their amounts.
    pub used: Amount,
    /// The part of it that a spot machine would do for.
    pub movable: Amount,
    /// Its images.
    pub cache: Cache,
    /// Room kept for work that can't use spot machines.
    pub kept: Amount,
    /// For which share of the time of late the fleet's plans had no use for it.
    pub unused: f64,
    /// Should fall idle: its work has a cheaper place.
    pub retiring: bool,
    /// Since when it has no claim.
    pub idle_since: Time,
    /// Where it is, see [`sorrelhinge_topology::tree`].
    pub place: Domain,
    /// Devices that it has.
    pub device_inventory: Rc<DeviceInventory>,
    /// How many units of each kind are in order: what machines are filed by.
    pub working: Rc<[DeviceCount]>,
    /// Devices that its claims use.
    pub allocated_devices: AllocatedDevices,
    /// It is being drained: no new tasks, and what runs there moves off.
    pub draining: bool,
}

impl Machine {
    /// A machine without tasks.
    pub fn new(kind: Rc<MachineType>, zone: Zone, spot: bool, now: Time) -> Self {
        Self {
            kind,
            zone,
            spot,
            usable: false,
            slow: false,
            claims: BTreeSet::new(),
            used: Amount::default(),
            movable: Amount::default(),
            cache: Cache::default(),
            kept: Amount::default(),
            unused: 0.0,
            retiring: false,
            idle_since: now,
            place: ROOT,
            device_inventory: Rc::default(),
            working: Rc::from([]),
            allocated_devices: AllocatedDevices::default(),
            draining: false,
        }
    }
    /// Gives it the devices that the operator's file names.
    pub fn equip(&mut self, device_inventory: DeviceInventory) {
        self.working = device_inventory.working().into();
        self.device_inventory = Rc::new(device_inventory);
    }
    /// A task uses its image here, and `ran` on it or has yet to. `serving` are the other
    /// images that tasks here need, if the image goes from machine to machine.
    pub(super) fn use_image(&mut self, spec: &JobSpec, serving: Option<&[Image]>, ran: bool) {
        let free_capacity = self.kind.cache_gb;
        match serving {
            Some(beside) => self.cache.touch_beside(spec, free_capacity, ran, beside),
            None => self
                .cache
                .touch(&spec.image, spec.image_gb, free_capacity, ran),
        }
    }
    /// Whether it has enough units of all required kinds in order, taken or
    /// not.
    pub fn could(working: &[DeviceCount], needs: &[Device]) -> bool {
        needs.iter().filter(|d| d.must).all(|d| {
            working
                .iter()
                .any(|there| there.kind == d.kind && there.count >= d.count)
        })
    }
    /// What counts for the cost of a start here.
    pub(super) fn traits(&self) -> MachineTraits<'_> {
        MachineTraits {
            spot: self.spot,
            retiring: self.retiring,
            slow: self.slow,
            kind: &self.kind,
            zone: &self.zone,
        }
    }
    /// Price an hour of a thousandth of a CPU.
    pub fn price_per_cpu(&self) -> f64 {
        let price = if self.spot {
            self.kind.spot_price
        } else {
            self.kind.price
        };
        price / self.kind.total.cpu.max(1) as f64
    }
    /// What is free.
    pub fn free(&self) -> Amount {
        self.kind.total - self.used
    }
}
