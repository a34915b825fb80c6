//! Machines in order of their free capacity.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, HashMap};

use sorrelhinge_topology::tree::Domain;

use super::{FoundMachine, IndexedImage, IndexedMachine, MachineCheck, Nearness, Search};
use crate::types::{Amount, Image, MachineId};

/// Amount of free capacity. The order compares CPUs first, then memory, then GPUs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Size {
    cpu: i64,
    ram: i64,
    gpu: i64,
}

impl Size {
    pub(super) fn of(amount: Amount) -> Self {
        Self {
            cpu: amount.cpu,
            ram: amount.ram,
            gpu: amount.gpu,
        }
    }

    /// Returns the least size with this many CPUs, in thousandths.
    fn at_least(cpu: i64) -> Self {
        Self {
            cpu,
            ram: i64::MIN,
            gpu: i64::MIN,
        }
    }

    fn amount(self) -> Amount {
        Amount {
            cpu: self.cpu,
            gpu: self.gpu,
            ram: self.ram,
        }
    }
}

/// Machine in the order of its failure domain.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PlacedMachine {
    place: Domain,
    machine: MachineId,
}

impl PlacedMachine {
    fn new(place: Domain, machine: &MachineId) -> Self {
        Self {
            place,
            machine: machine.clone(),
        }
    }

    /// Returns the entry that sorts before all machines of a failure domain.
    fn first_of(place: Domain) -> Self {
        Self {
            place,
            machine: MachineId::from(""),
        }
    }
}

/// Machines in ascending order of free capacity. Machines with the same free capacity are
/// ordered by failure domain, so that a search skips a domain that a rule bars in one step.
#[derive(Clone, Debug, Default)]
struct MachinesBySize {
    by_size: BTreeMap<Size, BTreeSet<PlacedMachine>>,
}

impl MachinesBySize {
    fn put(&mut self, size: Size, place: Domain, id: &MachineId) {
        self.by_size
            .entry(size)
            .or_default()
            .insert(PlacedMachine::new(place, id));
    }
    fn take(&mut self, size: Size, place: Domain, id: &MachineId) {
        if let Some(ids) = self.by_size.get_mut(&size) {
            ids.remove(&PlacedMachine::new(place, id));
            if ids.is_empty() {
                self.by_size.remove(&size);
            }
        }
    }
    fn first(
        &self,
        each: Amount,
        steps: &Cell<u64>,
        pass: MachineCheck<'_>,
    ) -> Option<FoundMachine> {
        for (&size, ids) in self.by_size.range(Size::at_least(each.cpu)..) {
            steps.set(steps.get() + 1);
            if !each.fits(size.amount()) {
                continue;
            }
            let mut rest = ids.range(..);
            while let Some(PlacedMachine { place, machine }) = rest.next() {
                steps.set(steps.get() + 1);
                match pass(*place, machine) {
                    Ok(()) => {
                        return Some(FoundMachine {
                            free: size,
                            place: *place,
                            machine: machine.clone(),
                        })
                    }
                    Err(until) if until > place.next() => {
                        rest = ids.range(PlacedMachine::first_of(until)..);
                    }
                    Err(_) => {}
                }
            }
        }
        None
    }
}

/// Machines of a group: all of them, and for each image those that have it or are fetching
/// it.
#[derive(Clone, Debug, Default)]
pub(super) struct MachinesByImage {
    all: MachinesBySize,
    ready: HashMap<Image, MachinesBySize>,
    fetching: HashMap<Image, MachinesBySize>,
}

impl MachinesByImage {
    /// Adds a machine with this free capacity if `put` is set, and removes it otherwise.
    pub(super) fn change(
        &mut self,
        indexed: &IndexedMachine,
        size: Size,
        id: &MachineId,
        put: bool,
    ) {
        let place = indexed.key.place;
        let on = |machines: &mut MachinesBySize| {
            if put {
                machines.put(size, place, id);
            } else {
                machines.take(size, place, id);
            }
        };
        on(&mut self.all);
        for IndexedImage { image, ready } in &indexed.images {
            let by = if *ready {
                &mut self.ready
            } else {
                &mut self.fetching
            };
            let machines = by.entry(image.clone()).or_default();
            on(machines);
            if machines.by_size.is_empty() {
                by.remove(image);
            }
        }
    }

    /// Returns whether any machine has an image.
    pub(super) fn has_image(&self, image: &Image) -> bool {
        self.ready.contains_key(image)
    }

    /// Returns the machine with the least free capacity that meets `search` and passes
    /// `pass`.
    pub(super) fn first(
        &self,
        search: &Search,
        steps: &Cell<u64>,
        pass: MachineCheck<'_>,
    ) -> Option<FoundMachine> {
        let machines = match search.near {
            Nearness::Ready => self.ready.get(search.image)?,
            Nearness::Coming => self.fetching.get(search.image)?,
            Nearness::Absent => &self.all,
        };
        machines.first(search.each, steps, pass)
    }
}
