//! The chains: the source of each machine, updated with what is known of each machine.

use sorrelhinge_protocol::types::MachineId;

use super::node::{Node, Upstream};
use super::{Rollout, Uploads};
use crate::locality::{Domain, MemberId};

impl Rollout {
    /// Changes a machine's entry and updates the machine's place in the index of sources.
    pub(super) fn change(&mut self, member: MemberId, change: impl FnOnce(&mut Node)) {
        let Some(node) = self.nodes.get_mut(&member) else {
            return;
        };
        if node.has_free_slot(self.limits.slots) {
            self.locality.remove(node.domain, node.rank(member));
        }
        let before = u32::from(node.is_source());
        change(node);
        self.source_count = self.source_count + u32::from(node.is_source()) - before;
        if node.has_free_slot(self.limits.slots) {
            self.locality.insert(node.domain, node.rank(member));
        }
    }

    /// Records a machine that has its copy from outside its zone as a seed of the zone.
    pub(super) fn seed(&mut self, machine: &MachineId, zone: Domain) {
        if self.seeds.insert(machine.clone(), zone).is_none() {
            *self.seeds_per_zone.entry(zone).or_default() += 1;
        }
    }

    /// Makes a machine take the image from the given source.
    pub(super) fn attach(&mut self, member: MemberId, upstream: Upstream, uploads: &mut Uploads) {
        let Some(node) = self.nodes.get(&member) else {
            return;
        };
        let (id, zone) = (node.id.clone(), node.zone);
        let mut depth = 0;
        match upstream {
            Upstream::None => {}
            Upstream::Origin => {
                uploads.origin += 1;
                self.copies += 1;
                self.seed(&id, zone);
            }
            Upstream::From(source) => {
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
                    n.children.insert(member);
                });
            }
        }
        self.change(member, |n| {
            n.upstream = upstream;
            n.depth = depth;
        });
    }

    /// Removes a machine from its source.
    pub(super) fn detach(&mut self, member: MemberId, uploads: &mut Uploads) {
        match self.nodes[&member].upstream {
            Upstream::None => {}
            Upstream::Origin => uploads.origin = uploads.origin.saturating_sub(1),
            Upstream::From(source) => {
                if let Some(from) = self.nodes.get(&source) {
                    uploads.sub(&from.id);
                }
                self.change(source, |n| {
                    n.children.remove(&member);
                });
            }
        }
        self.change(member, |n| n.upstream = Upstream::None);
    }

    /// Moves the machines that take from a machine to the next of their sources that has a
    /// slot. If none has a slot and `must` is set, a machine fetches the rest from the
    /// origin.
    pub(super) fn move_children(&mut self, member: MemberId, uploads: &mut Uploads, must: bool) {
        let children = match self.nodes.get(&member) {
            Some(node) => node.children.clone(),
            None => return,
        };
        for child in children {
            let can_upload = |s: &&MemberId| {
                self.nodes.get(s).is_some_and(|n| {
                    n.has_free_slot(self.limits.slots) && uploads.of(&n.id) < self.limits.slots
                })
            };
            let next = self.nodes[&child].from.iter().find(can_upload).copied();
            let upstream = match next {
                Some(s) => Upstream::From(s),
                None if must => Upstream::Origin,
                None => continue,
            };
            self.detach(child, uploads);
            self.attach(child, upstream, uploads);
        }
    }
}
