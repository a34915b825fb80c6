//! Requests of operators to drain machines and to show the topology.

use std::collections::BTreeMap;
use std::time::Duration;

use sorrelhinge_protocol::operators::{DomainShown, DrainAsked, DrainShown, Target, TopologyShown};
use sorrelhinge_topology::drain::{Drain, Target as DrainTarget};
use sorrelhinge_topology::tree::{Domain, Level, Tree};

use super::core::Core;
use super::operator_changes::{ChangePlan, RecordWrite};
use super::operator_error::{InvalidRequest, OperatorError};
use super::{wall_ms, Node};
use crate::scheduler::Machine;
use crate::state::record::drain_key;
use crate::state::{Change, StateError};
use crate::types::{MachineId, Revision};

/// Maximum number of drains at a time. Each drain is a key of about 300 bytes that all
/// controllers hold. Every machine in a fleet of thousands may have its own drain.
const MAX_DRAINS: usize = 10_000;
/// Time that one write that changes a drain may wait until the rate limit of the state service
/// allows it.
const DRAIN_QUEUE_TIMEOUT: Duration = Duration::from_millis(1500);

impl Node {
    /// Resolves the text of a target to a domain of the topology file or to a machine.
    fn resolve_target(&self, text: &str) -> Result<DrainTarget, OperatorError> {
        let topology = self.topology().ok_or(OperatorError::NoTopology)?;
        if topology.tree.find(text).is_some() {
            return Ok(DrainTarget::Domain(text.to_owned()));
        }
        let known = |c: &Core| {
            c.cluster_state
                .machines()
                .contains_key(&MachineId::from(text))
        };
        match self.shards.owned().first() {
            Some(c) if known(c) => Ok(DrainTarget::Machine(text.to_owned())),
            Some(_) => Err(InvalidRequest::UnknownTarget(text.to_owned()).into()),
            // Only the owner of the shard knows the machines.
            None => Err(self.not_owner_error()),
        }
    }

    fn not_owner_error(&self) -> OperatorError {
        match &self.store.view().leader.value {
            Some(l) if l.node != self.cfg.node => OperatorError::Elsewhere(l.node.clone()),
            _ => OperatorError::Unavailable,
        }
    }

    /// Begins a drain, or changes the drain of the same target. Returns the drain's number once
    /// the drain is recorded, so a takeover can't lose it.
    ///
    /// # Errors
    ///
    /// There is no topology here, the request is not valid, or the drain could not be recorded.
    pub async fn drain(&self, asked: &DrainAsked) -> Result<u64, OperatorError> {
        asked.check().map_err(InvalidRequest::from)?;
        let resolved = self.resolve_target(&asked.target)?;
        let started_ms = wall_ms();
        let drain = Drain {
            version: Drain::VERSION,
            target: resolved,
            started_ms,
            deadline_ms: started_ms + (asked.deadline_s * 1000.0) as u64,
            away: asked.away,
            keep: asked.keep,
        };
        let plan = || self.plan_drain(&drain);
        let number = self
            .change_for_operator(DRAIN_QUEUE_TIMEOUT, plan, log_failure)
            .await?;
        // The refreshed view contains the change, so the next read shows it.
        self.refresh_view().await;
        tracing::info!(number, target = %drain.target, "drain started");
        Ok(number)
    }

    /// Returns the write that records a drain, with the drain's number. A drain of the same
    /// target is replaced and keeps its start time. Otherwise the drain gets the next number.
    fn plan_drain(&self, drain: &Drain) -> Result<ChangePlan<u64>, OperatorError> {
        let view = self.store.view();
        let mut drains = view.drains.iter();
        let same_target = drains.find(|(_, known)| known.value.target == drain.target);
        if let Some((number, known)) = same_target {
            let value = Drain {
                started_ms: known.value.started_ms,
                ..drain.clone()
            };
            return Ok(write_drain(*number, known.mod_revision, &value));
        }
        if view.drains.len() >= MAX_DRAINS {
            return Err(InvalidRequest::TooManyDrains.into());
        }
        let last = view.drains.keys().next_back();
        let number = last.map_or(1, |last| last + 1);
        Ok(write_drain(number, Revision(0), drain))
    }

    /// Ends a drain. Machines that still exist may be used again.
    ///
    /// # Errors
    ///
    /// There is no topology here, there is no such drain, or the end could not be recorded.
    pub async fn undrain(&self, target: &Target) -> Result<(), OperatorError> {
        if self.topology().is_none() {
            return Err(OperatorError::NoTopology);
        }
        let plan = || self.plan_undrain(target);
        let number = self
            .change_for_operator(DRAIN_QUEUE_TIMEOUT, plan, log_failure)
            .await?;
        // The refreshed view contains the change, so the next read shows it.
        self.refresh_view().await;
        tracing::info!(number, "drain ended");
        Ok(())
    }

    /// Returns the write that deletes the drain with this number or target. Also returns the
    /// drain's number.
    fn plan_undrain(&self, target: &Target) -> Result<ChangePlan<u64>, OperatorError> {
        let view = self.store.view();
        let mut drains = view.drains.iter();
        let found = drains.find(|(number, drain)| match target {
            Target::Number(wanted) => *number == wanted,
            Target::Text(text) => drain.value.target.to_string() == *text,
        });
        let (number, drain) = found.ok_or(OperatorError::NoSuchDrain)?;
        let key = drain_key(*number);
        let write = RecordWrite {
            key: key.clone(),
            mod_revision: drain.mod_revision,
            change: Change::Delete { delete: key },
        };
        Ok(ChangePlan::Write {
            write,
            outcome: *number,
        })
    }

    /// Returns domains, devices and drains, including the details that only the owner knows.
    ///
    /// # Errors
    ///
    /// There is no topology here, or another controller owns the machines.
    pub fn show_topology(&self) -> Result<TopologyShown, OperatorError> {
        let topology = self.topology().ok_or(OperatorError::NoTopology)?;
        let cores = self.shards.owned();
        // With a topology, all machines belong to one shard.
        let Some(core) = cores.first() else {
            return Err(self.not_owner_error());
        };
        let machines = shown_machines(core, &topology.tree);
        Ok(TopologyShown {
            levels: topology.tree.levels().to_vec(),
            domains: machines.domains.into_values().collect(),
            unplaced: machines.unplaced,
            drains: self.shown_drains(core),
        })
    }

    /// Returns all drains with their progress.
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

/// Returns the write of a drain's record, with the drain's number.
fn write_drain(number: u64, mod_revision: Revision, drain: &Drain) -> ChangePlan<u64> {
    let key = drain_key(number);
    let write = RecordWrite {
        key: key.clone(),
        mod_revision,
        change: Change::write(key, drain, None),
    };
    ChangePlan::Write {
        write,
        outcome: number,
    }
}

/// Logs that a drain's record was not changed, or that the outcome is unknown.
fn log_failure(error: StateError) {
    tracing::info!(%error, "drain not recorded");
}

/// Machines of a topology, as operators see them.
struct ShownMachines {
    /// Status of each failure domain, by its index in the topology's tree.
    domains: BTreeMap<u32, DomainShown>,
    /// Machines that are not placed in a domain of the lowest level.
    unplaced: Vec<MachineId>,
}

/// Counts the machines and devices of each domain. Domains without machines are included.
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

/// Returns the status of a domain without machines.
fn empty_domain(tree: &Tree, domain: Domain, level_name: &str) -> DomainShown {
    DomainShown {
        domain: tree.path(domain).to_owned(),
        level: level_name.to_owned(),
        ..DomainShown::default()
    }
}

/// Adds a machine and its devices to the counts of its domain.
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
