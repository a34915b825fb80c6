//! What the records tell beside the present: which jobs came of late, and
//! which images the machines ran. Every controller that follows the records
//! knows it, so whoever takes over does not start without. Nothing is decided
//! from it that a rule depends on.

use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

use crate::types::{Image, JobSpec, MachineId};

const MOST_ARRIVALS: usize = 1000;
/// When so many are known, the half that ran nothing for longest is forgotten, so at
/// least 5,000 machines stay known however many come and go. With [`MOST_IMAGES`] for
/// each that is up to 10 MB.
const MOST_MACHINES: usize = 10_000;
const MOST_IMAGES: usize = 32;

/// The images that a machine ran, the latest last.
#[derive(Default)]
struct Ran {
    images: VecDeque<(Image, f64)>,
    /// When it ran the latest.
    at: u64,
}

/// What came and what ran of late.
#[derive(Default)]
pub struct History {
    arrivals: VecDeque<(u64, Rc<JobSpec>)>,
    machines: HashMap<MachineId, Ran>,
    count: u64,
}

impl History {
    /// A job was accepted, at a time of day in milliseconds.
    pub fn arrived(&mut self, accepted_ms: u64, spec: JobSpec) {
        self.arrivals.push_back((accepted_ms, Rc::new(spec)));
        if self.arrivals.len() > MOST_ARRIVALS {
            self.arrivals.pop_front();
        }
    }

    /// A task with this image was placed on a machine.
    pub fn placed(&mut self, machine: &MachineId, image: &Image, gb: f64) {
        self.count += 1;
        if self.machines.len() >= MOST_MACHINES && !self.machines.contains_key(machine) {
            // Machines come and go; those that ran nothing for long are gone.
            let mut ages: Vec<u64> = self.machines.values().map(|m| m.at).collect();
            ages.sort_unstable();
            let middle = ages[ages.len() / 2];
            self.machines.retain(|_, m| m.at > middle);
        }
        let ran = self.machines.entry(machine.clone()).or_default();
        ran.at = self.count;
        ran.images.retain(|(i, _)| i != image);
        ran.images.push_back((image.clone(), gb));
        if ran.images.len() > MOST_IMAGES {
            ran.images.pop_front();
        }
    }

    /// The jobs that came of late.
    pub fn arrivals(&self) -> impl Iterator<Item = &(u64, Rc<JobSpec>)> {
        self.arrivals.iter()
    }

    /// The images that each machine ran, the latest last.
    pub fn images(&self) -> HashMap<MachineId, Vec<(Image, f64)>> {
        self.machines
            .iter()
            .map(|(id, ran)| (id.clone(), ran.images.iter().cloned().collect()))
            .collect()
    }
}
