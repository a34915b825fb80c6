//! Starts of machines: the starts that may be sent now, and the sources that each start
//! names.

use sorrelhinge_protocol::types::MachineId;

use super::node::{State, Upstream};
use super::{Rollout, Source, Uploads};

impl Rollout {
    /// Returns whether a start that makes a machine fetch the image may be sent to it now.
    /// Returns true also for a machine that is fetching the image or has it.
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

    /// Returns the sources to name in the start that is sent to a machine now, the best one
    /// first. After the last source, the machine uses the origin. Returns no sources for a
    /// machine that has the image or is not in the rollout. For a machine that is already
    /// fetching, it returns those of its sources that are left, because a start may be sent
    /// twice.
    pub fn assign(&mut self, machine: &MachineId, uploads: &mut Uploads, now: f64) -> Vec<Source> {
        let Some(member) = self.members.get(machine).copied() else {
            return Vec::new();
        };
        let node = &self.nodes[&member];
        match node.state {
            State::Complete => return Vec::new(),
            State::Fetches => return self.sent_sources(node),
            State::Waits => {}
        }
        let upstream = self.choose(node, uploads, now).unwrap_or(Upstream::Origin);
        let from = match upstream {
            Upstream::From(source) => self.alternatives(node.zone, source),
            _ => Vec::new(),
        };
        self.waiting -= 1;
        self.fetches += 1;
        self.change(member, |n| {
            n.state = State::Fetches;
            n.from = from;
        });
        self.attach(member, upstream, uploads);
        self.sent_sources(&self.nodes[&member])
    }
}
