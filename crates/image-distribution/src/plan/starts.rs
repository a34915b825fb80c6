//! Starts of machines: which may be sent now, and the sources that each names.

use sorrelhinge_protocol::types::MachineId;

use super::node::{State, Up};
use super::{Rollout, Source, Uploads};

impl Rollout {
    /// Whether a start may be sent to a machine now that will make it fetch the
    /// image. True also for one that fetches or has it.
    pub fn may_start(&self, machine: &MachineId, uploads: &Uploads, now: f64) -> bool {
        let Some(node) = self.node(machine) else {
            return false;
        };
        match node.state {
            State::Complete | State::Fetches => true,
            State::Waits => {
                self.written.is_some()
                    && self.fetches < self.allowed()
                    && self.choose(node, uploads, now).is_some()
            }
        }
    }

    /// The sources of a machine for the start that is sent to it now, the best
    /// first; what follows the last is the origin. Empty for a machine that has
    /// it or isn't known. Asked again for one that fetches, it names what is left of its
    /// sources: the start may be sent twice.
    pub fn assign(&mut self, machine: &MachineId, uploads: &mut Uploads, now: f64) -> Vec<Source> {
        let Some(seat) = self.seats.get(machine).copied() else {
            return Vec::new();
        };
        let node = &self.nodes[&seat];
        match node.state {
            State::Complete => return Vec::new(),
            State::Fetches => return self.named(node),
            State::Waits => {}
        }
        let up = self.choose(node, uploads, now).unwrap_or(Up::Origin);
        let from = match up {
            Up::From(source) => self.alternatives(node.zone, source),
            _ => Vec::new(),
        };
        self.waiting -= 1;
        self.fetches += 1;
        self.change(seat, |n| {
            n.state = State::Fetches;
            n.from = from;
        });
        self.attach(seat, up, uploads);
        self.named(&self.nodes[&seat])
    }
}
