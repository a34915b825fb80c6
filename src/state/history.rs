//! What the records tell beside the present: which jobs came of late, and
//! which images the machines ran. Every controller that follows the records
//! knows it, so whoever takes over does not start without. Nothing is decided
//! from it that a rule depends on.

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

/// The images that a machine ran, the latest last.
#[derive(Default)]
struct RecentImages {
    /// Each with its size in GB.
    images: VecDeque<(Image, f64)>,
    /// When it ran the latest: the number of tasks placed anywhere until then.
    at: u64,
}

/// What came and what ran of late.
#[derive(Default)]
pub struct History {
    /// Each with when it was accepted, in milliseconds of the time of day.
    arrivals: VecDeque<(u64, Rc<JobSpec>)>,
    machines: HashMap<MachineId, RecentImages>,
    /// Tasks placed so far.
    count: u64,
}

impl History {
    /// A job was accepted, at a time of day in milliseconds.
    pub fn arrived(&mut self, accepted_ms: u64, spec: JobSpec) {
        self.arrivals.push_back((accepted_ms, Rc::new(spec)));
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
        ran.images.retain(|(i, _)| i != image);
        ran.images.push_back((image.clone(), gb));
        if ran.images.len() > MAX_IMAGES_PER_MACHINE {
            ran.images.pop_front();
        }
    }

    /// Machines come and go; those that ran nothing for long are gone.
    fn forget_older_half(&mut self) {
        let mut ages: Vec<u64> = self.machines.values().map(|m| m.at).collect();
        ages.sort_unstable();
        let middle = ages[ages.len() / 2];
        self.machines.retain(|_, m| m.at > middle);
    }

    /// The jobs that came of late, in the order of their records, each with when it was
    /// accepted, in milliseconds of the time of day.
    pub fn arrivals(&self) -> impl Iterator<Item = &(u64, Rc<JobSpec>)> {
        self.arrivals.iter()
    }

    /// The images that each machine ran, the latest last, each with its size in GB.
    pub fn images(&self) -> HashMap<MachineId, Vec<(Image, f64)>> {
        self.machines
            .iter()
            .map(|(id, ran)| (id.clone(), ran.images.iter().cloned().collect()))
            .collect()
    }
}
