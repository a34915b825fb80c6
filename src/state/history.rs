//! Recent job arrivals, and the images that each machine ran recently, both derived from the
//! records. Every controller that watches the records has this history, so a new owner does
//! not start without it. Nothing that a rule depends on is decided from the history.

use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

use crate::types::{Image, JobSpec, MachineId};

/// Maximum number of job arrivals that the history keeps.
const MAX_ARRIVALS: usize = 1000;
/// Maximum number of machines whose images the history keeps. At this number it drops the
/// half that ran nothing for longest, so at least 5,000 machines remain known however many
/// are rented and deleted. With [`MAX_IMAGES_PER_MACHINE`] images for each machine the
/// history takes up to 10 MB.
const MAX_MACHINES: usize = 10_000;
/// Maximum number of images that the history keeps for a machine.
const MAX_IMAGES_PER_MACHINE: usize = 32;

/// Arrival of a job.
#[derive(Clone, Debug)]
pub struct JobArrival {
    /// Wall-clock time at which the job was accepted, in milliseconds.
    pub accepted_ms: u64,
    /// Description of the job.
    pub spec: Rc<JobSpec>,
}

/// Image that a machine ran, and so may still have in its cache.
#[derive(Clone, Debug, PartialEq)]
pub struct CachedImage {
    /// Name of the image.
    pub image: Image,
    /// Size of the image in GB.
    pub gb: f64,
}

/// Images that a machine ran, ordered from the earliest to the latest run.
#[derive(Default)]
struct RecentImages {
    images: VecDeque<CachedImage>,
    /// Number of tasks that had been placed on any machine when this machine ran its latest
    /// image.
    last_run: u64,
}

/// Jobs that arrived recently, and images that machines ran recently.
#[derive(Default)]
pub struct History {
    arrivals: VecDeque<JobArrival>,
    machines: HashMap<MachineId, RecentImages>,
    /// Number of tasks placed so far.
    placements: u64,
}

impl History {
    /// Records a job that was accepted at the wall-clock time `accepted_ms`, in milliseconds.
    pub fn record_arrival(&mut self, accepted_ms: u64, spec: JobSpec) {
        self.arrivals.push_back(JobArrival {
            accepted_ms,
            spec: Rc::new(spec),
        });
        if self.arrivals.len() > MAX_ARRIVALS {
            self.arrivals.pop_front();
        }
    }

    /// Records that a task with this image of `gb` GB was placed on a machine.
    pub fn record_placement(&mut self, machine: &MachineId, image: &Image, gb: f64) {
        self.placements += 1;
        if self.machines.len() >= MAX_MACHINES && !self.machines.contains_key(machine) {
            self.evict_least_recent_half();
        }
        let ran = self.machines.entry(machine.clone()).or_default();
        ran.last_run = self.placements;
        ran.images.retain(|cached| cached.image != *image);
        ran.images.push_back(CachedImage {
            image: image.clone(),
            gb,
        });
        if ran.images.len() > MAX_IMAGES_PER_MACHINE {
            ran.images.pop_front();
        }
    }

    /// Removes the half of the machines that ran nothing for longest. Most of them have been
    /// deleted since.
    fn evict_least_recent_half(&mut self) {
        let mut ages: Vec<u64> = self.machines.values().map(|m| m.last_run).collect();
        ages.sort_unstable();
        let middle = ages[ages.len() / 2];
        self.machines.retain(|_, m| m.last_run > middle);
    }

    /// Returns the jobs that arrived recently, in the order in which this controller saw
    /// their records.
    pub fn arrivals(&self) -> impl Iterator<Item = &JobArrival> {
        self.arrivals.iter()
    }

    /// Returns the images that each machine ran, ordered from the earliest to the latest run.
    pub fn images(&self) -> HashMap<MachineId, Vec<CachedImage>> {
        self.machines
            .iter()
            .map(|(id, ran)| (id.clone(), ran.images.iter().cloned().collect()))
            .collect()
    }
}
