//! Operators' requests: drains, and what the topology shows.

use std::collections::BTreeMap;
use std::time::Duration;

use sorrelhinge_protocol::operators::{DomainShown, DrainAsked, DrainShown, Target, TopologyShown};
use sorrelhinge_topology::drain::{Drain, Target as What};
use sorrelhinge_topology::tree::{Domain, Level, Tree};

use super::core::Core;
use super::{wall_ms, Node};
use crate::scheduler::Machine;
use crate::state::record::drain_key;
use crate::state::{Change, TransactionOutcome};
use crate::types::{MachineId, NodeId, Revision};

/// Most drains at a time: each is a key that all controllers hold, in about 300 bytes.
/// Every machine of a fleet of thousands may have one of its own.
const MAX_DRAINS: usize = 10_000;
/// How often a change that an operator asked for is tried while others are faster.
const CHANGE_ATTEMPTS: usize = 4;
/// How long a change may take.
const PATIENCE: Duration = Duration::from_millis(1500);

/// Why a request of an operator was not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refused {
    /// The feature is off.
    Off,
    /// The request is wrong.
    Wrong(String),
    /// There is no such drain.
    NoSuch,
    /// This controller has no calendar.
    NoCalendar,
    /// There is no such window.
    NoWindow,
    /// The answer is with another controller.
    Elsewhere(NodeId),
    /// It can't be decided now.
    Unavailable,
}

/// A drain's record that is about to be written.
struct DrainWrite {
    number: u64,
    /// The revision of the record in its place; 0: there is none.
    mod_revision: Revision,
    value: Drain,
}

impl Node {
    /// What a target's text names: a domain of the file, or a machine.
    fn target(&self, text: &str) -> Result<What, Refused> {
        let topology = self.topology().ok_or(Refused::Off)?;
        if topology.tree.find(text).is_some() {
            return Ok(What::Domain(text.to_owned()));
        }
        let known = |c: &Core| {
            c.cluster_state
                .machines()
                .contains_key(&MachineId::from(text))
        };
        match self.shards.owned().first() {
            Some(c) if known(c) => Ok(What::Machine(text.to_owned())),
            Some(_) => Err(Refused::Wrong(format!(
                "there is no domain {text:?} in the file, and no machine of that name"
            ))),
            // Only the owner knows the machines.
            None => Err(self.elsewhere()),
        }
    }

    fn elsewhere(&self) -> Refused {
        match &self.store.view().leader.value {
            Some(l) if l.node != self.cfg.node => Refused::Elsewhere(l.node.clone()),
            _ => Refused::Unavailable,
        }
    }

    /// Begins a drain, or changes the one of the same target. The answer comes
    /// once it is recorded, so a takeover can't lose it.
    pub async fn drain(&self, asked: &DrainAsked) -> Result<u64, Refused> {
        asked.check().map_err(|e| Refused::Wrong(e.to_string()))?;
        let what = self.target(&asked.target)?;
        let started_ms = wall_ms();
        let drain = Drain {
            version: Drain::VERSION,
            target: what,
            started_ms,
            deadline_ms: started_ms + (asked.deadline_s * 1000.0) as u64,
            away: asked.away,
            keep: asked.keep,
        };
        for _ in 0..CHANGE_ATTEMPTS {
            if !self.fresh().await {
                return Err(Refused::Unavailable);
            }
            let DrainWrite {
                number,
                mod_revision,
                value,
            } = self.drain_write(&drain)?;
            let key = drain_key(number);
            let change = Change::write(key.clone(), &value, None);
            if self.change_drain(key, mod_revision, change).await? {
                tracing::info!(number, target = %value.target, "draining");
                return Ok(number);
            }
        }
        Err(Refused::Unavailable)
    }

    /// Where a drain is to be recorded: in place of the one of the same target, which
    /// keeps its start, or under the next number.
    fn drain_write(&self, drain: &Drain) -> Result<DrainWrite, Refused> {
        let view = self.store.view();
        let mut drains = view.drains.iter();
        if let Some((number, held)) = drains.find(|(_, d)| d.value.target == drain.target) {
            return Ok(DrainWrite {
                number: *number,
                mod_revision: held.mod_revision,
                value: Drain {
                    started_ms: held.value.started_ms,
                    ..drain.clone()
                },
            });
        }
        if view.drains.len() >= MAX_DRAINS {
            return Err(Refused::Wrong("too many drains at a time".into()));
        }
        let last = view.drains.keys().next_back();
        Ok(DrainWrite {
            number: last.map_or(1, |n| n + 1),
            mod_revision: Revision(0),
            value: drain.clone(),
        })
    }

    /// Ends a drain: machines that are still there may be used again.
    pub async fn undrain(&self, target: &Target) -> Result<(), Refused> {
        if self.topology().is_none() {
            return Err(Refused::Off);
        }
        for _ in 0..CHANGE_ATTEMPTS {
            if !self.fresh().await {
                return Err(Refused::Unavailable);
            }
            let found = {
                let view = self.store.view();
                let mut drains = view.drains.iter();
                let found = drains.find(|(n, d)| match target {
                    Target::Number(number) => *n == number,
                    Target::Text(text) => d.value.target.to_string() == *text,
                });
                found.map(|(n, d)| (*n, d.mod_revision))
            };
            let Some((number, mod_revision)) = found else {
                return Err(Refused::NoSuch);
            };
            let key = drain_key(number);
            let delete = Change::Delete {
                delete: key.clone(),
            };
            if self.change_drain(key, mod_revision, delete).await? {
                tracing::info!(number, "drain ended");
                return Ok(());
            }
        }
        Err(Refused::Unavailable)
    }

    /// Whether a drain's record was changed; false if another was faster.
    async fn change_drain(
        &self,
        key: String,
        mod_revision: Revision,
        change: Change,
    ) -> Result<bool, Refused> {
        match self.state.change(key, mod_revision, change, PATIENCE).await {
            Ok(TransactionOutcome::Done(revision)) => {
                self.peers.announce(revision);
                // The next look at the view has it.
                self.fresh().await;
                Ok(true)
            }
            Ok(TransactionOutcome::Failed(_)) => Ok(false),
            Err(error) => {
                tracing::info!(%error, "drain");
                Err(Refused::Unavailable)
            }
        }
    }

    /// Domains, devices and drains, with what only the owner knows.
    pub fn show(&self) -> Result<TopologyShown, Refused> {
        let topology = self.topology().ok_or(Refused::Off)?;
        let cores = self.shards.owned();
        // With a topology all machines are one shard.
        let Some(core) = cores.first() else {
            return Err(self.elsewhere());
        };
        let machines = shown_machines(core, &topology.tree);
        Ok(TopologyShown {
            levels: topology.tree.levels().to_vec(),
            domains: machines.domains.into_values().collect(),
            unplaced: machines.unplaced,
            drains: self.shown_drains(core),
        })
    }

    /// Drains and how far they are.
    fn shown_drains(&self, core: &Core) -> Vec<DrainShown> {
        let now = wall_ms();
        let drains = self.store.view().drains.clone();
        let drains = drains.iter().map(|(number, d)| {
            let progress = core.drain_progress(&d.value);
            DrainShown {
                number: *number,
                target: d.value.target.to_string(),
                left_s: d.value.left_s(now),
                away: d.value.away,
                keep: d.value.keep,
                machines: progress.machines,
                empty: progress.empty,
                tasks: progress.tasks,
                stopping: progress.stopping,
                done: progress.done(),
            }
        });
        drains.collect()
    }
}

/// The machines of a topology, as operators see them.
struct ShownMachines {
    /// By the place in the tree.
    domains: BTreeMap<u32, DomainShown>,
    /// Machines that are not placed as far down as the tree tells.
    unplaced: Vec<MachineId>,
}

/// The machines and devices of each domain; domains that have no machine now are
/// shown too.
fn shown_machines(core: &Core, tree: &Tree) -> ShownMachines {
    let mut shown = ShownMachines {
        domains: BTreeMap::new(),
        unplaced: Vec::new(),
    };
    for (id, machine) in core.cluster_state.machines() {
        let level = tree.level_of(machine.place);
        if level.is_none_or(|l| usize::from(l.0) + 2 < tree.levels().len()) {
            shown.unplaced.push(id.clone());
        }
        let level_name = level.map_or("-", |l| tree.level_name(l));
        let domain = shown
            .domains
            .entry(machine.place.0)
            .or_insert_with(|| empty_domain(tree, machine.place, level_name));
        add_machine(domain, machine);
    }
    for level in (0..tree.levels().len() as u8 - 1).map(Level) {
        for domain in tree.domains(level) {
            let level_name = tree.level_name(level);
            let empty = || empty_domain(tree, domain, level_name);
            shown.domains.entry(domain.0).or_insert_with(empty);
        }
    }
    shown
}

/// A domain without machines.
fn empty_domain(tree: &Tree, domain: Domain, level_name: &str) -> DomainShown {
    DomainShown {
        domain: tree.path(domain).to_owned(),
        level: level_name.to_owned(),
        ..DomainShown::default()
    }
}

/// Counts a machine and its devices in its domain.
fn add_machine(domain: &mut DomainShown, machine: &Machine) {
    domain.machines += 1;
    domain.usable += u32::from(machine.usable);
    domain.draining += u32::from(machine.draining);
    domain.tasks += machine.claims.len() as u32;
    for slot in machine.device_inventory.units() {
        let device = domain
            .devices
            .entry(slot.unit.kind().to_owned())
            .or_default();
        device.units += 1;
        device.broken += u32::from(slot.broken);
        device.slots += if slot.broken { 0 } else { slot.share };
        device.held += machine.allocated_devices.holders(slot.unit);
    }
}
