//! Machines as the scheduler sees them, with a model of their image caches.

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
    /// Whether a task has run on the image. Until then the machine may still be fetching
    /// it.
    ready: bool,
}

/// Model of the images on a machine, least recently used first. The model is needed because
/// heartbeats don't name the images.
#[derive(Clone, Debug, Default)]
pub struct Cache {
    cached_images: Vec<Cached>,
    /// Number that increases with every change of the images or of their `ready` state.
    version: u64,
}

impl Cache {
    /// Returns whether the machine should have the image.
    pub fn has(&self, image: &Image) -> bool {
        self.cached_images
            .iter()
            .any(|c| c.image == *image && c.ready)
    }
    /// Returns whether the machine has the image or is fetching it.
    pub fn expects(&self, image: &Image) -> bool {
        self.cached_images.iter().any(|c| c.image == *image)
    }
    /// Returns how far an image is from being on the machine.
    pub(super) fn nearness(&self, image: &Image) -> Nearness {
        if self.has(image) {
            Nearness::Ready
        } else if self.expects(image) {
            Nearness::Coming
        } else {
            Nearness::Absent
        }
    }
    /// Records that a task uses an image, and evicts the least recently used images if the
    /// disk space `capacity_gb` in GB is exceeded. `ran` means that a task runs on the
    /// image, so the machine has it.
    pub fn touch(&mut self, image: &Image, gb: f64, capacity_gb: f64, ran: bool) {
        let at = self.cached_images.iter().position(|c| c.image == *image);
        let ready = ran || at.is_some_and(|i| self.cached_images[i].ready);
        match at {
            Some(i) => {
                let old = self.cached_images.remove(i);
                self.version += u64::from(old.ready != ready);
            }
            None => self.version += 1,
        }
        self.cached_images.push(Cached {
            image: image.clone(),
            gb,
            ready,
        });
        let mut total: f64 = self.cached_images.iter().map(|c| c.gb).sum();
        while total > capacity_gb && self.cached_images.len() > 1 {
            total -= self.cached_images.remove(0).gb;
            self.version += 1;
        }
    }
    /// Records the use of an image that takes minutes to fetch. Unlike `touch`, keeps the
    /// images in `needed` and those being fetched, because an upgrade that evicts the
    /// serving version can't be rolled back. If the disk has no space for all of them, the
    /// worker reports it.
    pub fn touch_keeping_needed(
        &mut self,
        spec: &JobSpec,
        capacity_gb: f64,
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
        let evicted =
            fetch_timeout::evictable(&others, spec.image_gb, capacity_gb).unwrap_or_default();
        self.cached_images.retain(|c| !evicted.contains(&c.image));
        self.version += evicted.len() as u64;
        self.touch(&spec.image, spec.image_gb, f64::INFINITY, ran);
    }
    /// Records that an image which was being fetched has arrived.
    pub fn is_there(&mut self, image: &Image) {
        for c in self.cached_images.iter_mut().filter(|c| c.image == *image) {
            self.version += u64::from(!c.ready);
            c.ready = true;
        }
    }
    /// Removes an image that is still being fetched, because no task waits for it any more
    /// and the fetch is abandoned.
    pub fn abandon_fetch(&mut self, image: &Image) {
        let before = self.cached_images.len();
        self.cached_images.retain(|c| c.image != *image || c.ready);
        self.version += u64::from(before != self.cached_images.len());
    }
    /// Returns all images, each with whether the machine already has it.
    pub(super) fn images(&self) -> impl Iterator<Item = (&Image, bool)> {
        self.cached_images.iter().map(|c| (&c.image, c.ready))
    }
    pub(super) fn version(&self) -> u64 {
        self.version
    }
}

/// Lower bound of the fetch rate in GB/s, so that a type without a rate has a finite fetch
/// time.
const MIN_FETCH_GB_PER_S: f64 = 1e-3;

/// Returns the rate at which a machine of a type fetches images, in GB/s.
pub(super) fn fetch_rate(kind: &MachineType) -> f64 {
    kind.fetch_gb_per_s.max(MIN_FETCH_GB_PER_S)
}

/// Returns how long a machine of a type takes to fetch a job's image, in seconds.
pub(super) fn fetch_s(spec: &JobSpec, kind: &MachineType) -> f64 {
    spec.image_gb / fetch_rate(kind)
}

/// Pool of interchangeable machines that the cloud offers: one type, in one zone, at one
/// price.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CapacityPool {
    /// Whether the machines are spot machines.
    pub spot: bool,
    /// Name of the machine type.
    pub kind: TypeName,
    /// Zone of the machines.
    pub zone: Zone,
}

/// Properties of a machine, or of a group of machines, that determine the cost of a start
/// there.
#[derive(Clone, Copy, Debug)]
pub(super) struct MachineTraits<'a> {
    /// Whether the machine is a spot machine.
    pub spot: bool,
    /// Whether the machine should become idle.
    pub retiring: bool,
    /// Whether the machine receives commands only occasionally.
    pub slow: bool,
    /// Machine type.
    pub kind: &'a MachineType,
    /// Zone of the machine.
    pub zone: &'a Zone,
}

impl MachineTraits<'_> {
    /// Returns the capacity pool that the machine belongs to.
    pub(super) fn pool(&self) -> CapacityPool {
        CapacityPool {
            spot: self.spot,
            kind: self.kind.name.clone(),
            zone: self.zone.clone(),
        }
    }
}

/// State of a machine as the scheduler sees it.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Machine type.
    pub kind: Rc<MachineType>,
    /// Zone of the machine.
    pub zone: Zone,
    /// Whether the machine is a spot machine.
    pub spot: bool,
    /// Whether the machine may get new tasks.
    pub usable: bool,
    /// Whether the machine receives commands only occasionally.
    pub slow: bool,
    /// Tasks that claim the machine.
    pub claims: BTreeSet<TaskId>,
    /// Sum of the amounts that the claims use.
    pub used: Amount,
    /// Part of `used` that could run on a spot machine.
    pub movable: Amount,
    /// Model of the images on the machine.
    pub cache: Cache,
    /// Capacity kept for work that can't use spot machines.
    pub kept: Amount,
    /// Share of the recent past in which the autoscaler's plans had no use for the machine.
    pub unused: f64,
    /// Whether the machine should become idle because its work could run at a lower cost
    /// elsewhere.
    pub retiring: bool,
    /// Time since which no task has claimed the machine.
    pub idle_since: Time,
    /// Failure domain of the machine, see [`sorrelhinge_topology::tree`].
    pub place: Domain,
    /// Devices of the machine.
    pub device_inventory: Rc<DeviceInventory>,
    /// Number of working units of each kind of device. The capacity index groups machines
    /// by it.
    pub working: Rc<[DeviceCount]>,
    /// Devices that the machine's claims use.
    pub allocated_devices: AllocatedDevices,
    /// Whether the machine is being drained. A draining machine gets no new tasks, and its
    /// running tasks move to other machines.
    pub draining: bool,
}

impl Machine {
    /// Creates a machine that has no tasks and is not usable yet.
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
    /// Sets the devices that the operator's topology file names for the machine.
    pub fn equip(&mut self, device_inventory: DeviceInventory) {
        self.working = device_inventory.working().into();
        self.device_inventory = Rc::new(device_inventory);
    }
    /// Records that a task uses its job's image here. `ran` tells whether the task has
    /// already run. `other_images` are the other images that tasks here need, if machines
    /// fetch the job's image from each other, and `None` otherwise.
    pub(super) fn use_image(&mut self, spec: &JobSpec, other_images: Option<&[Image]>, ran: bool) {
        let capacity_gb = self.kind.cache_gb;
        match other_images {
            Some(needed) => self
                .cache
                .touch_keeping_needed(spec, capacity_gb, ran, needed),
            None => self
                .cache
                .touch(&spec.image, spec.image_gb, capacity_gb, ran),
        }
    }
    /// Returns whether `working` contains enough units of all required kinds of device,
    /// allocated or not.
    pub fn could(working: &[DeviceCount], needs: &[Device]) -> bool {
        needs.iter().filter(|d| d.must).all(|d| {
            working
                .iter()
                .any(|w| w.kind == d.kind && w.count >= d.count)
        })
    }
    /// Returns the properties that determine the cost of a start on the machine.
    pub(super) fn traits(&self) -> MachineTraits<'_> {
        MachineTraits {
            spot: self.spot,
            retiring: self.retiring,
            slow: self.slow,
            kind: &self.kind,
            zone: &self.zone,
        }
    }
    /// Returns the price per hour of a thousandth of a CPU.
    pub fn price_per_cpu(&self) -> f64 {
        let price = if self.spot {
            self.kind.spot_price
        } else {
            self.kind.price
        };
        price / self.kind.total.cpu.max(1) as f64
    }
    /// Returns the free capacity of the machine.
    pub fn free(&self) -> Amount {
        self.kind.total - self.used
    }
}
