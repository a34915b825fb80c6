//! What the records show of the past: which jobs arrived recently, and which images the
//! machines ran. Every controller that follows the records has it, so a new owner does not
//! start without it. Nothing that a rule depends on is decided from it.

use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

use crate::types::{Image, JobSpec, MachineId};

/// Jobs that are remembered.
const MAX_ARRIVALS: usize = 1000;
/// Machines of which images are remembered. When so many are known, the half that ran
/// nothing for longest is forgotten, so at least 5,000 machines stay known however many
/// come and go. With [`MAX_IMAGES_PER_MACHINE`] for each that is up to 10 MB.
const MAX_MACHINES: usize = 10_000;
/// Images that are remembered of a machine.
const MAX_IMAGES_PER_MACHINE: usize = 32;

/// A job that arrived.
#[derive(Clone, Debug)]
pub struct JobArrival {
    /// When it was accepted, in milliseconds of the time of day.
    pub accepted_ms: u64,
    /// Its description.
    pub spec: Rc<JobSpec>,
}

/// An image that a machine ran, and so may still have in its cache.
#[derive(Clone, Debug, PartialEq)]
pub struct CachedImage {
    /// Its name.
    pub image: Image,
    /// Its size, in GB.
    pub gb: f64,
}

/// The images that a machine ran, the latest last.
#[derive(Default)]
struct RecentImages {
    images: VecDeque<CachedImage>,
    /// When it ran the latest: the number of tasks placed anywhere until then.
    at: u64,
}

/// Which jobs arrived and which images ran recently.
#[derive(Default)]
pub struct History {
    arrivals: VecDeque<JobArrival>,
    machines: HashMap<MachineId, RecentImages>,
    /// Tasks placed so far.
    count: u64,
}

impl History {
    /// A job was accepted, at a time of day in milliseconds.
    pub fn arrived(&mut self, accepted_ms: u64, spec: JobSpec) {
        self.arrivals.push_back(JobArrival {
            accepted_ms,
            spec: Rc::new(spec),
        });
        if self.arrivals.len() > MAX_ARRIVALS {
            self.arrivals.pop_front();
        }
    }

    /// A task with this image of `gb` GB was placed on a machine.
    pub fn placed(&mut self, machine: &MachineId, image: &Image, gb: f64) {
        self.count += 1;
        if self.machines.len() >= MAX_MACHINES && !self.machines.contains_key(machine) {
            self.forget_older_half();
        }
        let ran = self.machines.entry(machine.clone()).or_default();
        ran.at = self.count;
        ran.images.retain(|cached| cached.image != *image);
        ran.images.push_back(CachedImage {
            image: image.clone(),
            gb,
        });
        if ran.images.len() > MAX_IMAGES_PER_MACHINE {
            ran.images.pop_front();
        }
    }

    /// Forgets the half of the machines that ran nothing for longest: most of them have
    /// been deleted since.
    fn forget_older_half(&mut self) {
        let mut ages: Vec<u64> = self.machines.values().map(|m| m.at).collect();
        ages.sort_unstable();
        let middle = ages[ages.len() / 2];
        self.machines.retain(|_, m| m.at > middle);
    }

    /// The jobs that arrived recently, in the order of their records.
    pub fn arrivals(&self) -> impl Iterator<Item = &JobArrival> {
        self.arrivals.iter()
    }

    /// The images that each machine ran, the latest last.
    pub fn images(&self) -> HashMap<MachineId, Vec<CachedImage>> {
        self.machines
            .iter()
            .map(|(id, ran)| (id.clone(), ran.images.iter().cloned().collect()))
            .collect()
    }
}
