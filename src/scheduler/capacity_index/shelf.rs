//! Machines in order of their free capacity.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, HashMap};

use sorrelhinge_topology::tree::Domain;

use super::{Filed, Found, Nearness, Pass, Search};
use crate::types::{Amount, Image, MachineId};

/// Free CPUs, memory and GPUs, in the order of tightness.
pub(crate) type Size = (i64, i64, i64);

pub(super) fn size(amount: Amount) -> Size {
    (amount.cpu, amount.ram, amount.gpu)
}

/// Machines by their free capacity, the tightest first, and those of the same by
/// their place, so that a domain that a rule bars is passed over at once.
#[derive(Clone, Debug, Default)]
struct Shelf {
    by_size: BTreeMap<Size, BTreeSet<(Domain, MachineId)>>,
}

impl Shelf {
    fn put(&mut self, size: Size, place: Domain, id: &MachineId) {
        self.by_size
            .entry(size)
            .or_default()
            .insert((place, id.clone()));
    }
    fn take(&mut self, size: Size, place: Domain, id: &MachineId) {
        if let Some(ids) = self.by_size.get_mut(&size) {
            ids.remove(&(place, id.clone()));
            if ids.is_empty() {
                self.by_size.remove(&size);
            }
        }
    }
    fn first(&self, each: Amount, steps: &Cell<u64>, pass: Pass<'_>) -> Option<Found> {
        for (&size, ids) in self.by_size.range((each.cpu, i64::MIN, i64::MIN)..) {
            steps.set(steps.get() + 1);
            let (cpu, ram, gpu) = size;
            if !each.fits(Amount { cpu, gpu, ram }) {
                continue;
            }
            let mut rest = ids.range(..);
            while let Some((place, id)) = rest.next() {
                steps.set(steps.get() + 1);
                match pass(*place, id) {
                    Ok(()) => {
                        return Some(Found {
                            free: size,
                            place: *place,
                            machine: id.clone(),
                        })
                    }
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

/// The machines of a group: all of them, and those that have or expect an image.
#[derive(Clone, Debug, Default)]
pub(super) struct Shelves {
    all: Shelf,
    ready: HashMap<Image, Shelf>,
    coming: HashMap<Image, Shelf>,
}

impl Shelves {
    /// Puts a machine in, or takes it out, by what is free there.
    pub(super) fn change(&mut self, filed: &Filed, size: Size, id: &MachineId, put: bool) {
        let place = filed.filing.place;
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
            if shelf.by_size.is_empty() {
                by.remove(image);
            }
        }
    }

    /// Whether any machine has an image.
    pub(super) fn has_image(&self, image: &Image) -> bool {
        self.ready.contains_key(image)
    }

    /// The tightest machine with free capacity whose image is as near as asked, and that passes.
    pub(super) fn first(
        &self,
        search: &Search,
        steps: &Cell<u64>,
        pass: Pass<'_>,
    ) -> Option<Found> {
        let shelf = match search.near {
            Nearness::Ready => self.ready.get(search.image)?,
            Nearness::Coming => self.coming.get(search.image)?,
            Nearness::Absent => &self.all,
        };
        shelf.first(search.each, steps, pass)
    }
}
