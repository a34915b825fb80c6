//! The chains: the source of each machine, updated with what is known of each machine.

use sorrelhinge_protocol::types::MachineId;

use super::node::{Node, Up};
use super::{Rollout, Uploads};
use crate::locality::{Domain, Seat};

impl Rollout {
    /// Changes a machine's entry and updates the machine's place in the index of sources.
    pub(super) fn change(&mut self, seat: Seat, change: impl FnOnce(&mut Node)) {
        let Some(node) = self.nodes.get_mut(&seat) else {
            return;
        };
        if node.gives(self.limits.slots) {
            self.locality.remove(node.domain, node.rank(seat));
        }
        let before = u32::from(node.hands_on());
        change(node);
        self.hand_on = self.hand_on + u32::from(node.hands_on()) - before;
        if node.gives(self.limits.slots) {
            self.locality.insert(node.domain, node.rank(seat));
        }
    }

    /// Records a machine that has its copy from outside its zone as a seed of the zone.
    pub(super) fn seed(&mut self, machine: &MachineId, zone: Domain) {
        if self.seeds.insert(machine.clone(), zone).is_none() {
            *self.heads.entry(zone).or_default() += 1;
        }
    }

    /// Makes a machine take the image from the given source.
    pub(super) fn attach(&mut self, seat: Seat, up: Up, uploads: &mut Uploads) {
        let Some(node) = self.nodes.get(&seat) else {
            return;
        };
        let (id, zone) = (node.id.clone(), node.zone);
        let mut depth = 0;
        match up {
            Up::None => {}
            Up::Origin => {
                uploads.origin += 1;
                self.copies += 1;
                self.seed(&id, zone);
            }
            Up::From(source) => {
                let Some(from) = self.nodes.get(&source) else {
                    return;
                };
                uploads.add(&from.id);
                depth = from.depth + 1;
                if from.zone != zone {
                    self.crossings += 1;
                    self.seed(&id, zone);
                }
                self.change(source, |n| {
                    n.children.insert(seat);
                });
            }
        }
        self.change(seat, |n| {
            n.up = up;
            n.depth = depth;
        });
    }

    /// Removes a machine from its source.
    pub(super) fn detach(&mut self, seat: Seat, uploads: &mut Uploads) {
        match self.nodes[&seat].up {
            Up::None => {}
            Up::Origin => uploads.origin = uploads.origin.saturating_sub(1),
            Up::From(source) => {
                if let Some(from) = self.nodes.get(&source) {
                    uploads.sub(&from.id);
                }
                self.change(source, |n| {
                    n.children.remove(&seat);
                });
            }
        }
        self.change(seat, |n| n.up = Up::None);
    }

    /// Moves the machines that take from a machine to the next of their sources that has a
    /// slot. If none has a slot and `must` is set, a machine fetches the rest from the
    /// origin.
    pub(super) fn move_children(&mut self, seat: Seat, uploads: &mut Uploads, must: bool) {
        let children = match self.nodes.get(&seat) {
            Some(node) => node.children.clone(),
            None => return,
        };
        for child in children {
            let gives = |s: &&Seat| {
                self.nodes.get(s).is_some_and(|n| {
                    n.gives(self.limits.slots) && uploads.of(&n.id) < self.limits.slots
                })
            };
            let next = self.nodes[&child].from.iter().find(gives).copied();
            let up = match next {
                Some(s) => Up::From(s),
                None if must => Up::Origin,
                None => continue,
            };
            self.detach(child, uploads);
            self.attach(child, up, uploads);
        }
    }
}
